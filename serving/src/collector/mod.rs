//! Loads of all nodes, collected and passed on within a large fleet.
//!
//! In a large fleet gossip brings a node the loads of only a few others. So each node sends its own
//! loads to the collectors of its data centre, a few nodes that all select in the same way without
//! an election. Collectors send each other the sum of their data centre, and their members the sum of
//! the fleet. Every datagram is complete, so the next one makes up for a lost one. A node that gets
//! no sum decides by what gossip brings it.

mod message;
mod state;
mod task;

pub use message::{DataCentreDigest, Datagram, Envelope, Result, Sum, Version};
pub use state::{Collector, Member, interval_after};
pub use task::{Tasks, run};
