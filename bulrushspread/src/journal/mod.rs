//! The platform's append-only log as the slices see it: ordered, deduplicated records.
//!
//! * [`Store`] is the trait at the edge; `http` holds the one implementation.
//! * [`record`] holds the framing of records inside an append.
//! * [`state`] decides what to append, when, and what a lost answer means.
//! * [`seen`] removes the copies that a repeated append leaves in a stream.

pub mod appender;
pub mod budget;
pub(crate) mod follower;
pub mod handle;
pub mod http;
pub mod record;
pub mod seen;
pub mod settings;
pub mod state;
pub mod store;
pub(crate) mod task;

pub use handle::{Followed, Handle};
pub use record::{Entry, Id, Record};
pub use settings::Settings;
pub use store::{Page, Store};
