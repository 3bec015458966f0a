//! What is asked of the balance slice, and what it answers.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    id::{Service, Upstream},
    time::Millis,
};

/// Who a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Online,
    Batch,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    pub service: &'a Service,
    pub class: Class,
    /// Upstreams that have failed or refused the request already.
    pub avoid: &'a BTreeSet<Upstream>,
    /// The time within which an online request is to be answered.
    pub objective: Millis,
}

/// The upstream that was chosen. The request counts as in flight there until `State::end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub upstream: Upstream,
    pub address: SocketAddr,
    pub class: Class,
    /// Requests in flight there when it was chosen, this one excluded.
    pub load: u32,
    /// When it was chosen.
    pub since: Millis,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service is known, or the request has failed at all of them.
    NoUpstream { retry_after: Millis },
    /// All upstreams hold as many requests as can be served in time.
    Full { in_flight: u32, slots: u32, retry_after: Millis },
}

/// How a request ended, as far as the health of its upstream goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    /// Says nothing of the upstream, as when the caller left.
    Neutral,
    /// The upstream refused for lack of room.
    Full,
    /// No connection, no answer, or one that broke off.
    Failed,
}
