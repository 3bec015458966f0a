//! Passes the events of a stream on, and resumes it at another upstream when it breaks.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::{
    balance::{Class, Outcome},
    quarantine::Fingerprint,
    upstream::Failure,
};

use super::{
    Context, Job,
    events::Event,
    state::{self, Next, State},
    task::{Given, Lease, Source, attempt, finish, report_death},
    trace::Trace,
};

/// A stream that can't be completed. The caller's connection is cut, so that the answer doesn't
/// look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream broke off")]
pub struct Broken;

/// A stream on its way to the caller.
pub(super) struct Relay {
    pub(super) context: Arc<Context>,
    pub(super) job: Job,
    pub(super) state: State,
    pub(super) trace: Trace,
    pub(super) lease: Lease,
    pub(super) source: Box<Source>,
    pub(super) sender: mpsc::Sender<Result<Bytes, Broken>>,
    pub(super) fingerprint: Fingerprint,
}

/// What came next.
enum Step {
    Event(Event),
    Complete,
    Failed(Failure),
    CallerLeft,
}

impl Relay {
    pub(super) async fn run(mut self) {
        loop {
            match self.step().await {
                Step::Event(event) => match self.state.event(event.id) {
                    Ok(true) => {
                        self.trace.event();
                        if !self.pass(Ok(event.bytes)).await {
                            return self.caller_left();
                        }
                    }
                    Ok(false) => {}
                    Err(gap) => {
                        self.trace.end("cut", &gap.to_string());
                        self.lease.outcome = Outcome::Failed;
                        return self.cut().await;
                    }
                },
                Step::Complete => {
                    self.lease.outcome = Outcome::Succeeded;
                    self.context.quarantine().succeeded(&self.fingerprint);
                    return self.trace.end("completed", "");
                }
                Step::CallerLeft => return self.caller_left(),
                Step::Failed(failure) => {
                    if !self.resume(failure).await {
                        return self.cut().await;
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let now = self.context.clock.now();
        let silent_until = self.state.silent_until(now);
        tokio::select! {
            next = self.source.next() => match next {
                Ok(Some(event)) => Step::Event(event),
                Ok(None) => Step::Complete,
                Err(failure) => Step::Failed(failure),
            },
            () = self.sender.closed() => Step::CallerLeft,
            () = tokio::time::sleep((silent_until - now).duration()) => Step::Failed(Failure::timed_out()),
        }
    }

    /// Passes bytes on unless the caller has left or reads too slowly for the route.
    async fn pass(&mut self, bytes: Result<Bytes, Broken>) -> bool {
        let left = (self.state.end() - self.context.clock.now()).duration();
        matches!(tokio::time::timeout(left, self.sender.send(bytes)).await, Ok(Ok(())))
    }

    /// Goes on at another upstream behind the last event that was passed on.
    async fn resume(&mut self, failure: Failure) -> bool {
        let mut failure = failure;
        loop {
            self.trace.failed(&self.lease, &failure.message);
            report_death(&self.context, self.fingerprint, &self.lease.pick, &failure);
            let now = self.context.clock.now();
            let next = self.state.failed(now, &self.lease.pick.upstream, &failure);
            self.lease.outcome = state::outcome(&failure);
            if now >= self.state.end() {
                self.lease.outcome = Outcome::Neutral;
            }
            if let Next::End(end) = next {
                self.trace.end("cut", &format!("{end:?}"));
                return false;
            }
            let objective = self.job.route.latency_objective;
            let chosen =
                self.context.choose(&self.job.service, Class::Online, &self.state.avoid, objective);
            let lease = match chosen {
                Ok(lease) => lease,
                Err(refusal) => {
                    self.trace.refused(refusal);
                    self.trace.end("cut", "no upstream can go on with the stream");
                    return false;
                }
            };
            finish(std::mem::replace(&mut self.lease, lease), state::outcome(&failure));
            self.state.sent();
            self.trace.sent(&self.lease);
            let attempted = tokio::select! {
                attempted = attempt(&self.context, &self.job, &mut self.state, &self.lease) => attempted,
                () = self.sender.closed() => {
                    self.trace.end("caller left", "while the stream was resumed");
                    return false;
                }
            };
            match attempted {
                Ok(Given::Stream { source, .. }) => {
                    self.source = source;
                    return true;
                }
                Ok(Given::Whole { parts, .. }) => {
                    let status = parts.status;
                    failure = Failure::broken(format!(
                        "the upstream answered {status} instead of resuming"
                    ));
                }
                Err(next_failure) => failure = next_failure,
            }
        }
    }

    fn caller_left(&mut self) {
        self.trace.end("caller left", "before the end of the stream");
    }

    async fn cut(&mut self) {
        self.pass(Err(Broken)).await;
    }
}
