//! Proxies one online request to an upstream and returns the answer, with retries.
//!
//! * `state` decides after each failure whether the request is sent again, resumed or ended.
//! * `changes` logs what the node comes to believe of parts of prompts and of rate limits.
//! * `driver` executes these decisions: it sends the request and waits for answers.
//! * `events` splits a stream of bytes into server-sent events.
//! * `origin` selects the software that may go on with a stream, and records what begins one.
//! * `process` checks that the upstream that goes on is the process that the registry names.
//! * `task` starts the driver of a request, and `relay` forwards the events of a stream to the
//!   caller.
//! * `trace` writes one log line for each request.

mod changes;
mod driver;
pub mod events;
mod origin;
pub(crate) mod process;
mod relay;
pub mod state;
mod task;
mod trace;

pub use relay::{Events, Truncated};
pub(crate) use task::Permit;
pub use task::{Answer, Context, RoutedRequest, run};
