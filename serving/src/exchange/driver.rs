//! Drives one request through its sends until it is answered.
//!
//! A request has one run at a time. If its upstream falls silent, another one, the successor, is
//! asked to take over. The silent upstream keeps the request until the successor answers, because
//! the successor may refuse the request or fail while the silent upstream goes on.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc};

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header::CONTENT_TYPE};

use crate::{
    access,
    balance::{Class, Outcome, Refusal},
    catalog::Kind,
    id::{Service, Version},
    quarantine::{Fingerprint, Status},
    time::Millis,
    uplink::{Sign, check_path},
    upstream::{self, Body, Failure, FailureKind},
};

use super::{
    Context, RoutedRequest,
    events::{Event, Splitter},
    origin, process,
    state::{self, Action, End, Silence, State},
    task::{Permit, report_crash},
    trace::Trace,
};

/// What the driver of a request produces next.
pub(super) enum Output {
    /// The complete answer of an upstream.
    Answer {
        parts: http::response::Parts,
        body: Bytes,
    },
    /// The head of a stream, whose events follow.
    Head(http::response::Parts),
    Event(Bytes),
    /// The stream is complete.
    Complete,
    /// The request ends without a complete answer. The caller may retry after `retry_after` if the
    /// request has not run.
    Ended {
        end: End,
        retry_after: Millis,
    },
}

/// Answer of an upstream to one send.
enum Received {
    Complete { parts: http::response::Parts, body: Bytes },
    Stream { parts: http::response::Parts, source: Box<EventStream> },
}

/// Events of a stream that has begun.
struct EventStream {
    body: Body,
    splitter: Splitter,
    has_events: bool,
    /// First event, which is read before the upstream counts as having answered.
    first: Option<Event>,
}

type Sending = Pin<Box<dyn Future<Output = upstream::Result<Received>> + Send>>;

/// Where the answer of a run comes from.
enum Source {
    Sending(Sending),
    Stream(Box<EventStream>),
}

/// The request at one upstream. Dropping the run cancels the request there.
struct Run {
    permit: Permit,
    source: Source,
    /// Whether the upstream has been silent for too long and hasn't sent anything since.
    is_silent: bool,
    /// The run goes on with a stream and hasn't sent a numbered event yet, so that what it sends may be
    /// something else, such as the text of an error.
    is_unproven: bool,
    /// The node through which the stream comes, if not directly.
    forwarder: Option<SocketAddr>,
}

/// A run that is to take over from the silent one.
struct Successor {
    permit: Permit,
    sending: Sending,
    /// End of the overlap with the silent run.
    until: Millis,
}

/// What a run produces next.
enum Progress {
    Received(Received),
    Event(Event),
    Complete,
    Failed(Failure),
}

/// What the driver waits for.
enum Wake {
    Current(Progress),
    Successor(upstream::Result<Received>),
    Time,
}

pub(super) struct Driver {
    context: Arc<Context>,
    routed: Arc<RoutedRequest>,
    state: State,
    pub(super) trace: Trace,
    fingerprint: Fingerprint,
    status: Status,
    /// The service of the route that takes the request.
    service: Service,
    /// Version of the upstream that brought the first event of a stream, here or for the request
    /// that the caller resumes. Only this version of the service may go on with the stream. `None`
    /// before the first event.
    version: Option<Version>,
    /// The process that brought the first event of this answer.
    first_process: Option<process::Origin>,
    origin: origin::Record,
    /// The caller has the head of a stream.
    has_head: bool,
    /// Content type in that head.
    content_type: Option<HeaderValue>,
    /// Whether other nodes failed to confirm that the request may move to another version. It isn't
    /// tried again.
    is_bound: bool,
    /// The run on which the caller's answer depends. `None` until the request is sent, and after a
    /// failed send.
    current: Option<Run>,
    /// Exists only while `current` does.
    successor: Option<Successor>,
    /// What the current run of a stream has produced since it was silent. Held back until the
    /// successor has answered or failed, because the successor resumes after the event that the
    /// caller has now.
    held: Option<Progress>,
    /// Time at which to ask a successor.
    search_at: Millis,
}

