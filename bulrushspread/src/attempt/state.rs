//! State machine of one request: which upstreams it is sent to, when it is retried and how it ends.
//!
//! It performs no I/O: the driver reports events and executes the returned actions.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    error::{Error, Kind},
    id::Upstream,
    route::Isolation,
    time::Millis,
};

use super::{
    Fingerprint, Settings,
    budget::Budget,
    quarantine::{Quarantine, Status},
};

/// Maximum number of times that the back-off doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Attempt number whose back-off is used while a suspect waits for an upstream without suspects.
const BUSY_BACKOFF_ATTEMPT: u32 = 2;
/// Events after the index of the last crash at which the isolation of an attempt ends.
const EVENTS_PAST_CRASH: u32 = 4;

/// State shared by all requests of one node.
pub struct NodeState {
    pub budget: Budget,
    pub quarantine: Quarantine,
    settings: Settings,
    rng: SmallRng,
}

impl NodeState {
    pub fn new(settings: Settings, seed: u64) -> NodeState {
        NodeState {
            budget: Budget::new(settings.retry_share, settings.retry_burst),
            quarantine: Quarantine::new(Millis(settings.quarantine_ms)),
            settings,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A random time up to a bound that doubles with each attempt.
    fn backoff(&mut self, attempt: u32) -> Millis {
        let bound =
            self.settings.backoff_ms << attempt.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let bound = bound.min(self.settings.backoff_max_ms);
        Millis(self.rng.random_range(0..=bound))
    }
}

/// Whether a request may be retried after an upstream may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    Idempotent,
    AtMostOnce,
}

/// Why an attempt gave no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No byte was sent.
    NotSent,
    /// The upstream refused the request without running it.
    Refused,
    /// The response was interrupted and the upstream is alive.
    Broken,
    /// The upstream crashed.
    Crashed,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Begin,
    /// An upstream was picked, and reserved for a suspect.
    Picked {
        upstream: Upstream,
    },
    /// No upstream is available.
    NoUpstream,
    /// All available upstreams run other suspects.
    Busy,
    /// An event of a stream. `last` marks the end of the stream.
    Token {
        attempt: u32,
        index: u32,
        last: bool,
    },
    /// The complete response of a plain service.
    Answered {
        attempt: u32,
    },
    /// The attempt ended without a complete response.
    Lost {
        attempt: u32,
        loss: Loss,
    },
    /// The time of the last `Action::Wake` has come.
    Tick,
}

/// Output of the state machine, for the driver to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pick an upstream for the request, or for its stream from index `from` on.
    Dispatch { attempt: u32, from: u32, constraints: Constraints },
    /// Send the request to the upstream that was just picked.
    Send,
    /// Deliver the event that was just applied to the caller.
    Deliver,
    /// Let other requests run on the upstream: the suspect is past the index of its last crash.
    EndIsolation,
    /// Cancel the current attempt at its upstream.
    Cancel,
    /// Apply `Event::Tick` at this time.
    Wake(Millis),
    /// The request has ended. No action follows.
    Finish(Result<(), Error>),
}

/// Constraints on the choice of the upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Constraints {
    pub preferred: Option<Upstream>,
    pub excluded: BTreeSet<Upstream>,
    pub isolation: Isolation,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The driver is picking an upstream.
    Picking,
    Running {
        upstream: Upstream,
    },
    /// Backing off before the next attempt.
    BackingOff {
        until: Millis,
    },
    Ended,
}

/// One request from its admission to its end.
#[derive(Clone, Debug)]
pub struct Request {
    fingerprint: Fingerprint,
    repeatability: Repeatability,
    deadline: Millis,
    phase: Phase,
    /// Number of the current attempt, from one. Events of other attempts are ignored.
    attempt: u32,
    /// Index of the next event to deliver to the caller. Never decreases.
    next_index: u32,
    /// Whether an upstream may have received a byte.
    sent: bool,
    /// `next_index` at the last crash of an upstream.
    crash_index: u32,
    /// Whether the current attempt got past `crash_index` and no longer runs in isolation.
    isolation_ended: bool,
    constraints: Constraints,
}

