//! Sends a request and retries it where that is allowed, until there is an answer to forward.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::{
    balance::{self, Class, Criteria, Outcome, Pick, Refusal},
    catalog::{Kind, Route},
    id::{Service, Workspace},
    metrics::Metrics,
    quarantine::{Fingerprint, Quarantine, Status},
    time::{Clock, Millis},
    upstream::{self, Body, Codec, Failure, Pool, Request},
};

use super::{
    events::{Event, Splitter},
    relay::{Relay, Truncated},
    state::{self, Action, End, State},
    trace::Trace,
};

/// Maximum number of events buffered for a caller that reads slowly.
const RELAY_BUFFER_EVENTS: usize = 16;
/// Retry delay sent to the caller of a quarantined request.
const QUARANTINE_RETRY_AFTER: Millis = Millis(1_000);

/// State that all requests share with the rest of the process.
pub struct Context {
    pub clock: Clock,
    pub balance: Mutex<balance::State>,
    pub quarantine: Mutex<Quarantine>,
    pub pool: Arc<Pool>,
    pub codec: Arc<dyn Codec>,
    pub metrics: Arc<Metrics>,
}

/// A request of a caller with the route that matched it.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    pub request: Request,
    pub route: Arc<Route>,
    /// Service selected by the traffic split of the route.
    pub service: Service,
    /// Version of the configuration that routed the request.
    pub config_version: u64,
    pub arrived: Millis,
    /// Maximum time that the caller waits, measured from `arrived`. The timeout of the route also
    /// applies.
    pub caller_timeout: Option<Millis>,
    /// Event after which the caller resumes a stream.
    pub last_event: Option<u64>,
}

/// Result of a request for its caller.
pub enum Answer {
    Complete {
        parts: http::response::Parts,
        body: Bytes,
    },
    Stream {
        parts: http::response::Parts,
        events: mpsc::Receiver<Result<Bytes, Truncated>>,
    },
    /// No upstream ran the request or will run it.
    Refused {
        retry_after: Millis,
    },
    /// An upstream may have run the request, and there is no answer.
    Failed {
        timeout: bool,
    },
}

impl Context {
    pub fn balance(&self) -> MutexGuard<'_, balance::State> {
        self.balance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses an upstream for one send and counts the request as in flight there until the result
    /// is dropped.
    pub(crate) fn choose(
        self: &Arc<Context>,
        service: &Service,
        class: Class,
        excluded: &BTreeSet<crate::id::Upstream>,
        objective: Millis,
    ) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        let pick = self.balance().choose(now, Criteria { service, class, excluded, objective })?;
        Ok(Permit { context: Arc::clone(self), pick, outcome: Outcome::Neutral })
    }
}

/// Guard of a request in flight at an upstream. Dropping it ends the request with `outcome`.
pub(crate) struct Permit {
    context: Arc<Context>,
    pub(crate) pick: Pick,

    pub(crate) outcome: Outcome,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        self.context.balance().finish(now, &self.pick, self.outcome);
    }
}

/// Answer of an upstream to one send.
pub(super) enum Received {
    Complete { parts: http::response::Parts, body: Bytes },
    Stream { parts: http::response::Parts, source: Box<EventStream> },
}

/// Events of a stream that has begun.
pub(super) struct EventStream {
    pub(super) body: Body,
    pub(super) splitter: Splitter,
    /// First event, which is read before the upstream counts as having answered.
    pub(super) first: Option<Event>,
}

/// Sends a request until there is an answer or no retry is left. Dropping the future cancels the
/// request, except for a stream that has begun: it ends when its receiver is dropped.
pub async fn run(context: &Arc<Context>, routed: RoutedRequest) -> Answer {
    let mut trace = Trace::new(context, &routed);
    let fingerprint = fingerprint(&routed);
    let status = context.quarantine().status(context.clock.now(), &fingerprint);
    if status == Status::Quarantined {
        trace.finish("quarantined", "the request has crashed upstreams");
        return Answer::Refused { retry_after: QUARANTINE_RETRY_AFTER };
    }
    let mut state = new_state(&routed);
    loop {
        let permit = match context.choose(
            &routed.service,
            Class::Online,
            &state.excluded,
            routed.route.latency_objective,
        ) {
            Ok(permit) => permit,
            Err(refusal) => {
                trace.record_refusal(refusal);
                return finish_without_answer(
                    trace,
                    state.end_without_upstream(),
                    retry_after(refusal),
                );
            }
        };
        state.record_send();
        trace.record_send(&permit);
        match send_once(context, &routed, &mut state, &permit).await {
            Ok(Received::Complete { parts, body }) => {
                let failed = parts.status.is_server_error();
                let now = context.clock.now();
                if failed && state.record_error_answer(now, &permit.pick.upstream) {
                    trace.record_failure(&permit, parts.status.as_str());
                    end_request(permit, Outcome::Failed);
                    continue;
                }
                trace.record_answer(&permit, parts.status);
                end_request(permit, if failed { Outcome::Failed } else { Outcome::Succeeded });
                if status == Status::Suspect && !failed {
                    context.quarantine().record_success(&fingerprint);
                }
                return Answer::Complete { parts, body };
            }
            Ok(Received::Stream { parts, source }) => {
                let (sender, events) = mpsc::channel(RELAY_BUFFER_EVENTS);
                let relay = Relay {
                    context: Arc::clone(context),
                    routed,
                    state,
                    trace,
                    permit,
                    source,
                    sender,
                    fingerprint,
                };
                tokio::spawn(relay.run());
                return Answer::Stream { parts, events };
            }
            Err(failure) => {
                trace.record_failure(&permit, &failure.message);
                report_crash(context, fingerprint, &permit.pick, &failure);
                let action =
                    state.record_failure(context.clock.now(), &permit.pick.upstream, &failure);
                end_request(permit, state::health_outcome(&failure));
                match action {
                    Action::Send { .. } => {}
                    Action::End(end) => {
                        let retry_after = context.balance().retry_after();
                        return finish_without_answer(trace, end, retry_after);
                    }
                }
            }
        }
    }
}

