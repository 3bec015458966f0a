//! Settings of cluster membership.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Failure detection between nodes. All times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Time between two reads of the VM list.
    pub list_ms: u64,
    /// Time between two probes that a node sends.
    pub probe_ms: u64,
    /// Time after which an unacknowledged probe is repeated through other nodes.
    pub timeout_ms: u64,
    /// Longest time between the first suspicion of a node and its removal.
    pub suspicion_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { list_ms: 500, probe_ms: 400, timeout_ms: 400, suspicion_ms: 3_000 }
    }
}
