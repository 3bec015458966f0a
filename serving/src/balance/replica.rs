//! Load and health of one upstream as seen by this node.

use std::collections::BTreeMap;

use crate::{
    fleet::Entry,
    id::{Process, Vm},
    time::Millis,
};

use super::{
    Class, Load, Settings,
    limit::Rate,
    pace::{Candidate, Pace},
    request::Criteria,
};

/// Weight of the latest request in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// Weight of the latest request in the moving average of the duration.
const DURATION_WEIGHT: f64 = 0.15;
/// Bounds of the slowdown of an upstream relative to its service.
const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.5..=8.0;

/// Run time of requests before the first is measured, in milliseconds.
const UNKNOWN_RUN_MS: f64 = 500.0;

/// Time for which idle connections are kept: `idle_ms` less `idle_margin_ms` by default. Upstreams can state
/// another time, which only makes the guess worse.
const IDLE: Millis = Millis(3_000);

/// Exponential moving average of the run time of online requests in milliseconds, without the time
/// in the queue. `None` before the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeanDuration(Option<f64>);

impl MeanDuration {
    pub(super) fn observe(&mut self, ms: f64) {
        let mean = self.0.unwrap_or(ms);
        self.0 = Some(mean + DURATION_WEIGHT * (ms - mean));
    }
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) entry: Entry,
    pub(super) process: Process,
    /// The upstream's process has said in a response that it is about to stop.
    pub(super) is_leaving: bool,
    /// Requests of this node in flight at the upstream.
    pub(super) own_load: Load,
    /// Sum of the requests in flight that the other nodes last reported.
    pub(super) peer_load: Load,
    /// The upstream counts as full until this time, because it refused a request for lack of
    /// capacity.
    pub(super) full_until: Millis,
    /// Until this time the upstream gets requests only if too few others are healthy.
    pub(super) ejected_until: Millis,
    /// Run time of online requests at this upstream.
    pub(super) mean_duration: MeanDuration,
    /// Pace, if the upstream states it.
    pub(super) pace: Pace,
    /// Connections of complete responses that this node has not used again. They are closed by
    /// `idle_until`, and earlier if the upstream or the limit of idle connections demands it.
    idle_connections: u32,
    idle_until: Millis,
    /// Consecutive failures since the last success.
    pub(super) failures: u32,
    /// Moving average of the share of requests that failed, from 0 to 1.
    pub(super) failure_rate: f64,
    /// End of the ejection by each other node, including ejections that are over.
    pub(super) ejected_by: BTreeMap<Vm, Millis>,
}

impl Replica {
    pub(super) fn new(process: Process, entry: Entry) -> Replica {
        Replica {
            entry,
            process,
            is_leaving: false,
            own_load: Load::default(),
            peer_load: Load::default(),
            full_until: Millis(0),
            ejected_until: Millis(0),
            mean_duration: MeanDuration::default(),
            pace: Pace::default(),
            idle_connections: 0,
            idle_until: Millis(0),
            failures: 0,
            failure_rate: 0.0,
            ejected_by: BTreeMap::new(),
        }
    }

    /// Whether this node probably has an idle connection to the upstream.
    pub(super) fn has_connection(&self, now: Millis) -> bool {
        self.idle_connections > 0 && now < self.idle_until
    }

    /// Records that a request is sent.
    pub(super) fn take_connection(&mut self) {
        self.idle_connections = self.idle_connections.saturating_sub(1);
    }

    /// Records the connection of a complete response.
    pub(super) fn return_connection(&mut self, now: Millis) {
        if now >= self.idle_until {
            self.idle_connections = 0;
        }
        self.idle_connections = self.idle_connections.saturating_add(1);
        self.idle_until = now + IDLE;
    }

    /// Requests in flight from all nodes, as far as known.
    pub(super) fn load(&self) -> Load {
        self.own_load + self.peer_load
    }

    /// Whether the upstream has capacity for one more request. `service_mean` is the run time of
    /// requests in the service, for an upstream without a measurement of its own.
    pub(super) fn has_capacity(
        &self,
        now: Millis,
        criteria: Criteria<'_>,
        service_mean: MeanDuration,
        settings: &Settings,
    ) -> bool {
        if now < self.full_until {
            return false;
        }
        let load = self.load();
        let slots = self.entry.slots;
        match criteria.class {
            Class::Batch => load.total() < slots,
            Class::Online if load.total() < slots => true,
            Class::Online => {
                let limit = criteria.objective.0 as f64 * settings.wait_share;
                match self.wait_ms(service_mean, settings) {
                    Some(wait) => {
                        wait <= limit
                            && load.online < slots.saturating_add(settings.queue_per_upstream)
                    }
                    None => load.total() < slots.saturating_add(settings.queue_unknown),
                }
            }
        }
    }

