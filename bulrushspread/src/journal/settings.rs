//! Settings of the journal.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How the node uses the log service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Appends a second that all nodes together may send to the log service.
    pub appends_per_s: u32,
    /// Milliseconds after which an append that has not been read back is given up.
    pub append_timeout_ms: u64,
    /// Bytes that one append may carry.
    pub append_bytes: usize,
    /// Bytes of records that may wait for the log.
    pub buffer_bytes: usize,
    /// Milliseconds that a follower waits in one read.
    pub follow_wait_ms: u64,
    /// Milliseconds for which the log service keeps a record.
    pub retention_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            appends_per_s: 300,
            append_timeout_ms: 3_000,
            append_bytes: 512 << 10,
            buffer_bytes: 16 << 20,
            follow_wait_ms: 10_000,
            retention_ms: 86_400_000,
        }
    }
}
