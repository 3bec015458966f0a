//! Settings of the balance slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How upstreams are chosen and when requests are refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Requests in flight that an upstream of another data centre must be ahead by.
    pub data_centre_bias: f64,
    /// Requests in flight that an upstream must be ahead by which this node doesn't favour. Nodes
    /// before a large service favour a few upstreams each, to which they keep connections.
    pub favour_bias: f64,
    /// Online requests that may wait at an upstream beyond its slots, however short they are.
    pub queue_per_upstream: u32,
    /// The same while it isn't known how long requests take there.
    pub queue_unknown: u32,
    /// Share of its latency objective that an online request may be expected to wait at an
    /// upstream; the rest is left for the links and the first event.
    pub wait_share: f64,
    /// Milliseconds that a batch item takes to make room: news of the load, a look, the end of its
    /// run.
    pub pause_ms: f64,
    /// Share of a service's slots that batch items leave free for online requests.
    pub online_reserve: f64,
    /// Milliseconds for which an upstream that refused a request counts as full.
    pub full_ms: u64,
    /// Milliseconds of the first ejection of an upstream that failed; doubles with each further one.
    pub eject_ms: u64,
    /// Milliseconds that an ejection lasts at most.
    pub eject_max_ms: u64,
    /// Other nodes that must have ejected an upstream for this one to leave it alone as well.
    pub eject_witnesses: usize,
    /// Milliseconds after which the load that another node told of no longer counts.
    pub load_expiry_ms: u64,
    /// Milliseconds after which refused callers come back at the earliest.
    pub retry_after_ms: u64,
    /// Milliseconds over which the return of refused callers is spread.
    pub retry_spread_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            data_centre_bias: 2.0,
            favour_bias: 1.0,
            queue_per_upstream: 12,
            queue_unknown: 2,
            wait_share: 0.3,
            pause_ms: 60.0,
            online_reserve: 0.08,
            full_ms: 60,
            eject_ms: 250,
            eject_max_ms: 3_000,
            eject_witnesses: 2,
            load_expiry_ms: 1_000,
            retry_after_ms: 200,
            retry_spread_ms: 800,
        }
    }
}
