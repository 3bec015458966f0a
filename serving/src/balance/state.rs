//! The state of the balance slice.
//!
//! An upstream's load is what this node has in flight there plus what the other nodes told last.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::{Add, Sub},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    fleet::Entry,
    id::{DataCentre, Service, Upstream, Vm},
    time::Millis,
};

use super::{
    Settings,
    load::{Load, Loads, Tag},
    replica::{Replica, Span},
    request::{Class, Outcome, Pick},
};

/// What a node knows of the load of all upstreams. What is done for each request costs the same
/// for any number of upstreams, but for the refusal of one.
pub struct State {
    pub(super) settings: Settings,
    pub(super) home: DataCentre,
    pub(super) rng: SmallRng,
    pub(super) seed: u64,
    pub(super) replicas: BTreeMap<Upstream, Replica>,
    tags: BTreeMap<Tag, Upstream>,
    pub(super) services: BTreeMap<Service, Members>,
    /// Requests of this node in flight: `Replica::own` of those upstreams that have any.
    busy: Loads,
    /// Upstreams that this node has ejected, perhaps some whose ejection is over.
    ejected: BTreeSet<Upstream>,
    /// What each other node told last, and when. Summed up in `Replica::others`.
    nodes: BTreeMap<Vm, (Millis, Loads)>,
    /// No node's news expire before this time.
    next_expiry: Millis,
}

/// The upstreams of one service.
#[derive(Default)]
pub(super) struct Members {
    /// In order.
    pub(super) upstreams: Vec<Upstream>,
    /// Those to which this node keeps connections, where there are many. `None` after a change.
    pub(super) favourites: Option<BTreeSet<Upstream>>,
    /// How long online requests take in the service.
    pub(super) span: Span,
}

impl State {
    pub fn new(settings: Settings, home: DataCentre, seed: u64) -> State {
        State {
            settings,
            home,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            replicas: BTreeMap::new(),
            tags: BTreeMap::new(),
            services: BTreeMap::new(),
            busy: Loads::new(),
            ejected: BTreeSet::new(),
            nodes: BTreeMap::new(),
            next_expiry: Millis(0),
        }
    }

    /// Takes over the entries of the fleet as a whole.
    pub fn update(&mut self, entries: &BTreeMap<Upstream, Entry>) {
        let gone: Vec<Upstream> =
            self.replicas.keys().filter(|known| !entries.contains_key(*known)).cloned().collect();
        gone.iter().for_each(|upstream| self.remove(upstream));
        entries.iter().for_each(|(upstream, entry)| self.put(upstream, entry));
    }

    /// An upstream is there or has changed. What is known of it is kept, unless it started anew.
    pub fn put(&mut self, upstream: &Upstream, entry: &Entry) {
        if let Some(replica) = self.replicas.get_mut(upstream)
            && replica.entry.started == entry.started
            && replica.entry.service == entry.service
        {
            replica.entry = entry.clone();
            return;
        }
        self.remove(upstream);
        let tag = Tag::of(upstream);
        let mut replica = Replica::new(entry.clone());
        for (_, loads) in self.nodes.values() {
            replica.others = replica.others + loads.get(&tag).copied().unwrap_or_default();
        }
        self.replicas.insert(upstream.clone(), replica);
        self.tags.insert(tag, upstream.clone());
        let members = self.services.entry(entry.service.clone()).or_default();
        if let Err(position) = members.upstreams.binary_search(upstream) {
            members.upstreams.insert(position, upstream.clone());
        }
        members.favourites = None;
    }

    /// An upstream is gone.
    pub fn remove(&mut self, upstream: &Upstream) {
        let Some(replica) = self.replicas.remove(upstream) else { return };
        let tag = Tag::of(upstream);
        self.tags.remove(&tag);
        self.busy.remove(&tag);
        self.ejected.remove(upstream);
        let Some(members) = self.services.get_mut(&replica.entry.service) else { return };
        if let Ok(position) = members.upstreams.binary_search(upstream) {
            members.upstreams.remove(position);
        }
        members.favourites = None;
        if members.upstreams.is_empty() {
            self.services.remove(&replica.entry.service);
        }
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
    pub fn ejected(&mut self, now: Millis) -> Vec<(Tag, Millis)> {
        let replicas = &self.replicas;
        self.ejected.retain(|upstream| {
            replicas.get(upstream).is_some_and(|replica| replica.ejected_until > now)
        });
        let left = |upstream: &Upstream| replicas[upstream].ejected_until - now;
        self.ejected.iter().map(|upstream| (Tag::of(upstream), left(upstream))).collect()
    }

    /// The requests that this node has in flight.
    pub fn own(&self) -> &Loads {
        &self.busy
    }

    /// A request has ended.
    pub fn end(&mut self, now: Millis, pick: &Pick, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(&pick.upstream) else { return };
        match pick.class {
            Class::Online => replica.own.online = replica.own.online.saturating_sub(1),
            Class::Batch => replica.own.batch = replica.own.batch.saturating_sub(1),
        }
        let own = replica.own;
        if outcome == Outcome::Succeeded && pick.class == Class::Online {
            let ran = replica.answered(pick.load, (now - pick.since).0 as f64);
            if let Some(members) = self.services.get_mut(&replica.entry.service) {
                members.span.observe(ran);
            }
        }
        match outcome {
            Outcome::Succeeded => replica.succeeded(),
            Outcome::Neutral => {}
            Outcome::Full => replica.full_until = now + Millis(self.settings.full_ms),
            Outcome::Failed => {
                replica.failed(now, &self.settings);
                self.ejected.insert(pick.upstream.clone());
            }
        }
        self.count_own(&pick.upstream, own);
    }

    pub(super) fn count_own(&mut self, upstream: &Upstream, own: Load) {
        let tag = Tag::of(upstream);
        match own.total() {
            0 => self.busy.remove(&tag),
            _ => self.busy.insert(tag, own),
        };
    }

    /// Requests in flight at the open upstreams of `service` and the slots of these.
    pub fn occupancy(&self, now: Millis, service: &Service) -> (Load, u32) {
        let mut sum = Load::default();
        let mut slots = 0;
        let members = self.services.get(service).into_iter().flat_map(|members| &members.upstreams);
        for replica in members.map(|upstream| &self.replicas[upstream]) {
            if replica.entry.draining || replica.is_ejected(now, &self.settings) {
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
        for upstream in self.busy.keys().filter_map(|tag| self.tags.get(tag)) {
            let Some(replica) = self.replicas.get(upstream) else { continue };
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
    pub(super) fn expire(&mut self, now: Millis) {
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

    /// When a refused caller may come back; spread, so that not all come at once.
    pub fn retry_after(&mut self) -> Millis {
        let spread = self.rng.random_range(0..=self.settings.retry_spread_ms);
        Millis(self.settings.retry_after_ms + spread)
    }
}
