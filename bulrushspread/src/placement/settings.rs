//! Settings of the placement slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How models are placed on engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds for which a claim or its renewal allows orders to engines that ignore fencing.
    pub lease_ms: u64,
    /// Milliseconds that a successor waits beyond the lease of its predecessor.
    pub margin_ms: u64,
    /// Milliseconds after which an order is given again whose effect no report shows.
    pub repeat_ms: u64,
    /// Milliseconds between the end of the wish for a model and its unloading.
    pub drain_ms: u64,
    /// Milliseconds between two loads that this node orders, in keeping with its share of the
    /// weight store's rate.
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
