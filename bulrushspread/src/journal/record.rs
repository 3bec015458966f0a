//! Records and their framing: one append to the log carries one or more records.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Offset, Vm};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// Names the writer of records: one run of the process on one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    pub vm: Vm,
    pub incarnation: Incarnation,
}

/// The unique id of a record. A record that stands twice in a stream counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    pub writer: Writer,
    /// Grows by one for each record of the writer in the stream.
    pub sequence: u64,
}

/// A record as its slice wrote it: `body` is the slice's own encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub id: Id,
    pub body: Vec<u8>,
}

/// A record with its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub position: Position,
    pub record: Record,
}

/// The place of a record: the offset of its append and its index therein.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    pub offset: Offset,
    pub index: u32,
}

/// Encodes the records of one append.
pub fn encode(records: &[Record]) -> Result<Vec<u8>> {
    postcard::to_stdvec(records)
}

/// Decodes the records of the append at `offset`.
pub fn decode(offset: Offset, data: &[u8]) -> Result<Vec<Entry>> {
    let records: Vec<Record> = postcard::from_bytes(data)?;
    let entry =
        |(index, record)| Entry { position: Position { offset, index: index as u32 }, record };
    Ok(records.into_iter().enumerate().map(entry).collect())
}
