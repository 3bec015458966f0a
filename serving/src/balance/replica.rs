//! What a node knows of the load and health of one upstream.

use crate::{fleet::Entry, time::Millis};

use super::{Load, Settings, state::Class};

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
            Class::Batch => load + settings.batch_reserve < self.entry.slots,
        }
    }

    pub(super) fn failed(&mut self, now: Millis, settings: &Settings) {
        let doubled = settings.eject_ms << self.failures.min(8);
        self.failures += 1;
        self.ejected_until = now + Millis(doubled.min(settings.eject_max_ms));
    }
}
