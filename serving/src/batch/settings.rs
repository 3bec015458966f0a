//! Settings of batch jobs.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How batch jobs are stored, assigned to nodes and run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Number of partitions of the topic of jobs.
    pub partitions: u16,
    /// Maximum bytes of a chunk of a job's head.
    pub record_bytes: usize,
    /// Maximum bytes of one append. A larger write is appended by itself.
    pub append_bytes: usize,
    /// Milliseconds without a renewal after which the partitions of a node are assigned to others.
    pub membership_ms: u64,
    /// Milliseconds between two renewals of the group membership.
    pub renewal_ms: u64,
    /// Milliseconds after the last confirmation of its ownership for which an owner may answer
    /// that there is no such job or result. Must be less than the time in which a result has to be
    /// readable at all nodes.
    pub proof_ms: u64,
    /// Part of a quota by which it may be exceeded while its coordinator can't decide: owners then
    /// accept jobs by themselves, each up to its even share of this part.
    pub quota_over: f64,
    /// Milliseconds without a message from any other node after which a node releases its
    /// partitions if the group has other members, because they can't reach it. Must be more than
    /// `membership_ms`, after which the group no longer lists members that stopped.
    pub isolation_ms: u64,
    /// Milliseconds between two scheduling rounds of an owner.
    pub schedule_ms: u64,
    /// Milliseconds after which a failed item is retried.
    pub retry_ms: u64,
    /// Timeout of a run in milliseconds.
    pub run_ms: u64,
    /// Milliseconds without a new event from the upstream after which a run is interrupted.
    pub silence_ms: u64,
    /// Number of events after which the progress of a run is saved, for a later owner to resume.
    pub save_events: u64,
    /// Retention of results in milliseconds after submission.
    pub keep_ms: u64,
    /// Bytes of the items and results of all jobs that a node holds, above which its owners accept no more
    /// jobs.
    pub memory_bytes: usize,
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
            quota_over: 0.1,
            isolation_ms: 2_500,
            schedule_ms: 40,
            retry_ms: 200,
            run_ms: 60_000,
            silence_ms: 1_500,
            save_events: 40,
            keep_ms: 150_000,
            memory_bytes: 64 << 20,
        }
    }
}
