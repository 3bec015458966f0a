//! The records of the configuration stream.
//!
//! Verdicts depend only on what stands outside `content`, and all versions of the software share
//! these rules. So a node that can't parse the content of a newer record still agrees with the
//! others on which records were accepted.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    id::{Environment, Offset, Team},
    time::Millis,
};

use super::state::State;

pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// The version of the record format that this software writes.
pub const FORMAT_VERSION: u16 = 1;

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub format: u16,
    pub operation: Operation,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    Publish(Publish),
    Promote(Promote),
    Checkpoint(Checkpoint),
}

/// Replaces or deletes the piece of one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publish {
    pub environment: Environment,
    pub team: Team,
    /// The version of the piece that this one replaces; 0 where there never was one.
    pub base: u64,
    pub author: String,
    /// Wall time at the writer. Only shown to people.
    pub at: Millis,
    /// What the piece declares; each claim belongs to at most one team of the environment.
    pub claims: BTreeSet<String>,
    /// The piece in JSON; `None` deletes it.
    pub content: Option<String>,
}

/// Replaces all pieces of `to` by those of `from`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Promote {
    pub from: Environment,
    /// The version of the document of `from` that is promoted. It must be the current one.
    pub version: u64,
    pub to: Environment,
    /// The version of the document of `to` that is replaced.
    pub base: u64,
    pub author: String,
    /// Wall time at the writer. Only shown to people.
    pub at: Millis,
}

/// The whole state, written again before the records that it came from expire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// All records before `state.next` are folded into `state`.
    pub state: State,
}

/// The piece of a team as the stream carries it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Grows by one with each accepted change, deletions included.
    pub version: u64,
    pub author: String,
    /// SHA-256 of the content in hexadecimal; empty for a deleted piece.
    pub digest: String,
    pub claims: BTreeSet<String>,
    pub content: Option<String>,
}

/// An accepted change, as the history shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Change {
    /// The version of the document after the change.
    pub version: u64,
    /// Where the record stands in the stream.
    pub offset: Offset,
    /// The index of the record within its append.
    pub index: u32,
    pub author: String,
    /// Wall time at the writer in milliseconds.
    pub at: Millis,
    /// The versions of the pieces that the change touched.
    pub pieces: BTreeMap<Team, u64>,
    /// The environment and version that were promoted, where the change is a promotion.
    pub promoted: Option<Promoted>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Promoted {
    pub from: Environment,
    pub version: u64,
}

impl Operation {
    /// Encodes the operation as a record of the current format.
    pub fn encode(self) -> Result<Vec<u8>> {
        serde_json::to_vec(&Record { format: FORMAT_VERSION, operation: self })
    }
}

/// Decodes a record. Unknown fields of newer formats are passed over.
pub fn decode(body: &[u8]) -> Result<Record> {
    serde_json::from_slice(body)
}
