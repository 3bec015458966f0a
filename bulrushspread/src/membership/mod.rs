//! Cluster membership by gossip (SWIM): live nodes, leaving nodes and known upstreams.
//!
//! * `state` is the state machine; `detection` is its part that probes other nodes.
//! * `members`, `upstreams`, `gossip` and `probes` are the parts of its state.
//! * `overlay` selects the few neighbours that a node keeps connections to.
//! * `view` is the read-only result for the other modules of the node.

mod detection;
mod gossip;
mod members;
pub mod message;
pub mod overlay;
mod probes;
pub mod settings;
pub mod state;
pub(crate) mod task;
mod upstreams;
pub mod view;

pub use settings::Settings;
pub use state::State;
pub use view::{Handle, View};
