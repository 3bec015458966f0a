//! What nodes tell each other about forwarding: in gossip, and in headers between a node and its
//! forwarder.

use std::{fmt, net::SocketAddr, str::FromStr};

use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::{access::TOKEN, collector::DataCentreDigest, time::Millis};

/// Id of the upstream to which the forwarder sends the request.
pub(super) const UPSTREAM: HeaderName = HeaderName::from_static("forward-upstream");
/// Id of the request.
pub(super) const REQUEST: HeaderName = HeaderName::from_static("forward-request");
/// Milliseconds that are left for the response.
pub(super) const TIMEOUT: HeaderName = HeaderName::from_static("forward-timeout-ms");
/// Whether the request may be sent again after it may have run.
pub(super) const RETRYABLE: HeaderName = HeaderName::from_static("forward-retryable");
/// The tenure under which the request is sent. Holds a [`crate::tenure::Claim`].
pub(super) const CLAIM: HeaderName = HeaderName::from_static("forward-claim");
/// Asks only whether the forwarder reaches the upstream.
pub(super) const PROBE: HeaderName = HeaderName::from_static("forward-probe");
/// The forwarder has no response of the upstream. Holds an [`Outcome`].
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("forward-outcome");
/// Says why the forwarder refused: the upstream is leaving.
pub(super) const LEAVING: HeaderName = HeaderName::from_static("forward-leaving");
/// The upstream's response has neither a length nor chunks.
pub(super) const UNFRAMED: HeaderName = HeaderName::from_static("forward-unframed");

/// Removes the headers that belong to the connection between two nodes.
pub(super) fn strip(headers: &mut HeaderMap) {
    for name in
        [UPSTREAM, REQUEST, TIMEOUT, RETRYABLE, CLAIM, PROBE, OUTCOME, LEAVING, UNFRAMED, TOKEN]
    {
        headers.remove(name);
    }
}

/// Sets a header of this protocol. `value` comes from this node and is valid, except for ids, which
/// callers choose; a request without its id is still forwarded.
pub(super) fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => log::warn!(header = name.as_str(), error:% = error; "header omitted"),
    }
}

/// Why there is no response of the upstream, or the reply to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The forwarder could establish a connection to the upstream. Replies to probes only.
    Reachable,
    /// The forwarder could not establish a connection to the upstream.
    Unreachable,
    /// The forwarder did not try: it has no path, no capacity, or doesn't know the upstream.
    Refused,
    /// The forwarder did not try: it knows that the upstream is leaving. Sent as a refusal with a header
    /// of its own, because older nodes don't know it.
    Leaving,
    /// The forwarder did not try: it knows a later owner than the one that sends the request. Replies to
    /// requests with a claim only, because older nodes don't know it.
    Replaced,
    /// The upstream may have run the request, and its response is missing or invalid.
    Broken,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Reachable => "reachable",
            Outcome::Unreachable => "unreachable",
            Outcome::Refused => "refused",
            Outcome::Leaving => "leaving",
            Outcome::Replaced => "replaced",
            Outcome::Broken => "broken",
        })
    }
}

/// Error: not the name of an outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is no outcome of forwarding")]
pub struct InvalidOutcome(String);

impl FromStr for Outcome {
    type Err = InvalidOutcome;

    fn from_str(text: &str) -> Result<Outcome, InvalidOutcome> {
        match text {
            "reachable" => Ok(Outcome::Reachable),
            "unreachable" => Ok(Outcome::Unreachable),
            "refused" => Ok(Outcome::Refused),
            "replaced" => Ok(Outcome::Replaced),
            "broken" => Ok(Outcome::Broken),
            _ => Err(InvalidOutcome(text.to_string())),
        }
    }
}

/// What a node says of itself in gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Address at which the node takes requests to forward.
    pub address: SocketAddr,
    /// Whether its path to the upstreams works and it isn't stopping.
    pub can_forward: bool,
}

/// What a node passes on about another one that can forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    pub address: SocketAddr,
    pub data_centre: DataCentreDigest,
    /// Time since the node said so itself.
    pub age: Millis,
}
