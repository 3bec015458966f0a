//! The state of the balance slice.
//!
//! An upstream's load is what this node has in flight there plus what the other nodes told last.
//! The least loaded upstream is chosen; one of another data centre must be ahead by a margin.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    fleet::Entry,
    id::{DataCentre, Service, Upstream, Vm},
    time::Millis,
};

use super::{Settings, replica::Replica};

/// Requests in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub online: u32,
    pub batch: u32,
}

impl Load {
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

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
}

/// The upstream that was chosen. The request counts as in flight there until `State::end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub upstream: Upstream,
    pub address: SocketAddr,
    pub class: Class,
    /// Requests in flight there when it was chosen, this one excluded.
    pub load: u32,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service is known, or the request has failed at all of them.
    NoUpstream { retry_after: Millis },
    /// All upstreams hold as many requests as can be served in time.
    Full { retry_after: Millis },
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

/// What a node knows of the load of all upstreams.
pub struct State {
    settings: Settings,
    home: DataCentre,
    rng: SmallRng,
    replicas: BTreeMap<Upstream, Replica>,
}

impl State {
    pub fn new(settings: Settings, home: DataCentre, seed: u64) -> State {
        State { settings, home, rng: SmallRng::seed_from_u64(seed), replicas: BTreeMap::new() }
    }

    /// Takes over the entries of the fleet. What is known of staying upstreams is kept; one that
    /// started anew begins without a history.
    pub fn update(&mut self, entries: &BTreeMap<Upstream, Entry>) {
        self.replicas.retain(|upstream, replica| {
            entries.get(upstream).is_some_and(|entry| entry.started == replica.entry.started)
        });
        for (upstream, entry) in entries {
            let replica = self
                .replicas
                .entry(upstream.clone())
                .or_insert_with(|| Replica::new(entry.clone()));
            replica.entry = entry.clone();
        }
    }

    /// Takes in the requests that another node has in flight, by upstream.
    pub fn told(&mut self, now: Millis, vm: &Vm, loads: &BTreeMap<Upstream, Load>) {
        for (upstream, replica) in &mut self.replicas {
            match loads.get(upstream) {
                Some(load) => {
                    replica.others.insert(vm.clone(), (now, *load));
                }
                None => {
                    replica.others.remove(vm);
                }
            }
        }
    }

    /// The requests that this node has in flight, by upstream, without those that have none.
    pub fn own(&self) -> BTreeMap<Upstream, Load> {
        let busy = self.replicas.iter().filter(|(_, replica)| replica.own.total() > 0);
        busy.map(|(upstream, replica)| (upstream.clone(), replica.own)).collect()
    }

    /// Chooses an upstream and counts the request as in flight there.
    pub fn choose(&mut self, now: Millis, want: Want<'_>) -> Result<Pick, Refusal> {
        let candidates: Vec<&Upstream> = self
            .replicas
            .iter()
            .filter(|(upstream, replica)| {
                replica.entry.service == *want.service
                    && !replica.entry.draining
                    && !want.avoid.contains(*upstream)
            })
            .map(|(upstream, _)| upstream)
            .collect();
        let healthy: Vec<&Upstream> = candidates
            .iter()
            .copied()
            .filter(|upstream| self.replicas[*upstream].ejected_until <= now)
            .collect();
        let usable = if healthy.is_empty() { candidates } else { healthy };
        if usable.is_empty() {
            return Err(Refusal::NoUpstream { retry_after: self.retry_after() });
        }
        let mut best: Option<(f64, Upstream)> = None;
        for upstream in usable {
            let replica = &self.replicas[upstream];
            if !replica.has_room(now, want.class, &self.settings) {
                continue;
            }
            let distance = match replica.entry.data_centre == self.home {
                true => 0.0,
                false => self.settings.data_centre_bias,
            };
            let load = f64::from(replica.load(now, &self.settings).total());
            // The fraction breaks ties at random, so that nodes with the same news spread out.
            let score = load + distance + self.rng.random::<f64>() * 0.5;
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, upstream.clone()));
            }
        }
        let Some((_, upstream)) = best else {
            return Err(Refusal::Full { retry_after: self.retry_after() });
        };
        Ok(self.start(now, upstream, want.class))
    }

    /// A request has ended.
    pub fn end(&mut self, now: Millis, pick: &Pick, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(&pick.upstream) else { return };
        match pick.class {
            Class::Online => replica.own.online = replica.own.online.saturating_sub(1),
            Class::Batch => replica.own.batch = replica.own.batch.saturating_sub(1),
        }
        match outcome {
            Outcome::Succeeded => {
                replica.failures = 0;
                replica.ejected_until = Millis(0);
            }
            Outcome::Neutral => {}
            Outcome::Full => replica.full_until = now + Millis(self.settings.full_ms),
            Outcome::Failed => replica.failed(now, &self.settings),
        }
    }

    /// Requests in flight at the open upstreams of `service` and the slots of these.
    pub fn occupancy(&self, now: Millis, service: &Service) -> (Load, u32) {
        let mut sum = Load::default();
        let mut slots = 0;
        for replica in self.replicas.values() {
            if replica.entry.service != *service || replica.entry.draining {
                continue;
            }
            if replica.ejected_until > now {
                continue;
            }
            let load = replica.load(now, &self.settings);
            sum.online += load.online;
            sum.batch += load.batch;
            slots += replica.entry.slots;
        }
        (sum, slots)
    }

    /// Upstreams that hold more than their slots, with the number of requests beyond them.
    pub fn overfull(&self, now: Millis) -> BTreeMap<Upstream, u32> {
        let mut overfull = BTreeMap::new();
        for (upstream, replica) in &self.replicas {
            let excess =
                replica.load(now, &self.settings).total().saturating_sub(replica.entry.slots);
            if excess > 0 {
                overfull.insert(upstream.clone(), excess);
            }
        }
        overfull
    }

    fn start(&mut self, now: Millis, upstream: Upstream, class: Class) -> Pick {
        let load = self.replicas[&upstream].load(now, &self.settings).total();
        let address = self.replicas[&upstream].entry.address;
        if let Some(replica) = self.replicas.get_mut(&upstream) {
            match class {
                Class::Online => replica.own.online += 1,
                Class::Batch => replica.own.batch += 1,
            }
        }
        Pick { upstream, address, class, load }
    }

    /// When a refused caller may come back; spread, so that not all come at once.
    pub fn retry_after(&mut self) -> Millis {
        let spread = self.rng.random_range(0..=self.settings.retry_spread_ms);
        Millis(self.settings.retry_after_ms + spread)
    }
}
