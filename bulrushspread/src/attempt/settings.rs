//! Settings of the attempt slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How requests are sent again, given up on and refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Times that one request is sent to upstreams at most.
    pub attempts: u32,
    /// Retries that a node may make for each request, on average.
    pub retry_share: f64,
    /// Retries that a node may make at once after a quiet time.
    pub retry_burst: u32,
    /// Milliseconds within which the first retry is drawn at random. Doubles with each retry.
    pub backoff_ms: u64,
    /// Milliseconds within which a retry is drawn at most.
    pub backoff_max_ms: u64,
    /// Milliseconds without an event after which a stream counts as broken.
    pub stall_ms: u64,
    /// Milliseconds for which a request that crashes upstreams stays refused.
    pub quarantine_ms: u64,
    /// Streams over which the intents of at-most-once calls are spread.
    pub intent_streams: u16,
    /// Bytes of an answer that are kept for callers who send the same call again.
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
