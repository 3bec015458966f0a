//! The state of the balance slice.
//!
//! An upstream's load is what this node has in flight there plus what the other nodes told last.
//! The least loaded upstream is chosen; one of another data centre must be ahead by a margin.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::{Add, Sub},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::index};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    fleet::Entry,
    id::{DataCentre, Service, Upstream, Vm},
    time::Millis,
};

use super::{
    Settings,
    load::{Load, Loads, Tag},
    replica::Replica,
    request::{Class, Outcome, Pick, Refusal, Want},
};

/// Upstreams that are compared for one request at most.
const SAMPLE_FROM: usize = 12;
/// Upstreams of a large service that a node favours; together they hold its usual load.
const FAVOURITES: usize = 6;

/// What a node knows of the load of all upstreams.
pub struct State {
    settings: Settings,
    home: DataCentre,
    rng: SmallRng,
    replicas: BTreeMap<Upstream, Replica>,
    tags: BTreeMap<Tag, Upstream>,
    /// Upstreams of large services to which this node keeps connections.
    favourites: BTreeSet<Upstream>,
    seed: u64,
    /// What each other node told last, and when. Summed up in `Replica::others`.
    nodes: BTreeMap<Vm, (Millis, Loads)>,
    /// No node's news expire before this time.
    next_expiry: Millis,
}