impl Driver {
    pub(super) fn new(
        context: &Arc<Context>,
        routed: RoutedRequest,
        version: Option<Version>,
        trace: Trace,
        fingerprint: Fingerprint,
        status: Status,
    ) -> Driver {
        Driver {
            context: Arc::clone(context),
            state: new_state(&routed),
            service: routed.service.clone(),
            routed: Arc::new(routed),
            trace,
            fingerprint,
            status,
            version,
            first_process: None,
            origin: origin::Record::default(),
            has_head: false,
            content_type: None,
            is_bound: false,
            current: None,
            successor: None,
            held: None,
            search_at: Millis(0),
        }
    }

    pub(super) fn deadline(&self) -> Millis {
        self.state.deadline()
    }

    /// Runs the request until there is something to forward to the caller.
    pub(super) async fn next(&mut self) -> Output {
        if self.current.as_ref().is_some_and(|current| !current.is_silent) {
            self.search_at = self.state.silence_deadline(self.context.clock.now());
        }
        loop {
            let output = match self.wait().await {
                Some(Wake::Current(progress)) => self.handle_current(progress),
                Some(Wake::Successor(result)) => self.handle_successor(result),
                Some(Wake::Time) => self.handle_time(),
                None => self.send_first(),
            };
            if let Some(output) = output {
                return output;
            }
        }
    }

    /// Waits for the runs. `None` if there is no run.
    async fn wait(&mut self) -> Option<Wake> {
        let now = self.context.clock.now();
        let current = self.current.as_mut()?;
        let wake_at = match &self.successor {
            Some(successor) => successor.until,
            None => self.search_at,
        };
        // A run that always has a next event must not starve the timer.
        if now >= wake_at {
            return Some(Wake::Time);
        }
        let is_held = self.held.is_some();
        let wake = tokio::select! {
            biased;
            Some(result) = next_of(&mut self.successor) => Wake::Successor(result),
            progress = current.next(), if !is_held => Wake::Current(progress),
            () = tokio::time::sleep((wake_at - now).duration()) => Wake::Time,
        };
        Some(wake)
    }

    /// Sends the request when it has no run.
    fn send_first(&mut self) -> Option<Output> {
        if let Err(denial) = self.recheck_access() {
            self.trace.record_denial(denial);
            let end = self.state.end_without_upstream();
            return Some(self.end(end, access::RETRY_AFTER));
        }
        match self.choose() {
            Ok(permit) => {
                let sending = self.send(&permit);
                self.set_current(permit, Source::Sending(sending));
                None
            }
            Err(refusal) => {
                self.trace.record_refusal(refusal);
                let end = self.state.end_without_upstream();
                Some(self.end(end, refusal.retry_after()))
            }
        }
    }

    fn handle_current(&mut self, progress: Progress) -> Option<Output> {
        let current = self.current.as_mut()?;
        if let Progress::Event(event) = &progress
            && self.state.is_repeated(event.id)
        {
            // No sign of life: an upstream may repeat events without end.
            return None;
        }
        let is_answer = matches!(progress, Progress::Received(Received::Complete { .. }));
        let is_failure = matches!(progress, Progress::Failed(_));
        if self.successor.is_some() && !is_answer && !is_failure {
            current.is_silent = false;
            self.held = Some(progress);
            return None;
        }
        match progress {
            Progress::Received(Received::Complete { parts, body }) => {
                self.handle_answer(parts, body)
            }
            Progress::Received(Received::Stream { parts, source }) => {
                current.source = Source::Stream(source);
                current.forwarder = upstream::forwarder(&parts);
                self.trace.record_forwarder(&parts);
                self.resume_waiting();
                self.head(parts)
            }
            Progress::Event(event) => self.handle_event(event),
            Progress::Complete => {
                current.permit.outcome = Outcome::Succeeded;
                if !current.source.is_unframed() {
                    let permit = &current.permit;
                    self.context.record_answer(&self.routed, self.fingerprint, permit);
                }
                self.context.quarantine().record_success(&self.fingerprint);
                self.trace.finish("completed", "");
                Some(Output::Complete)
            }
            Progress::Failed(failure) => self.handle_failure(failure),
        }
    }

