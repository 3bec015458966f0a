//! Peer messages of the configuration slice.

use serde::{Deserialize, Serialize};

use crate::id::Offset;

use super::state::State;

/// What nodes tell one another about configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// How far the sender has come. A receiver that stays behind pulls from the sender.
    Head(Head),
    /// Asks for the receiver's head. Answered by `Head`.
    Ask,
    /// Asks for the receiver's state where it is newer than `have`. Answered by `State` or `Done`.
    Pull {
        have: Offset,
    },
    State(Box<State>),
}

/// How far a node has folded the stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Head {
    /// The first offset that is not folded yet.
    pub next: Offset,
    /// The start of the digest of the state. Nodes at the same offset have the same.
    pub digest: u64,
}
