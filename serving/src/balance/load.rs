//! Numbers of requests in flight at upstreams, which nodes send each other by gossip.

use std::{
    collections::BTreeMap,
    ops::{Add, Sub},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::Upstream;

/// Number of requests in flight at one upstream, by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub online: u32,
    pub batch: u32,
}

/// Saturates: peers may report any number.
impl Add for Load {
    type Output = Load;

    fn add(self, other: Load) -> Load {
        Load {
            online: self.online.saturating_add(other.online),
            batch: self.batch.saturating_add(other.batch),
        }
    }
}

/// Saturates at zero.
impl Sub for Load {
    type Output = Load;

    fn sub(self, other: Load) -> Load {
        Load {
            online: self.online.saturating_sub(other.online),
            batch: self.batch.saturating_sub(other.batch),
        }
    }
}

impl Load {
    pub fn total(self) -> u32 {
        self.online.saturating_add(self.batch)
    }
}

/// What an upstream says of its own load in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stated {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Percentage of the usual time that work takes at this moment, if stated.
    pub pace: Option<u32>,
}

impl Stated {
    /// Number of requests at the upstream.
    pub fn in_flight(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// 32-bit hash of an upstream's id, which identifies the upstream in gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(u32);

impl Digest {
    pub fn of(upstream: &Upstream) -> Digest {
        Digest(xxh3_64(upstream.0.as_bytes()) as u32)
    }
}

/// Load by upstream. An upstream without requests in flight has no entry.
pub type Loads = BTreeMap<Digest, Load>;
