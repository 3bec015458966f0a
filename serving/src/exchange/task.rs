//! Starts the driver of a request, and the context that all requests share.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;

use crate::{
    access::{Denial, Guard, KeyDigest, Member},
    balance::{self, Class, Criteria, Digest, Outcome, Pick, Refusal, limit},
    catalog::Route,
    fleet::{self, Software},
    forward::{self, Forwarders},
    id::{Incarnation, Process, Service, Version, Vm, Workspace},
    metrics::{DepartureLabels, Metrics},
    origins::Origins,
    parts::{self, Prompt},
    quarantine::{Fingerprint, Quarantine, Status},
    shutdown::Shutdown,
    tenure::Epochs,
    time::{Clock, Millis},
    uplink::{self, Health, Sign, Verdict},
    upstream::{self, Codec, Failure, FailureKind, Pool, Request},
};

use super::{
    changes,
    driver::{Driver, Output},
    origin,
    relay::{self, Events},
    state::{self, End},
    trace::Trace,
};

/// Retry delay sent to the caller of a quarantined request.
const QUARANTINE_RETRY_AFTER: Millis = Millis(1_000);

/// State that all requests share with the rest of the process.
pub struct Context {
    pub clock: Clock,
    pub access: Guard,
    pub balance: Mutex<balance::State>,
    pub quarantine: Mutex<Quarantine>,
    pub parts: Mutex<parts::State>,
    pub fleet: Arc<Mutex<fleet::State>>,
    pub origins: Arc<Origins>,
    /// Whether this node itself reaches the upstreams.
    pub uplink: Mutex<uplink::State>,
    /// Nodes through which requests go while it doesn't.
    pub forwarders: Forwarders,
    /// The owners of partitions, whose requests this node may forward.
    pub epochs: Epochs,
    pub shutdown: Shutdown,
    pub pool: Arc<Pool>,
    pub codec: Arc<dyn Codec>,
    pub metrics: Arc<Metrics>,
}

/// A request of a caller with the route that matched it.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    pub request: Request,
    pub route: Arc<Route>,
    /// Service selected by the traffic split of the route. Another one of the route takes the request
    /// if this one turns out to have no upstream for it.
    pub service: Service,
    /// Version of the configuration that routed the request.
    pub config_version: u64,
    pub arrived: Millis,
    /// Maximum time that the caller waits, measured from `arrived`. The timeout of the route also
    /// applies.
    pub caller_timeout: Option<Millis>,
    /// Event after which the caller resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
    pub prompt: Prompt,
    /// The workspace of the caller; `None` if the request needs no key.
    pub member: Option<Arc<Member>>,
    /// The key by which the caller was identified. Set exactly if `member` is.
    pub key: Option<KeyDigest>,
}

