//! Settings of admission.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How online requests are queued and how limits are shared among the nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Maximum number of requests that wait for one deployment or service at this node.
    pub queue: usize,
    /// Concurrent requests that this node sends, as a multiple of its even share of the slots.
    pub overcommit: f64,
    /// Milliseconds between two reports of demand to the node that allocates a limit.
    pub share_ms: u64,
    /// Milliseconds after which a share that is not renewed is replaced by an even share.
    pub share_expiry_ms: u64,
    /// Burst that a workspace may use at once, in milliseconds of its limit.
    pub burst_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            queue: 1_000,
            overcommit: 2.0,
            share_ms: 500,
            share_expiry_ms: 2_500,
            burst_ms: 1_000,
        }
    }
}