    /// The head of a stream, unless the caller has one already.
    fn head(&mut self, parts: http::response::Parts) -> Option<Output> {
        if std::mem::replace(&mut self.has_head, true) {
            return None;
        }
        self.content_type = parts.headers.get(CONTENT_TYPE).cloned();
        Some(Output::Head(parts))
    }

    /// Handles the complete answer of the current run.
    fn handle_answer(&mut self, parts: http::response::Parts, body: Bytes) -> Option<Output> {
        if self.has_head {
            return self.handle_failure(not_resumed(parts.status));
        }
        let current = self.current.as_ref()?;
        if !parts.status.is_server_error() {
            return self.answer(parts, body);
        }
        let upstream = current.permit.pick.upstream.clone();
        let is_resent = self.state.record_error_answer(self.context.clock.now(), &upstream);
        if self.successor.is_none() && !is_resent {
            return self.answer(parts, body);
        }
        self.trace.record_failure(&current.permit, parts.status.as_str());
        self.end_current(Outcome::Failed);
        None
    }

    fn handle_event(&mut self, event: Event) -> Option<Output> {
        if event.id.is_none() && !event.is_comment() {
            if self.current.as_ref().is_some_and(|current| current.is_unproven) {
                return self
                    .handle_failure(Failure::broken("an event of a resumed stream has no id"));
            }
            self.state.record_unnumbered();
        } else if event.id.is_some()
            && let Some(current) = &mut self.current
        {
            current.is_unproven = false;
        }
        match self.state.accept_event(event.id) {
            Ok(false) => None,
            Ok(true) => {
                self.resume_waiting();
                self.trace.record_event();
                self.keep_version();
                Some(Output::Event(event.bytes))
            }
            Err(gap) => {
                self.end_current(Outcome::Failed);
                self.trace.finish("cut", &gap.to_string());
                Some(Output::Ended { end: End::Cut, retry_after: Millis(0) })
            }
        }
    }

    fn handle_failure(&mut self, failure: Failure) -> Option<Output> {
        self.record_binding(&failure);
        let current = self.current.as_ref()?;
        self.trace.record_failure(&current.permit, &failure.message);
        let permit = &current.permit;
        self.context.count_failure(&permit.pick, &failure);
        report_crash(&self.context, &self.routed, self.fingerprint, permit, &failure);
        let now = self.context.clock.now();
        if let Some(forwarder) = current.forwarder {
            self.context.forwarders.record_failure(now, forwarder);
        }
        let action = self.state.record_failure(now, &current.permit.pick.upstream, &failure);
        let has_successor = self.successor.is_some();
        self.end_current(state::health_outcome(&failure));
        match action {
            Action::End(end) if !has_successor => {
                let retry_after = self.context.balance().retry_after();
                Some(self.end(end, retry_after))
            }
            Action::End(_) | Action::Send { .. } => None,
        }
    }

    fn handle_successor(&mut self, result: upstream::Result<Received>) -> Option<Output> {
        let successor = self.successor.take()?;
        let failure = match result {
            Ok(Received::Stream { parts, source }) => {
                self.trace.record_takeover(&successor.permit);
                self.trace.record_forwarder(&parts);
                self.set_current(successor.permit, Source::Stream(source));
                if let Some(current) = &mut self.current {
                    current.forwarder = upstream::forwarder(&parts);
                }
                return self.head(parts);
            }
            Ok(Received::Complete { parts, .. }) if self.has_head => not_resumed(parts.status),
            Ok(Received::Complete { parts, .. }) if parts.status.is_server_error() => {
                Failure::broken(format!("the upstream answered {}", parts.status))
            }
            Ok(Received::Complete { parts, body }) => {
                self.set_current(
                    successor.permit,
                    Source::Sending(Box::pin(std::future::pending())),
                );
                return self.answer(parts, body);
            }
            Err(failure) => {
                let permit = &successor.permit;
                self.context.count_failure(&permit.pick, &failure);
                report_crash(&self.context, &self.routed, self.fingerprint, permit, &failure);
                failure
            }
        };
        self.record_binding(&failure);
        self.trace.record_failure(&successor.permit, &failure.message);
        self.state.record_successor_failure(&successor.permit.pick.upstream, &failure);
        end_run(successor.permit, state::health_outcome(&failure));
        self.release_held()
    }

