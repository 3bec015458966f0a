//! State machine of this node's runners: which item runs on which replica, and when batch work
//! yields to online work.

use std::collections::BTreeMap;

use crate::{
    batch::message::{RunEnd, Ticket, Work},
    id::Upstream,
    time::Millis,
};

use super::{
    message::{Action, Event, Execution, Kind, OnlineCount, Spec},
    replica::Replica,
    run::{Phase, Run},
    settings::{Policy, Settings},
};

/// Time for which a stopped ticket is remembered, in case its grant arrives after the stop.
const STOPPED_TTL: Millis = Millis(600_000);

/// The replicas that this node is the runner of, and the items that it holds. Performs no I/O: the
/// caller executes the returned actions.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(super) settings: Settings,
    pub(super) replicas: BTreeMap<Upstream, Replica>,
    /// Every granted ticket whose outcome has not been acknowledged.
    pub(super) runs: BTreeMap<Ticket, Run>,
    /// Tickets that must never start, with the time at which they were stopped.
    pub(super) stopped: BTreeMap<Ticket, Millis>,
    /// Whether a pull is running. At most one runs at a time.
    pub(super) pull_in_flight: bool,
    pub(super) next_pull: Millis,
    pub(super) next_renewal: Millis,
    pub(super) draining: bool,
}

impl State {
    pub fn new(settings: Settings) -> State {
        State { settings, ..State::default() }
    }

