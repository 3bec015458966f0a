//! The time for which a node owns a partition.

use crate::time::Millis;

/// The time for which the log assigns a partition to no other node, on `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Since when it has been held without a gap.
    since: Millis,
    until: Millis,
}

impl Lease {
    /// A lease that was requested until `until` and confirmed by `now`.
    pub fn new(now: Millis, until: Millis) -> Lease {
        Lease { since: now, until }
    }

    /// Extends the lease. One that has ended begins anew, because another node may have held the
    /// partition meanwhile.
    pub fn renew(&mut self, now: Millis, until: Millis) {
        match now < self.until {
            true => self.until = self.until.max(until),
            false => *self = Lease::new(now, until),
        }
    }

    /// Since when the lease has been held, if it still is.
    pub fn held_since(&self, now: Millis) -> Option<Millis> {
        (now < self.until).then_some(self.since)
    }
}
