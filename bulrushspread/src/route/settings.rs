//! Settings of the choice of upstreams.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How upstreams are chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds between two polls of a replica's load.
    pub poll_ms: u64,
    /// Milliseconds after which the weight of a load report has decayed to 1/e.
    pub report_decay_ms: u64,
    /// Share of a replica's slots that online work fills before the next replica is used.
    pub fill: f64,
    /// Cost of a replica in another data centre, as a share of a replica's slots.
    pub data_centre_cost: f64,
    /// Cost saved by a cached prompt prefix, as a share of a replica's slots.
    pub prefix_worth: f64,
    /// Share by which the load of a prefix's replica may exceed an even distribution.
    pub prefix_slack: f64,
    /// Milliseconds over which a new replica ramps up to its full share.
    pub slow_start_ms: u64,
    /// Consecutive failures after which a replica is ejected.
    pub eject_failures: u32,
    /// Milliseconds of the first ejection; doubles with each one until a request succeeds.
    pub eject_ms: u64,
    /// Maximum milliseconds of an ejection.
    pub eject_max_ms: u64,
    /// Bytes per second that a node may spend on gossiping load reports.
    pub gossip_bytes_per_s: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            poll_ms: 500,
            report_decay_ms: 1_500,
            fill: 0.75,
            data_centre_cost: 0.15,
            prefix_worth: 0.25,
            prefix_slack: 0.25,
            slow_start_ms: 10_000,
            eject_failures: 3,
            eject_ms: 1_000,
            eject_max_ms: 30_000,
            gossip_bytes_per_s: 1_500,
        }
    }
}
