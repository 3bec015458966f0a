//! Access to the platform's append-only log: ordered and deduplicated records.
//!
//! * [`Store`] is the interface to the log service; `http` implements it.
//! * [`record`] frames the records inside an append.
//! * [`state`] decides what to append, when, and how to resolve an append without a response.
//! * [`dedup`] drops the duplicates that a retried append leaves in a stream.

pub mod appender;
pub mod budget;
pub mod dedup;
pub(crate) mod follower;
pub mod handle;
pub mod http;
pub mod record;
pub mod settings;
pub mod state;
pub mod store;
pub(crate) mod task;

pub use handle::{FollowEvent, Handle};
pub use record::{Entry, Id, Record};
pub use settings::Settings;
pub use store::{Page, Store};