    /// Goes on with the current run after its successor has failed.
    fn release_held(&mut self) -> Option<Output> {
        let now = self.context.clock.now();
        if let Some(progress) = self.held.take() {
            self.search_at = self.state.silence_deadline(now);
            return self.handle_current(progress);
        }
        self.search_at = self.state.next_search(now);
        None
    }

    fn handle_time(&mut self) -> Option<Output> {
        let now = self.context.clock.now();
        let current = self.current.as_mut()?;
        if now < self.state.deadline() && self.successor.is_some() {
            return match current.is_silent {
                true => {
                    self.trace
                        .record_failure(&current.permit, "silent until the end of the overlap");
                    self.end_current(Outcome::Neutral);
                    None
                }
                false => {
                    let successor = self.successor.take()?;
                    self.trace.record_failure(
                        &successor.permit,
                        "no answer before the end of the overlap",
                    );
                    self.release_held()
                }
            };
        }
        match self.state.record_silence(now, &current.permit.pick.upstream) {
            Silence::End(end) => {
                let outcome = match self.state.has_begun() || current.is_silent {
                    true => Outcome::Neutral,
                    false => Outcome::Failed,
                };
                self.trace.record_failure(&current.permit, &Failure::timed_out().message);
                self.successor = None;
                self.end_current(outcome);
                let retry_after = self.context.balance().retry_after();
                Some(self.end(end, retry_after))
            }
            Silence::Wait => {
                self.search_at = self.state.deadline();
                None
            }
            Silence::FindSuccessor => {
                self.find_successor(now);
                None
            }
        }
    }

    /// Asks another upstream to take over from the silent one, if there is one with capacity.
    fn find_successor(&mut self, now: Millis) {
        let Some(current) = &mut self.current else { return };
        let was_silent = std::mem::replace(&mut current.is_silent, true);
        if !was_silent {
            self.trace.record_silence(&current.permit);
            match current.forwarder {
                Some(forwarder) => self.context.forwarders.record_failure(now, forwarder),
                None => check_path(&self.context, &current.permit.pick, Sign::Silence),
            }
            self.context.balance().record_failure(now, &current.permit.pick.upstream);
        }
        if let Err(denial) = self.recheck_access() {
            self.trace.record_denial(denial);
            self.search_at = self.state.deadline();
            return;
        }
        match self.choose() {
            Ok(permit) => {
                let sending = self.send(&permit);
                let until = self.state.overlap_deadline(now);
                self.successor = Some(Successor { permit, sending, until });
            }
            Err(refusal) => {
                if !was_silent {
                    self.trace.record_refusal(refusal);
                }
                self.search_at = self.state.next_search(now);
            }
        }
    }

    /// Checks the key of a request that has not begun. A stream that has begun goes on.
    fn recheck_access(&self) -> Result<(), access::Denial> {
        match self.state.has_begun() {
            true => Ok(()),
            false => self.context.recheck_access(&self.routed),
        }
    }

    /// Chooses an upstream for the next send, unless a part of the prompt is blocked by now. If the
    /// service has none for a request that isn't bound to it, another one of the route takes it.
    fn choose(&mut self) -> Result<Permit, Refusal> {
        let (now, prompt) = (self.context.clock.now(), &self.routed.prompt);
        if let Some(retry_after) = self.context.parts().remaining_block(now, prompt) {
            return Err(Refusal::Blocked { retry_after });
        }
        let objective = self.state.objective_at(now);
        let choose = |service: &Service, version: Option<&Version>| {
            let excluded = &self.state.excluded;
            self.context.choose(service, Class::Online, excluded, version, objective)
        };
        if self.version.is_some() {
            return choose(&self.service, self.version.as_ref());
        }
        let bound = self.origin.bound_software(&self.context);
        let mut choice = choose(&self.service, bound.map(|bound| &bound.version));
        let may_leave = bound.is_none() || !self.is_bound;
        if choice.is_err()
            && may_leave
            && bound.is_some_and(|bound| self.has_other_version(&bound.version))
        {
            choice = choose(&self.service, None);
        }
        if !matches!(choice, Err(Refusal::NoUpstream { .. })) || !may_leave {
            return choice;
        }
        let others = self.routed.route.services().filter(|service| **service != self.service);
        let mut others = others.map(|service| (service, choose(service, None)));
        match others.find_map(|(service, choice)| Some((service.clone(), choice.ok()?))) {
            Some((service, permit)) => {
                self.service = service;
                self.trace.record_service(&self.service);
                Ok(permit)
            }
            None => choice,
        }
    }

