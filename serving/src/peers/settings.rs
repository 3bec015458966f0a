//! Settings of the gossip between nodes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Intervals and fan-out of the gossip between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds between two messages while the in-flight requests change.
    pub change_ms: u64,
    /// Milliseconds added to `change_ms` for each known peer, which bounds the cost of gossip as the
    /// fleet grows.
    pub change_per_peer_ms: u64,
    /// Milliseconds between two messages while nothing changes.
    pub heartbeat_ms: u64,
    /// Milliseconds without a message after which a peer is removed.
    pub expiry_ms: u64,
    /// Number of peer addresses in one message.
    pub introductions: usize,
    /// Number of peers up to which each message is sent to all of them. In larger fleets a message
    /// is sent to the owners of partitions and a few other peers, so that the number of recipients
    /// grows with the logarithm of the fleet size.
    pub mesh: usize,
    /// Milliseconds between two messages in larger fleets, whether or not anything has changed. Less
    /// than half of the time after which loads expire, so that a single lost message expires none.
    pub large_ms: u64,
    /// Milliseconds between two messages that an owner of partitions sends to all peers of a large
    /// fleet.
    pub announce_ms: u64,
    /// Number of peer addresses in a message to all peers of a large fleet. With this many, a dozen
    /// owners name each of some hundred peers about twice within `expiry_ms`.
    pub announced: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            change_ms: 10,
            change_per_peer_ms: 2,
            heartbeat_ms: 250,
            expiry_ms: 3_000,
            introductions: 4,
            mesh: 80,
            large_ms: 450,
            announce_ms: 1_000,
            announced: 64,
        }
    }
}
