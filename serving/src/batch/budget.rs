//! Limits how often a node reads partitions that it doesn't own.
//!
//! Such a read fetches the whole partition for one caller. While partitions have no owner, as after
//! a restart of all nodes, callers retry at every node. Without a limit their reads would use up
//! the log's bandwidth, which the new owners need to restore their partitions.

use crate::time::Millis;

/// Pause after a read, as a multiple of the duration of the read: a node spends less than a tenth
/// of its time on such reads.
const PAUSE_FACTOR: u64 = 10;
/// Minimum pause after a read.
const PAUSE_MIN: Millis = Millis(200);
/// Maximum pause after a read, however slow the log is and however many reads failed.
const PAUSE_MAX: Millis = Millis(8_000);

/// Decides whether the next read may begin: one read at a time, with a pause after each. The pause
/// doubles with each failed read in a row, up to six times.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// When the read in progress began, if there is one.
    started_at: Option<Millis>,
    /// Time at which the pause after the last read ends.
    not_before: Millis,
    /// Number of failed reads in a row.
    failures: u32,
}

impl Budget {
    /// Begins a read. Returns false while another read is in progress or during the pause.
    pub fn begin(&mut self, now: Millis) -> bool {
        if self.started_at.is_some() || now < self.not_before {
            return false;
        }
        self.started_at = Some(now);
        true
    }

    /// Ends the read in progress and starts the pause after it.
    pub fn end(&mut self, now: Millis, succeeded: bool) {
        let Some(started_at) = self.started_at.take() else { return };
        self.failures = if succeeded { 0 } else { self.failures + 1 };
        let pause = Millis((now - started_at).0 * PAUSE_FACTOR).max(PAUSE_MIN);
        let pause = Millis(pause.0 << self.failures.min(6));
        self.not_before = now + pause.min(PAUSE_MAX);
    }
}