    /// Records what a failure says about where the request may go.
    fn record_binding(&mut self, failure: &Failure) {
        self.is_bound |= failure.kind == FailureKind::Announced;
        if failure.kind == FailureKind::UnknownOrigin {
            self.state.record_unknown_version();
        }
    }

    /// Whether the service has upstreams of another version than `version`.
    fn has_other_version(&self, version: &Version) -> bool {
        let fleet = self.context.fleet();
        let mut entries = fleet.entries().values();
        entries.any(|entry| entry.service == self.service && entry.version != *version)
    }

    /// Sends the request to the upstream of `permit`.
    fn send(&mut self, permit: &Permit) -> Sending {
        self.state.record_send();
        self.trace.record_send(permit);
        let software = permit.pick.software();
        let to_withdraw = self.origin.to_withdraw(&self.context, &software);
        if !self.state.has_begun() {
            let deadline = self.state.deadline();
            self.origin.propose(&self.context, &self.routed, software, deadline);
        }
        let (context, routed) = (Arc::clone(&self.context), Arc::clone(&self.routed));
        let pick = permit.pick.clone();
        let remaining = (self.state.deadline() - context.clock.now()).duration();
        let resume_after = self.state.resume_after();
        let is_retryable = self.state.is_retryable();
        let content_type = self.content_type.clone();
        let first_process = self.first_process.clone();
        Box::pin(async move {
            if let Some(request) = to_withdraw
                && !context.origins.withdraw(request).await
            {
                return Err(Failure::announced());
            }
            let options = upstream::Options {
                upstream: &pick.upstream,
                deadline: Some(remaining),
                resume_after,
                tenure: None,
            };
            let answer = context.send(&routed.request, options, &pick, is_retryable).await?;
            let is_stream = matches!(routed.route.kind, Kind::Stream { .. });
            // Events that the caller has are the only ones that other software may contradict.
            let is_resumed = resume_after.is_some_and(|event| event > 0);
            let status = answer.parts.status;
            if !is_stream || !status.is_success() || (is_resumed && status != StatusCode::OK) {
                let body = answer.body.collect().await?;
                return Ok(Received::Complete { parts: answer.parts, body });
            }
            let found = answer.parts.headers.get(CONTENT_TYPE);
            if let (Some(expected), Some(found)) = (&content_type, found)
                && expected != found
            {
                return Err(Failure::broken(format!("the stream was resumed as {found:?}")));
            }
            let mut source = EventStream {
                body: answer.body,
                splitter: Splitter::default(),
                has_events: false,
                first: None,
            };
            let check = async {
                if let Some(origin) = &first_process {
                    process::check_origin(&context, origin).await?;
                }
                match is_resumed {
                    true => process::check(&context, &pick, &answer.parts).await,
                    false => Ok(()),
                }
            };
            let (first, ()) = tokio::try_join!(source.next(), check)?;
            source.first = first;
            Ok(Received::Stream { parts: answer.parts, source: Box::new(source) })
        })
    }

    /// Keeps the version of the current run, which has brought an event.
    fn keep_version(&mut self) {
        let Some(current) = &self.current else { return };
        if self.first_process.is_none() {
            let pick = &current.permit.pick;
            let (upstream, started) = (pick.upstream.clone(), pick.started);
            let at = self.context.clock.wall_time();
            self.first_process = Some(process::Origin { upstream, started, at });
        }
        if self.version.is_none() {
            let software = current.permit.pick.software();
            let deadline = self.state.deadline();
            self.origin.settle(&self.context, software.clone(), deadline);
            self.service = software.service;
            self.version = Some(software.version);
        }
    }

