//! Peer messages of the attempt slice.

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;

use super::{
    apart::{Ticket, Verdict},
    quarantine::Suspect,
};

/// What nodes tell one another in this slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests that crash upstreams, or that no longer stand under suspicion.
    Suspects(Vec<Suspect>),
    /// Asks which process runs at the receiver. Answered by `Runs`.
    Ask,
    Runs {
        incarnation: Incarnation,
    },
    /// Asks for an upstream on which no other suspect runs. Answered by `Reservation`.
    Reserve(Ticket),
    Reservation(Verdict),
    Release(Ticket),
}
