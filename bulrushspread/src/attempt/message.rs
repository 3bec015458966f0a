//! Messages between nodes about retries, suspects and at-most-once calls.

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;

use super::{
    quarantine::Suspect,
    reservation::{Decision, Ticket},
};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests that crash upstreams, or that are cleared of the suspicion.
    Suspects(Vec<Suspect>),
    /// Requests the incarnation of the receiver. The response is `CurrentIncarnation`.
    #[serde(rename = "Ask")]
    GetIncarnation,
    #[serde(rename = "Runs")]
    CurrentIncarnation {
        incarnation: Incarnation,
    },
    /// Requests a reservation of an upstream. The response is `Reservation`.
    Reserve(Ticket),
    Reservation(Decision),
    Release(Ticket),
}
