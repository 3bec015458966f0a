//! Gossip between nodes over UDP: in-flight requests, owned partitions and requests that crash
//! upstreams.
//!
//! Each datagram carries the complete state of its sender, so the next one makes up for a lost one.
//! In a large fleet a node sends each message to only some of its peers; see
//! [`State::start_round`].

mod message;
mod settings;
mod state;
mod task;

pub use message::{Message, Result};
pub use settings::Settings;
pub use state::{Round, State};
pub use task::{Gossip, run};
