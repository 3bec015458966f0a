//! What a node knows of the load and health of one upstream.

use std::collections::BTreeMap;

use crate::{fleet::Entry, id::Vm, time::Millis};

use super::{Class, Load, Settings};

/// Weight of the newest request in the failure rate.
const RATE_WEIGHT: f64 = 0.2;

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
            failures: 0,
            failure_rate: 0.0,
            ejected_by: BTreeMap::new(),
        }
    }

    /// Requests in flight from all nodes.
    pub(super) fn load(&self) -> Load {
        self.own + self.others
    }

    /// Whether there is room for one more request of `class`.
    pub(super) fn has_room(&self, now: Millis, class: Class, settings: &Settings) -> bool {
        if now < self.full_until {
            return false;
        }
        let load = self.load().total();
        match class {
            Class::Online => load < self.entry.slots + settings.queue_per_upstream,
            Class::Batch => load < self.entry.slots,
        }
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
