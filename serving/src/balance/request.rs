//! Input and results of load balancing.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use crate::{
    fleet::Software,
    id::{Service, Upstream, Version},
    time::Millis,
};

use super::locality::Departure;

/// Scheduling class of a request: online requests have a waiting caller, batch requests don't.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Online,
    Batch,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Class::Online => "online",
            Class::Batch => "batch",
        })
    }
}

/// Constraints on the choice of an upstream for one request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    pub service: &'a Service,
    pub class: Class,
    /// Upstreams that already failed or refused the request.
    pub excluded: &'a BTreeSet<Upstream>,
    /// The only version that may take the request, because it goes on with what an upstream of this
    /// version has begun.
    pub version: Option<&'a Version>,
    /// Latency objective of an online request.
    pub objective: Millis,
}

/// The chosen upstream. The request counts as in flight there until
/// [`State::finish`](super::State::finish).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub upstream: Upstream,
    pub address: SocketAddr,
    pub service: Service,
    pub version: Version,
    /// Start of the upstream's process, as in its entry.
    pub started: u64,
    pub class: Class,
    /// Requests in flight at the upstream when it was chosen, this one excluded.
    pub load: u32,
    /// Time of the choice.
    pub chosen_at: Millis,
    /// Where the request has gone if it has left this node's data centre, and why.
    pub departure: Option<Departure>,
}

impl Pick {
    /// What the upstream runs.
    pub fn software(&self) -> Software {
        Software { service: self.service.clone(), version: self.version.clone() }
    }
}

/// Reason why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no upstream that takes requests, or the request failed at all of them.
    NoUpstream { retry_after: Millis },
    /// This node has lost its path to the upstreams, and no other node can forward requests.
    NoPath { retry_after: Millis },
    /// The prompt holds a part that crashes upstreams.
    Blocked { retry_after: Millis },
    /// The upstreams with capacity limit the rate of their requests, and the rate is used up.
    Limited { retry_after: Millis },
    /// No upstream has capacity to serve one more request in time.
    Full { in_flight: u32, slots: u32, retry_after: Millis },
}

impl Refusal {
    /// Delay after which the caller may retry.
    pub fn retry_after(self) -> Millis {
        match self {
            Refusal::NoUpstream { retry_after }
            | Refusal::NoPath { retry_after }
            | Refusal::Blocked { retry_after }
            | Refusal::Limited { retry_after }
            | Refusal::Full { retry_after, .. } => retry_after,
        }
    }
}

/// Result of a request as it affects the health of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    /// No evidence about the upstream, for example because the caller disconnected.
    Neutral,
    /// The upstream refused the request for lack of capacity.
    Full,
    /// Another upstream has the address, so this one is gone although it is still registered.
    Misdirected,
    /// The connection failed, or the upstream sent no response or an incomplete one.
    Failed,
}
