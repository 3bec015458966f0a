//! The datagrams between nodes and collectors, encoded with postcard.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    balance::{Loads, pace},
    id::{DataCentre, Incarnation},
};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// 32-bit hash of a data centre's name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DataCentreDigest(u32);

impl DataCentreDigest {
    pub fn of(data_centre: &DataCentre) -> DataCentreDigest {
        DataCentreDigest(xxh3_64(data_centre.0.as_bytes()) as u32)
    }
}

/// Orders the datagrams of one sender, so that receivers can drop those that arrive out of order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    pub incarnation: Incarnation,
    /// Increases with each datagram of an incarnation.
    pub sequence: u64,
}

/// Requests in flight of several nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    /// Number of nodes that are included.
    pub nodes: u32,
    pub loads: Loads,
}

impl Sum {
    /// Size in a datagram.
    pub fn encoded_len(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// A datagram between nodes and collectors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Loads of a node, for the collectors of its data centre.
    Member { version: Version, loads: Loads },
    /// Loads of a data centre, from one of its collectors to those of the others.
    DataCentre { version: Version, data_centre: DataCentreDigest, sum: Sum },
    /// Loads of the fleet, from a collector to a member. `included` is the version of the member's
    /// own loads that the sum includes.
    Fleet { version: Version, included: Version, sum: Sum },
}

/// A datagram with the paces of upstreams that its sender has learned of since the last one. They are
/// encoded behind the datagram, where older nodes ignore them; without any, the bytes are those of the
/// datagram alone.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    pub datagram: Datagram,
    pub paces: Vec<pace::Report>,
}

impl Envelope {
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = self.datagram.encode()?;
        if !self.paces.is_empty() {
            bytes.extend(postcard::to_stdvec(&self.paces)?);
        }
        Ok(bytes)
    }

    pub fn decode(bytes: &[u8]) -> Result<Envelope> {
        let (datagram, rest) = postcard::take_from_bytes(bytes)?;
        let paces = if rest.is_empty() { Vec::new() } else { postcard::from_bytes(rest)? };
        Ok(Envelope { datagram, paces })
    }
}

impl Datagram {
    /// From where the sender has the paces beside this datagram, as seen by its recipient.
    pub fn pace_origin(&self) -> pace::Origin {
        match self {
            Datagram::Member { .. } => pace::Origin::Node,
            Datagram::DataCentre { .. } | Datagram::Fleet { .. } => pace::Origin::Fleet,
        }
    }

    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Datagram> {
        postcard::from_bytes(bytes)
    }
}
