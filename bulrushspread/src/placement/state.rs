//! Claims deployments and brings what their engines have loaded to what is declared.
//!
//! The offset of a claim is the fencing number of its orders. For engines that ignore the number
//! the claim is a lease too: its holder counts from before its append, its successor from after
//! its read, plus a margin. Orders are level-triggered: they follow from what engines report, so
//! a wrong order of a former holder is corrected.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use crate::{
    id::{Deployment, Offset, Upstream},
    time::Millis,
    upstream::Order,
};

use super::{
    Settings,
    claims::{Claims, Verdict},
    record::{Owner, Record, Term},
};

/// Time after which an append without an answer is made again.
const APPEND_RETRY: Millis = Millis(3_000);

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// A record of the stream, in order.
    Read {
        offset: Offset,
        record: Record,
    },
    /// What is declared, for the deployments that this node should hold.
    Wanted(BTreeMap<Deployment, Wanted>),
    /// What an engine says it has loaded, and how many requests it runs.
    Reported {
        upstream: Upstream,
        loaded: BTreeSet<String>,
        active: u32,
    },
}

/// What the engines of a deployment should have loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    pub models: BTreeSet<String>,
    pub upstreams: BTreeSet<Upstream>,
    /// Whether the engines refuse orders that carry an old fencing number.
    pub checks_fence: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Append(Record),
    Order { upstream: Upstream, order: Order, fence: Offset },
}

/// What one node does about placement.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    owner: Owner,
    claims: Claims,
    wanted: BTreeMap<Deployment, Wanted>,
    leases: BTreeMap<Deployment, Lease>,
    /// When the latest append for a deployment began that has not been read back.
    appending: BTreeMap<Deployment, Millis>,
    engines: BTreeMap<Upstream, Engine>,
    next_load: Millis,
    actions: Vec<Action>,
}

/// The right to give orders to the engines of a deployment.
#[derive(Clone, Copy, Debug)]
struct Lease {
    fence: Offset,
    /// Before this time a predecessor may still give orders.
    from: Millis,
    until: Millis,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    loaded: BTreeSet<String>,
    active: u32,
    /// When each model was last ordered to be loaded or unloaded.
    ordered: BTreeMap<String, Millis>,
    /// Since when each loaded model has not been wanted.
    unwanted: BTreeMap<String, Millis>,
}

impl State {
    pub fn new(owner: Owner, settings: Settings) -> State {
        State {
            settings,
            owner,
            claims: Claims::default(),
            wanted: BTreeMap::new(),
            leases: BTreeMap::new(),
            appending: BTreeMap::new(),
            engines: BTreeMap::new(),
            next_load: Millis(0),
            actions: Vec::new(),
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Read { offset, record } => self.read(now, offset, &record),
            Event::Wanted(wanted) => self.wanted = wanted,
            Event::Reported { upstream, loaded, active } => {
                let engine = self.engines.entry(upstream).or_default();
                let changed: BTreeSet<String> =
                    engine.loaded.symmetric_difference(&loaded).cloned().collect();
                engine.ordered.retain(|model, _| !changed.contains(model));
                engine.loaded = loaded;
                engine.active = active;
            }
        }
        mem::take(&mut self.actions)
    }

