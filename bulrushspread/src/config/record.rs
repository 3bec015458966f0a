//! The records of the configuration stream.
//!
//! Decisions on records depend only on the fields outside `content`, and all versions of the
//! software share these rules. So a node that can't parse the content of a newer record still
//! agrees with the others on which records were accepted.

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

/// A change of the configuration, or a checkpoint.
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
    /// The version of the piece that this one replaces; 0 if the team never had one.
    pub base: u64,
    pub author: String,
    /// Wall time at the writer, for display only.
    pub at: Millis,
    /// The names and keys that the piece declares. Each belongs to at most one team of the
    /// environment.
    pub claims: BTreeSet<String>,
    /// The piece in JSON; `None` deletes the piece.
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
    /// Wall time at the writer, for display only.
    pub at: Millis,
}

/// The whole state, written to the stream before the records that produced it expire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The state after all records before `state.next`.
    pub state: State,
}

/// The stored piece of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPiece {
    /// Increases by one with each accepted change, deletions included.
    pub version: u64,
    pub author: String,
    /// SHA-256 of the content in hexadecimal; empty for a deleted piece.
    pub digest: String,
    pub claims: BTreeSet<String>,
    pub content: Option<String>,
}

/// An accepted change in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Change {
    /// The version of the document after the change.
    pub version: u64,
    /// The offset of the record's append in the stream.
    pub offset: Offset,
    /// The index of the record within its append.
    pub index: u32,
    pub author: String,
    /// Wall time at the writer in milliseconds.
    pub at: Millis,
    /// The new versions of the pieces that the change affected.
    pub pieces: BTreeMap<Team, u64>,
    /// The environment and version that were promoted, if the change is a promotion.
    pub promoted: Option<Promoted>,
}

/// The source of a promotion.
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

/// Decodes a record. Unknown fields of newer formats are ignored.
pub fn decode(body: &[u8]) -> Result<Record> {
    serde_json::from_slice(body)
}
