//! The owner of a partition: schedules the partition's jobs and grants items to runners.

pub(crate) mod actor;
mod claim;
pub(crate) mod command;
pub mod handle;
pub(crate) mod operation;
mod outbox;
pub mod state;
pub(crate) mod task;

pub use handle::Handle;
pub use state::{Action, Event, State};
