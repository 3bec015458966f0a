//! Placement of models, adapters and versions on the engines of deployments.
//!
//! * `record` defines the records of the placement stream, `claims` is their replayed state.
//! * `state` claims deployments and decides which orders their engines get.

pub mod claims;
pub mod record;
pub mod settings;
pub mod state;
pub(crate) mod task;

pub use record::Record;
pub use settings::Settings;
pub use state::State;
