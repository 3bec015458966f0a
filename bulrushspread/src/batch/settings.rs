//! Settings of batch jobs.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::runner;

/// How batch jobs are kept and run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Number of partitions. All nodes of an environment must agree, and it must not change.
    #[serde(rename = "lanes")]
    pub partitions: u16,
    /// Items that one job may have.
    pub items_per_job: u32,
    /// Bytes that one line of an input file may have.
    pub line_bytes: usize,
    /// Bytes of an uploaded file per record.
    pub chunk_bytes: usize,
    /// Runs of an item that may fail before the item fails for good.
    pub attempt_limit: u32,
    /// Runners that may be lost with an item before the item fails for good.
    pub loss_limit: u32,
    /// Time limit of one run of an item in milliseconds.
    pub run_timeout_ms: u64,
    /// Milliseconds before an item that failed is retried; doubles with each failure.
    pub retry_delay_ms: u64,
    /// Milliseconds for which a new owner lets runners report the items they hold before it grants.
    pub adopt_ms: u64,
    /// Milliseconds before an item that its runner does not report is granted anew.
    pub hold_grace_ms: u64,
    /// Milliseconds that a live owner may keep a partition that another node should own.
    pub handover_ms: u64,
    /// Milliseconds for which an owner must be absent before another node claims its partition.
    pub takeover_ms: u64,
    /// Milliseconds after which an owner renews its claim. Less than half of the log's retention.
    pub renew_ms: u64,
    /// Milliseconds for which an owner that can't read its partition goes on granting items.
    pub outage_grant_ms: u64,
    /// Bytes of results that may wait for the log. Beyond it no items are granted.
    pub outcome_bytes: usize,
    /// Bytes of input files that an owner keeps in memory.
    pub cache_bytes: usize,
    /// Milliseconds for which a finished job stays readable.
    pub retention_ms: u64,
    /// How batch work shares replicas with online work.
    pub runner: runner::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            partitions: 16,
            items_per_job: 290_000,
            line_bytes: 256 << 10,
            chunk_bytes: 256 << 10,
            attempt_limit: 3,
            loss_limit: 20,
            run_timeout_ms: 900_000,
            retry_delay_ms: 500,
            adopt_ms: 1_500,
            hold_grace_ms: 5_000,
            handover_ms: 5_000,
            takeover_ms: 1_500,
            renew_ms: 21_600_000,
            outage_grant_ms: 30_000,
            outcome_bytes: 8 << 20,
            cache_bytes: 8 << 20,
            retention_ms: 28_800_000,
            runner: runner::Settings::default(),
        }
    }
}
