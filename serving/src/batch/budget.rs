//! Limits how often a node reads partitions that it doesn't own.
//!
//! Such a read is of the whole partition, for one caller. While owners are missing, as after a
//! restart of all nodes, callers ask everywhere; without a limit their reads would take the log's
//! bandwidth from the new owners, which need it to read their partitions in the first place.

use crate::time::Millis;

/// A node spends at most one part in so many of its time on such reads.
const REST_FACTOR: u64 = 10;
/// The least time between two reads.
const REST_MIN: Millis = Millis(200);
/// The most, however slow the log is and however often it has failed.
const REST_MAX: Millis = Millis(8_000);

/// Whether the next read may begin.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// When the read in progress began.
    reading: Option<Millis>,
    /// No read begins before this time.
    next: Millis,
    /// Reads that failed since the last one that didn't.
    failures: u32,
}

impl Budget {
    /// Begins a read, unless one is in progress or the last one was too short a time ago.
    pub fn begin(&mut self, now: Millis) -> bool {
        if self.reading.is_some() || now < self.next {
            return false;
        }
        self.reading = Some(now);
        true
    }

    /// The read in progress has ended.
    pub fn end(&mut self, now: Millis, succeeded: bool) {
        let Some(begun) = self.reading.take() else { return };
        self.failures = if succeeded { 0 } else { self.failures + 1 };
        let rest = Millis((now - begun).0 * REST_FACTOR).max(REST_MIN);
        let rest = Millis(rest.0 << self.failures.min(6));
        self.next = now + rest.min(REST_MAX);
    }
}
