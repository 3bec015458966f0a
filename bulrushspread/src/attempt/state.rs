//! Decides what becomes of one request: where it is sent, when again, and how it ends.

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

/// Doublings of the backoff after which it stays the same.
const MAX_DOUBLINGS: u32 = 16;

/// Doublings of the backoff of a request that waits for its turn to run alone.
const BUSY_DOUBLINGS: u32 = 2;
/// Events beyond the one at which its upstream died that clear a suspect for the time being.
const OUTLIVED_EVENTS: u32 = 4;

/// What the requests of one node share.
pub struct Node {
    pub budget: Budget,
    pub quarantine: Quarantine,
    settings: Settings,
    rng: SmallRng,
}

impl Node {
    pub fn new(settings: Settings, seed: u64) -> Node {
        Node {
            budget: Budget::new(settings.retry_share, settings.retry_burst),
            quarantine: Quarantine::new(Millis(settings.quarantine_ms)),
            settings,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A random time below a bound that doubles with each attempt.
    fn backoff(&mut self, attempt: u32) -> Millis {
        let bound = self.settings.backoff_ms << attempt.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = bound.min(self.settings.backoff_max_ms);
        Millis(self.rng.random_range(0..=bound))
    }
}

/// Whether a request may be sent again after an upstream may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    AtMostOnce,
}

/// How a dispatch was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No byte was sent.
    NotSent,
    /// The upstream refused without running the request.
    Refused,
    /// The answer broke off and the upstream is alive.
    Broken,
    /// The upstream died.
    Died,
}

/// What happens to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Begin,
    /// An upstream was chosen for the attempt.
    Picked {
        upstream: Upstream,
    },
    /// No upstream could be chosen.
    NoUpstream,
    /// All upstreams run other suspects now.
    Busy,
    /// An event of a stream. `last` when it ends the stream.
    Token {
        attempt: u32,
        index: u32,
        last: bool,
    },
    /// The whole answer of a plain service.
    Answered {
        attempt: u32,
    },
    Lost {
        attempt: u32,
        loss: Loss,
    },
    /// Time has passed.
    Tick,
}

/// What the edge has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an upstream and send the request, or resume its stream at index `from`.
    Dispatch { attempt: u32, from: u32, choice: Choice },
    /// Hand the event that was just applied to the caller.
    Deliver,
    /// The request has outlived what killed its upstream: others may run beside it.
    Share,
    /// Cancel the current attempt at its upstream.
    Cancel,
    /// Apply a tick at this time.
    Wake(Millis),
    /// The request has ended. Nothing follows.
    Finish(Result<(), Error>),
}

/// What the choice of the upstream has to respect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    pub prefer: Option<Upstream>,
    pub avoid: BTreeSet<Upstream>,
    pub isolation: Isolation,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Picking,
    Running { upstream: Upstream },
    Waiting { until: Millis },
    Ended,
}

/// One request from its admission to its end.
#[derive(Clone, Debug)]
pub struct Request {
    fingerprint: Fingerprint,
    repeat: Repeat,
    deadline: Millis,
    phase: Phase,
    /// The current attempt, counted from one. Events of other attempts are void.
    attempt: u32,
    /// The index of the next event that the caller gets. Never goes back.
    next: u32,
    /// Whether an upstream may have received a byte.
    sent: bool,
    /// The index that was next when an upstream died.
    died_at: u32,
    /// The attempt runs beside others again, since it got well past `died_at`.
    outlived: bool,
    choice: Choice,
}

impl Request {
    pub fn new(fingerprint: Fingerprint, repeat: Repeat, deadline: Millis) -> Request {
        Request {
            fingerprint,
            repeat,
            deadline,
            phase: Phase::Picking,
            attempt: 0,
            next: 0,
            sent: false,
            died_at: 0,
            outlived: false,
            choice: Choice::default(),
        }
    }

    /// Whether an upstream may have received a byte of the request.
    pub fn sent(&self) -> bool {
        self.sent
    }

