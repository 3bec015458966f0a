//! Calls to upstreams over connections that are kept and reused.

mod call;
mod plain;
mod pool;

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use crate::time::Millis;

pub use call::{Answer, Body, Failure, FailureKind, Reached};
pub use plain::PlainCodec;
pub use pool::{Pool, Settings};

pub type Result<T> = std::result::Result<T, Failure>;

/// A request as it goes to upstreams, with the headers of its caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's id of this attempt; upstreams echo it.
    pub id: String,
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The host by which the caller asked.
    pub host: String,
    /// Without those of the caller's connection and those that `Codec::encode` sets.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// What differs between the sends of one request.
#[derive(Clone, Copy, Debug)]
pub struct Send<'a> {
    /// The upstream that is meant; any other one at its address refuses.
    pub upstream: &'a crate::id::Upstream,
    /// The time after which the upstream may stop.
    pub deadline: Option<Duration>,
    /// The stream goes on behind this event.
    pub resume_after: Option<u64>,
}

/// What the head of an upstream's answer says of the exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The id of the request that the answer belongs to.
    pub request: Option<String>,
    /// The upstream vouches that the answer is its own.
    pub sealed: bool,
    /// The upstream has not run the request and never will.
    pub not_run: bool,
    /// The address belongs to another upstream.
    pub misdirected: bool,
    /// How long the upstream keeps the connection open while it is idle.
    pub keep_alive: Option<Millis>,
    /// The upstream closes the connection after this answer.
    pub closes: bool,
}

/// The headers that upstreams and this process exchange.
pub trait Codec: std::marker::Send + Sync {
    /// The headers of a request as they go to the upstream.
    fn encode(&self, request: &Request, send: Send<'_>) -> HeaderMap;

    /// Reads the head of an answer.
    fn decode(&self, head: &http::response::Parts) -> Head;
}