/// Ends a request in flight with `outcome`.
pub(super) fn end_request(mut permit: Permit, outcome: Outcome) {
    permit.outcome = outcome;
}

fn new_state(routed: &RoutedRequest) -> State {
    let timeout = routed.caller_timeout.unwrap_or(routed.route.timeout).min(routed.route.timeout);
    let deadline = routed.arrived + timeout;
    let mut state = State::new(
        routed.route.kind,
        routed.route.max_attempts,
        deadline,
        routed.route.latency_objective,
    );
    if let Some(event) = routed.last_event {
        state.set_last_event(event);
    }
    state
}

fn finish_without_answer(mut trace: Trace, end: End, retry_after: Millis) -> Answer {
    match end {
        End::NotRun => {
            trace.finish("refused", "the request has not run");
            Answer::Refused { retry_after }
        }
        End::Timeout => {
            trace.finish("timeout", "the time of the request is up");
            Answer::Failed { timeout: true }
        }
        End::Unknown | End::Cut => {
            trace.finish("failed", "no complete answer");
            Answer::Failed { timeout: false }
        }
    }
}

fn retry_after(refusal: Refusal) -> Millis {
    match refusal {
        Refusal::NoUpstream { retry_after } | Refusal::Full { retry_after, .. } => retry_after,
    }
}

/// Sends the request to one upstream and waits for the whole answer or the first event of a stream.
pub(super) async fn send_once(
    context: &Arc<Context>,
    routed: &RoutedRequest,
    state: &mut State,
    permit: &Permit,
) -> upstream::Result<Received> {
    let now = context.clock.now();
    let silence_deadline = state.silence_deadline(now);
    let options = upstream::Options {
        upstream: &permit.pick.upstream,
        deadline: Some((state.deadline() - now).duration()),
        resume_after: state.resume_after(),
    };
    let is_retryable = state.is_retryable();
    let is_stream = matches!(routed.route.kind, Kind::Stream { .. });
    let sending = async {
        let codec = context.codec.as_ref();
        let answer = context
            .pool
            .send(codec, &routed.request, options, permit.pick.address, is_retryable)
            .await?;
        if !is_stream || !answer.parts.status.is_success() {
            return Ok(Received::Complete {
                parts: answer.parts,
                body: answer.body.collect().await?,
            });
        }
        let mut source =
            EventStream { body: answer.body, splitter: Splitter::default(), first: None };
        source.first = source.next().await?;
        Ok(Received::Stream { parts: answer.parts, source: Box::new(source) })
    };
    match tokio::time::timeout((silence_deadline - now).duration(), sending).await {
        Ok(result) => result,
        Err(_) => {
            state.record_possible_run();
            Err(Failure::timed_out())
        }
    }
}

impl EventStream {
    /// Reads the next complete event. `None` is the end of the stream.
    pub(super) async fn next(&mut self) -> upstream::Result<Option<Event>> {
        if let Some(event) = self.first.take() {
            return Ok(Some(event));
        }
        loop {
            if let Some(event) = self.splitter.next() {
                return Ok(Some(event));
            }
            if self.splitter.is_overlong() {
                return Err(Failure::broken("an event is too long"));
            }
            match self.body.next_chunk().await? {
                Some(bytes) => self.splitter.push(&bytes),
                None if self.splitter.is_partial() => {
                    return Err(Failure::broken("the stream ended within an event"));
                }
                None => return Ok(None),
            }
        }
    }
}

/// Fingerprint of host, path and body, which are the same when the caller sends the request again.
fn fingerprint(routed: &RoutedRequest) -> Fingerprint {
    let scope = Workspace(format!("{}{}", routed.request.host, routed.request.target));
    Fingerprint::of(&scope, &routed.request.body)
}

/// Counts a crash against the request if its connection broke and the upstream is unreachable
/// afterwards. The connection attempt runs in the background.
pub(super) fn report_crash(
    context: &Arc<Context>,
    fingerprint: Fingerprint,
    pick: &Pick,
    failure: &Failure,
) {
    if !state::may_be_crash(failure) {
        return;
    }
    let (context, pick) = (Arc::clone(context), pick.clone());
    tokio::spawn(async move {
        if context.pool.is_reachable(pick.address).await {
            return;
        }
        let now = context.clock.now();
        let status = context.quarantine().record_crash(now, fingerprint, &pick.upstream);
        context.pool.close_idle(&pick.upstream);
        log::warn!(
            upstream = pick.upstream.0.as_str(), verdict:? = status;
            "upstream died under a request"
        );
    });
}
