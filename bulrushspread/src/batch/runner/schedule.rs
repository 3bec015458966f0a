//! Which item starts where, and how many more the runner asks for.

use std::collections::BTreeMap;

use crate::{
    batch::message::{Capacity, Ticket, Work},
    id::{Deployment, Model, Upstream},
    time::Millis,
};

use super::{
    message::{Action, Target},
    run::{Phase, Run},
    state::State,
};

/// The path prefix of items for plain services.
const SERVICES_PREFIX: &str = "/services/";
/// Time between two messages to the owners of the items at hand.
const HOLD_INTERVAL: Millis = Millis(500);
/// Separates a model's name from its adapter's.
const ADAPTER_SEPARATOR: char = ':';

impl State {
    /// The deployment or plain service of this node's replicas that can run the item.
    pub(super) fn serves(&self, work: &Work) -> Option<String> {
        let fits = |target: Target, serves: &str, models: &[Model]| match target {
            Target::Engine => {
                work.model.as_ref().is_some_and(|model| models.contains(&base(model)))
            }
            Target::Service => service(&work.url) == Some(serves),
        };
        let specs = self.replicas.values().map(|replica| &replica.spec);
        specs
            .filter(|spec| fits(spec.target, &spec.serves, &spec.models))
            .map(|spec| spec.serves.clone())
            .next()
    }

    /// Starts waiting items where there is room, the most urgent first.
    pub(super) fn start_waiting(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let upstreams: Vec<Upstream> = self.replicas.keys().cloned().collect();
        for upstream in upstreams {
            while let Some(ticket) = self.next(now, &upstream) {
                self.start(now, &ticket, upstream.clone(), actions);
            }
        }
    }

    /// Asks for items for the room that the items at hand don't fill.
    pub(super) fn pull(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.pulling || now < self.next_pull {
            return;
        }
        let room = self.rooms(now);
        if room.is_empty() {
            return;
        }
        self.pulling = true;
        self.next_pull = now + Millis(self.settings.pull_ms);
        let holding = self.runs.keys().cloned().collect();
        actions.push(Action::Pull { room, holding });
    }

    /// Repeats what this node holds, so that no owner takes an item back or starts it elsewhere.
    pub(super) fn hold(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_hold || self.runs.is_empty() {
            return;
        }
        self.next_hold = now + HOLD_INTERVAL;
        actions.push(Action::Hold(self.runs.keys().cloned().collect()));
    }

    fn rooms(&self, now: Millis) -> Vec<Capacity> {
        let mut rooms: BTreeMap<&str, (u32, &[Model])> = BTreeMap::new();
        for replica in self.replicas.values() {
            let allowed = replica.allowed(now, &self.settings);
            if allowed == 0 {
                continue;
            }
            let used = (replica.running.len() + replica.vacating.len()) as u32;
            let room = rooms.entry(&replica.spec.serves).or_insert((0, &replica.spec.models));
            room.0 += allowed.saturating_sub(used) + self.settings.ahead;
        }
        rooms
            .into_iter()
            .map(|(serves, (items, models))| Capacity {
                deployment: Deployment(serves.to_string()),
                models: models.to_vec(),
                items: items.saturating_sub(self.waiting(serves)),
            })
            .filter(|room| room.items > 0)
            .collect()
    }

    fn waiting(&self, serves: &str) -> u32 {
        let waits = |run: &&Run| run.serves == serves && matches!(run.phase, Phase::Waiting { .. });
        self.runs.values().filter(waits).count() as u32
    }

    /// The item to start next at the replica. Suspects run alone, and go before others so that
    /// the replica empties for them.
    fn next(&self, now: Millis, upstream: &Upstream) -> Option<Ticket> {
        let replica = self.replicas.get(upstream)?;
        if replica.room(now, &self.settings) == 0 {
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
        let others = replica.running.iter().chain(&replica.vacating);
        let beside_suspect = others
            .filter_map(|start| self.runs.get(&start.ticket))
            .any(|other| other.suspect || run.suspect);
        (!beside_suspect).then(|| run.work.ticket.clone())
    }

    fn start(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        upstream: Upstream,
        actions: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(ticket) else { return };
        let Some(replica) = self.replicas.get_mut(&upstream) else { return };
        run.starts += 1;
        run.from = run.text.len();
        run.phase = Phase::Running { upstream: upstream.clone(), since: now };
        let start = run.start();
        replica.started(now, start.clone());
        actions.push(Action::Start {
            start,
            upstream,
            work: run.work.clone(),
            text: run.text.clone(),
        });
    }
}

/// The model that an adapter belongs to, or the model itself.
fn base(model: &Model) -> Model {
    Model(model.0.split(ADAPTER_SEPARATOR).next().unwrap_or_default().to_string())
}

/// The plain service that a path names.
pub(super) fn service(url: &str) -> Option<&str> {
    url.strip_prefix(SERVICES_PREFIX)?.split('/').next()
}
