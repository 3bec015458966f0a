//! Runs batch items on replicas. Each replica has one runner at a time: the only node that sends
//! batch work there.

pub(crate) mod client;
pub(crate) mod execute;
pub(crate) mod fleet;
pub mod handle;
pub mod message;
mod outcome;
pub mod replica;
pub(crate) mod request;
pub mod run;
mod schedule;
pub mod settings;
pub mod state;
pub(crate) mod task;

pub use handle::Handle;
pub use settings::Settings;
pub use state::State;
