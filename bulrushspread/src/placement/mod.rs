//! Which models, adapters and versions the engines of a deployment have loaded.
//!
//! * `claims` is the fold of the placement stream, `record` holds its records.
//! * `state` claims deployments and decides on orders.

pub mod claims;
pub mod record;
pub mod settings;
pub mod state;
pub(crate) mod task;

pub use record::Record;
pub use settings::Settings;
pub use state::State;
