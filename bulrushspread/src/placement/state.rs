//! Claims deployments and reconciles the loaded models of their engines with the declared ones.
//!
//! The offset of a claim is the fencing token of its orders. For engines that ignore the token the
//! claim is also a lease. The owner counts the lease from a time before it appends its claim. A
//! new owner counts the lease of its predecessor from the time at which it has read its own claim,
//! and adds a margin. Orders are level-triggered: they follow from engine reports, so a wrong order
//! of a former owner is corrected.

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
    claims::{Claims, Outcome},
    record::{Owner, Ownership, Record},
};

/// Time after which an append that was not read back is retried.
const APPEND_RETRY: Millis = Millis(3_000);

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// The next record of the placement stream.
    Read {
        offset: Offset,
        record: Record,
    },
    /// The declared state of the deployments that this node should own.
    Specs(BTreeMap<Deployment, Spec>),
    /// An engine reported its loaded models and the number of requests that it runs.
    Reported {
        upstream: Upstream,
        loaded: BTreeSet<String>,
        active: u32,
    },
}

/// The declared state of a deployment: the models that its engines should have loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spec {
    pub models: BTreeSet<String>,
    pub upstreams: BTreeSet<Upstream>,
    /// Whether the engines reject orders with an outdated fencing token.
    pub checks_fence: bool,
}

/// An output of the state machine, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Append(Record),
    Order { upstream: Upstream, order: Order, fence: Offset },
}

/// The placement state machine of one node.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    owner: Owner,
    claims: Claims,
    specs: BTreeMap<Deployment, Spec>,
    leases: BTreeMap<Deployment, Lease>,
    /// For each deployment, start of its latest append while the append has not been read back.
    pending_appends: BTreeMap<Deployment, Millis>,
    engines: BTreeMap<Upstream, Engine>,
    next_load: Millis,
    actions: Vec<Action>,
}

/// The right to send orders to the engines of a deployment.
#[derive(Clone, Copy, Debug)]
struct Lease {
    fence: Offset,
    /// Start of the lease. Before this time the previous owner may still send orders.
    valid_from: Millis,
    expires_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    loaded: BTreeSet<String>,
    active: u32,
    /// When the latest load or unload of each model was ordered, until a report shows its effect.
    ordered_at: BTreeMap<String, Millis>,
    /// For each loaded model that is not declared, the time since which it has not been declared.
    undeclared_since: BTreeMap<String, Millis>,
}

impl State {
    pub fn new(owner: Owner, settings: Settings) -> State {
        State {
            settings,
            owner,
            claims: Claims::default(),
            specs: BTreeMap::new(),
            leases: BTreeMap::new(),
            pending_appends: BTreeMap::new(),
            engines: BTreeMap::new(),
            next_load: Millis(0),
            actions: Vec::new(),
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Read { offset, record } => self.handle_record(now, offset, &record),
            Event::Specs(specs) => self.specs = specs,
            Event::Reported { upstream, loaded, active } => {
                let engine = self.engines.entry(upstream).or_default();
                let changed: BTreeSet<String> =
                    engine.loaded.symmetric_difference(&loaded).cloned().collect();
                engine.ordered_at.retain(|model, _| !changed.contains(model));
                engine.loaded = loaded;
                engine.active = active;
            }
        }
        mem::take(&mut self.actions)
    }

