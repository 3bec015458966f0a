//! What the runners of this node decide: which items run where, and when they must go.

use std::collections::BTreeMap;

use crate::{
    batch::message::{RunEnd, Ticket, Work},
    id::Upstream,
    time::Millis,
};

use super::{
    message::{Action, Count, Event, Spec, Start, Target},
    replica::Replica,
    run::{Phase, Run},
    settings::{Policy, Settings},
};

/// Time for which a stopped ticket is remembered, in case its grant arrives late.
const STOPPED_TTL: Millis = Millis(600_000);

/// The replicas that this node is the runner of, and the items that it holds.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(super) settings: Settings,
    pub(super) replicas: BTreeMap<Upstream, Replica>,
    /// Every granted ticket whose end has not been taken over.
    pub(super) runs: BTreeMap<Ticket, Run>,
    /// Tickets that must never start, and since when.
    pub(super) stopped: BTreeMap<Ticket, Millis>,
    /// A pull is on its way.
    pub(super) pulling: bool,
    pub(super) next_pull: Millis,
    pub(super) next_hold: Millis,
    pub(super) draining: bool,
}

impl State {
    pub fn new(settings: Settings) -> State {
        State { settings, ..State::default() }
    }

    /// Takes in what happened and says what to do.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.take(now, event, &mut actions);
        if !self.draining {
            self.start_waiting(now, &mut actions);
            self.pull(now, &mut actions);
        }
        actions
    }

    /// Items whose end has not been taken over.
    pub fn held(&self) -> usize {
        self.runs.len()
    }

    /// Streams that run or may still run at the replica.
    pub fn streams(&self, upstream: &Upstream) -> usize {
        let count = |replica: &Replica| replica.running.len() + replica.vacating.len();
        self.replicas.get(upstream).map_or(0, count)
    }

    /// Batch streams that a recent load report of the engine may count and that give way.
    pub fn reported_streams(&self, now: Millis, upstream: &Upstream) -> u32 {
        if self.settings.policy == Policy::Unmanaged {
            return 0;
        }
        self.replicas.get(upstream).map_or(0, |replica| replica.reported_streams(now))
    }

    /// Streams that run at the replica and are not being cancelled.
    pub fn uncancelled(&self, upstream: &Upstream) -> usize {
        self.replicas.get(upstream).map_or(0, |replica| replica.running.len())
    }

    /// Whether one of the tickets runs or may still run.
    pub fn runs_any(&self, tickets: &[Ticket]) -> bool {
        self.replicas
            .values()
            .flat_map(|replica| replica.running.iter().chain(&replica.vacating))
            .any(|start| tickets.contains(&start.ticket))
    }

    fn take(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Replicas(specs) => self.replace_replicas(now, specs, actions),
            Event::Online { upstream, count } => self.online(now, upstream, count, actions),
            Event::Near { upstream } => self.near(now, &upstream, actions),
            Event::Load { upstream, active, slots } => {
                if let Some(replica) = self.replicas.get_mut(&upstream) {
                    replica.load(now, active, slots);
                }
            }
            Event::Granted(work) => self.granted(now, work),
            Event::Pulled => self.pulling = false,
            Event::Token { start, index, text } => self.token(&start, index, text),
            Event::Ended { start, fate } => self.ended(now, &start, fate),
            Event::Vacated { upstream, start } => self.vacated(now, upstream, &start, actions),
            Event::Stop(tickets) => self.stop(now, tickets, actions),
            Event::TakenOver(tickets) => self.taken_over(&tickets),
            Event::Tick => self.tick(now, actions),
            Event::Drain => self.drain(now, actions),
        }
    }

    fn replace_replicas(
        &mut self,
        now: Millis,
        mut specs: BTreeMap<Upstream, Spec>,
        actions: &mut Vec<Action>,
    ) {
        let gone: Vec<Upstream> =
            self.replicas.keys().filter(|known| !specs.contains_key(*known)).cloned().collect();
        for upstream in gone {
            self.clear(now, &upstream, actions);
            self.replicas.remove(&upstream);
        }
        for (upstream, replica) in &mut self.replicas {
            if let Some(spec) = specs.remove(upstream) {
                replica.spec = spec;
            }
        }
        let settings = &self.settings;
        self.replicas.extend(
            specs.into_iter().map(|(upstream, spec)| (upstream, Replica::new(spec, settings))),
        );
        self.return_homeless();
    }

    fn online(&mut self, now: Millis, upstream: Upstream, count: Count, actions: &mut Vec<Action>) {
        let Some(replica) = self.replicas.get_mut(&upstream) else { return };
        let arrival = replica.online(now, &self.settings, count);
        if self.settings.policy == Policy::Unmanaged {
            return;
        }
        if arrival.clear {
            self.clear(now, &upstream, actions);
        }
        if arrival.warn {
            actions.push(Action::Warn { upstream });
        }
    }

    fn near(&mut self, now: Millis, upstream: &Upstream, actions: &mut Vec<Action>) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        replica.near(now);
        if self.settings.policy == Policy::Managed {
            self.clear(now, upstream, actions);
        }
    }

    /// Cancels all batch streams of an engine. They keep their position and wait.
    pub(super) fn clear(&mut self, now: Millis, upstream: &Upstream, actions: &mut Vec<Action>) {
        let Some(replica) = self.replicas.get(upstream) else { return };
        if replica.spec.target == Target::Service {
            return;
        }
        for start in replica.running.clone() {
            self.cancel(now, &start, actions);
        }
    }

    /// Cancels one start. Its run keeps its position and waits.
    pub(super) fn cancel(&mut self, now: Millis, start: &Start, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&start.ticket) else { return };
        let Some(upstream) = run.upstream().cloned() else { return };
        run.pause(now, Millis(0));
        if let Some(replica) = self.replicas.get_mut(&upstream) {
            replica.running.remove(start);
            replica.prefills.remove(start);
            replica.vacating.insert(start.clone());
        }
        actions.push(Action::Cancel { start: start.clone(), upstream });
    }

    fn granted(&mut self, now: Millis, work: Vec<Work>) {
        for work in work {
            let ticket = work.ticket.clone();
            if self.stopped.contains_key(&ticket) || self.runs.contains_key(&ticket) {
                continue;
            }
            let serves = self.serves(&work);
            let mut run = Run::new(now, work, serves.clone().unwrap_or_default());
            if serves.is_none() || self.draining {
                run.end(RunEnd::Returned);
            }
            self.runs.insert(ticket, run);
        }
        self.next_pull = now;
    }

    pub(super) fn token(&mut self, start: &Start, index: u32, text: String) {
        let Some(run) = self.runs.get_mut(&start.ticket) else { return };
        if run.start() != *start || index as usize != run.text.len() {
            return;
        }
        let Some(upstream) = run.upstream() else { return };
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        run.text.push(text);
        replica.answered(start);
    }

    fn vacated(
        &mut self,
        now: Millis,
        upstream: Upstream,
        start: &Start,
        actions: &mut Vec<Action>,
    ) {
        let Some(replica) = self.replicas.get_mut(&upstream) else { return };
        if let Some(after) = replica.vacated(now, start) {
            actions.push(Action::Cleared { upstream, after });
        }
    }

    fn stop(&mut self, now: Millis, tickets: Vec<Ticket>, actions: &mut Vec<Action>) {
        for ticket in tickets {
            self.stopped.insert(ticket.clone(), now);
            let Some(run) = self.runs.get(&ticket) else { continue };
            let start = run.start();
            if run.upstream().is_some() && !run.work.idempotent && run.work.model.is_none() {
                // The call was sent and must not be sent again, so its outcome is still wanted.
                continue;
            }
            self.cancel(now, &start, actions);
            self.runs.remove(&ticket);
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.stopped.retain(|_, since| now - *since < STOPPED_TTL);
        self.end_overdue(now, actions);
        if self.draining {
            self.return_waiting();
        }
        self.tell(now, actions);
        self.hold(now, actions);
    }

    fn drain(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.draining = true;
        let upstreams: Vec<Upstream> = self.replicas.keys().cloned().collect();
        for upstream in upstreams {
            self.clear(now, &upstream, actions);
        }
        self.return_waiting();
        self.tell(now, actions);
    }

    fn return_waiting(&mut self) {
        for run in self.runs.values_mut() {
            if matches!(run.phase, Phase::Waiting { .. }) {
                run.end(RunEnd::Returned);
            }
        }
    }
}
