//! Peer messages of cluster membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::message::Head,
    id::{DataCentre, Incarnation, Upstream, Vm},
    time::Millis,
};

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an `Ack`.
    Probe(Payload),
    /// Acknowledges a probe, or forwards the acknowledgement of an indirect probe.
    Ack(Payload),
    /// Asks the receiver to probe `target` on behalf of the sender.
    #[serde(rename = "Ask")]
    IndirectProbe { sequence: u64, target: Vm },
    /// The target of an indirect probe did not acknowledge it.
    Nack { sequence: u64 },
    /// Updates that are new to the sender.
    #[serde(rename = "News")]
    Updates(Vec<Update>),
    /// The sender's full state. As a request it is answered with the receiver's full state.
    Table(Vec<Update>),
}

/// The payload of a probe and of an acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    pub sequence: u64,
    /// The probing node, or the node that acknowledged the probe.
    #[serde(rename = "claim")]
    pub member: Member,
    /// Digest of the live nodes that the sender knows.
    pub digest: u64,
    /// The configuration offset up to which the sender has replayed.
    pub head: Head,
    /// Piggybacked updates.
    #[serde(rename = "news")]
    pub updates: Vec<Update>,
}

/// A change that is disseminated to all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    Node(Member),
    Upstream(Mark),
}

/// The asserted state of a node. The highest version wins; within one version the highest status
/// wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub vm: Vm,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub version: Version,
    pub status: Status,
    /// The node accepts no new work.
    pub leaving: bool,
}

/// Orders the asserted states of a node. Only the node itself raises its version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    pub incarnation: Incarnation,
    /// Grows each time the node refutes a suspicion or its death, or changes its own state.
    pub refutation: u32,
}

/// Liveness of a node; `by` is the node that asserts it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    Alive,
    Suspect { by: Vm },
    Dead { by: Vm },
}

/// Marks an upstream as leaving: it gets no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    pub upstream: Upstream,
    /// Time until the mark expires unless a node renews it.
    pub remaining: Millis,
}

impl Status {
    /// Orders the asserted states of one version.
    pub(super) fn rank(&self) -> u8 {
        match self {
            Status::Alive => 0,
            Status::Suspect { .. } => 1,
            Status::Dead { .. } => 2,
        }
    }
}
