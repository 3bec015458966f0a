//! Settings of the batch slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How batch jobs are kept and run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Partitions of the jobs' topic.
    pub partitions: u16,
    /// Bytes of a record's value at most.
    pub record_bytes: usize,
    /// Bytes of one append at most.
    pub append_bytes: usize,
    /// Milliseconds after which a silent owner's partitions are dealt to others.
    pub membership_ms: u64,
    /// Milliseconds between two renewals of the membership.
    pub renewal_ms: u64,
    /// Milliseconds after its last proof of ownership for which an owner says that there is no
    /// such job or result. Below the time in which a result must be found at all nodes.
    pub proof_ms: u64,
    /// Milliseconds without a word from any other node after which a node gives its partitions
    /// back, if the group has other members: they can't reach it. Above `membership_ms`, after
    /// which members that ended are no longer named.
    pub isolation_ms: u64,
    /// Milliseconds between two looks at what may run.
    pub schedule_ms: u64,
    /// Milliseconds after which an item that failed is tried again.
    pub retry_ms: u64,
    /// Milliseconds that an upstream may take for an item.
    pub run_ms: u64,
    /// Milliseconds without an event after which a run counts as broken.
    pub silence_ms: u64,
    /// Events after which a run's progress is saved, so that a later owner goes on from there.
    pub save_events: u64,
    /// Milliseconds after submission for which results are kept.
    pub keep_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            partitions: 12,
            record_bytes: 256 << 10,
            append_bytes: 2 << 20,
            membership_ms: 2_000,
            renewal_ms: 250,
            proof_ms: 700,
            isolation_ms: 2_500,
            schedule_ms: 40,
            retry_ms: 200,
            run_ms: 60_000,
            silence_ms: 1_500,
            save_events: 40,
            keep_ms: 150_000,
        }
    }
}