    /// The replayed state of the stream so far.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    fn handle_record(&mut self, now: Millis, offset: Offset, record: &Record) {
        let outcome = self.claims.apply(offset, record);
        let (Record::Claim(ownership) | Record::Renew(ownership)) = record;
        if ownership.owner == self.owner
            && self.pending_appends.get(&ownership.deployment) == Some(&ownership.append_started)
        {
            self.pending_appends.remove(&ownership.deployment);
        }
        match outcome {
            Outcome::Claimed { .. } if ownership.owner != self.owner => {
                self.leases.remove(&ownership.deployment);
            }
            Outcome::Claimed { first } => {
                let wait = self.settings.lease_ms + self.settings.margin_ms;
                let valid_from = if first { now } else { now + Millis(wait) };
                let expires_at = ownership.append_started + Millis(self.settings.lease_ms);
                let lease = Lease { fence: offset, valid_from, expires_at };
                self.leases.insert(ownership.deployment.clone(), lease);
            }
            Outcome::Renewed if ownership.owner == self.owner => {
                let expires_at = ownership.append_started + Millis(self.settings.lease_ms);
                if let Some(lease) = self.leases.get_mut(&ownership.deployment) {
                    lease.expires_at = lease.expires_at.max(expires_at);
                }
            }
            Outcome::Renewed | Outcome::Ignored => {}
        }
    }

    fn tick(&mut self, now: Millis) {
        let specs = mem::take(&mut self.specs);
        for (deployment, spec) in &specs {
            self.claim_or_renew(now, deployment);
            if let Some(fence) = self.fence(now, deployment, spec.checks_fence) {
                self.reconcile(now, spec, fence);
            }
        }
        self.specs = specs;
    }

    /// Claims the deployment, or renews the lease once half of it has passed.
    fn claim_or_renew(&mut self, now: Millis, deployment: &Deployment) {
        let append_started = self.pending_appends.get(deployment);
        if append_started.is_some_and(|append_started| now - *append_started < APPEND_RETRY) {
            return;
        }
        let half_lease = Millis(self.settings.lease_ms / 2);
        let lease = self.leases.get(deployment);
        if lease.is_some_and(|lease| lease.expires_at - now > half_lease) {
            return;
        }
        let epoch = match (lease, self.claims.get(deployment)) {
            (Some(_), Some(claim)) => claim.epoch,
            _ => self.claims.next_epoch(deployment),
        };
        let (deployment, owner) = (deployment.clone(), self.owner.clone());
        self.pending_appends.insert(deployment.clone(), now);
        let is_owner = lease.is_some();
        let ownership = Ownership { deployment, epoch, owner, append_started: now };
        let record = if is_owner { Record::Renew(ownership) } else { Record::Claim(ownership) };
        self.actions.push(Action::Append(record));
    }

    /// The fencing token of orders to the deployment, if this node may send any now.
    fn fence(&self, now: Millis, deployment: &Deployment, checks_fence: bool) -> Option<Offset> {
        let lease = self.leases.get(deployment)?;
        let is_within_lease = lease.valid_from <= now && now < lease.expires_at;
        (checks_fence || is_within_lease).then_some(lease.fence)
    }

    fn reconcile(&mut self, now: Millis, spec: &Spec, fence: Offset) {
        for upstream in &spec.upstreams {
            let Some(engine) = self.engines.get_mut(upstream) else { continue };
            let mut orders = Vec::new();
            if now >= self.next_load
                && let Some(model) = engine.pick_load(now, spec, &self.settings)
            {
                self.next_load = now + Millis(self.settings.load_interval_ms);
                orders.push(Order::Load { model });
            }
            let unloads = engine.pick_unloads(now, spec, &self.settings);
            orders.extend(unloads.into_iter().map(|model| Order::Unload { model }));
            let upstream = upstream.clone();
            let order = |order| Action::Order { upstream: upstream.clone(), order, fence };
            self.actions.extend(orders.into_iter().map(order));
        }
    }
}

impl Engine {
    /// Picks a declared model that is not loaded and whose load was not ordered recently.
    fn pick_load(&mut self, now: Millis, spec: &Spec, settings: &Settings) -> Option<String> {
        let mut missing = spec.models.difference(&self.loaded);
        let due = missing.find(|model| self.is_due(now, model, settings))?.clone();
        self.ordered_at.insert(due.clone(), now);
        Some(due)
    }

    /// Picks the loaded models that have not been declared for the drain time, once the engine is
    /// idle.
    fn pick_unloads(&mut self, now: Millis, spec: &Spec, settings: &Settings) -> Vec<String> {
        let loaded = &self.loaded;
        self.undeclared_since
            .retain(|model, _| loaded.contains(model) && !spec.models.contains(model));
        for model in self.loaded.difference(&spec.models) {
            self.undeclared_since.entry(model.clone()).or_insert(now);
        }
        if self.active > 0 {
            return Vec::new();
        }
        let drained = self
            .undeclared_since
            .iter()
            .filter(|(_, since)| now - **since >= Millis(settings.drain_ms));
        let due: Vec<String> = drained
            .map(|(model, _)| model.clone())
            .filter(|model| self.is_due(now, model, settings))
            .collect();
        self.ordered_at.extend(due.iter().map(|model| (model.clone(), now)));
        due
    }

    fn is_due(&self, now: Millis, model: &str, settings: &Settings) -> bool {
        let last = self.ordered_at.get(model);
        last.is_none_or(|last| now - *last >= Millis(settings.repeat_ms))
    }
}
