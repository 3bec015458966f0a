//! Decides what becomes of a request after each failure.

use std::collections::BTreeSet;

use crate::{
    balance::Outcome,
    catalog::Kind,
    id::Upstream,
    time::Millis,
    upstream::{Delivery, Failure, FailureKind},
};

/// Sends for which no answer is awaited beyond this multiple of the route's latency objective.
const SILENCE_OBJECTIVES: u64 = 3;
/// The least silence after which an upstream counts as failed; a queue may take as long.
const SILENCE_MIN: Millis = Millis(600);
/// Time that must be left for another send to be worth it.
const SEND_MIN: Millis = Millis(20);

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another upstream, behind `resume_after` if it has begun.
    Send {
        resume_after: Option<u64>,
    },
    End(End),
}

/// How a request without a complete answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It has not run and won't; the caller may come back.
    NotRun,
    /// It may have run.
    Unknown,
    /// Its time is up and it may have run.
    Timeout,
    /// A part of the answer has been passed on; it can't be completed.
    Cut,
}

/// What has become of a request so far.
#[derive(Clone, Debug)]
pub struct State {
    kind: Kind,
    /// Sends that are left.
    attempts: u32,
    /// When the request gets its final answer at the latest.
    end: Millis,
    silence: Millis,
    /// The caller's own position, then the last whole event that was passed on.
    last_event: Option<u64>,
    /// Whether a part of the answer has been passed on.
    begun: bool,
    /// Whether an upstream may have run the request.
    may_have_run: bool,
    /// Upstreams that are not tried again.
    pub avoid: BTreeSet<Upstream>,
}

impl State {
    pub fn new(kind: Kind, attempts: u32, end: Millis, objective: Millis) -> State {
        let silence = Millis(objective.0 * SILENCE_OBJECTIVES).max(SILENCE_MIN);
        State {
            kind,
            attempts,
            end,
            silence,
            last_event: None,
            begun: false,
            may_have_run: false,
            avoid: BTreeSet::new(),
        }
    }

    /// The caller has the events up to this one already.
    pub fn resumes_at(&mut self, event: u64) {
        self.last_event = Some(event);
    }

    pub fn end(&self) -> Millis {
        self.end
    }

    pub fn is_repeatable(&self) -> bool {
        self.kind.is_retryable()
    }

    /// The request is being sent.
    pub fn sent(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Until when the upstream may be silent. One request in flight that can't be sent again
    /// is waited for to its end.
    pub fn silent_until(&self, now: Millis) -> Millis {
        match self.kind.is_retryable() && self.attempts > 0 {
            true => self.end.min(now + self.silence),
            false => self.end,
        }
    }

    /// A whole event is about to be passed on. Tells whether it is: a repeated one isn't.
    /// An event that doesn't follow the last one is an error.
    pub fn event(&mut self, id: Option<u64>) -> Result<bool, Gap> {
        if let (Some(id), Some(last)) = (id, self.last_event) {
            if id <= last {
                return Ok(false);
            }
            if id != last + 1 {
                return Err(Gap { expected: last + 1, found: id });
            }
        }
        self.last_event = id.or(self.last_event);
        self.begun = true;
        Ok(true)
    }

    /// A send has failed at `upstream`.
    pub fn failed(&mut self, now: Millis, upstream: &Upstream, failure: &Failure) -> Next {
        self.avoid.insert(upstream.clone());
        if failure.delivery == Delivery::NotSent {
            self.attempts += 1;
        }
        if failure.delivery == Delivery::Sent {
            self.may_have_run = true;
        }
        self.next(now)
    }

    /// An upstream has answered with a failure of its own. Tells whether the request is sent
    /// again instead of passing that answer on.
    pub fn answered_failure(&mut self, now: Millis, upstream: &Upstream) -> bool {
        self.may_have_run = true;
        self.avoid.insert(upstream.clone());
        matches!(self.next(now), Next::Send { .. })
    }

    /// No upstream has room or none is left.
    pub fn no_upstream(&self) -> End {
        match (self.begun, self.may_have_run) {
            (true, _) => End::Cut,
            (false, true) => End::Unknown,
            (false, false) => End::NotRun,
        }
    }

    /// The time of the request is up.
    pub fn timed_out(&self) -> End {
        match (self.begun, self.may_have_run) {
            (true, _) => End::Cut,
            (false, true) => End::Timeout,
            (false, false) => End::NotRun,
        }
    }

    /// The request is at an upstream that may run it.
    pub fn runs(&mut self) {
        self.may_have_run = true;
    }

    fn next(&self, now: Millis) -> Next {
        if now + SEND_MIN >= self.end {
            return Next::End(self.timed_out());
        }
        let may_repeat = !self.may_have_run || self.kind.is_retryable();
        if self.attempts == 0 || !may_repeat {
            return Next::End(self.no_upstream());
        }
        Next::Send { resume_after: self.resume_after() }
    }

    /// Only a stream that has begun, here or at the caller, goes on behind an event.
    pub fn resume_after(&self) -> Option<u64> {
        self.last_event
    }
}

/// Events are missing from a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event {expected} was expected and {found} came")]
pub struct Gap {
    pub expected: u64,
    pub found: u64,
}

/// What a failure says of its upstream.
pub fn outcome(failure: &Failure) -> Outcome {
    match failure.kind {
        FailureKind::Overloaded => Outcome::Full,
        FailureKind::Connect
        | FailureKind::Misdirected
        | FailureKind::TimedOut
        | FailureKind::Broken => Outcome::Failed,
    }
}

/// Whether a failure may be the end of its upstream, brought about by the request. An upstream
/// that is silent or can't be reached was gone before the request came.
pub fn may_be_death(failure: &Failure) -> bool {
    failure.kind == FailureKind::Broken && failure.delivery == Delivery::Sent
}
