//! Settings of load balancing.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How upstreams are chosen and when requests are refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Penalty on upstreams in another data centre, in requests in flight, while the delay to them
    /// is unknown or this data centre is short of slots: one of them is chosen only if its load is
    /// lower by more than this.
    pub data_centre_bias: f64,
    /// Milliseconds of waiting that a request accepts rather than send its bytes between data
    /// centres. From 40 on, a request also stays as long as there is a free slot in its own one; at 0
    /// bytes are free. At 20 the emulator sent out 16% less of the online traffic of a calm day than
    /// with the bias alone, at 8 it was 11%, but at 20 more requests were late.
    pub data_centre_byte_cost_ms: f64,
    /// Penalty on upstreams outside this node's favourites, in requests in flight. For a large
    /// service each node favours a small subset of upstreams, so that it reuses its connections.
    pub favour_bias: f64,
    /// Maximum number of online requests queued at an upstream beyond its slots, even if requests
    /// are so short that more would be served in time.
    pub queue_per_upstream: u32,
    /// Maximum number of online requests queued at an upstream while the duration of requests is
    /// unknown.
    pub queue_unknown: u32,
    /// Share of its latency objective that an online request may be expected to wait in the queue
    /// of an upstream. The rest is for network latency and the time to the first event.
    pub wait_share: f64,
    /// Milliseconds until a batch item frees its slot for an online request: gossip of the load,
    /// the next check for excess batch requests and the end of the item's run.
    pub pause_ms: f64,
    /// Share of a service's slots that is reserved for online requests.
    pub online_reserve: f64,
    /// Milliseconds for which an upstream counts as full after it refused a request for lack of
    /// capacity.
    pub full_ms: u64,
    /// Milliseconds of the first ejection after a failure; doubles with each consecutive failure.
    pub eject_ms: u64,
    /// Maximum duration of an ejection in milliseconds.
    pub eject_max_ms: u64,
    /// Milliseconds of the ejection after another upstream answered at the address: the time in which
    /// the registry removes the entry, unless it is unavailable.
    pub misdirected_ms: u64,
    /// Number of other nodes whose ejections make this node treat an upstream as ejected too.
    pub eject_witnesses: usize,
    /// Milliseconds after which the last load update of another node expires.
    pub load_expiry_ms: u64,
    /// Minimum delay in milliseconds before a refused caller may retry.
    pub retry_after_ms: u64,
    /// Maximum random addition to that delay in milliseconds, which spreads the retries.
    pub retry_spread_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            data_centre_bias: 2.0,
            data_centre_byte_cost_ms: 8.0,
            favour_bias: 1.0,
            queue_per_upstream: 12,
            queue_unknown: 2,
            wait_share: 0.3,
            pause_ms: 60.0,
            online_reserve: 0.08,
            full_ms: 60,
            eject_ms: 250,
            eject_max_ms: 3_000,
            misdirected_ms: 10_000,
            eject_witnesses: 2,
            load_expiry_ms: 1_000,
            retry_after_ms: 200,
            retry_spread_ms: 800,
        }
    }
}