impl State {
    pub fn new(settings: Settings, home: DataCentre, seed: u64) -> State {
        State {
            settings,
            home,
            rng: SmallRng::seed_from_u64(seed),
            replicas: BTreeMap::new(),
            tags: BTreeMap::new(),
            favourites: BTreeSet::new(),
            seed,
            nodes: BTreeMap::new(),
            next_expiry: Millis(0),
        }
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
            replica.others = Load::default();
        }
        self.tags = self.replicas.keys().map(|id| (Tag::of(id), id.clone())).collect();
        for (_, loads) in self.nodes.clone().into_values() {
            self.sum(&loads, Load::add);
        }
        self.favour();
    }

    /// Draws the favourites: the same ones as before, as far as they are still there.
    fn favour(&mut self) {
        let mut services: BTreeMap<&Service, Vec<(bool, u64, &Upstream)>> = BTreeMap::new();
        for (upstream, replica) in &self.replicas {
            let is_away = replica.entry.data_centre != self.home;
            let draw = xxh3_64_with_seed(upstream.0.as_bytes(), self.seed);
            services.entry(&replica.entry.service).or_default().push((is_away, draw, upstream));
        }
        let mut favourites = BTreeSet::new();
        for mut upstreams in services.into_values().filter(|list| list.len() > SAMPLE_FROM) {
            upstreams.sort();
            let nearest = upstreams.into_iter().take(FAVOURITES);
            favourites.extend(nearest.map(|(_, _, upstream)| upstream.clone()));
        }
        self.favourites = favourites;
    }

    /// Takes in the requests that another node has in flight.
    pub fn update_loads(&mut self, now: Millis, vm: &Vm, loads: Loads) {
        self.expire(now);
        self.sum(&loads, Load::add);
        if let Some((_, before)) = self.nodes.insert(vm.clone(), (now, loads)) {
            self.sum(&before, Load::sub);
        }
    }

    /// Another node has ejected these upstreams for so long.
    pub fn update_ejections(&mut self, now: Millis, vm: &Vm, ejected: &[(Tag, Millis)]) {
        for (tag, span) in ejected {
            let upstream = self.tags.get(tag);
            if let Some(replica) = upstream.and_then(|id| self.replicas.get_mut(id)) {
                replica.ejected_by.insert(vm.clone(), now + *span);
            }
        }
    }

    /// Upstreams that this node has ejected by what it saw, and for how much longer.
    pub fn ejected(&self, now: Millis) -> Vec<(Tag, Millis)> {
        let ejected = self.replicas.iter().filter(|(_, replica)| replica.ejected_until > now);
        ejected.map(|(id, replica)| (Tag::of(id), replica.ejected_until - now)).collect()
    }

    /// The requests that this node has in flight.
    pub fn own(&self) -> Loads {
        let busy = self.replicas.iter().filter(|(_, replica)| replica.own.total() > 0);
        busy.map(|(upstream, replica)| (Tag::of(upstream), replica.own)).collect()
    }

    /// Chooses an upstream and counts the request as in flight there.
    pub fn choose(&mut self, now: Millis, want: Want<'_>) -> Result<Pick, Refusal> {
        self.expire(now);
        let usable = self.usable(now, want);
        if usable.is_empty() {
            return Err(Refusal::NoUpstream { retry_after: self.retry_after() });
        }
        let sample = self.sample(&usable);
        let best = match self.best(now, want.class, &sample) {
            None if sample.len() < usable.len() => self.best(now, want.class, &usable),
            best => best,
        };
        let Some(upstream) = best else {
            let retry_after = self.retry_after();
            let (load, slots) = self.occupancy(now, want.service);
            return Err(Refusal::Full { in_flight: load.total(), slots, retry_after });
        };
        Ok(self.start(upstream, want.class))
    }

    /// Upstreams that may get the request.
    fn usable(&self, now: Millis, want: Want<'_>) -> Vec<Upstream> {
        let candidate = |upstream: &Upstream, replica: &Replica| {
            replica.entry.service == *want.service
                && !replica.entry.draining
                && !want.avoid.contains(upstream)
        };
        let (ejected, healthy): (Vec<_>, Vec<_>) = self
            .replicas
            .iter()
            .filter(|(upstream, replica)| candidate(upstream, replica))
            .partition(|(_, replica)| replica.is_ejected(now, &self.settings));
        // Where most seem to fail, the cause is elsewhere, and the rest can't take all requests.
        let all = healthy.len() < ejected.len();
        let ejected = ejected.into_iter().filter(|_| all);
        healthy.into_iter().chain(ejected).map(|(upstream, _)| upstream.clone()).collect()
    }

    /// The favourites of many upstreams and a few drawn at random: nodes with the same news then
    /// don't all choose the same one.
    fn sample(&mut self, usable: &[Upstream]) -> Vec<Upstream> {
        if usable.len() <= SAMPLE_FROM {
            return usable.to_vec();
        }
        let (mut sample, others): (Vec<Upstream>, Vec<Upstream>) =
            usable.iter().cloned().partition(|upstream| self.favourites.contains(upstream));
        let count = (SAMPLE_FROM - FAVOURITES).min(others.len());
        let drawn = index::sample(&mut self.rng, others.len(), count);
        sample.extend(drawn.into_iter().map(|position| others[position].clone()));
        sample
    }

    /// The least loaded of `upstreams` that has room.
    fn best(&mut self, now: Millis, class: Class, upstreams: &[Upstream]) -> Option<Upstream> {
        let mut best: Option<(f64, &Upstream)> = None;
        for upstream in upstreams {
            let replica = &self.replicas[upstream];
            if !replica.has_room(now, class, &self.settings) {
                continue;
            }
            let distance = match replica.entry.data_centre == self.home {
                true => 0.0,
                false => self.settings.data_centre_bias,
            };
            let favour = match self.favourites.is_empty() || self.favourites.contains(upstream) {
                true => 0.0,
                false => self.settings.favour_bias,
            };
            // The fraction breaks ties at random, so that nodes with the same news spread out.
            let tie = self.rng.random::<f64>() * 0.5;
            let score = f64::from(replica.load().total()) + distance + favour + tie;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, upstream));
            }
        }
        best.map(|(_, upstream)| upstream.clone())
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
                replica.succeeded();
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
            if replica.is_ejected(now, &self.settings) {
                continue;
            }
            let load = replica.load();
            sum = sum + load;
            slots += replica.entry.slots;
        }
        (sum, slots)
    }

    /// Batch requests of this node that are to make room, by upstream: its share of those beyond
    /// the slots, so that nodes with the same news don't all pause theirs.
    pub fn overfull(&mut self) -> BTreeMap<Upstream, u32> {
        let mut overfull = BTreeMap::new();
        for (upstream, replica) in &self.replicas {
            let load = replica.load();
            let excess = load.total().saturating_sub(replica.entry.slots).min(load.batch);
            if excess == 0 || replica.own.batch == 0 {
                continue;
            }
            let share = f64::from(excess) * f64::from(replica.own.batch) / f64::from(load.batch);
            let rounded_up = self.rng.random::<f64>() < share.fract();
            let count = share as u32 + u32::from(rounded_up);
            if count > 0 {
                overfull.insert(upstream.clone(), count);
            }
        }
        overfull
    }

    /// Batch requests that may start now over all upstreams of `service`. Counting the service as
    /// a whole, they don't start and stop with each online request at one upstream.
    pub fn batch_room(&self, now: Millis, service: &Service) -> u32 {
        let (load, slots) = self.occupancy(now, service);
        let open = (f64::from(slots) * (1.0 - self.settings.online_reserve)) as u32;
        open.saturating_sub(load.total())
    }

    /// Forgets what nodes told too long ago.
    fn expire(&mut self, now: Millis) {
        if now < self.next_expiry {
            return;
        }
        let expiry = Millis(self.settings.load_expiry_ms);
        let old: Vec<Vm> = self
            .nodes
            .iter()
            .filter(|(_, (told, _))| now - *told >= expiry)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in old {
            if let Some((_, loads)) = self.nodes.remove(&vm) {
                self.sum(&loads, Load::sub);
            }
        }
        let oldest = self.nodes.values().map(|(told, _)| *told).min().unwrap_or(now);
        self.next_expiry = oldest + expiry;
    }

    fn sum(&mut self, loads: &Loads, change: fn(Load, Load) -> Load) {
        for (tag, load) in loads {
            let upstream = self.tags.get(tag);
            if let Some(replica) = upstream.and_then(|id| self.replicas.get_mut(id)) {
                replica.others = change(replica.others, *load);
            }
        }
    }

    fn start(&mut self, upstream: Upstream, class: Class) -> Pick {
        let load = self.replicas[&upstream].load().total();
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
