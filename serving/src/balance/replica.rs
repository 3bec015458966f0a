//! What a node knows of the load and health of one upstream.

use std::collections::BTreeMap;

use crate::{fleet::Entry, id::Vm, time::Millis};

use super::{Class, Load, Settings, request::Want};

/// Weight of the newest request in the failure rate.
const RATE_WEIGHT: f64 = 0.2;
/// Weight of the newest request in the time that requests take.
const SPAN_WEIGHT: f64 = 0.15;
/// How much slower or faster than the others of its service an upstream is taken to be at most.
const PACE: std::ops::RangeInclusive<f64> = 0.5..=8.0;

/// How long online requests take once they run, a moving mean. `None` before the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Span(Option<f64>);

impl Span {
    pub(super) fn observe(&mut self, ms: f64) {
        let mean = self.0.unwrap_or(ms);
        self.0 = Some(mean + SPAN_WEIGHT * (ms - mean));
    }
}

/// One upstream as this node sees it.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) entry: Entry,
    /// Requests of this node in flight.
    pub(super) own: Load,
    /// Requests of other nodes in flight, as they told last.
    pub(super) others: Load,
    /// The upstream refused a request for lack of room; until then it counts as full.
    pub(super) full_until: Millis,
    /// No request is sent before this time, but for lack of another upstream.
    pub(super) ejected_until: Millis,
    /// How long online requests take here.
    pub(super) span: Span,
    /// Failures since the last success.
    pub(super) failures: u32,
    /// Share of failures among the latest requests.
    pub(super) failure_rate: f64,
    /// Until when other nodes have ejected the upstream.
    pub(super) ejected_by: BTreeMap<Vm, Millis>,
}

impl Replica {
    pub(super) fn new(entry: Entry) -> Replica {
        Replica {
            entry,
            own: Load::default(),
            others: Load::default(),
            full_until: Millis(0),
            ejected_until: Millis(0),
            span: Span::default(),
            failures: 0,
            failure_rate: 0.0,
            ejected_by: BTreeMap::new(),
        }
    }

    /// Requests in flight from all nodes.
    pub(super) fn load(&self) -> Load {
        self.own + self.others
    }

    /// Whether there is room for one more request. `usual` is how long requests of the service take.
    pub(super) fn has_room(
        &self,
        now: Millis,
        want: Want<'_>,
        usual: Span,
        settings: &Settings,
    ) -> bool {
        if now < self.full_until {
            return false;
        }
        let load = self.load();
        let slots = self.entry.slots;
        match want.class {
            Class::Batch => load.total() < slots,
            Class::Online if load.total() < slots => true,
            Class::Online => {
                let limit = want.objective.0 as f64 * settings.wait_share;
                match self.wait_ms(usual, settings) {
                    Some(wait) => {
                        wait <= limit && load.online < slots + settings.queue_per_upstream
                    }
                    None => load.total() < slots + settings.queue_unknown,
                }
            }
        }
    }

    /// How long one more online request is expected to wait for a slot when all are taken.
    fn wait_ms(&self, usual: Span, settings: &Settings) -> Option<f64> {
        let span = self.span.0.or(usual.0)?;
        let slots = f64::from(self.entry.slots.max(1));
        let online = f64::from(self.load().online);
        // Batch items make room for as many.
        if online < slots {
            return Some(settings.pause_ms);
        }
        Some((online - slots + 1.0) * span / slots)
    }

    /// How many times as long requests take here as they usually do in the service.
    pub(super) fn pace(&self, usual: Span) -> f64 {
        match (self.span.0, usual.0) {
            (Some(span), Some(usual)) if usual > 0.0 => {
                (span / usual).clamp(*PACE.start(), *PACE.end())
            }
            _ => 1.0,
        }
    }

    /// A request that found so many others here was answered after so long. Returns how long it
    /// ran, without its wait.
    pub(super) fn answered(&mut self, found: u32, ms: f64) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let waited = (f64::from(found) - slots + 1.0).max(0.0) / slots;
        let ran = ms / (1.0 + waited);
        self.span.observe(ran);
        ran
    }

    /// Whether the upstream is to be left alone: by what this node saw, or several others.
    pub(super) fn is_ejected(&self, now: Millis, settings: &Settings) -> bool {
        let others = self.ejected_by.values().filter(|until| **until > now).count();
        self.ejected_until > now || others >= settings.eject_witnesses
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.ejected_until = Millis(0);
        self.failure_rate *= 1.0 - RATE_WEIGHT;
    }

    pub(super) fn failed(&mut self, now: Millis, settings: &Settings) {
        self.failure_rate += RATE_WEIGHT * (1.0 - self.failure_rate);
        let doubled = settings.eject_ms << self.failures.min(8);
        self.failures += 1;
        // One that fails a part of its requests never fails often in a row.
        let by_rate = (self.failure_rate * settings.eject_max_ms as f64) as u64;
        let span = doubled.max(by_rate).min(settings.eject_max_ms);
        self.ejected_until = now + Millis(span);
    }
}
