//! The node's own path to the upstreams, as distinct from their health.
//!
//! A failed connection says that a path is broken, not whose end of it. After such a failure the node
//! tries other upstreams: if it reaches none, its own path is down, and requests go through other
//! nodes ([`crate::forward`]).

mod state;
mod task;

pub use state::{Change, Health, Sign, State};
pub(crate) use task::{Verdict, check_path, examine, settled_health};
