//! Carries one request of a caller to an upstream and its answer back.
//!
//! * `state` decides after each event whether the request is sent again, resumed or ended.
//! * `events` cuts a stream into whole events.
//! * `task` carries the decisions out; `relay` passes the events of a stream on.

pub mod events;
mod relay;
pub mod state;
mod task;
mod trace;

pub use relay::Broken;
pub(crate) use task::Lease;
pub use task::{Answer, Context, Job, run};
