//! The datagrams by which nodes ask the owner of a workspace for allowance, encoded with postcard.
//! A later version adds variants at the end of an enum; older nodes drop what they can't decode.

use serde::{Deserialize, Serialize};

use crate::{id::Workspace, time::Millis};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// Identifies an ask among those of its sender. The first one of a process is drawn at random, so
/// that an answer to an earlier process is not taken for one to this process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AskId(pub u64);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    Ask(Ask),
    Answer(Answer),
}

/// From what an ask wants to borrow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The bucket of the owner.
    Bucket,
    /// The reserve of the deputy, because no owner answers.
    Reserve,
}

/// Asks the owner of a workspace, or its deputy, for allowance. A repeated ask has the same id and is answered with
/// the same answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub id: AskId,
    pub workspace: Workspace,
    pub kind: Kind,
    /// Requests that the sender wants to admit. At least 1.
    pub count: u32,
    /// Requests that the sender has got since its last ask, refused ones included.
    pub requests: u32,
    /// The limit as the sender knows it, for an owner that doesn't know the workspace yet.
    pub rate_per_s: f32,
    pub burst: f32,
}

/// The answer to the ask with the same id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub id: AskId,
    /// Number of nodes that the sender knows, itself included; 0 if it has just started and may not
    /// know all.
    pub nodes: u32,
    /// Demand of the workspace relative to its limit.
    pub usage: f32,
    pub verdict: Verdict,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The receiver may admit this number of requests, for a limited time after it sent the ask.
    Lent(u32),
    /// There is no room before this time has passed.
    Full { retry_after: Millis },
    /// The sender may not lend: it isn't the owner, or the log has not confirmed it recently, or it
    /// isn't the deputy.
    NotOwner,
}

impl Datagram {
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Datagram> {
        postcard::from_bytes(bytes)
    }
}
