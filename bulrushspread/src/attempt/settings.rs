//! Settings of retries, quarantine and at-most-once calls.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How requests are retried, failed and refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Maximum number of times that one request is sent to upstreams.
    pub attempts: u32,
    /// Retries that a node may make per request, on average.
    pub retry_share: f64,
    /// Retries that a node may make in a burst when its retry budget is full.
    pub retry_burst: u32,
    /// Maximum random back-off before the first retry in milliseconds; doubles with each retry.
    pub backoff_ms: u64,
    /// Upper limit of the doubled back-off in milliseconds.
    pub backoff_max_ms: u64,
    /// Milliseconds without an event after which a stream is considered broken.
    pub stall_ms: u64,
    /// Milliseconds for which a request that crashes upstreams is refused.
    pub quarantine_ms: u64,
    /// Number of streams over which the intents of at-most-once calls are distributed.
    pub intent_streams: u16,
    /// Maximum size in bytes of a response that is stored for callers who repeat the call.
    pub answer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            attempts: 4,
            retry_share: 0.2,
            retry_burst: 100,
            backoff_ms: 25,
            backoff_max_ms: 1_000,
            stall_ms: 15_000,
            quarantine_ms: 600_000,
            intent_streams: 4,
            answer_bytes: 256 << 10,
        }
    }
}
