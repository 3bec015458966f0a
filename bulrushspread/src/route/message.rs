//! Load reports that nodes gossip.

use serde::{Deserialize, Serialize};

use crate::{id::Upstream, time::Millis, upstream::Report};

/// Messages between the routing modules of two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Load reports that the sender has polled from replicas.
    Loads(Vec<Load>),
}

/// A load report as it is sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub upstream: Upstream,
    /// Sequences running or queued at the replica.
    pub in_flight: u32,
    pub slots: u32,
    /// Age of the report when it was sent.
    pub age: Millis,
    /// Models that the replica has loaded.
    pub loaded: Vec<String>,
    /// Whether the replica is about to leave and takes no new requests.
    pub leaving: bool,
}

impl Load {
    /// Converts the report of a replica.
    pub fn new(upstream: Upstream, report: Report) -> Load {
        Load {
            upstream,
            in_flight: report.active + report.queued,
            slots: report.slots,
            age: Millis(report.age_ms),
            loaded: report.loaded,
            leaving: report.leaving,
        }
    }
}
