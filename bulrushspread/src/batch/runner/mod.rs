//! The batch runner of a replica: the only node that puts batch work there.

mod ending;
pub(crate) mod execute;
pub(crate) mod fleet;
pub mod handle;
pub mod message;
pub mod replica;
pub(crate) mod request;
pub mod run;
mod schedule;
pub mod settings;
pub mod state;
pub(crate) mod supply;
pub(crate) mod task;

pub use handle::Handle;
pub use settings::Settings;
pub use state::State;
