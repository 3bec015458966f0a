//! Admission of online requests: limits per workspace and a fair queue per deployment or service.
//!
//! * `state` decides whether a request is admitted, waits or is refused.
//! * `account` enforces this node's share of one workspace's limits.
//! * `queue` orders waiting requests by fair queueing across workspaces.
//! * `share` allocates a workspace's limits to the nodes by demand.

pub mod account;
pub mod handle;
pub mod message;
pub mod queue;
pub mod settings;
pub mod share;
pub mod state;
pub(crate) mod task;

pub use handle::Handle;
pub use settings::Settings;
pub use state::State;
