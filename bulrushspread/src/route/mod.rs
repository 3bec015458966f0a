//! Choice of the upstream that serves a request.
//!
//! * `state` decides from own requests in flight, load reports and prefixes.
//! * `replica` estimates the cost of one replica.
//! * `health` ejects replicas that fail and probes them again.
//! * `group` keeps the shared order of the replicas of a deployment or plain service.

mod group;
pub mod handle;
mod health;
pub mod message;
mod replica;
pub mod settings;
pub mod state;
pub(crate) mod task;

pub use handle::{Handle, Lease};
pub use message::Load;
pub use settings::Settings;
pub use state::{Isolation, Pick, Refusal, State, Want};
