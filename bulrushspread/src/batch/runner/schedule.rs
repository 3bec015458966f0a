//! Chooses which item starts on which replica, and how many more to request.

use std::collections::BTreeMap;

use crate::{
    batch::message::{Capacity, Ticket, Work},
    id::{Deployment, Model, Upstream},
    time::Millis,
};

use super::{
    message::{Action, Kind},
    run::{Phase, Run},
    state::State,
};

/// The path prefix of items for plain services.
const SERVICES_PREFIX: &str = "/services/";
/// Time between two renewals of the held items at their owners.
const RENEWAL_INTERVAL: Millis = Millis(500);
/// Separates a model's name from its adapter's.
const ADAPTER_SEPARATOR: char = ':';

impl State {
    /// The deployment or plain service of this node's replicas that can run the item.
    pub(super) fn find_serving(&self, work: &Work) -> Option<String> {
        let fits = |kind: Kind, serves: &str, models: &[Model]| match kind {
            Kind::Engine => {
                work.model.as_ref().is_some_and(|model| models.contains(&base_model(model)))
            }
            Kind::Service => service_name(&work.url) == Some(serves),
        };
        let specs = self.replicas.values().map(|replica| &replica.spec);
        specs
            .filter(|spec| fits(spec.kind, &spec.serves, &spec.models))
            .map(|spec| spec.serves.clone())
            .next()
    }

    /// Starts waiting items on replicas with free capacity, the most urgent first.
    pub(super) fn start_waiting(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let upstreams: Vec<Upstream> = self.replicas.keys().cloned().collect();
        for upstream in upstreams {
            while let Some(ticket) = self.next_item(now, &upstream) {
                self.start_item(now, &ticket, upstream.clone(), actions);
            }
        }
    }

    /// Requests items for the capacity that the waiting items don't fill.
    pub(super) fn pull(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.pull_in_flight || now < self.next_pull {
            return;
        }
        let capacity = self.capacity(now);
        if capacity.is_empty() {
            return;
        }
        self.pull_in_flight = true;
        self.next_pull = now + Millis(self.settings.pull_ms);
        let holding = self.runs.keys().cloned().collect();
        actions.push(Action::Pull { capacity, holding });
    }

    /// Reports again to the owners which items this node holds, so that they don't reassign them.
    pub(super) fn renew_holding(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_renewal || self.runs.is_empty() {
            return;
        }
        self.next_renewal = now + RENEWAL_INTERVAL;
        actions.push(Action::RenewHolding(self.runs.keys().cloned().collect()));
    }

    fn capacity(&self, now: Millis) -> Vec<Capacity> {
        let mut totals: BTreeMap<&str, (u32, &[Model])> = BTreeMap::new();
        for replica in self.replicas.values() {
            let limit = replica.stream_limit(now, &self.settings);
            if limit == 0 {
                continue;
            }
            let used = (replica.running.len() + replica.cancelling.len()) as u32;
            let total = totals.entry(&replica.spec.serves).or_insert((0, &replica.spec.models));
            total.0 += limit.saturating_sub(used) + self.settings.ahead;
        }
        totals
            .into_iter()
            .map(|(serves, (items, models))| Capacity {
                deployment: Deployment(serves.to_string()),
                models: models.to_vec(),
                items: items.saturating_sub(self.count_waiting(serves)),
            })
            .filter(|capacity| capacity.items > 0)
            .collect()
    }

    fn count_waiting(&self, serves: &str) -> u32 {
        let waits = |run: &&Run| run.serves == serves && matches!(run.phase, Phase::Waiting { .. });
        self.runs.values().filter(waits).count() as u32
    }

    /// The item to start next on the replica. Items suspected of a crash run alone. They go
    /// first, so that no other item starts until the replica is empty for them.
    fn next_item(&self, now: Millis, upstream: &Upstream) -> Option<Ticket> {
        let replica = self.replicas.get(upstream)?;
        if replica.start_capacity(now, &self.settings) == 0 {
            return None;
        }
        let ready = |run: &&Run| {
            run.serves == replica.spec.serves
                && matches!(run.phase, Phase::Waiting { not_before, .. } if not_before <= now)
        };
        let run = self
            .runs
            .values()
            .filter(ready)
            .min_by_key(|run| (!run.suspect, run.due, run.text.is_empty(), &run.work.ticket))?;
        let others = replica.running.iter().chain(&replica.cancelling);
        let beside_suspect = others
            .filter_map(|execution| self.runs.get(&execution.ticket))
            .any(|other| other.suspect || run.suspect);
        (!beside_suspect).then(|| run.work.ticket.clone())
    }

    fn start_item(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        upstream: Upstream,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(ticket) else { return };
        let Some(replica) = self.replicas.get_mut(&upstream) else { return };
        run.execution_count += 1;
        run.resumed_from = run.text.len();
        run.phase = Phase::Running { upstream: upstream.clone(), since: now };
        let execution = run.execution();
        replica.record_start(now, execution.clone());
        actions.push(Action::Start {
            execution,
            upstream,
            work: run.work.clone(),
            text: run.text.clone(),
        });
    }
}

/// The model that an adapter belongs to, or the model itself.
fn base_model(model: &Model) -> Model {
    Model(model.0.split(ADAPTER_SEPARATOR).next().unwrap_or_default().to_string())
}

/// The plain service that a path names.
pub(super) fn service_name(url: &str) -> Option<&str> {
    url.strip_prefix(SERVICES_PREFIX)?.split('/').next()
}