    /// Expected time in milliseconds that one more online request waits for a slot when all are in
    /// use. `None` while the run time of requests is unknown.
    fn wait_ms(&self, service_mean: MeanDuration, settings: &Settings) -> Option<f64> {
        let run_ms = self.mean_duration.0.or(service_mean.0)?;
        let slots = f64::from(self.entry.slots.max(1));
        let online = f64::from(self.load().online);
        // Batch items hold the other slots and are paused in favour of online requests.
        if online < slots {
            return Some(settings.pause_ms);
        }
        Some((online - slots + 1.0) * run_ms / slots)
    }

    /// Number of slots that online requests at `rate` fill. `service_mean` is the run time of requests
    /// in the service, for an upstream without a measurement of its own.
    pub(super) fn slots_at(&self, rate: Rate, service_mean: MeanDuration) -> u32 {
        let Some(run_ms) = self.mean_duration.0.or(service_mean.0) else { return self.entry.slots };
        let filled = (rate.per_second() * run_ms / 1_000.0).ceil();
        self.entry.slots.min(filled as u32)
    }

    /// Run time of online requests here, else that in the service.
    pub(super) fn run_ms(&self, service_mean: MeanDuration) -> Option<f64> {
        self.mean_duration.0.or(service_mean.0)
    }

    /// Run time at this upstream relative to the service, or 1 if either is unknown.
    pub(super) fn slowdown(&self, service_mean: MeanDuration) -> f64 {
        match (self.mean_duration.0, service_mean.0) {
            (Some(mean), Some(service_mean)) if service_mean > 0.0 => {
                (mean / service_mean).clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end())
            }
            _ => 1.0,
        }
    }

    /// Requests in flight of other nodes that have probably ended `report_age` milliseconds after they
    /// were reported. Batch requests run for seconds and count as still running.
    pub(super) fn ended(&self, service_mean: MeanDuration, report_age: f64) -> f64 {
        let run_ms = self.mean_duration.0.or(service_mean.0).unwrap_or(UNKNOWN_RUN_MS).max(1.0);
        f64::from(self.peer_load.online) * (1.0 - (-report_age / run_ms).exp())
    }

    /// The upstream as a candidate for one more request, `penalty` excluded.
    ///
    /// Time grows with the square root of the speed and the pace: with the full factors the fast
    /// upstreams get so much that requests queue there, and with none the slow ones do.
    pub(super) fn candidate(
        &self,
        now: Millis,
        service_mean: MeanDuration,
        report_age: f64,
    ) -> Candidate {
        let factor = (self.slowdown(service_mean) * self.pace.expected(now)).sqrt();
        let ahead = f64::from(self.load().total()) - self.ended(service_mean, report_age);
        Candidate { time: (ahead + 1.0) * factor, time_per_request: factor }
    }

    /// Expected time in milliseconds from the send of a request with `in_flight` others at the upstream to
    /// the end of its answer. `None` where the upstream states no pace or its run time is unknown.
    pub(super) fn expected_ms(&self, now: Millis, in_flight: u32) -> Option<f64> {
        let run_ms = self.mean_duration.0.filter(|_| self.pace.is_stated())?;
        Some(run_ms * self.pace.expected(now) * (1.0 + self.wait_to_run(in_flight)))
    }

    /// Time in the queue relative to the run time, for a request with `in_flight` others.
    fn wait_to_run(&self, in_flight: u32) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        (f64::from(in_flight) - slots + 1.0).max(0.0) / slots
    }

    /// Records that a request was answered after `ms` milliseconds, with `in_flight` others at the
    /// upstream when the request was sent. Returns the estimated run time of the request, without
    /// the time in the queue.
    pub(super) fn observe_answer(&mut self, in_flight: u32, ms: f64) -> f64 {
        let run_ms = ms / (1.0 + self.wait_to_run(in_flight));
        self.mean_duration.observe(run_ms);
        run_ms
    }

    /// Whether the upstream is ejected by this node or by at least `eject_witnesses` others.
    pub(super) fn is_ejected(&self, now: Millis, settings: &Settings) -> bool {
        self.ejected_until > now || self.witnesses(now) >= settings.eject_witnesses
    }

    /// Number of other nodes that have ejected the upstream.
    pub(super) fn witnesses(&self, now: Millis) -> usize {
        self.ejected_by.values().filter(|until| **until > now).count()
    }

    pub(super) fn clear_failures(&mut self) {
        self.failures = 0;
        self.ejected_until = Millis(0);
        self.failure_rate = 0.0;
    }

    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.ejected_until = Millis(0);
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
    }

    pub(super) fn record_failure(&mut self, now: Millis, settings: &Settings) {
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        let doubled = settings.eject_ms << self.failures.min(8);
        self.failures += 1;
        // An upstream that fails only a part of its requests rarely fails several times in a row,
        // so the ejection also grows with the failure rate.
        let by_rate = (self.failure_rate * settings.eject_max_ms as f64) as u64;
        let ejection_ms = doubled.max(by_rate).min(settings.eject_max_ms);
        self.ejected_until = now + Millis(ejection_ms);
    }
}