    /// Replaces the current run.
    fn set_current(&mut self, permit: Permit, source: Source) {
        let is_unproven = self.state.resume_after().is_some_and(|event| event > 0);
        self.current = Some(Run { permit, source, is_silent: false, is_unproven, forwarder: None });
        self.held = None;
        self.search_at = self.state.silence_deadline(self.context.clock.now());
    }

    /// Ends the current run with `outcome`. The successor, if there is one, becomes the current
    /// run.
    fn end_current(&mut self, outcome: Outcome) {
        if let Some(current) = self.current.take() {
            end_run(current.permit, outcome);
        }
        self.held = None;
        if let Some(successor) = self.successor.take() {
            self.set_current(successor.permit, Source::Sending(successor.sending));
        }
    }

    /// Records that the current run has sent something.
    fn resume_waiting(&mut self) {
        if let Some(current) = &mut self.current {
            current.is_silent = false;
        }
        self.search_at = self.state.silence_deadline(self.context.clock.now());
    }

    /// Ends the request with the answer of the current run.
    fn answer(&mut self, parts: http::response::Parts, body: Bytes) -> Option<Output> {
        let mut current = self.current.take()?;
        self.trace.record_forwarder(&parts);
        self.successor = None;
        let has_failed = parts.status.is_server_error();
        self.trace.record_answer(&current.permit, parts.status);
        current.permit.outcome = if has_failed { Outcome::Failed } else { Outcome::Succeeded };
        if parts.status.is_success() && !upstream::is_unframed(&parts) {
            self.context.record_answer(&self.routed, self.fingerprint, &current.permit);
        }
        if self.status == Status::Suspect && !has_failed {
            self.context.quarantine().record_success(&self.fingerprint);
        }
        Some(Output::Answer { parts, body })
    }

    /// Ends the request without a complete answer.
    fn end(&mut self, end: End, retry_after: Millis) -> Output {
        let (outcome, reason) = match end {
            End::NotRun => ("refused", "the request has not run"),
            End::Timeout => ("timeout", "the time of the request is up"),
            End::Unknown => ("failed", "no complete answer"),
            End::Cut => ("cut", "no upstream can go on with the stream"),
        };
        self.trace.finish(outcome, reason);
        Output::Ended { end, retry_after }
    }
}

impl Source {
    /// Whether the end of the answer can't be told from a crash of the upstream.
    fn is_unframed(&self) -> bool {
        match self {
            Source::Sending(_) => false,
            Source::Stream(stream) => stream.body.is_unframed,
        }
    }
}

impl Run {
    /// Cancel-safe: a future that is dropped loses nothing.
    async fn next(&mut self) -> Progress {
        match &mut self.source {
            Source::Sending(sending) => match sending.await {
                Ok(received) => Progress::Received(received),
                Err(failure) => Progress::Failed(failure),
            },
            Source::Stream(stream) => match stream.next().await {
                Ok(Some(event)) => Progress::Event(event),
                Ok(None) => Progress::Complete,
                Err(failure) => Progress::Failed(failure),
            },
        }
    }
}

impl EventStream {
    /// Reads the next complete event. `None` is the end of the stream.
    async fn next(&mut self) -> upstream::Result<Option<Event>> {
        if let Some(event) = self.first.take() {
            return Ok(Some(event));
        }
        loop {
            if let Some(event) = self.splitter.next() {
                self.has_events = true;
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
                None if self.body.is_unframed && !self.has_events => {
                    return Err(Failure::broken("the connection ended before an event"));
                }
                None => return Ok(None),
            }
        }
    }
}

/// Waits for the answer of the successor. `None` if there is no successor.
async fn next_of(successor: &mut Option<Successor>) -> Option<upstream::Result<Received>> {
    match successor {
        Some(successor) => Some(successor.sending.as_mut().await),
        None => None,
    }
}

/// Ends a run with `outcome`.
fn end_run(mut permit: Permit, outcome: Outcome) {
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

fn not_resumed(status: http::StatusCode) -> Failure {
    Failure::broken(format!("the upstream answered {status} instead of resuming"))
}
