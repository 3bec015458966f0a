//! Forwards the events of a stream to the caller, and resumes the stream at another upstream when
//! it breaks.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::{
    balance::{Class, Outcome},
    quarantine::Fingerprint,
    upstream::Failure,
};

use super::{
    Context, RoutedRequest,
    events::Event,
    state::{self, Action, State},
    task::{EventStream, Permit, Received, end_request, report_crash, send_once},
    trace::Trace,
};

/// Error: the stream can't be completed. The caller's connection is closed without the end of the
/// body, so that the answer doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut off before its end")]
pub struct Truncated;

/// A stream that is forwarded to the caller.
pub(super) struct Relay {
    pub(super) context: Arc<Context>,
    pub(super) routed: RoutedRequest,
    pub(super) state: State,
    pub(super) trace: Trace,
    pub(super) permit: Permit,
    pub(super) source: Box<EventStream>,
    pub(super) sender: mpsc::Sender<Result<Bytes, Truncated>>,
    pub(super) fingerprint: Fingerprint,
}

/// What happens next in a stream.
enum Step {
    Event(Event),
    Complete,
    Failed(Failure),
    CallerDisconnected,
}

impl Relay {
    pub(super) async fn run(mut self) {
        loop {
            match self.next_step().await {
                Step::Event(event) => match self.state.accept_event(event.id) {
                    Ok(true) => {
                        self.trace.record_first_event();
                        if !self.forward(Ok(event.bytes)).await {
                            return self.record_disconnect();
                        }
                    }
                    Ok(false) => {}
                    Err(gap) => {
                        self.trace.finish("cut", &gap.to_string());
                        self.permit.outcome = Outcome::Failed;
                        return self.truncate().await;
                    }
                },
                Step::Complete => {
                    self.permit.outcome = Outcome::Succeeded;
                    self.context.quarantine().record_success(&self.fingerprint);
                    return self.trace.finish("completed", "");
                }
                Step::CallerDisconnected => return self.record_disconnect(),
                Step::Failed(failure) => {
                    if !self.resume(failure).await {
                        return self.truncate().await;
                    }
                }
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        let now = self.context.clock.now();
        let silence_deadline = self.state.silence_deadline(now);
        tokio::select! {
            next = self.source.next() => match next {
                Ok(Some(event)) => Step::Event(event),
                Ok(None) => Step::Complete,
                Err(failure) => Step::Failed(failure),
            },
            () = self.sender.closed() => Step::CallerDisconnected,
            () = tokio::time::sleep((silence_deadline - now).duration()) =>
                Step::Failed(Failure::timed_out()),
        }
    }

    /// Forwards `bytes` to the caller. Returns false if the caller disconnected or didn't read them
    /// before the deadline.
    async fn forward(&mut self, bytes: Result<Bytes, Truncated>) -> bool {
        let remaining = (self.state.deadline() - self.context.clock.now()).duration();
        matches!(tokio::time::timeout(remaining, self.sender.send(bytes)).await, Ok(Ok(())))
    }

    /// Continues the stream at another upstream after the last forwarded event. Returns false if
    /// that isn't possible.
    async fn resume(&mut self, failure: Failure) -> bool {
        let mut failure = failure;
        loop {
            self.trace.record_failure(&self.permit, &failure.message);
            report_crash(&self.context, self.fingerprint, &self.permit.pick, &failure);
            let now = self.context.clock.now();
            let action = self.state.record_failure(now, &self.permit.pick.upstream, &failure);
            self.permit.outcome = state::health_outcome(&failure);
            if now >= self.state.deadline() {
                self.permit.outcome = Outcome::Neutral;
            }
            if let Action::End(end) = action {
                self.trace.finish("cut", &format!("{end:?}"));
                return false;
            }
            let objective = self.routed.route.latency_objective;
            let chosen = self.context.choose(
                &self.routed.service,
                Class::Online,
                &self.state.excluded,
                objective,
            );
            let permit = match chosen {
                Ok(permit) => permit,
                Err(refusal) => {
                    self.trace.record_refusal(refusal);
                    self.trace.finish("cut", "no upstream can go on with the stream");
                    return false;
                }
            };
            end_request(
                std::mem::replace(&mut self.permit, permit),
                state::health_outcome(&failure),
            );
            self.state.record_send();
            self.trace.record_send(&self.permit);
            let result = tokio::select! {
                result = send_once(&self.context, &self.routed, &mut self.state, &self.permit) =>
                    result,
                () = self.sender.closed() => {
                    self.trace.finish("caller left", "while the stream was resumed");
                    return false;
                }
            };
            match result {
                Ok(Received::Stream { source, .. }) => {
                    self.source = source;
                    return true;
                }
                Ok(Received::Complete { parts, .. }) => {
                    let status = parts.status;
                    failure = Failure::broken(format!(
                        "the upstream answered {status} instead of resuming"
                    ));
                }
                Err(next_failure) => failure = next_failure,
            }
        }
    }

    fn record_disconnect(&mut self) {
        self.trace.finish("caller left", "before the end of the stream");
    }

    async fn truncate(&mut self) {
        self.forward(Err(Truncated)).await;
    }
}
