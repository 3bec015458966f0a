//! Retry decisions for one request.

use std::collections::BTreeSet;

use crate::{
    balance::Outcome,
    catalog::Kind,
    id::Upstream,
    time::Millis,
    upstream::{Delivery, Failure, FailureKind},
};

/// Maximum silence of an upstream as a multiple of the route's latency objective.
const SILENCE_FACTOR: u64 = 3;
/// Lower bound of the maximum silence, because a request may wait as long in the queue of a healthy
/// upstream.
const MIN_SILENCE: Millis = Millis(600);
/// Minimum time before the deadline for which a request is sent again.
const MIN_TIME_TO_SEND: Millis = Millis(20);
/// Maximum time for which a silent upstream keeps a request beside the successor that was asked to
/// take over. Longer than the connect timeout, so that an unreachable successor takes over nothing;
/// shorter than 400 ms, the longest time for which two upstreams may work on one stream.
const MAX_OVERLAP: Millis = Millis(350);
/// Interval between searches for a successor while an upstream stays silent.
const SEARCH_INTERVAL: Millis = Millis(200);

/// What to do after a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to another upstream. A stream continues after the event `resume_after`.
    Send {
        resume_after: Option<u64>,
    },
    End(End),
}

/// What to do about an upstream that has been silent for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Ask another upstream to take over, and keep the silent one until it does.
    FindSuccessor,
    /// Keep waiting: the request can't be sent again.
    Wait,
    End(End),
}

/// How a request ends without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No upstream ran the request or will run it, so the caller may retry.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
    /// The deadline passed, and an upstream may have run the request.
    Timeout,
    /// The caller got a part of the answer, which can't be completed.
    Cut,
}

/// Progress of one request through its sends.
#[derive(Clone, Debug)]
pub struct State {
    kind: Kind,
    /// Number of sends that are left.
    attempts: u32,
    /// Time by which the request must end.
    deadline: Millis,
    /// Latency objective of the route.
    objective: Millis,
    max_silence: Millis,
    /// Last event that the caller has: at first the one from which it resumes, then the last one
    /// that was forwarded.
    last_event: Option<u64>,
    /// Whether a part of the answer was forwarded to the caller.
    has_begun: bool,
    /// The version of the stream isn't known, so that no other upstream can go on with it.
    has_unknown_version: bool,
    /// Whether events without an id were forwarded, after which no other upstream can go on unless an
    /// event with an id has followed.
    has_unnumbered: bool,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    /// The last upstream that was silent for too long.
    silent: Option<Upstream>,
    /// Upstreams that failed or refused the request and aren't tried again.
    pub excluded: BTreeSet<Upstream>,
}

impl State {
    pub fn new(kind: Kind, attempts: u32, deadline: Millis, objective: Millis) -> State {
        let max_silence = Millis(objective.0 * SILENCE_FACTOR).max(MIN_SILENCE);
        State {
            kind,
            attempts,
            deadline,
            objective,
            max_silence,
            last_event: None,
            has_begun: false,
            has_unknown_version: false,
            has_unnumbered: false,
            may_have_run: false,
            silent: None,
            excluded: BTreeSet::new(),
        }
    }

    /// Sets the event after which the caller resumes a stream.
    pub fn set_last_event(&mut self, event: u64) {
        self.last_event = Some(event);
    }

    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// The latency objective of a send at `now`: that of the route, or the time that is left if that is
    /// less. A request that would still be in the queue of an upstream at its deadline is refused.
    pub fn objective_at(&self, now: Millis) -> Millis {
        self.objective.min(self.deadline - now)
    }

    pub fn is_retryable(&self) -> bool {
        self.kind.is_retryable()
    }

