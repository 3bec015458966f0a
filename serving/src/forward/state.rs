//! The nodes that can forward requests, and the choice among them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{Rng, RngExt, seq::IteratorRandom};

use crate::{collector::DataCentreDigest, time::Millis};

use super::{Notice, Offer};

/// Time after which what a node said of itself no longer counts. Several gossip intervals.
const OFFER_TTL: Millis = Millis(2_000);
/// Time for which a forwarder that failed gets requests only if there is no other one.
const AVOIDANCE: Millis = Millis(500);
/// Time without a response to any request after which a forwarder counts as failed.
const MAX_SILENCE: Millis = Millis(500);
/// Penalty on forwarders that failed, in waiting requests.
const FAILURE_PENALTY: f64 = 1_000.0;
/// Number of forwarders that one gossip message names.
const MAX_NOTICES: usize = 8;
/// Maximum number of known forwarders; more than a node uses.
const MAX_FORWARDERS: usize = 512;
/// Penalty on forwarders in a data centre that is neither the sender's nor the upstream's, in waiting
/// requests: bytes cross between data centres twice.
const DETOUR_PENALTY: f64 = 2.0;

#[derive(Clone, Debug)]
struct Forwarder {
    data_centre: DataCentreDigest,
    can_forward: bool,
    /// When the node said so.
    said_at: Millis,
    avoided_until: Millis,
    /// Requests of this node that the forwarder has and that have no response yet, with the times at
    /// which they were sent.
    waiting: BTreeMap<u64, Millis>,
    /// When the forwarder last responded.
    responded_at: Millis,
}

/// The nodes that offer to forward requests, by the address at which they take them.
#[derive(Clone, Debug, Default)]
pub struct State {
    forwarders: BTreeMap<SocketAddr, Forwarder>,
    /// Number of the next request.
    next_request: u64,
}

/// A request at the forwarder that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    pub address: SocketAddr,
    request: u64,
}

impl State {
    /// Records what a node says of itself.
    pub fn record_offer(&mut self, now: Millis, offer: Offer, data_centre: DataCentreDigest) {
        self.update(now, offer.address, data_centre, offer.can_forward);
    }

    /// Merges what a node passes on about others. `own` is the address of this node, which is no
    /// forwarder of its own requests.
    pub fn merge(&mut self, now: Millis, own: SocketAddr, notices: &[Notice]) {
        for notice in notices.iter().filter(|notice| notice.address != own) {
            self.update(now - notice.age, notice.address, notice.data_centre, true);
        }
        self.forwarders
            .retain(|_, known| now - known.said_at < OFFER_TTL || !known.waiting.is_empty());
    }

    fn update(
        &mut self,
        said_at: Millis,
        address: SocketAddr,
        data_centre: DataCentreDigest,
        can_forward: bool,
    ) {
        let is_full = self.forwarders.len() >= MAX_FORWARDERS;
        match self.forwarders.get_mut(&address) {
            Some(known) if known.said_at > said_at => {}
            Some(known) => {
                known.said_at = said_at;
                known.can_forward = can_forward;
                known.data_centre = data_centre;
            }
            None if is_full => {}
            None => {
                let forwarder = Forwarder {
                    data_centre,
                    can_forward,
                    said_at,
                    avoided_until: Millis(0),
                    waiting: BTreeMap::new(),
                    responded_at: Millis(0),
                };
                self.forwarders.insert(address, forwarder);
            }
        }
    }

    /// Some forwarders to pass on to other nodes, with the time since each said so.
    pub fn notices(&self, now: Millis, rng: &mut impl Rng) -> Vec<Notice> {
        let known = self.forwarders.iter().filter(|(_, known)| known.is_valid(now));
        let notice = |(address, known): (&SocketAddr, &Forwarder)| Notice {
            address: *address,
            data_centre: known.data_centre,
            age: now - known.said_at,
        };
        known.map(notice).sample(rng, MAX_NOTICES)
    }

    /// Number of nodes that can forward a request now.
    pub fn count(&self, now: Millis) -> usize {
        self.forwarders.values().filter(|known| known.is_valid(now)).count()
    }

    /// Chooses the forwarder with the fewest waiting requests of this node, preferably in one of the
    /// data centres `near` and none that `excluded` names. The request counts as waiting there until
    /// [`State::finish`].
    pub fn choose(
        &mut self,
        now: Millis,
        near: &[DataCentreDigest],
        excluded: &BTreeSet<SocketAddr>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let is_candidate = |address: &SocketAddr, known: &Forwarder| {
            known.is_valid(now) && !excluded.contains(address)
        };
        let candidates =
            self.forwarders.iter().filter(|(address, known)| is_candidate(address, known));
        let scored = candidates.map(|(address, known)| {
            let detour = if near.contains(&known.data_centre) { 0.0 } else { DETOUR_PENALTY };
            let failure = if known.has_failed(now) { FAILURE_PENALTY } else { 0.0 };
            let tie_breaker: f64 = rng.random();
            (known.waiting.len() as f64 + detour + failure + tie_breaker, *address)
        });
        let (_, address) = scored.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let request = self.next_request;
        self.next_request += 1;
        if let Some(chosen) = self.forwarders.get_mut(&address) {
            chosen.waiting.insert(request, now);
        }
        Some(Choice { address, request })
    }

    /// Records that the forwarder has responded to a request, or that the request was given up.
    pub fn finish(&mut self, now: Millis, choice: Choice, has_response: bool) {
        let Some(known) = self.forwarders.get_mut(&choice.address) else { return };
        known.waiting.remove(&choice.request);
        if has_response {
            known.responded_at = now;
        }
    }

    /// Records that a forwarder failed or couldn't forward a request.
    pub fn avoid(&mut self, now: Millis, address: SocketAddr) {
        if let Some(known) = self.forwarders.get_mut(&address) {
            known.avoided_until = now + AVOIDANCE;
        }
    }
}

impl Forwarder {
    fn is_valid(&self, now: Millis) -> bool {
        self.can_forward && now - self.said_at < OFFER_TTL
    }

    /// Whether the forwarder has failed a moment ago, or has not responded to anything for too long.
    fn has_failed(&self, now: Millis) -> bool {
        let is_silent =
            self.waiting.values().next().is_some_and(|sent_at| {
                now - *sent_at > MAX_SILENCE && self.responded_at < *sent_at
            });
        self.avoided_until > now || is_silent
    }
}
