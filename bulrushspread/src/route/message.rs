//! Peer messages of the route slice.

use serde::{Deserialize, Serialize};

use crate::{id::Upstream, time::Millis, upstream::Report};

/// What nodes tell one another in this slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Load reports that the sender asked for.
    Loads(Vec<Load>),
}

/// A load report as it travels between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub upstream: Upstream,
    /// Sequences running or waiting at the replica.
    pub in_flight: u32,
    pub slots: u32,
    /// Age of the report when it was sent.
    pub age: Millis,
    pub loaded: Vec<String>,
    pub leaving: bool,
}

impl Load {
    /// The load that a replica reported.
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
