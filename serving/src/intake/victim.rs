//! Which connection is closed when there is no room for another one, or for the bytes of another body.

use crate::time::Millis;

/// Time without progress after which a connection may be closed to make room. Callers that behave send a
/// request in one go.
pub const MIN_IDLE: Millis = Millis(500);

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The first byte of a request.
    Request,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The node or an upstream: the request is complete.
    Answer,
    /// The caller, who doesn't read the answer.
    Reader,
}

/// A connection that may have to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub stage: Stage,
    /// Time since the connection last made progress.
    pub idle: Millis,
    /// The connection has carried a whole request.
    pub has_served: bool,
    /// Bytes of the body that it holds.
    pub body_bytes: usize,
}

/// What is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    Connection,
    Memory,
}

/// Returns the position of the connection to close: of those that make no progress the one that has made
/// none for the longest time. Connections that have carried a whole request are kept longer than those that
/// never have. `None` if all make progress, or wait for the node.
pub fn select(need: Need, candidates: impl Iterator<Item = Candidate>) -> Option<usize> {
    let may_close = |candidate: &Candidate| {
        let is_waiting = candidate.stage != Stage::Answer;
        let frees = need == Need::Connection || candidate.body_bytes > 0;
        is_waiting && frees && candidate.idle >= MIN_IDLE
    };
    candidates
        .enumerate()
        .filter(|(_, candidate)| may_close(candidate))
        .max_by_key(|(_, candidate)| (!candidate.has_served, candidate.idle))
        .map(|(index, _)| index)
}
