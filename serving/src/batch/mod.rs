//! Batch jobs: accepted once, run beside online requests, their results kept in the log.
//!
//! * `ledger` holds the jobs of one partition and decides what may run; it does no I/O.
//! * `record` is what the log keeps.
//! * `owner` writes one partition: the group deals partitions, an epoch fences the writer.
//! * `run` runs one item at an upstream.
//! * `group` joins the group and starts and ends the owners.

mod group;
pub mod ledger;
mod owner;
pub mod record;
mod run;
mod settings;

pub use group::{Group, Place, TOPIC, partition};
pub use owner::{Accepted, Handle, Page, Unavailable};
pub use settings::Settings;