    /// Counts a send.
    pub fn record_send(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Time at which another upstream is to take over from one that stays silent. If the request
    /// can't be sent again, this is its deadline.
    pub fn silence_deadline(&self, now: Millis) -> Millis {
        match self.can_find_successor() {
            true => self.deadline.min(now + self.max_silence),
            false => self.deadline,
        }
    }

    /// Records that the upstream with the request has been silent until its silence deadline.
    pub fn record_silence(&mut self, now: Millis, upstream: &Upstream) -> Silence {
        self.excluded.insert(upstream.clone());
        self.silent = Some(upstream.clone());
        self.may_have_run = true;
        if now >= self.deadline {
            return Silence::End(self.end_at_deadline());
        }
        match self.can_find_successor() && now + MIN_TIME_TO_SEND < self.deadline {
            true => Silence::FindSuccessor,
            false => Silence::Wait,
        }
    }

    /// Time by which a successor that is asked at `now` must answer before the silent upstream
    /// loses the request.
    pub fn overlap_deadline(&self, now: Millis) -> Millis {
        self.deadline.min(now + MAX_OVERLAP)
    }

    /// Time of the next search for a successor of an upstream that stays silent.
    pub fn next_search(&self, now: Millis) -> Millis {
        match self.can_find_successor() {
            true => self.deadline.min(now + SEARCH_INTERVAL),
            false => self.deadline,
        }
    }

    /// Records that a successor failed or refused the request, which the silent upstream keeps. A
    /// refusal doesn't count as an attempt, because the request still has a run.
    pub fn record_successor_failure(&mut self, upstream: &Upstream, failure: &Failure) {
        self.excluded.insert(upstream.clone());
        if failure.delivery != Delivery::Sent {
            self.attempts += 1;
        }
    }

    /// Records an event without an id that is forwarded and isn't just a comment.
    pub fn record_unnumbered(&mut self) {
        self.has_unnumbered = true;
    }

    /// Records that the version of the stream isn't known.
    pub fn record_unknown_version(&mut self) {
        self.has_unknown_version = true;
    }

    /// Whether another upstream may send what is left of the answer.
    fn can_continue(&self) -> bool {
        !self.has_unknown_version && (!self.has_unnumbered || self.last_event.is_some())
    }

    fn can_find_successor(&self) -> bool {
        self.kind.is_retryable() && self.attempts > 0 && self.can_continue()
    }

    /// Checks the next event of a stream. Returns whether to forward it: a resumed stream may
    /// repeat events that the caller has, and such events are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if events are missing before this one.
    pub fn accept_event(&mut self, id: Option<u64>) -> Result<bool, Gap> {
        if let (Some(id), Some(last)) = (id, self.last_event) {
            if id <= last {
                return Ok(false);
            }
            if id != last + 1 {
                return Err(Gap { expected: last + 1, found: id });
            }
        }
        self.last_event = id.or(self.last_event);
        self.has_begun = true;
        Ok(true)
    }

    /// Whether the caller has the event with this id already.
    pub fn is_repeated(&self, id: Option<u64>) -> bool {
        id.is_some_and(|id| self.last_event.is_some_and(|last| id <= last))
    }

    /// Records a failed send and decides what to do next. A send that didn't reach the upstream
    /// doesn't count as an attempt, also if another upstream at its address refused it. Nor does a
    /// refusal by an upstream that took over from a silent
    /// one, which may be tried again because it may have gone on if it had kept the request.
    pub fn record_failure(
        &mut self,
        now: Millis,
        upstream: &Upstream,
        failure: &Failure,
    ) -> Action {
        self.excluded.insert(upstream.clone());
        let took_over_from = self.silent.take().filter(|silent| silent != upstream);
        match (failure.delivery, took_over_from) {
            (Delivery::NotSent | Delivery::Refused, Some(silent)) => {
                self.attempts += 1;
                self.excluded.remove(&silent);
            }
            (Delivery::NotSent, None) => self.attempts += 1,
            (Delivery::Refused, None) if failure.kind == FailureKind::Misdirected => {
                self.attempts += 1;
            }
            (Delivery::Refused, None) | (Delivery::Sent, _) => {}
        }
        if failure.delivery == Delivery::Sent {
            self.may_have_run = true;
        }
        self.next_action(now)
    }

    /// Records a server error that the upstream answered with. Returns whether to send the request
    /// again; otherwise this answer is forwarded to the caller.
    pub fn record_error_answer(&mut self, now: Millis, upstream: &Upstream) -> bool {
        self.may_have_run = true;
        self.excluded.insert(upstream.clone());
        self.silent.take_if(|silent| silent == upstream);
        matches!(self.next_action(now), Action::Send { .. })
    }

    /// How the request ends if no upstream can take it or no attempt is left.
    pub fn end_without_upstream(&self) -> End {
        match (self.has_begun, self.may_have_run) {
            (true, _) => End::Cut,
            (false, true) => End::Unknown,
            (false, false) => End::NotRun,
        }
    }

    /// How the request ends if its deadline passed.
    pub fn end_at_deadline(&self) -> End {
        match (self.has_begun, self.may_have_run) {
            (true, _) => End::Cut,
            (false, true) => End::Timeout,
            (false, false) => End::NotRun,
        }
    }

    /// Whether a part of the answer was forwarded to the caller.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    fn next_action(&self, now: Millis) -> Action {
        if now + MIN_TIME_TO_SEND >= self.deadline {
            return Action::End(self.end_at_deadline());
        }
        let may_repeat = !self.may_have_run || self.kind.is_retryable();
        if self.attempts == 0 || !may_repeat || !self.can_continue() {
            return Action::End(self.end_without_upstream());
        }
        Action::Send { resume_after: self.resume_after() }
    }

    /// Event after which the next send continues, or `None` unless the caller has a part of the
    /// stream.
    pub fn resume_after(&self) -> Option<u64> {
        self.last_event
    }
}

/// Error: events are missing from a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event {expected} was expected and {found} came")]
pub struct Gap {
    pub expected: u64,
    pub found: u64,
}

/// Result of a failed send as it affects the health of the upstream.
pub fn health_outcome(failure: &Failure) -> Outcome {
    match failure.kind {
        FailureKind::Overloaded => Outcome::Full,
        FailureKind::NoPath
        | FailureKind::Announced
        | FailureKind::UnknownOrigin
        | FailureKind::Leaving
        | FailureKind::Lapsed => Outcome::Neutral,
        FailureKind::Misdirected => Outcome::Misdirected,
        FailureKind::Connect | FailureKind::TimedOut | FailureKind::Broken => Outcome::Failed,
    }
}

/// Whether the request may have crashed the upstream: the connection broke after the request was
/// sent. An upstream that is silent or unreachable failed independently of the request.
pub fn may_be_crash(failure: &Failure) -> bool {
    failure.kind == FailureKind::Broken && failure.delivery == Delivery::Sent
}
