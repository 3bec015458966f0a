//! One log line for each request, with its sends, its result and the reason.

use std::{fmt::Write, sync::Arc};

use prometheus_client::metrics::histogram::Histogram;

use crate::{
    access::Denial, balance::Refusal, id::Service, metrics::RouteLabel, time::Millis, upstream,
};

use super::{Context, RoutedRequest, task::Permit};

/// Collects the log line and the metrics of one request. Dropping an unfinished trace logs that the
/// caller disconnected, because that drops the future of the request.
pub(super) struct Trace {
    context: Arc<Context>,
    request: String,
    route: String,
    service: String,
    /// The workspace of the request, or an empty string.
    workspace: String,
    /// Parts of the prompt that other requests may share.
    parts: String,
    config: u64,
    /// The request that began the stream which this one resumes, or an empty string.
    resumes: String,
    /// Event after which the caller resumes a stream, or 0.
    last_event: u64,
    arrived: Millis,
    /// Upstream, load and result of each send, with milliseconds since the arrival.
    sends: String,
    first_event: Option<Millis>,
    /// Time from the arrival to the latest event of a stream.
    latest_event: Option<Millis>,
    /// Longest time between two events of a stream.
    max_pause: Millis,
    /// Histogram of the pauses of the route, from the second event on.
    pauses: Option<Histogram>,
    is_finished: bool,
}

impl Trace {
    pub(super) fn new(context: &Arc<Context>, routed: &RoutedRequest) -> Trace {
        context.metrics.in_flight.inc();
        Trace {
            context: Arc::clone(context),
            request: routed.request.id.clone(),
            route: routed.route.id.0.clone(),
            service: routed.service.0.clone(),
            workspace: routed.request.workspace.clone().unwrap_or_default().0,
            parts: routed.prompt.to_string(),
            config: routed.config_version,
            resumes: routed.resumes.clone().unwrap_or_default(),
            last_event: routed.last_event.unwrap_or(0),
            arrived: routed.arrived,
            sends: String::new(),
            first_event: None,
            latest_event: None,
            max_pause: Millis(0),
            pauses: None,
            is_finished: false,
        }
    }

    /// Records that another service of the route takes the request.
    pub(super) fn record_service(&mut self, service: &Service) {
        let at = self.elapsed();
        let previous = std::mem::replace(&mut self.service, service.0.clone());
        self.append_to_sends(format_args!("{previous} has no upstream @{at}"));
    }

    pub(super) fn record_send(&mut self, permit: &Permit) {
        let at = self.elapsed();
        self.append_to_sends(format_args!(
            "{} {}@{at} load {}",
            permit.pick.upstream, permit.pick.version, permit.pick.load
        ));
    }

    pub(super) fn record_failure(&mut self, permit: &Permit, reason: &str) {
        let at = self.elapsed();
        self.context.metrics.count(&self.context.metrics.sends, &self.service, "failed");
        self.append_to_sends(format_args!("{} failed @{at}: {reason}", permit.pick.upstream));
    }

    pub(super) fn record_silence(&mut self, permit: &Permit) {
        let at = self.elapsed();
        self.context.metrics.count(&self.context.metrics.sends, &self.service, "silent");
        self.append_to_sends(format_args!("{} silent @{at}", permit.pick.upstream));
    }

    pub(super) fn record_takeover(&mut self, permit: &Permit) {
        let at = self.elapsed();
        self.append_to_sends(format_args!("{} took over @{at}", permit.pick.upstream));
    }

    /// Records through which node a response came, if not directly.
    pub(super) fn record_forwarder(&mut self, parts: &http::response::Parts) {
        if let Some(forwarder) = upstream::forwarder(parts) {
            self.append_to_sends(format_args!("through {forwarder}"));
        }
    }

    pub(super) fn record_refusal(&mut self, refusal: Refusal) {
        let at = self.elapsed();
        self.append_to_sends(format_args!("{refusal:?} @{at}"));
    }

    pub(super) fn record_denial(&mut self, denial: Denial) {
        let at = self.elapsed();
        self.append_to_sends(format_args!("{} @{at}", denial.as_str()));
    }

    pub(super) fn record_first_event(&mut self) {
        if self.first_event.is_some() {
            return;
        }
        let elapsed = self.elapsed();
        self.first_event = Some(elapsed);
        self.context.metrics.time_to_first_byte.observe(elapsed.0 as f64 / 1_000.0);
    }

    /// Records an event of a stream that the upstream has sent.
    pub(super) fn record_event(&mut self) {
        self.record_first_event();
        let elapsed = self.elapsed();
        if let Some(previous) = self.latest_event.replace(elapsed) {
            let pause = elapsed - previous;
            self.max_pause = self.max_pause.max(pause);
            let pauses = self.pauses.get_or_insert_with(|| {
                let route = RouteLabel { route: self.route.clone() };
                self.context.metrics.event_pause.get_or_create(&route).clone()
            });
            pauses.observe(pause.0 as f64 / 1_000.0);
        }
    }

    pub(super) fn record_answer(&mut self, permit: &Permit, status: http::StatusCode) {
        self.record_first_event();
        self.context.metrics.count(&self.context.metrics.sends, &self.service, "answered");
        let outcome = if status.is_success() { "completed" } else { "upstream answered" };
        self.finish(outcome, &format!("{} from {}", status.as_u16(), permit.pick.upstream));
    }

    pub(super) fn finish(&mut self, outcome: &str, reason: &str) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let elapsed = self.elapsed();
        let metrics = &self.context.metrics;
        metrics.in_flight.dec();
        metrics.count(&metrics.requests, &self.route, outcome);
        metrics.time_to_last_byte.observe(elapsed.0 as f64 / 1_000.0);
        log::info!(
            request = self.request.as_str(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            workspace = self.workspace.as_str(),
            parts = self.parts.as_str(),
            config = self.config,
            resumes = self.resumes.as_str(),
            last_event = self.last_event,
            sends = self.sends.as_str(),
            first_ms = self.first_event.map_or(-1, |first| first.0 as i64),
            max_pause_ms = self.max_pause.0,
            ms = elapsed.0,
            outcome = outcome,
            why = reason;
            "request ended"
        );
    }

    fn elapsed(&self) -> Millis {
        self.context.clock.now() - self.arrived
    }

    fn append_to_sends(&mut self, text: std::fmt::Arguments<'_>) {
        let separator = if self.sends.is_empty() { "" } else { "; " };
        // Writing to a `String` is infallible.
        let _ = write!(self.sends, "{separator}{text}");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.finish("caller left", "before an answer began");
    }
}
