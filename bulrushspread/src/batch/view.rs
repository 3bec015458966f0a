//! Files and batch jobs as callers see them, in the shape of the OpenAI API.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An uploaded file or a file of results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct FileView {
    pub id: String,
    /// Always `file`.
    pub object: String,
    pub bytes: u64,
    /// Seconds since the Unix epoch.
    pub created_at: u64,
    pub filename: String,
    /// `batch` or `batch_output`.
    pub purpose: String,
}

/// A request for a batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Create {
    pub input_file_id: String,
    /// The path of every item, such as `/v1/chat/completions`.
    pub endpoint: String,
    /// Time until the job is due, such as `24h`, `90m` or `30s`.
    pub completion_window: String,
    /// False where no item may run twice.
    #[serde(default = "yes")]
    pub idempotent: bool,
    #[serde(default)]
    pub metadata: BTreeMap<String, String>,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct JobView {
    pub id: String,
    /// Always `batch`.
    pub object: String,
    pub endpoint: String,
    pub input_file_id: String,
    pub completion_window: String,
    pub status: Status,
    /// The file of answered items, once the job has ended.
    pub output_file_id: Option<String>,
    /// The file of items that failed for good, once the job has ended.
    pub error_file_id: Option<String>,
    /// Seconds since the Unix epoch.
    pub created_at: u64,
    pub expires_at: u64,
    pub request_counts: Counts,
    pub metadata: BTreeMap<String, String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    InProgress,
    Cancelling,
    Completed,
    Cancelled,
}

/// Items by how they ended. `total` is the sum of the others and of those still to come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Counts {
    pub total: u64,
    pub completed: u64,
    pub failed: u64,
    pub cancelled: u64,
}

fn yes() -> bool {
    true
}