    /// Applies an event and returns the actions to execute, in this order.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.handle_event(now, event, &mut actions);
        if !self.draining {
            self.start_waiting(now, &mut actions);
            self.pull(now, &mut actions);
        }
        actions
    }

    /// Number of granted items whose outcome has not been acknowledged.
    pub fn held_count(&self) -> usize {
        self.runs.len()
    }

    /// Batch streams at the replica, including cancelled ones that may still run.
    pub fn active_streams(&self, upstream: &Upstream) -> usize {
        let count = |replica: &Replica| replica.running.len() + replica.cancelling.len();
        self.replicas.get(upstream).map_or(0, count)
    }

    /// Batch streams that a recent load report of the engine may include and that yield to online
    /// work. Zero if batch work is unmanaged, since it does not yield then.
    pub fn reported_streams(&self, now: Millis, upstream: &Upstream) -> u32 {
        if self.settings.policy == Policy::Unmanaged {
            return 0;
        }
        self.replicas.get(upstream).map_or(0, |replica| replica.reported_streams(now))
    }

    /// Batch streams at the replica, excluding those that are being cancelled.
    pub fn running_streams(&self, upstream: &Upstream) -> usize {
        self.replicas.get(upstream).map_or(0, |replica| replica.running.len())
    }

    /// Whether any of the tickets runs at a replica or may still run there after a cancel.
    pub fn is_any_active(&self, tickets: &[Ticket]) -> bool {
        self.replicas
            .values()
            .flat_map(|replica| replica.running.iter().chain(&replica.cancelling))
            .any(|execution| tickets.contains(&execution.ticket))
    }

    fn handle_event(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ReplicasChanged(specs) => self.replace_replicas(now, specs, actions),
            Event::OnlineCount { upstream, count } => {
                self.handle_online_count(now, upstream, count, actions)
            }
            Event::OnlineNearby { upstream } => self.handle_online_nearby(now, &upstream, actions),
            Event::LoadReport { upstream, active, slots } => {
                if let Some(replica) = self.replicas.get_mut(&upstream) {
                    replica.observe_load(now, active, slots);
                }
            }
            Event::Granted(work) => self.handle_grant(now, work),
            Event::PullEnded => self.pull_in_flight = false,
            Event::Token { execution, index, text } => self.handle_token(&execution, index, text),
            Event::Ended { execution, end } => self.handle_end(now, &execution, end),
            Event::Cancelled { upstream, execution } => {
                self.handle_cancelled(now, upstream, &execution, actions)
            }
            Event::Stop(tickets) => self.handle_stop(now, tickets, actions),
            Event::Acknowledged(tickets) => self.handle_acknowledgement(&tickets),
            Event::Tick => self.handle_tick(now, actions),
            Event::Drain => self.handle_drain(now, actions),
        }
    }

    fn replace_replicas(
        &mut self,
        now: Millis,
        mut specs: BTreeMap<Upstream, Spec>,
        actions: &mut Vec<Action>,
    ) {
        let removed: Vec<Upstream> = self
            .replicas
            .keys()
            .filter(|upstream| !specs.contains_key(*upstream))
            .cloned()
            .collect();
        for upstream in removed {
            self.cancel_all(now, &upstream, actions);
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
        self.return_unservable();
    }

    fn handle_online_count(
        &mut self,
        now: Millis,
        upstream: Upstream,
        count: OnlineCount,
        actions: &mut Vec<Action>,
    ) {
        let Some(replica) = self.replicas.get_mut(&upstream) else { return };
        let reaction = replica.apply_online_count(now, &self.settings, count);
        if self.settings.policy == Policy::Unmanaged {
            return;
        }
        if reaction.cancel_batch {
            self.cancel_all(now, &upstream, actions);
        }
        if reaction.notify_following {
            actions.push(Action::NotifyFollowing { upstream });
        }
    }

    fn handle_online_nearby(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        actions: &mut Vec<Action>,
    ) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        replica.observe_nearby(now);
        if self.settings.policy == Policy::Managed {
            self.cancel_all(now, upstream, actions);
        }
    }

    /// Cancels all batch streams of an engine. Their runs keep the tokens received so far and wait
    /// to be resumed. Calls to plain services are left to complete.
    pub(super) fn cancel_all(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        actions: &mut Vec<Action>,
    ) {
        let Some(replica) = self.replicas.get(upstream) else { return };
        if replica.spec.kind == Kind::Service {
            return;
        }
        for execution in replica.running.clone() {
            self.cancel(now, &execution, actions);
        }
    }

    /// Cancels one execution. Its run keeps the tokens received so far and waits to be resumed.
    pub(super) fn cancel(&mut self, now: Millis, execution: &Execution, actions: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&execution.ticket) else { return };
        let Some(upstream) = run.upstream().cloned() else { return };
        run.pause(now, Millis(0));
        if let Some(replica) = self.replicas.get_mut(&upstream) {
            replica.running.remove(execution);
            replica.prefills.remove(execution);
            replica.cancelling.insert(execution.clone());
        }
        actions.push(Action::Cancel { execution: execution.clone(), upstream });
    }

    fn handle_grant(&mut self, now: Millis, work: Vec<Work>) {
        for work in work {
            let ticket = work.ticket.clone();
            if self.stopped.contains_key(&ticket) || self.runs.contains_key(&ticket) {
                continue;
            }
            let serves = self.find_serving(&work);
            let mut run = Run::new(now, work, serves.clone().unwrap_or_default());
            if serves.is_none() || self.draining {
                run.end(RunEnd::Returned);
            }
            self.runs.insert(ticket, run);
        }
        self.next_pull = now;
    }

    pub(super) fn handle_token(&mut self, execution: &Execution, index: u32, text: String) {
        let Some(run) = self.runs.get_mut(&execution.ticket) else { return };
        if run.execution() != *execution || index as usize != run.text.len() {
            return;
        }
        let Some(upstream) = run.upstream() else { return };
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        run.text.push(text);
        replica.record_progress(execution);
    }

    fn handle_cancelled(
        &mut self,
        now: Millis,
        upstream: Upstream,
        execution: &Execution,
        actions: &mut Vec<Action>,
    ) {
        let Some(replica) = self.replicas.get_mut(&upstream) else { return };
        if let Some(elapsed) = replica.record_cancelled(now, execution) {
            actions.push(Action::RecordYield { upstream, elapsed });
        }
    }

    fn handle_stop(&mut self, now: Millis, tickets: Vec<Ticket>, actions: &mut Vec<Action>) {
        for ticket in tickets {
            self.stopped.insert(ticket.clone(), now);
            let Some(run) = self.runs.get(&ticket) else { continue };
            let execution = run.execution();
            if run.upstream().is_some() && !run.work.idempotent && run.work.model.is_none() {
                // A non-idempotent call that was sent can't be repeated, so its outcome is still
                // needed.
                continue;
            }
            self.cancel(now, &execution, actions);
            self.runs.remove(&ticket);
        }
    }

    fn handle_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.stopped.retain(|_, since| now - *since < STOPPED_TTL);
        self.end_overdue(now, actions);
        if self.draining {
            self.return_waiting();
        }
        self.report_outcomes(now, actions);
        self.renew_holding(now, actions);
    }

    fn handle_drain(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.draining = true;
        let upstreams: Vec<Upstream> = self.replicas.keys().cloned().collect();
        for upstream in upstreams {
            self.cancel_all(now, &upstream, actions);
        }
        self.return_waiting();
        self.report_outcomes(now, actions);
    }

    fn return_waiting(&mut self) {
        for run in self.runs.values_mut() {
            if matches!(run.phase, Phase::Waiting { .. }) {
                run.end(RunEnd::Returned);
            }
        }
    }
}
