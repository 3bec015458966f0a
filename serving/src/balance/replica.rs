//! What a node knows of the load and health of one upstream.

use std::collections::BTreeMap;

use crate::{fleet::Entry, id::Vm, time::Millis};

use super::{Load, Settings, state::Class};

/// One upstream as this node sees it.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) entry: Entry,
    /// Requests of this node in flight.
    pub(super) own: Load,
    /// Requests of other nodes in flight, and when each node told so.
    pub(super) others: BTreeMap<Vm, (Millis, Load)>,
    /// The upstream refused a request for lack of room; until then it counts as full.
    pub(super) full_until: Millis,
    /// No request is sent before this time, but for lack of another upstream.
    pub(super) ejected_until: Millis,
    /// Failures since the last success.
    pub(super) failures: u32,
}

impl Replica {
    pub(super) fn new(entry: Entry) -> Replica {
        Replica {
            entry,
            own: Load::default(),
            others: BTreeMap::new(),
            full_until: Millis(0),
            ejected_until: Millis(0),
            failures: 0,
        }
    }

    /// Requests in flight from all nodes.
    pub(super) fn load(&self, now: Millis, settings: &Settings) -> Load {
        let expiry = Millis(settings.load_expiry_ms);
        let mut load = self.own;
        for (told, other) in self.others.values() {
            if now - *told < expiry {
                load.online += other.online;
                load.batch += other.batch;
            }
        }
        load
    }

    /// Whether there is room for one more request of `class`.
    pub(super) fn has_room(&self, now: Millis, class: Class, settings: &Settings) -> bool {
        if now < self.full_until {
            return false;
        }
        let load = self.load(now, settings);
        match class {
            Class::Online => load.total() < self.entry.slots + settings.queue_per_upstream,
            Class::Batch => load.total() + settings.batch_reserve < self.entry.slots,
        }
    }

    pub(super) fn failed(&mut self, now: Millis, settings: &Settings) {
        let doubled = settings.eject_ms << self.failures.min(8);
        self.failures += 1;
        self.ejected_until = now + Millis(doubled.min(settings.eject_max_ms));
    }
}
