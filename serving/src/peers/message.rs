//! The datagram between nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    balance::{Digest, Loads},
    batch::quota::Report,
    id::{Incarnation, Vm},
    quarantine::Suspect,
    time::Millis,
};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// What a node tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub vm: Vm,
    pub incarnation: Incarnation,
    /// Grows with each message of an incarnation; older ones that come late are dropped.
    pub sequence: u64,
    /// Where the node listens to its peers.
    pub address: SocketAddr,
    /// Requests of the node in flight, by upstream.
    pub loads: Loads,
    /// Upstreams that the node has ejected, and for how much longer.
    pub ejected: Vec<(Digest, Millis)>,
    /// Partitions that the node owns, with the tokens that wait there.
    pub owned: Vec<(u16, Report)>,
    /// Some other peers.
    pub peers: Vec<SocketAddr>,
    /// Requests that crash upstreams.
    pub suspects: Vec<Suspect>,
    /// The node is stopping and is to be forgotten.
    pub leaving: bool,
}

impl Message {
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Message> {
        postcard::from_bytes(bytes)
    }
}
