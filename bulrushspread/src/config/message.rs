//! Messages between nodes about the configuration.

use serde::{Deserialize, Serialize};

use crate::id::Offset;

use super::state::State;

/// A message about the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's position in the stream. A receiver that stays behind pulls from the sender.
    Head(Head),
    /// Requests the receiver's head. The response is `Head`.
    Ask,
    /// Requests the receiver's state if it is newer than `have`. The response is `State` or `Done`.
    Pull { have: Offset },
    /// The response to `Pull`.
    State(Box<State>),
}

/// A node's position in the stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Head {
    /// The first offset that the node has not applied yet.
    pub next: Offset,
    /// The first 64 bits of the digest of the state. Nodes at the same offset have the same digest.
    pub digest: u64,
}
