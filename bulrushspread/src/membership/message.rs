//! Peer messages of the membership slice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::message::Head,
    id::{DataCentre, Incarnation, Upstream, Vm},
    time::Millis,
};

/// What nodes tell one another in this slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an `Ack`.
    Probe(Beat),
    /// Answers a probe, or passes on the answer to a probe that was asked for.
    Ack(Beat),
    /// Asks the receiver to probe `target` in the sender's place.
    Ask {
        sequence: u64,
        target: Vm,
    },
    /// The probe that was asked for got no answer.
    Nack {
        sequence: u64,
    },
    News(Vec<Update>),
    /// Everything that the sender knows. As a request it is answered in kind.
    Table(Vec<Update>),
}

/// What every probe and answer carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    pub sequence: u64,
    /// The node that probes, or the node that is alive because it answered.
    pub claim: Claim,
    /// The digest of what the sender knows of live nodes.
    pub digest: u64,
    /// How far the sender has folded the configuration.
    pub head: Head,
    pub news: Vec<Update>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    Node(Claim),
    Upstream(Mark),
}

/// What is said of a node. The claim of the highest version counts, and among those of the same
/// version that of the highest status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub vm: Vm,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub version: Version,
    pub status: Status,
    /// The node takes no new duties.
    pub leaving: bool,
}

/// Only the node itself raises its version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    pub incarnation: Incarnation,
    /// Grows each time the node refutes that it is suspect or dead, or changes its claim.
    pub refutation: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    Alive,
    Suspect { by: Vm },
    Dead { by: Vm },
}

/// An upstream that gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    pub upstream: Upstream,
    /// Time after which the mark ends unless somebody renews it.
    pub remaining: Millis,
}

impl Status {
    /// Orders claims of the same version.
    pub(super) fn rank(&self) -> u8 {
        match self {
            Status::Alive => 0,
            Status::Suspect { .. } => 1,
            Status::Dead { .. } => 2,
        }
    }
}
