//! The log service that keeps what must last.
//!
//! A topic has partitions; offsets number the records of a partition from 0 without gaps. In a
//! keyed topic each record has a key, and the newest record of each key is kept for good.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::{id::Offset, time::Millis};

pub type Result<T> = std::result::Result<T, Error>;

/// A log service shared by the slices.
pub type Shared = Arc<dyn Store>;

/// Why a call gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service refused the call; it had no effect.
    #[error("the log refused the call: {0}")]
    Refused(String),
    /// No answer arrived; an append may have taken effect or may still do so.
    #[error("the outcome of the call is unknown: {0}")]
    Unknown(String),
    /// A producer with a higher epoch has written to the partition.
    #[error("the partition has a newer producer")]
    Fenced,
    /// The append is out of order; the partition expects this sequence number.
    #[error("the partition expects sequence number {0}")]
    Sequence(u64),
    /// The log can take no more bytes.
    #[error("the log is full")]
    Full,
    /// The records were deleted; the first one kept has this offset.
    #[error("records before offset {0} have expired")]
    Expired(Offset),
}

/// A partition of a topic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition {
    pub topic: String,
    pub number: u16,
}

/// The writer of a partition. The service refuses a lower epoch than one it has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Producer {
    pub name: String,
    pub epoch: u64,
    /// Follows that of the producer's last append; free for the first one of an epoch.
    pub sequence: u64,
}

/// A record of a keyed topic. Without a value the key is dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub key: String,
    pub value: Option<Bytes>,
}

/// The answer to a read of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The offset after the last record that was read.
    pub next: Offset,
    /// `None` stands for a record that can't be parsed.
    pub records: Vec<Option<Record>>,
}

/// The newest records of a keyed partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Newest {
    /// Pages aren't a snapshot: what was written since the first page is read from here on.
    pub end: Offset,
    pub records: Vec<Record>,
}

/// What a member of a group holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Grows with each change of the group.
    pub generation: u64,
    pub partitions: Vec<u16>,
}

/// The log service. Each call ends within a deadline of its own.
#[async_trait]
pub trait Store: Send + Sync {
    /// Appends all of `records` or nothing. Repeating an append with the same sequence number is
    /// safe; one without records only sets the epoch.
    async fn append(
        &self,
        partition: &Partition,
        producer: &Producer,
        records: &[Record],
    ) -> Result<()>;

    /// Reads a keyed partition from `from` on; waits up to `wait` while there is nothing.
    async fn read(&self, partition: &Partition, from: Offset, wait: Millis) -> Result<Page>;

    /// Reads the newest record of each key.
    async fn newest(&self, partition: &Partition) -> Result<Newest>;

    /// Joins `group` over the partitions of `topic`, or stays in it, for `ttl`.
    async fn join(
        &self,
        group: &str,
        member: &str,
        topic: &str,
        generation: u64,
        ttl: Millis,
    ) -> Result<Assignment>;

    /// Leaves a group, so that its partitions are dealt to others at once.
    async fn leave(&self, group: &str, member: &str) -> Result<()>;

    /// Who holds which partition of `topic`.
    async fn owners(&self, group: &str, topic: &str) -> Result<Vec<(u16, String)>>;
}
