//! Batch jobs: accepted once, run beside online requests, their results kept in the log.
//!
//! * `ledger` holds the jobs of one partition and decides what may run; it does no I/O.
//! * `record` is what the log keeps.
//! * `schedule` decides which items start and which make room; it does no I/O.
//! * `order` tells which items run first over all owners.
//! * `owner` writes one partition: the group deals partitions, an epoch fences the writer.
//! * `run` runs one item at an upstream.
//! * `quota` counts the tokens that wait over all partitions; `coordinator` asks for room.
//! * `budget` limits reads of partitions that a node doesn't own.
//! * `directory` tells who owns which partition.
//! * `group` joins the group and starts and ends the owners.

pub mod budget;
mod coordinator;
mod directory;
mod group;
pub mod ledger;
pub mod order;
mod owner;
pub mod quota;
pub mod record;
mod run;
pub mod schedule;
mod settings;

pub use coordinator::PATH as RESERVE_PATH;
pub use directory::{Place, partition};
pub use group::{Group, TOPIC};
pub use owner::{Accepted, Handle, Page, Unavailable};
pub use settings::Settings;