    /// The fold of the stream so far.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    fn read(&mut self, now: Millis, offset: Offset, record: &Record) {
        let verdict = self.claims.fold(offset, record);
        let (Record::Claim(term) | Record::Renew(term)) = record;
        if term.owner == self.owner && self.appending.get(&term.deployment) == Some(&term.began) {
            self.appending.remove(&term.deployment);
        }
        match verdict {
            Verdict::Claimed { .. } if term.owner != self.owner => {
                self.leases.remove(&term.deployment);
            }
            Verdict::Claimed { first } => {
                let wait = self.settings.lease_ms + self.settings.margin_ms;
                let from = if first { now } else { now + Millis(wait) };
                let until = term.began + Millis(self.settings.lease_ms);
                let lease = Lease { fence: offset, from, until };
                self.leases.insert(term.deployment.clone(), lease);
            }
            Verdict::Renewed if term.owner == self.owner => {
                let until = term.began + Millis(self.settings.lease_ms);
                if let Some(lease) = self.leases.get_mut(&term.deployment) {
                    lease.until = lease.until.max(until);
                }
            }
            Verdict::Renewed | Verdict::Void => {}
        }
    }

    fn tick(&mut self, now: Millis) {
        let wanted = mem::take(&mut self.wanted);
        for (deployment, wanted) in &wanted {
            self.keep(now, deployment);
            if let Some(fence) = self.fence(now, deployment, wanted.checks_fence) {
                self.reconcile(now, wanted, fence);
            }
        }
        self.wanted = wanted;
    }

    /// Claims the deployment, or renews its lease before it ends.
    fn keep(&mut self, now: Millis, deployment: &Deployment) {
        let began = self.appending.get(deployment);
        if began.is_some_and(|began| now - *began < APPEND_RETRY) {
            return;
        }
        let half = Millis(self.settings.lease_ms / 2);
        let lease = self.leases.get(deployment);
        if lease.is_some_and(|lease| lease.until - now > half) {
            return;
        }
        let epoch = match (lease, self.claims.get(deployment)) {
            (Some(_), Some(claim)) => claim.epoch,
            _ => self.claims.next_epoch(deployment),
        };
        let (deployment, owner) = (deployment.clone(), self.owner.clone());
        self.appending.insert(deployment.clone(), now);
        let holds = lease.is_some();
        let term = Term { deployment, epoch, owner, began: now };
        let record = if holds { Record::Renew(term) } else { Record::Claim(term) };
        self.actions.push(Action::Append(record));
    }

    /// The fencing number under which orders may be given now.
    fn fence(&self, now: Millis, deployment: &Deployment, checks: bool) -> Option<Offset> {
        let lease = self.leases.get(deployment)?;
        let in_time = lease.from <= now && now < lease.until;
        (checks || in_time).then_some(lease.fence)
    }

    fn reconcile(&mut self, now: Millis, wanted: &Wanted, fence: Offset) {
        for upstream in &wanted.upstreams {
            let Some(engine) = self.engines.get_mut(upstream) else { continue };
            let mut orders = Vec::new();
            if now >= self.next_load
                && let Some(model) = engine.next_load(now, wanted, &self.settings)
            {
                self.next_load = now + Millis(self.settings.load_interval_ms);
                orders.push(Order::Load { model });
            }
            let unloads = engine.next_unloads(now, wanted, &self.settings);
            orders.extend(unloads.into_iter().map(|model| Order::Unload { model }));
            let upstream = upstream.clone();
            let order = |order| Action::Order { upstream: upstream.clone(), order, fence };
            self.actions.extend(orders.into_iter().map(order));
        }
    }
}

impl Engine {
    /// A wanted model that is not loaded, unless its load was ordered lately.
    fn next_load(&mut self, now: Millis, wanted: &Wanted, settings: &Settings) -> Option<String> {
        let mut missing = wanted.models.difference(&self.loaded);
        let due = missing.find(|model| self.is_due(now, model, settings))?.clone();
        self.ordered.insert(due.clone(), now);
        Some(due)
    }

    /// Loaded models that nobody has wanted for the time of draining, once the engine is idle.
    fn next_unloads(&mut self, now: Millis, wanted: &Wanted, settings: &Settings) -> Vec<String> {
        let loaded = &self.loaded;
        self.unwanted.retain(|model, _| loaded.contains(model) && !wanted.models.contains(model));
        for model in self.loaded.difference(&wanted.models) {
            self.unwanted.entry(model.clone()).or_insert(now);
        }
        if self.active > 0 {
            return Vec::new();
        }
        let drained =
            self.unwanted.iter().filter(|(_, since)| now - **since >= Millis(settings.drain_ms));
        let due: Vec<String> = drained
            .map(|(model, _)| model.clone())
            .filter(|model| self.is_due(now, model, settings))
            .collect();
        self.ordered.extend(due.iter().map(|model| (model.clone(), now)));
        due
    }

    fn is_due(&self, now: Millis, model: &str, settings: &Settings) -> bool {
        let last = self.ordered.get(model);
        last.is_none_or(|last| now - *last >= Millis(settings.repeat_ms))
    }
}
