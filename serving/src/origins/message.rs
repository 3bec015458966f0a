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
    Unknown { request: Digest, only_version: Option<Version> },
    /// The request may move to other software: the receiver drops what it knows of its origin
    /// before `revision`, and confirms that. Nodes that don't know this datagram ignore it.
    Withdraw { request: Digest, revision: u32, remaining: Millis },
    /// Confirms a withdrawal.
    Withdrawn { request: Digest, revision: u32 },
}

impl Datagram {
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Datagram> {
        postcard::from_bytes(bytes)
    }
}
