//! Limits per workspace and the fair queue in front of online requests.
//!
//! * `state` decides whether a request is admitted, waits or is refused.
//! * `account` keeps this node's share of one workspace's limits.
//! * `queue` orders waiting requests fairly across workspaces.
//! * `share` divides a workspace's limits among the nodes by demand.

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
