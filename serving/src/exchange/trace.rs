//! One log line for each request, with what decided about it.

use std::{fmt::Write, sync::Arc};

use crate::{balance::Refusal, time::Millis};

use super::{Context, Job, task::Lease};

/// What happened to one request. A request whose caller left is logged when this is dropped.
pub(super) struct Trace {
    context: Arc<Context>,
    request: String,
    route: String,
    service: String,
    config: u64,
    arrived: Millis,
    /// Each send: upstream, load found there, result, milliseconds since the arrival.
    sends: String,
    first_event: Option<Millis>,
    ended: bool,
}

impl Trace {
    pub(super) fn new(context: &Arc<Context>, job: &Job) -> Trace {
        context.metrics.in_flight.inc();
        Trace {
            context: Arc::clone(context),
            request: job.request.id.clone(),
            route: job.route.id.0.clone(),
            service: job.service.0.clone(),
            config: job.config,
            arrived: job.arrived,
            sends: String::new(),
            first_event: None,
            ended: false,
        }
    }

    pub(super) fn sent(&mut self, lease: &Lease) {
        let at = self.age();
        self.note(format_args!("{}@{at} load {}", lease.pick.upstream, lease.pick.load));
    }

    pub(super) fn failed(&mut self, lease: &Lease, why: &str) {
        let at = self.age();
        self.context.metrics.count(&self.context.metrics.sends, &self.service, "failed");
        self.note(format_args!("{} failed @{at}: {why}", lease.pick.upstream));
    }

    pub(super) fn refused(&mut self, refusal: Refusal) {
        let at = self.age();
        self.note(format_args!("{refusal:?} @{at}"));
    }

    pub(super) fn event(&mut self) {
        if self.first_event.is_some() {
            return;
        }
        let age = self.age();
        self.first_event = Some(age);
        self.context.metrics.time_to_first_byte.observe(age.0 as f64 / 1_000.0);
    }

    pub(super) fn answered(&mut self, lease: &Lease, status: http::StatusCode) {
        self.event();
        self.context.metrics.count(&self.context.metrics.sends, &self.service, "answered");
        let outcome = if status.is_success() { "completed" } else { "upstream answered" };
        self.end(outcome, &format!("{} from {}", status.as_u16(), lease.pick.upstream));
    }

    pub(super) fn end(&mut self, outcome: &str, why: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let age = self.age();
        let metrics = &self.context.metrics;
        metrics.in_flight.dec();
        metrics.count(&metrics.requests, &self.route, outcome);
        metrics.time_to_last_byte.observe(age.0 as f64 / 1_000.0);
        log::info!(
            request = self.request.as_str(),
            route = self.route.as_str(),
            service = self.service.as_str(),
            config = self.config,
            sends = self.sends.as_str(),
            first_ms = self.first_event.map_or(-1, |first| first.0 as i64),
            ms = age.0,
            outcome = outcome,
            why = why;
            "request ended"
        );
    }

    fn age(&self) -> Millis {
        self.context.clock.now() - self.arrived
    }

    fn note(&mut self, text: std::fmt::Arguments<'_>) {
        let separator = if self.sends.is_empty() { "" } else { "; " };
        // Writing to a string can't fail.
        let _ = write!(self.sends, "{separator}{text}");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.end("caller left", "before an answer began");
    }
}
