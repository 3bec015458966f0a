//! What nodes tell each other about parts, as a piece of a gossip message.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::Software, id::Process, time::Millis};

use super::Part;

/// 32-bit hash of the software that an upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareDigest(u32);

impl SoftwareDigest {
    pub fn of(software: &Software) -> SoftwareDigest {
        SoftwareDigest(xxh3_64(software.to_string().as_bytes()) as u32)
    }
}

/// Crash of a process while a request with a part was in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// One more than the highest round of the part's crashes that were known where and when the
    /// request was sent. Processes that fail together crash in the same round, whatever the part.
    pub round: u8,
    /// Hash of the request, which is the same when its caller sends it again.
    pub request: u32,
    pub software: SoftwareDigest,
    /// Time of the crash on this node's clock. In messages, the time since the crash instead,
    /// because the clocks of nodes differ.
    pub at: Millis,
}

/// What a node knows about one part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Greatest index of the part in a prompt.
    pub position: u8,
    /// Crashes that no answer has disproved yet.
    pub crashes: Vec<(Process, Crash)>,
    /// Crashes that the part did not cause: a request with the part that was sent afterwards to the
    /// same software was answered.
    pub disproved: Vec<Process>,
    /// Software that has answered requests with the part.
    pub answered_by: Vec<SoftwareDigest>,
}

/// The parts that a gossip message reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub parts: Vec<(Part, Evidence)>,
}
