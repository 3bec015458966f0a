//! Settings of the peers slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How often nodes tell each other what they know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds between two messages while the requests in flight change.
    pub change_ms: u64,
    /// Further milliseconds between two messages for each peer, so that the cost stays bounded.
    pub change_per_peer_ms: u64,
    /// Milliseconds between two messages while nothing changes.
    pub heartbeat_ms: u64,
    /// Milliseconds of silence after which a peer is forgotten.
    pub expiry_ms: u64,
    /// Addresses of other peers named in one message.
    pub introductions: usize,
    /// Peers up to which each message goes to all of them. In larger fleets it goes to owners of
    /// partitions and to a few others, so that the cost grows with the logarithm of the fleet.
    pub mesh: usize,
    /// Milliseconds between two messages in larger fleets, whether anything changes or not. Below
    /// half of the time after which loads expire.
    pub large_ms: u64,
    /// Milliseconds between two messages of an owner of partitions to all peers of a large fleet.
    pub announce_ms: u64,
    /// Addresses of other peers named in a message to all peers of a large fleet: a dozen owners
    /// name each of some hundred peers about twice before it would be forgotten.
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
