//! The datagrams by which nodes ask each other for the origin of a stream or withdraw one, encoded
//! with postcard.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Service, Version},
    time::Millis,
};

use super::{Digest, Origin};

pub type Result<T> = std::result::Result<T, postcard::Error>;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks which software began a stream of `service`.
    Question { request: Digest, service: Service, lifetime: Millis },
    /// The origin, and the time until it expires.
    Known { request: Digest, origin: Origin, remaining: Millis },
    /// The sender doesn't know the origin. `only_version` is the version of all upstreams that the
    /// service has had for the lifetime of a stream, if that was a single one.
    Unknown {
        request: Digest,
        only_version: Option<Version>,
        /// Time since the sender sent its latest read of the registry, which is as far as
        /// `only_version` reaches. Encoded after the datagram; `None` from older nodes, whose
        /// `only_version` proves nothing.
        #[serde(skip)]
        age: Option<Millis>,
    },
    /// The request may move to other software: the receiver drops what it knows of its origin
    /// before `revision`, and confirms that. Nodes that don't know this datagram ignore it.
    Withdraw { request: Digest, revision: u32, remaining: Millis },
    /// Confirms a withdrawal.
    Withdrawn { request: Digest, revision: u32 },
}

impl Datagram {
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = postcard::to_stdvec(self)?;
        if let Datagram::Unknown { age, .. } = self {
            bytes.extend(postcard::to_stdvec(age)?);
        }
        Ok(bytes)
    }

    pub fn decode(bytes: &[u8]) -> Result<Datagram> {
        let (mut datagram, rest): (Datagram, &[u8]) = postcard::take_from_bytes(bytes)?;
        if let Datagram::Unknown { age, .. } = &mut datagram
            && !rest.is_empty()
        {
            *age = postcard::from_bytes(rest)?;
        }
        Ok(datagram)
    }
}
