//! Representation of files and batch jobs in the OpenAI API.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An uploaded file or a results file.
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
    /// The request path of all items, such as `/v1/chat/completions`.
    pub endpoint: String,
    /// Time until the job is due, such as `24h`, `90m` or `30s`.
    pub completion_window: String,
    /// Whether items may run more than once, for example after a crash.
    #[serde(default = "default_idempotent")]
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
    /// The file of completed items, once the job has ended and there are any.
    pub output_file_id: Option<String>,
    /// The file of failed items, once the job has ended and there are any.
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

/// Number of items by how they ended. `total` also includes items that have not ended yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Counts {
    pub total: u64,
    pub completed: u64,
    pub failed: u64,
    pub cancelled: u64,
}

fn default_idempotent() -> bool {
    true
}
