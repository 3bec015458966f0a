//! Records that batch processing writes to the log.
//!
//! * `jobs`: [`JobsRecord`], a small stream that every node reads.
//! * `lane-N`: [`PartitionRecord`], the stream of partition N, read by its owner.
//! * `files-N`: [`FilesRecord`], the input files of partition N, read by offset only.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    id::{Environment, Epoch, File, Item, Job, Model, Offset, Partition, Stream, Workspace},
    journal::record::{Position, Writer},
    rendezvous,
    time::Millis,
};

use super::view::Counts;

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// Version of the encoding, stored in the first byte of each record.
const VERSION: u8 = 1;

/// A record of the `jobs` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsRecord {
    FileCreated(FileCreated),
    JobCreated(JobCreated),
    /// A caller cancelled the job. Results count up to the position of
    /// [`PartitionRecord::Cancel`] in the partition's stream.
    JobCancelled {
        job: Job,
    },
    JobFinished(JobFinished),
    /// A copy of a record, appended before the original expires from the log.
    Carried {
        /// Position of the original record.
        position: Position,
        /// Wall-clock time of the copy.
        at: Millis,
        record: Box<JobsRecord>,
    },
    /// Jobs and files whose retention has ended.
    Expired {
        jobs: Vec<Job>,
        files: Vec<File>,
    },
}

/// An input file has been stored completely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileCreated {
    pub file: File,
    pub workspace: Workspace,
    pub filename: String,
    pub bytes: u64,
    pub items: u32,
    /// Wall clock.
    pub created_at: Millis,
    /// SHA-256 of the content.
    pub digest: String,
    /// The reason why the file is rejected as input of jobs.
    pub fault: Option<String>,
    /// The path that all items call.
    pub url: Option<String>,
    /// The model that all items call, if the path is that of a model API.
    pub model: Option<Model>,
    /// The [`FilesRecord::Index`] of the file in the files stream of its partition.
    pub index: Position,
}

/// A caller created a job. Of several records with one idempotency key the first counts; see
/// [`super::jobs::State`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCreated {
    pub job: Job,
    pub workspace: Workspace,
    /// The caller's `Idempotency-Key`.
    pub key: Option<String>,
    /// SHA-256 of the caller's request, including the content of the file.
    pub digest: String,
    pub file: File,
    pub items: u32,
    pub endpoint: String,
    pub model: Option<Model>,
    pub completion_window: String,
    pub idempotent: bool,
    pub metadata: std::collections::BTreeMap<String, String>,
    /// Wall clock.
    pub created_at: Millis,
    /// Wall clock.
    pub due_at: Millis,
}

/// All items of a job have a result or were cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobFinished {
    pub job: Job,
    pub counts: Counts,
    /// The [`PartitionRecord::Index`] of the job's results.
    pub index: Position,
    /// Wall clock.
    pub finished_at: Millis,
}

/// A record of a partition's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionRecord {
    /// A node claims the partition. Valid if its epoch is higher than those of all earlier claims.
    Claim {
        epoch: Epoch,
        owner: Writer,
    },
    /// The owner releases the partition.
    Release {
        epoch: Epoch,
    },
    /// These items of a non-idempotent job are about to run and must not run again.
    Intent {
        epoch: Epoch,
        job: Job,
        items: Vec<Item>,
    },
    Results {
        epoch: Epoch,
        job: Job,
        results: Vec<ItemResult>,
    },
    /// The job is cancelled: none of its items starts after this record, and later results are
    /// ignored.
    Cancel {
        job: Job,
    },
    /// The offsets of the appends that hold the results of a job.
    Index {
        epoch: Epoch,
        job: Job,
        offsets: Offsets,
    },
}

/// The terminal result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    pub item: Item,
    pub custom_id: String,
    pub outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response of the upstream. `body` is JSON.
    Answered { status: u16, body: String },
    /// The item got no response.
    Failed { code: String, message: String },
}

impl Outcome {
    /// Whether the item counts as completed.
    pub fn is_success(&self) -> bool {
        matches!(self, Outcome::Answered { status: 200..=299, .. })
    }

    /// Approximate size of the outcome in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Outcome::Answered { body, .. } => body.len(),
            Outcome::Failed { code, message } => code.len() + message.len(),
        }
    }
}

/// A record of a files stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FilesRecord {
    /// Whole lines of a file.
    Chunk { file: File, data: Vec<u8> },
    /// The offsets of the chunks of a file and the number of lines in each.
    Index { file: File, offsets: Offsets, lines: Vec<u32> },
}

/// Offsets in ascending order, stored as differences so that most encode in one or two bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offsets {
    deltas: Vec<u64>,
    last: u64,
}

impl Offsets {
    /// Appends an offset. An offset that is not higher than the last one is ignored.
    pub fn push(&mut self, offset: Offset) {
        if self.deltas.is_empty() || offset.0 > self.last {
            self.deltas.push(offset.0 - self.last);
            self.last = offset.0;
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = Offset> + '_ {
        self.deltas.iter().scan(0, |offset, delta| {
            *offset += delta;
            Some(Offset(*offset))
        })
    }

    pub fn len(&self) -> usize {
        self.deltas.len()
    }

    pub fn is_empty(&self) -> bool {
        self.deltas.is_empty()
    }
}

/// The `jobs` stream of an environment.
pub fn jobs_stream(environment: &Environment) -> Stream {
    Stream(format!("{environment}.jobs"))
}

/// The stream of a partition, `lane-N`.
pub fn partition_stream(environment: &Environment, partition: Partition) -> Stream {
    Stream(format!("{environment}.lane-{partition}"))
}

/// The stream of the input files of a partition, `files-N`.
pub fn files_stream(environment: &Environment, partition: Partition) -> Stream {
    Stream(format!("{environment}.files-{partition}"))
}

/// The partition of a file and of all jobs that read it.
pub fn partition_of(file: &File, partitions: u16) -> Partition {
    Partition((rendezvous::score("lane", &file.0) % u64::from(partitions.max(1))) as u16)
}

/// Encodes a record after a byte with the version of the encoding.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>> {
    postcard::to_extend(record, vec![VERSION])
}

/// Decodes a record. Fails if its version is not `VERSION`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    match body.split_first() {
        Some((&VERSION, record)) => postcard::from_bytes(record),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
