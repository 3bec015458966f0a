//! Interface of the log service, which stores all durable state.
//!
//! A topic has partitions; offsets number the records of a partition from 0 without gaps. In a
//! keyed topic each record has a key. Such a topic is compacted: the latest record of each key
//! never expires.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::{id::Offset, time::Millis};

pub type Result<T> = std::result::Result<T, Error>;

/// A log service that several tasks share.
pub type Handle = Arc<dyn Store>;

/// Size of the lengths of a record and its key in an append, at most.
const RECORD_OVERHEAD_BYTES: usize = 8;

/// Why a call to the log service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service refused the call, which had no effect.
    #[error("the log refused the call: {0}")]
    Refused(String),
    /// The service can't accept the call, which had no effect, and would refuse it again.
    #[error("the log can't accept the call: {0}")]
    Invalid(String),
    /// No response arrived. An append may have taken effect or may still do so.
    #[error("the outcome of the call is unknown: {0}")]
    Unknown(String),
    /// A producer with a higher epoch has appended to the partition.
    #[error("the partition has a newer producer")]
    Fenced,
    /// The append has the wrong sequence number; the partition expects this one.
    #[error("the partition expects sequence number {0}")]
    OutOfSequence(u64),
    /// The log has no space left.
    #[error("the log is full")]
    Full,
    /// The records have expired; the first one that is kept has this offset.
    #[error("records before offset {0} have expired")]
    Expired(Offset),
}

/// A partition of a topic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition {
    pub topic: String,
    pub number: u16,
}

/// The writer of a partition. Its epoch is a fencing token: the service refuses appends whose epoch
/// is lower than the highest one in the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Producer {
    pub name: String,
    pub epoch: u64,
    /// Sequence number of the append: one more than that of the producer's previous append. The
    /// first append of an epoch may have any number.
    pub sequence: u64,
}

/// A record of a keyed topic. A record without a value deletes its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub key: String,
    pub value: Option<Bytes>,
}

impl Record {
    /// Approximate size of the record in an append, in bytes.
    pub fn encoded_len(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len) + RECORD_OVERHEAD_BYTES
    }
}

/// The result of one read of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The offset after the last record that was read.
    pub next: Offset,
    /// The offset after the last record of the partition.
    pub end: Offset,
    /// Records in the order of offsets. `None` stands for a record that can't be parsed.
    pub records: Vec<Option<Record>>,
}

/// The latest record of each key of a keyed partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset from which to read the records that were written since. The service returns the
    /// snapshot in several pages, so later pages may already contain some of these records.
    pub end: Offset,
    pub records: Vec<Record>,
    /// Whether the service returned all pages of the snapshot.
    pub is_complete: bool,
}

/// The partitions that are assigned to a member of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Increases with each change of the group.
    pub generation: u64,
    pub partitions: Vec<u16>,
}

/// Client of the log service. Each call ends within a deadline of its own.
#[async_trait]
pub trait Store: Send + Sync {
    /// Appends all of `records` or none. An append may be retried with the same sequence number
    /// without writing the records twice. An append without records only sets the epoch.
    async fn append(
        &self,
        partition: &Partition,
        producer: &Producer,
        records: &[Record],
    ) -> Result<()>;

    /// Appends all of `records` or none, whoever owns the partition. For records that stay true and
    /// may be written twice.
    async fn append_unfenced(&self, partition: &Partition, records: &[Record]) -> Result<()>;

    /// Reads a keyed partition from offset `from`. Waits up to `wait` if there is no record yet.
    async fn read(&self, partition: &Partition, from: Offset, wait: Millis) -> Result<Page>;

    /// Reads the latest record of each key.
    async fn read_latest(&self, partition: &Partition) -> Result<Snapshot>;

    /// Joins `group`, among whose members the partitions of `topic` are divided, or renews the
    /// membership, for `ttl`. `generation` is the latest one that the member has applied: it
    /// confirms that the member has released the partitions that it lost in that generation.
    async fn join(
        &self,
        group: &str,
        member: &str,
        topic: &str,
        generation: u64,
        ttl: Millis,
    ) -> Result<Assignment>;

    /// Leaves `group`, so that the partitions of `member` are reassigned at once.
    async fn leave(&self, group: &str, member: &str) -> Result<()>;

    /// Returns the number and the owning member of each owned partition of `topic`.
    async fn owners(&self, group: &str, topic: &str) -> Result<Vec<(u16, String)>>;
}
