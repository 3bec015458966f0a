//! Sends a request, again where that is allowed, until there is an answer to pass on.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::{
    balance::{self, Class, Outcome, Pick, Refusal, Want},
    catalog::{Kind, Route},
    id::{Service, Workspace},
    metrics::Metrics,
    quarantine::{Fingerprint, Quarantine, Verdict},
    time::{Clock, Millis},
    upstream::{self, Body, Codec, Failure, Pool, Request},
};

use super::{
    events::{Event, Splitter},
    relay::{Broken, Relay},
    state::{self, End, Next, State},
    trace::Trace,
};

/// Events that wait for the caller to read them.
const RELAY_EVENTS: usize = 16;
/// How long a caller whose request crashes upstreams is told to stay away.
const QUARANTINE_RETRY: Millis = Millis(1_000);

/// What the exchange shares with the other slices of the process.
pub struct Context {
    pub clock: Clock,
    pub balance: Mutex<balance::State>,
    pub quarantine: Mutex<Quarantine>,
    pub pool: Arc<Pool>,
    pub codec: Arc<dyn Codec>,
    pub metrics: Arc<Metrics>,
}

/// A request of a caller and what its route says of it.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: Request,
    pub route: Arc<Route>,
    /// The service that the route's split drew for the request.
    pub service: Service,
    /// The version of the configuration that decided this.
    pub config: u64,
    pub arrived: Millis,
    /// How long the caller waits, from the arrival on.
    pub patience: Option<Millis>,
    /// The caller has the events up to this one already.
    pub last_event: Option<u64>,
}

/// What the caller gets.
pub enum Answer {
    Whole {
        parts: http::response::Parts,
        body: Bytes,
    },
    Stream {
        parts: http::response::Parts,
        events: mpsc::Receiver<Result<Bytes, Broken>>,
    },
    /// The request has not run and won't.
    Refused {
        retry_after: Millis,
    },
    /// The request may have run.
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

    /// Chooses an upstream for one send.
    pub(crate) fn choose(
        self: &Arc<Context>,
        service: &Service,
        class: Class,
        avoid: &BTreeSet<crate::id::Upstream>,
        objective: Millis,
    ) -> Result<Lease, Refusal> {
        let now = self.clock.now();
        let pick = self.balance().choose(now, Want { service, class, avoid, objective })?;
        Ok(Lease { context: Arc::clone(self), pick, outcome: Outcome::Neutral })
    }
}

/// A request in flight at an upstream; ends when it is dropped.
pub(crate) struct Lease {
    context: Arc<Context>,
    pub(crate) pick: Pick,

    pub(crate) outcome: Outcome,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        self.context.balance().end(now, &self.pick, self.outcome);
    }
}

/// What one send gave.
pub(super) enum Given {
    Whole { parts: http::response::Parts, body: Bytes },
    Stream { parts: http::response::Parts, source: Box<Source> },
}

/// A stream that has begun.
pub(super) struct Source {
    pub(super) body: Body,
    pub(super) splitter: Splitter,
    /// The event that was awaited before the stream was taken.
    pub(super) first: Option<Event>,
}

/// Carries a request to its answer. Dropping the future cancels the request.
pub async fn run(context: &Arc<Context>, job: Job) -> Answer {
    let mut trace = Trace::new(context, &job);
    let fingerprint = fingerprint(&job);
    let verdict = context.quarantine().verdict(context.clock.now(), &fingerprint);
    if verdict == Verdict::Quarantined {
        trace.end("quarantined", "the request has crashed upstreams");
        return Answer::Refused { retry_after: QUARANTINE_RETRY };
    }
    let mut state = new_state(&job);
    loop {
        let lease = match context.choose(
            &job.service,
            Class::Online,
            &state.avoid,
            job.route.latency_objective,
        ) {
            Ok(lease) => lease,
            Err(refusal) => {
                trace.refused(refusal);
                return ended(trace, state.no_upstream(), retry_after(refusal));
            }
        };
        state.sent();
        trace.sent(&lease);
        match attempt(context, &job, &mut state, &lease).await {
            Ok(Given::Whole { parts, body }) => {
                let failed = parts.status.is_server_error();
                let now = context.clock.now();
                if failed && state.answered_failure(now, &lease.pick.upstream) {
                    trace.failed(&lease, parts.status.as_str());
                    finish(lease, Outcome::Failed);
                    continue;
                }
                trace.answered(&lease, parts.status);
                finish(lease, if failed { Outcome::Failed } else { Outcome::Succeeded });
                if verdict == Verdict::Suspect && !failed {
                    context.quarantine().succeeded(&fingerprint);
                }
                return Answer::Whole { parts, body };
            }
            Ok(Given::Stream { parts, source }) => {
                let (sender, events) = mpsc::channel(RELAY_EVENTS);
                let relay = Relay {
                    context: Arc::clone(context),
                    job,
                    state,
                    trace,
                    lease,
                    source,
                    sender,
                    fingerprint,
                };
                tokio::spawn(relay.run());
                return Answer::Stream { parts, events };
            }
            Err(failure) => {
                trace.failed(&lease, &failure.message);
                report_death(context, fingerprint, &lease.pick, &failure);
                let next = state.failed(context.clock.now(), &lease.pick.upstream, &failure);
                finish(lease, state::outcome(&failure));
                match next {
                    Next::Send { .. } => {}
                    Next::End(end) => {
                        let retry_after = context.balance().retry_after();
                        return ended(trace, end, retry_after);
                    }
                }
            }
        }
    }
}