    /// Takes in an event and returns what follows from it.
    pub fn apply(&mut self, now: Millis, event: Event, node: &mut Node) -> Vec<Action> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        match event {
            Event::Begin => {
                node.budget.deposit();
                self.dispatch(now, node)
            }
            Event::Picked { upstream } => {
                self.phase = Phase::Running { upstream };
                vec![Action::Wake(self.deadline)]
            }
            Event::NoUpstream => {
                self.choice.avoid.clear();
                self.retry(now, node)
            }
            Event::Busy => {
                self.attempt = self.attempt.saturating_sub(1);
                self.pause(now + node.backoff(BUSY_DOUBLINGS))
            }
            Event::Token { attempt, index, last } => self.token(now, attempt, index, last, node),
            Event::Answered { attempt } if self.runs(attempt) => {
                self.sent = true;
                node.quarantine.record_success(&self.fingerprint);
                let mut actions = vec![Action::Deliver];
                actions.extend(self.finish(Ok(())));
                actions
            }
            Event::Lost { attempt, loss } if self.runs(attempt) => self.lost(now, loss, node),
            Event::Answered { .. } | Event::Lost { .. } => Vec::new(),
            Event::Tick => self.tick(now, node),
        }
    }

    fn runs(&self, attempt: u32) -> bool {
        attempt == self.attempt && matches!(self.phase, Phase::Running { .. })
    }

    fn token(
        &mut self,
        now: Millis,
        attempt: u32,
        index: u32,
        last: bool,
        node: &mut Node,
    ) -> Vec<Action> {
        if !self.runs(attempt) || index < self.next {
            return Vec::new();
        }
        self.sent = true;
        if index > self.next {
            let mut actions = vec![Action::Cancel];
            actions.extend(self.lost(now, Loss::Broken, node));
            return actions;
        }
        self.next += 1;
        if !last {
            let outlived = self.next == self.died_at + OUTLIVED_EVENTS
                && self.choice.isolation == Isolation::Alone;
            self.outlived |= outlived;
            let share = outlived.then_some(Action::Share);
            return [Action::Deliver].into_iter().chain(share).collect();
        }
        node.quarantine.record_success(&self.fingerprint);
        let mut actions = vec![Action::Deliver];
        actions.extend(self.finish(Ok(())));
        actions
    }

    fn lost(&mut self, now: Millis, loss: Loss, node: &mut Node) -> Vec<Action> {
        let Phase::Running { upstream } = self.phase.clone() else { return Vec::new() };
        self.sent |= loss != Loss::NotSent;
        self.choice.prefer = None;
        if loss == Loss::Died {
            self.died_at = self.next;
            let verdict = match self.outlived {
                true => node.quarantine.record_shared_crash(now, self.fingerprint, &upstream),
                false => node.quarantine.record_crash(now, self.fingerprint, &upstream),
            };
            if verdict == Status::Quarantined {
                return self.finish(Err(quarantined()));
            }
        }
        let may_have_run = matches!(loss, Loss::Broken | Loss::Died);
        if may_have_run && self.repeat == Repeat::AtMostOnce {
            return self.finish(Err(unknown()));
        }
        if loss == Loss::Broken && self.next > 0 {
            self.choice.prefer = Some(upstream);
        } else {
            self.choice.avoid.insert(upstream);
        }
        self.retry(now, node)
    }

    fn retry(&mut self, now: Millis, node: &mut Node) -> Vec<Action> {
        if self.attempt >= node.settings.attempts || !node.budget.withdraw() {
            return self.give_up();
        }
        let until = now + node.backoff(self.attempt);
        self.pause(until)
    }

    fn pause(&mut self, until: Millis) -> Vec<Action> {
        if until >= self.deadline {
            return self.give_up();
        }
        self.phase = Phase::Waiting { until };
        vec![Action::Wake(until)]
    }

    fn tick(&mut self, now: Millis, node: &mut Node) -> Vec<Action> {
        if now >= self.deadline {
            return self.time_out();
        }
        match self.phase {
            Phase::Waiting { until } if until <= now => self.dispatch(now, node),
            Phase::Waiting { until } => vec![Action::Wake(until)],
            _ => vec![Action::Wake(self.deadline)],
        }
    }

    fn dispatch(&mut self, now: Millis, node: &mut Node) -> Vec<Action> {
        if now >= self.deadline {
            return self.time_out();
        }
        self.choice.isolation = match node.quarantine.status(now, &self.fingerprint) {
            Status::Clear => Isolation::Shared,
            Status::Suspect => Isolation::Alone,
            Status::Quarantined => return self.finish(Err(quarantined())),
        };
        self.attempt += 1;
        self.outlived = false;
        self.phase = Phase::Picking;
        vec![Action::Dispatch {
            attempt: self.attempt,
            from: self.next,
            choice: self.choice.clone(),
        }]
    }

    fn time_out(&mut self) -> Vec<Action> {
        let running = matches!(self.phase, Phase::Running { .. });
        let error = match (running, self.repeat) {
            (true, Repeat::AtMostOnce) => unknown(),
            (true, Repeat::Idempotent) => Error::new(Kind::Timeout, "the deadline has passed"),
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

fn unknown() -> Error {
    Error::new(Kind::OutcomeUnknown, "the call was sent and its outcome can't be learnt")
}
