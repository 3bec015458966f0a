//! Which VMs of the system are alive, which are leaving, and which upstreams there are.
//!
//! * `state` decides; `exchange` is its part that probes others.
//! * `members`, `upstreams`, `news` and `probing` are what it holds.
//! * `links` are the few nodes that a node keeps talking to.
//! * `view` is what the other slices see.

mod exchange;
pub mod links;
mod members;
pub mod message;
mod news;
mod probing;
pub mod settings;
pub mod state;
pub(crate) mod task;
mod upstreams;
pub mod view;

pub use settings::Settings;
pub use state::State;
pub use view::{Handle, View};