/// Result of a request for its caller.
pub enum Answer {
    Complete {
        parts: http::response::Parts,
        body: Bytes,
    },
    Stream {
        parts: http::response::Parts,
        events: Events,
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

    pub fn parts(&self) -> MutexGuard<'_, parts::State> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn uplink(&self) -> MutexGuard<'_, uplink::State> {
        self.uplink.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this node's own path to the upstreams may work.
    pub(crate) fn has_path(&self) -> bool {
        self.uplink().health() != Health::Down
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, fleet::State> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies what another node reports about parts of prompts.
    pub(crate) fn merge_parts(&self, now: Millis, report: parts::Report) {
        let changes = self.parts().merge(now, report);
        changes::log_parts(&changes);
    }

    /// Records the complete answer to a request as evidence for the parts of its prompt.
    pub(super) fn record_answer(
        &self,
        routed: &RoutedRequest,
        fingerprint: Fingerprint,
        permit: &Permit,
    ) {
        let software = permit.pick.software();
        let attempt = permit.attempt(routed, &software, fingerprint);
        let changes = self.parts().record_answer(self.clock.now(), attempt);
        changes::log_parts(&changes);
    }

    fn record_part_crash(&self, now: Millis, attempt: parts::Attempt<'_>, process: Process) {
        let changes = self.parts().record_crash(now, attempt, process);
        changes::log_parts(&changes);
    }

    /// Selects a service of a route by weight, one with healthy upstreams if there is any.
    pub fn select_service(&self, route: &Route) -> Service {
        self.balance().select_service(self.clock.now(), route, rand::random())
    }

    /// Chooses an upstream for one send and counts the request as in flight there until the result
    /// is dropped.
    pub(crate) fn choose(
        self: &Arc<Context>,
        service: &Service,
        class: Class,
        excluded: &BTreeSet<crate::id::Upstream>,
        version: Option<&Version>,
        objective: Millis,
    ) -> Result<Permit, Refusal> {
        let now = self.clock.now();
        if self.uplink().health() == Health::Down && self.forwarders.count(now) == 0 {
            let retry_after = self.balance().retry_after();
            return Err(Refusal::NoPath { retry_after });
        }
        let criteria = Criteria { service, class, excluded, version, objective };
        let known_crashes = self.parts().revision();
        let (choice, expected_ms, locality_changes) = {
            let mut balance = self.balance();
            let choice = balance.choose(now, criteria);
            let expected_ms = choice.as_ref().ok().and_then(|pick| balance.expected_ms(pick));
            (choice, expected_ms, balance.take_locality_changes())
        };
        changes::log_locality(&locality_changes);
        let pick = choice?;
        let context = Arc::clone(self);
        Ok(Permit { context, pick, outcome: Outcome::Neutral, known_crashes, expected_ms })
    }
}

impl Context {
    /// Sends a request to the upstream of `pick`, which gets no further requests if it says in its
    /// response that it is leaving. The request goes through another node while this node's own path
    /// is not known to work.
    pub(crate) async fn send(
        self: &Arc<Context>,
        request: &Request,
        options: upstream::Options<'_>,
        pick: &Pick,
        is_retryable: bool,
    ) -> upstream::Result<upstream::Answer> {
        let on_head = |head: &upstream::Head| {
            if head.is_leaving {
                self.record_leaving(pick);
            }
            if head.belongs_to(request) {
                self.record_limit(pick, head.limit);
                if let Some(load) = head.load {
                    self.balance().record_stated(self.clock.now(), pick, load);
                    if let Some(percent) = load.pace {
                        self.metrics.stated_pace.observe(percent.into());
                    }
                    let believed = pick.load.saturating_add(1);
                    self.metrics.load_error.observe(believed.abs_diff(load.in_flight()).into());
                }
            }
        };
        let bytes_counter = self.count_departure(pick, request);
        let is_up = self.uplink().health() == Health::Up;
        if !is_up && self.forwarders.count(self.clock.now()) > 0 {
            let forwarded =
                forward::send(self, request, options, pick, is_retryable, &on_head).await;
            let found_none =
                forwarded.as_ref().is_err_and(|failure| failure.kind == FailureKind::NoPath);
            if !found_none || !self.has_path() {
                return forwarded;
            }
        }
        let codec = self.codec.as_ref();
        let started = Instant::now();
        let on_own_head = |head: &upstream::Head| {
            if head.belongs_to(request) {
                let ms = started.elapsed().as_secs_f64() * 1_000.0;
                self.balance().record_answer(&pick.upstream, ms);
            }
            on_head(head);
        };
        let sending =
            self.pool.send(codec, request, options, pick.address, is_retryable, &on_own_head);
        let mut result = sending.await;
        if let Ok(answer) = &mut result {
            if let Some(setup) = answer.setup {
                self.balance().record_setup(&pick.upstream, setup.as_secs_f64() * 1_000.0);
            }
            answer.body.counter = bytes_counter;
        }
        if result.as_ref().is_err_and(|failure| failure.kind == FailureKind::Connect) {
            uplink::check_path(self, pick, Sign::ConnectFailed);
        }
        result
    }

    /// Counts a send to another data centre. Returns the counter of its bytes.
    fn count_departure(&self, pick: &Pick, request: &Request) -> Option<Counter> {
        let departure = pick.departure.as_ref()?;
        let labels = DepartureLabels {
            data_centre: departure.data_centre.0.clone(),
            class: pick.class.to_string(),
            reason: departure.reason.name(),
        };
        self.metrics.departures.get_or_create(&labels).inc();
        let bytes = self.metrics.departure_bytes.get_or_create(&labels).clone();
        bytes.inc_by(request.body.len() as u64);
        Some(bytes)
    }

    /// Counts a request that this node has `sent` through another one or has `taken` from it.
    pub(crate) fn count_forwarded(&self, direction: &str, outcome: &str) {
        self.metrics.count(&self.metrics.forwarded, direction, outcome);
    }

    /// Records the rate limit in a response of the upstream of `pick`. A response that names
    /// something invalid neither sets nor ends a limit.
    fn record_limit(&self, pick: &Pick, limit: upstream::Limit) {
        let rate = match limit {
            upstream::Limit::None => None,
            upstream::Limit::Rate(rate) => Some(rate),
            upstream::Limit::Invalid => return,
        };
        let change = self.balance().record_limit(self.clock.now(), pick, rate);
        let process = Process::of(&pick.upstream, pick.started);
        if let Some(change) = change {
            changes::log_limit(process, change, &format!("response of {}", pick.upstream));
        }
    }

    /// Applies what another node reports about rate limits.
    pub(crate) fn merge_limits(
        &self,
        now: Millis,
        vm: &Vm,
        incarnation: Incarnation,
        reports: Vec<limit::Report>,
    ) {
        let changes = self.balance().update_limits(now, vm, incarnation, reports);
        for (process, change) in changes {
            changes::log_limit(process, change, &format!("report of {vm}"));
        }
    }

    /// Checks right before a send whether the request may still run for its key.
    pub(super) fn recheck_access(&self, routed: &RoutedRequest) -> Result<(), Denial> {
        let (Some(key), Some(member)) = (routed.key, &routed.member) else { return Ok(()) };
        let checked = self.access.recheck(key, member);
        if let Err(denial) = checked {
            self.metrics.count(&self.metrics.access_refusals, "send", denial.as_str());
        }
        checked
    }

    /// Counts a failed send by its kind.
    pub(crate) fn count_failure(&self, pick: &Pick, failure: &Failure) {
        let (class, kind) = (pick.class.to_string(), failure.kind.to_string());
        self.metrics.count(&self.metrics.send_failures, &class, &kind);
    }

    /// Applies the ejections of upstreams that another node reports.
    pub(crate) fn merge_ejections(&self, now: Millis, vm: &Vm, ejected: &[(Digest, Millis)]) {
        let ejections = self.balance().update_ejections(now, vm, ejected);
        for ejection in ejections {
            self.metrics.count(&self.metrics.ejections, &ejection.service.0, "peers");
            log::info!(
                upstream = ejection.upstream.0.as_str(), witnesses = ejection.witnesses,
                last = vm.0.as_str();
                "upstream ejected: other nodes report failures"
            );
        }
    }

    pub(crate) fn record_leaving(&self, pick: &Pick) {
        if self.balance().record_leaving(pick) {
            self.pool.close_idle(&pick.upstream);
            log::info!(upstream = pick.upstream.0.as_str(), started = pick.started; "upstream says that it is leaving; it gets no more requests");
        }
    }
}

/// Guard of a request in flight at an upstream. Dropping it ends the request with `outcome`.
pub(crate) struct Permit {
    context: Arc<Context>,
    pub(crate) pick: Pick,

    pub(crate) outcome: Outcome,
    /// What was known of the parts of prompts when the upstream was chosen.
    known_crashes: parts::Revision,
    /// Expected time of the request in milliseconds, if the upstream states a pace.
    expected_ms: Option<f64>,
}

impl Permit {
    fn attempt<'a>(
        &self,
        routed: &'a RoutedRequest,
        software: &'a Software,
        fingerprint: Fingerprint,
    ) -> parts::Attempt<'a> {
        parts::Attempt {
            prompt: &routed.prompt,
            software,
            request: fingerprint.short(),
            revision: self.known_crashes,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.context.clock.now();
        let is_answer = self.outcome == Outcome::Succeeded && self.pick.class == Class::Online;
        if let Some(expected_ms) = self.expected_ms.filter(|_| is_answer) {
            let ms = (now - self.pick.chosen_at).0 as f64;
            self.context.metrics.time_ratio.observe(ms / expected_ms.max(1.0));
        }
        self.context.balance().finish(now, &self.pick, self.outcome);
    }
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
    let mut routed = routed;
    let version = match origin::select_software(context, &mut routed).await {
        Ok(version) => version,
        Err(error) => {
            trace.finish("refused", &error.to_string());
            let retry_after = context.balance().retry_after();
            return Answer::Refused { retry_after };
        }
    };
    let mut driver = Driver::new(context, routed, version, trace, fingerprint, status);
    match driver.next().await {
        Output::Answer { parts, body } => Answer::Complete { parts, body },
        Output::Head(parts) => {
            Answer::Stream { parts, events: relay::start(Arc::clone(context), driver) }
        }
        Output::Ended { end: End::NotRun, retry_after } => Answer::Refused { retry_after },
        Output::Ended { end: End::Timeout, .. } => Answer::Failed { timeout: true },
        // Events come after the head only.
        Output::Ended { end: End::Unknown | End::Cut, .. }
        | Output::Event(_)
        | Output::Complete => Answer::Failed { timeout: false },
    }
}

/// Fingerprint of workspace, host, path and body, which are the same when the caller sends the request
/// again. A workspace must not get a request of another one quarantined.
fn fingerprint(routed: &RoutedRequest) -> Fingerprint {
    let target = format!("{}{}", routed.request.host, routed.request.target);
    let scope = match &routed.request.workspace {
        Some(workspace) => Workspace(format!("{workspace}\0{target}")),
        None => Workspace(target),
    };
    Fingerprint::of(&scope, &routed.request.body)
}

/// Counts a crash against the request if its connection broke and the upstream is down afterwards, not
/// only the path to it. The examination runs in the background.
pub(super) fn report_crash(
    context: &Arc<Context>,
    routed: &Arc<RoutedRequest>,
    fingerprint: Fingerprint,
    permit: &Permit,
    failure: &Failure,
) {
    if !state::may_be_crash(failure) {
        return;
    }
    uplink::check_path(context, &permit.pick, Sign::ConnectionBroke);
    let (context, routed, pick) = (Arc::clone(context), Arc::clone(routed), permit.pick.clone());
    let software = permit.pick.software();
    let known_crashes = permit.known_crashes;
    tokio::spawn(async move {
        if uplink::examine(&context, &pick).await == Verdict::NotUpstream {
            return;
        }
        let now = context.clock.now();
        let status = context.quarantine().record_crash(now, fingerprint, &pick.upstream);
        context.pool.close_idle(&pick.upstream);
        let attempt = parts::Attempt {
            prompt: &routed.prompt,
            software: &software,
            request: fingerprint.short(),
            revision: known_crashes,
        };
        context.record_part_crash(now, attempt, Process::of(&pick.upstream, pick.started));
        log::warn!(
            upstream = pick.upstream.0.as_str(), verdict:? = status,
            request = routed.request.id.as_str(), parts:% = routed.prompt, sent_at = pick.chosen_at.0;
            "upstream died under a request"
        );
    });
}