pub(super) fn finish(mut lease: Lease, outcome: Outcome) {
    lease.outcome = outcome;
}

fn new_state(job: &Job) -> State {
    let patience = job.patience.unwrap_or(job.route.timeout).min(job.route.timeout);
    let end = job.arrived + patience;
    let mut state =
        State::new(job.route.kind, job.route.max_attempts, end, job.route.latency_objective);
    if let Some(event) = job.last_event {
        state.resumes_at(event);
    }
    state
}

fn ended(mut trace: Trace, end: End, retry_after: Millis) -> Answer {
    match end {
        End::NotRun => {
            trace.end("refused", "the request has not run");
            Answer::Refused { retry_after }
        }
        End::Timeout => {
            trace.end("timeout", "the time of the request is up");
            Answer::Failed { timeout: true }
        }
        End::Unknown | End::Cut => {
            trace.end("failed", "no complete answer");
            Answer::Failed { timeout: false }
        }
    }
}

fn retry_after(refusal: Refusal) -> Millis {
    match refusal {
        Refusal::NoUpstream { retry_after } | Refusal::Full { retry_after, .. } => retry_after,
    }
}

/// One send, up to the whole answer or the first event of a stream.
pub(super) async fn attempt(
    context: &Arc<Context>,
    job: &Job,
    state: &mut State,
    lease: &Lease,
) -> upstream::Result<Given> {
    let now = context.clock.now();
    let silent_until = state.silent_until(now);
    let send = upstream::Options {
        upstream: &lease.pick.upstream,
        deadline: Some((state.end() - now).duration()),
        resume_after: state.resume_after(),
    };
    let repeatable = state.is_repeatable();
    let is_stream = matches!(job.route.kind, Kind::Stream { .. });
    let sending = async {
        let codec = context.codec.as_ref();
        let answer =
            context.pool.send(codec, &job.request, send, lease.pick.address, repeatable).await?;
        if !is_stream || !answer.parts.status.is_success() {
            return Ok(Given::Whole { parts: answer.parts, body: answer.body.collect().await? });
        }
        let mut source = Source { body: answer.body, splitter: Splitter::default(), first: None };
        source.first = source.next().await?;
        Ok(Given::Stream { parts: answer.parts, source: Box::new(source) })
    };
    match tokio::time::timeout((silent_until - now).duration(), sending).await {
        Ok(result) => result,
        Err(_) => {
            state.runs();
            Err(Failure::timed_out())
        }
    }
}

impl Source {
    /// The next whole event; `None` at the end of the stream.
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

/// Names a request by its host, path and body, which stay the same when it comes again.
fn fingerprint(job: &Job) -> Fingerprint {
    let place = Workspace(format!("{}{}", job.request.host, job.request.target));
    Fingerprint::of(&place, &job.request.body)
}

/// A connection that breaks may be the end of its upstream: one that can't be reached any more
/// counts against the request.
pub(super) fn report_death(
    context: &Arc<Context>,
    fingerprint: Fingerprint,
    pick: &Pick,
    failure: &Failure,
) {
    if !state::may_be_death(failure) {
        return;
    }
    let (context, pick) = (Arc::clone(context), pick.clone());
    tokio::spawn(async move {
        if context.pool.is_reachable(pick.address).await {
            return;
        }
        let now = context.clock.now();
        let verdict = context.quarantine().died(now, fingerprint, &pick.upstream);
        context.pool.close_idle(&pick.upstream);
        log::warn!(upstream = pick.upstream.0.as_str(), verdict:? = verdict; "upstream died under a request");
    });
}