impl Request {
    pub fn new(
        fingerprint: Fingerprint,
        repeatability: Repeatability,
        deadline: Millis,
    ) -> Request {
        Request {
            fingerprint,
            repeatability,
            deadline,
            phase: Phase::Picking,
            attempt: 0,
            next_index: 0,
            sent: false,
            crash_index: 0,
            isolation_ended: false,
            constraints: Constraints::default(),
        }
    }

    /// Whether an upstream may have received a byte of the request.
    pub fn has_been_sent(&self) -> bool {
        self.sent
    }

    /// Applies an event and returns the actions to execute. Ignores events after the end.
    pub fn apply(&mut self, now: Millis, event: Event, node: &mut NodeState) -> Vec<Action> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        match event {
            Event::Begin => {
                node.budget.deposit();
                self.dispatch(now, node)
            }
            Event::Picked { upstream } => self.send(now, upstream, node),
            Event::NoUpstream => {
                self.constraints.excluded.clear();
                self.retry(now, node)
            }
            Event::Busy => {
                self.attempt = self.attempt.saturating_sub(1);
                self.back_off(now + node.backoff(BUSY_BACKOFF_ATTEMPT))
            }
            Event::Token { attempt, index, last } => {
                self.apply_token(now, attempt, index, last, node)
            }
            Event::Answered { attempt } if self.is_running(attempt) => {
                self.sent = true;
                node.quarantine.record_success(&self.fingerprint);
                let mut actions = vec![Action::Deliver];
                actions.extend(self.finish(Ok(())));
                actions
            }
            Event::Lost { attempt, loss } if self.is_running(attempt) => {
                self.apply_loss(now, loss, node)
            }
            Event::Answered { .. } | Event::Lost { .. } => Vec::new(),
            Event::Tick => self.apply_tick(now, node),
        }
    }

    fn is_running(&self, attempt: u32) -> bool {
        attempt == self.attempt && matches!(self.phase, Phase::Running { .. })
    }

    fn apply_token(
        &mut self,
        now: Millis,
        attempt: u32,
        index: u32,
        last: bool,
        node: &mut NodeState,
    ) -> Vec<Action> {
        if !self.is_running(attempt) || index < self.next_index {
            return Vec::new();
        }
        self.sent = true;
        // A gap means that events were lost.
        if index > self.next_index {
            let mut actions = vec![Action::Cancel];
            actions.extend(self.apply_loss(now, Loss::Broken, node));
            return actions;
        }
        self.next_index += 1;
        if !last {
            let ends_isolation = self.next_index == self.crash_index + EVENTS_PAST_CRASH
                && self.constraints.isolation == Isolation::Exclusive;
            self.isolation_ended |= ends_isolation;
            let end_isolation = ends_isolation.then_some(Action::EndIsolation);
            return [Action::Deliver].into_iter().chain(end_isolation).collect();
        }
        node.quarantine.record_success(&self.fingerprint);
        let mut actions = vec![Action::Deliver];
        actions.extend(self.finish(Ok(())));
        actions
    }

    fn apply_loss(&mut self, now: Millis, loss: Loss, node: &mut NodeState) -> Vec<Action> {
        let Phase::Running { upstream } = self.phase.clone() else { return Vec::new() };
        self.sent |= loss != Loss::NotSent;
        self.constraints.preferred = None;
        if loss == Loss::Crashed {
            self.crash_index = self.next_index;
            let status = match self.isolation_ended {
                true => node.quarantine.record_shared_crash(now, self.fingerprint, &upstream),
                false => node.quarantine.record_crash(now, self.fingerprint, &upstream),
            };
            if status == Status::Quarantined {
                return self.finish(Err(quarantined()));
            }
        }
        let may_have_run = matches!(loss, Loss::Broken | Loss::Crashed);
        if may_have_run && self.repeatability == Repeatability::AtMostOnce {
            return self.finish(Err(outcome_unknown()));
        }
        if loss == Loss::Broken && self.next_index > 0 {
            self.constraints.preferred = Some(upstream);
        } else {
            self.constraints.excluded.insert(upstream);
        }
        self.retry(now, node)
    }

    fn retry(&mut self, now: Millis, node: &mut NodeState) -> Vec<Action> {
        if self.attempt >= node.settings.attempts || !node.budget.withdraw() {
            return self.give_up();
        }
        let until = now + node.backoff(self.attempt);
        self.back_off(until)
    }

    fn back_off(&mut self, until: Millis) -> Vec<Action> {
        if until >= self.deadline {
            return self.give_up();
        }
        self.phase = Phase::BackingOff { until };
        vec![Action::Wake(until)]
    }

    fn apply_tick(&mut self, now: Millis, node: &mut NodeState) -> Vec<Action> {
        if now >= self.deadline {
            return self.time_out();
        }
        match self.phase {
            Phase::BackingOff { until } if until <= now => self.dispatch(now, node),
            Phase::BackingOff { until } => vec![Action::Wake(until)],
            _ => vec![Action::Wake(self.deadline)],
        }
    }

    fn dispatch(&mut self, now: Millis, node: &mut NodeState) -> Vec<Action> {
        if now >= self.deadline {
            return self.time_out();
        }
        self.constraints.isolation = match node.quarantine.status(now, &self.fingerprint) {
            Status::Clear => Isolation::Shared,
            Status::Suspect => Isolation::Exclusive,
            Status::Quarantined => return self.finish(Err(quarantined())),
        };
        self.attempt += 1;
        self.isolation_ended = false;
        self.phase = Phase::Picking;
        vec![Action::Dispatch {
            attempt: self.attempt,
            from: self.next_index,
            constraints: self.constraints.clone(),
        }]
    }

    fn send(&mut self, now: Millis, upstream: Upstream, node: &NodeState) -> Vec<Action> {
        // Another node may have reported a crash while the upstream was being reserved.
        if node.quarantine.status(now, &self.fingerprint) == Status::Quarantined {
            return self.finish(Err(quarantined()));
        }
        self.phase = Phase::Running { upstream };
        vec![Action::Send, Action::Wake(self.deadline)]
    }

    fn time_out(&mut self) -> Vec<Action> {
        let running = matches!(self.phase, Phase::Running { .. });
        let error = match (running, self.repeatability) {
            (true, Repeatability::AtMostOnce) => outcome_unknown(),
            (true, Repeatability::Idempotent) => {
                Error::new(Kind::Timeout, "the deadline has passed")
            }
            (false, _) if self.sent => Error::new(Kind::Timeout, "the deadline has passed"),
            (false, _) => Error::new(Kind::DeadlineUnreachable, "the deadline has passed"),
        };
        let mut actions = if running { vec![Action::Cancel] } else { Vec::new() };
        actions.extend(self.finish(Err(error)));
        actions
    }

    fn give_up(&mut self) -> Vec<Action> {
        let error = match self.sent {
            true => Error::new(Kind::UpstreamFailed, "the upstreams gave no complete answer"),
            false => Error::new(Kind::NoUpstream, "no upstream takes the request now"),
        };
        self.finish(Err(error))
    }

    fn finish(&mut self, result: Result<(), Error>) -> Vec<Action> {
        self.phase = Phase::Ended;
        vec![Action::Finish(result)]
    }
}

fn quarantined() -> Error {
    Error::new(Kind::Quarantined, "upstreams died while they ran this request; it is refused")
}

fn outcome_unknown() -> Error {
    Error::new(Kind::OutcomeUnknown, "the call was sent and its outcome can't be learnt")
}
