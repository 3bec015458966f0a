//! Records of the batch slice in the log.
//!
//! * `jobs`: [`JobsRecord`], small and read by every node.
//! * `lane-N`: [`PartitionRecord`], read by the owner of the partition.
//! * `files-N`: [`FilesRecord`], read by offset only.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    id::{Environment, Epoch, File, Item, Job, Model, Offset, Partition, Stream, Workspace},
    journal::record::{Position, Writer},
    rendezvous,
    time::Millis,
};

use super::view::Counts;

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// The version of the encoding, in the first byte of each record.
const VERSION: u8 = 1;

/// A record of the `jobs` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobsRecord {
    FileCreated(FileCreated),
    JobCreated(JobCreated),
    /// A caller cancelled the job. The `Cancel` in the partition decides which results count.
    JobCancelled {
        job: Job,
    },
    JobFinished(JobFinished),
    /// A record repeated before it expires, with the place where it first stood.
    Carried {
        position: Position,
        /// Wall clock of the repetition.
        at: Millis,
        record: Box<JobsRecord>,
    },
    /// Jobs and files that are past their retention.
    Expired {
        jobs: Vec<Job>,
        files: Vec<File>,
    },
}

/// A whole file of items has been stored.
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
    /// Why no job can be made of the file.
    pub fault: Option<String>,
    /// The path that all items call.
    pub url: Option<String>,
    /// The model that all items call, where the path is a model's.
    pub model: Option<Model>,
    /// The [`FilesRecord::Index`] of the file in the files stream of its partition.
    pub index: Position,
}

/// A job was asked for. The first record of a key stands; see [`super::jobs::State`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCreated {
    pub job: Job,
    pub workspace: Workspace,
    /// The caller's `Idempotency-Key`.
    pub key: Option<String>,
    /// SHA-256 of what the caller asked for, the content of the file included.
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

/// All items of a job have ended or were cancelled.
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
    /// The first claim of an epoch that is higher than all before wins.
    Claim {
        epoch: Epoch,
        owner: Writer,
    },
    /// The owner has given the partition up.
    Release {
        epoch: Epoch,
    },
    /// These items are about to run and must not run again.
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
    /// No item of the job starts after this, and no later result counts.
    Cancel {
        job: Job,
    },
    /// Where the results of a job stand.
    Index {
        epoch: Epoch,
        job: Job,
        offsets: Offsets,
    },
}

/// How an item ended, for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    pub item: Item,
    pub custom_id: String,
    pub outcome: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's answer. `body` is JSON.
    Answered { status: u16, body: String },
    /// The item got no answer.
    Failed { code: String, message: String },
}

impl Outcome {
    /// Whether the item counts as completed.
    pub fn is_success(&self) -> bool {
        matches!(self, Outcome::Answered { status: 200..=299, .. })
    }

    /// Bytes that the outcome takes in memory, roughly.
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
    /// Where the chunks of a file stand, and how many lines each has.
    Index { file: File, offsets: Offsets, lines: Vec<u32> },
}

/// Offsets in ascending order, kept as differences so that they encode in a byte or two each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offsets {
    deltas: Vec<u64>,
    last: u64,
}

impl Offsets {
    /// Adds an offset that is not lower than those before; the same offset again adds nothing.
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

/// The stream of jobs of an environment.
pub fn jobs_stream(environment: &Environment) -> Stream {
    Stream(format!("{environment}.jobs"))
}

/// The stream of a partition.
pub fn partition_stream(environment: &Environment, partition: Partition) -> Stream {
    Stream(format!("{environment}.lane-{partition}"))
}

/// The stream of the files of a partition.
pub fn files_stream(environment: &Environment, partition: Partition) -> Stream {
    Stream(format!("{environment}.files-{partition}"))
}

/// The partition of a file and of all jobs made of it.
pub fn partition_of(file: &File, partitions: u16) -> Partition {
    Partition((rendezvous::score("lane", &file.0) % u64::from(partitions.max(1))) as u16)
}

/// Encodes a record with its version.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>> {
    postcard::to_extend(record, vec![VERSION])
}

/// Decodes a record of a version that this process knows.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    match body.split_first() {
        Some((&VERSION, record)) => postcard::from_bytes(record),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
