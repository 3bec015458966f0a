//! Chooses the upstream that serves a request.
//!
//! * `state` decides from this node's requests in flight, load reports and prompt prefixes.
//! * `replica` estimates the cost of sending a request to one replica.
//! * `health` ejects replicas that fail and probes them afterwards.
//! * `group` keeps the replicas of a deployment or plain service in an order shared by all nodes.

mod group;
pub mod handle;
mod health;
pub mod message;
mod replica;
pub mod settings;
pub mod state;
pub(crate) mod task;

pub use handle::{Guard, Handle};
pub use message::Load;
pub use settings::Settings;
pub use state::{Criteria, Isolation, Pick, Refusal, State};
