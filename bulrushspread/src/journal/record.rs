//! Records and their framing. One append to the log carries one or more records.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Offset, Vm};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// The writer of a record: one incarnation of the process on one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    pub vm: Vm,
    pub incarnation: Incarnation,
}

/// The unique id of a record. Readers ignore further copies of a record in a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    pub writer: Writer,
    /// Increases by one with each record of the writer in the stream.
    pub sequence: u64,
}

/// A record. The module that writes a record defines the encoding of `body`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub id: Id,
    pub body: Vec<u8>,
}

/// A record with its position in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub position: Position,
    pub record: Record,
}

/// The position of a record: the offset of its append and its index within the append.
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
///
/// Fails if `data` was not written by [`encode`].
pub fn decode(offset: Offset, data: &[u8]) -> Result<Vec<Entry>> {
    let records: Vec<Record> = postcard::from_bytes(data)?;
    let entry =
        |(index, record)| Entry { position: Position { offset, index: index as u32 }, record };
    Ok(records.into_iter().enumerate().map(entry).collect())
}
