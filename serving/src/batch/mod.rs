//! Batch jobs: each is accepted exactly once, its items run in capacity that online requests leave
//! free, and its results are stored in the log.
//!
//! * `ledger` holds the jobs of one partition and decides which items may run; it does no I/O.
//! * `record` defines and encodes the log records of jobs.
//! * `schedule` decides which items start and which are paused; it does no I/O.
//! * `order` orders the items of all owners by urgency.
//! * `owner` runs the jobs of one partition and is its only writer; an epoch fences earlier owners.
//! * `run` runs one item at an upstream.
//! * `quota` counts the waiting tokens of all partitions and grants reservations; `coordinator`
//!   requests them.
//! * `memory` bounds the memory that the jobs of a node take up.
//! * `budget` limits reads of partitions that a node doesn't own.
//! * `directory` maps partitions to their owners.
//! * `group` joins the consumer group, which assigns partitions, and starts and stops owners.

pub mod budget;
mod coordinator;
mod directory;
mod group;
pub mod ledger;
pub mod memory;
pub mod order;
mod owner;
pub mod quota;
pub mod record;
mod run;
pub mod schedule;
mod settings;

pub use coordinator::PATH as RESERVE_PATH;
pub use directory::{Location, partition_for};
pub use group::{Group, TOPIC};
pub use owner::{Admission, Handle, Page, Unavailable};
pub use settings::Settings;
