//! Settings of the route slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How upstreams are chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds between two load reports asked of a replica.
    pub poll_ms: u64,
    /// Milliseconds after which a load report has lost most of its weight.
    pub report_decay_ms: u64,
    /// Share of a replica's slots that online work fills before the next replica is used.
    pub fill: f64,
    /// Cost of another data centre, as a share of a replica's slots.
    pub data_centre_cost: f64,
    /// Cost that a cached prefix saves, as a share of a replica's slots.
    pub prefix_worth: f64,
    /// Load by which the replica of a prefix may exceed the even load, as a share of it.
    pub prefix_slack: f64,
    /// Milliseconds over which a new replica takes up its full share.
    pub slow_start_ms: u64,
    /// Failures in a row that eject a replica.
    pub eject_failures: u32,
    /// Milliseconds of the first ejection. Doubles with each further one.
    pub eject_ms: u64,
    /// Milliseconds that an ejection lasts at most.
    pub eject_max_ms: u64,
    /// Bytes a second that a node spends on passing load reports on.
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
