//! Settings of the admit slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How requests are admitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Requests that may wait in front of one deployment or service at this node.
    pub queue: usize,
    /// Requests that this node sends at once, relative to its even share of the slots.
    pub overcommit: f64,
    /// Milliseconds between two reports of demand to the node that divides a limit.
    pub share_ms: u64,
    /// Milliseconds after which a share that was not renewed falls back to the even one.
    pub share_expiry_ms: u64,
    /// Milliseconds of a limit that a workspace may use at once.
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
