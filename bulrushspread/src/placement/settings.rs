//! Settings of model placement.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How models are placed on engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds for which a claim or renewal permits orders to engines that don't check
    /// fencing tokens.
    pub lease_ms: u64,
    /// Milliseconds that a new owner waits beyond the lease of its predecessor.
    pub margin_ms: u64,
    /// Milliseconds after which an order is repeated if no engine report shows its effect.
    pub repeat_ms: u64,
    /// Milliseconds between a model's removal from the declared models and its unloading.
    pub drain_ms: u64,
    /// Milliseconds between two loads that this node orders, which keeps it within its share of
    /// the weight store's rate limit.
    pub load_interval_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease_ms: 10_000,
            margin_ms: 2_000,
            repeat_ms: 15_000,
            drain_ms: 30_000,
            load_interval_ms: 2_000,
        }
    }
}
