//! The planned end of the process, by which requests must be answered.

use std::{sync::OnceLock, time::Duration};

use tokio::time::Instant;

use crate::time::Millis;

/// Part of the grace period that is left to send the last responses.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The planned end of the process; unset while it isn't being stopped.
#[derive(Debug, Default)]
pub struct Shutdown(OnceLock<Plan>);

#[derive(Clone, Copy, Debug)]
struct Plan {
    /// From then on no request begins that may be cut off.
    late_from: Instant,
    end: Instant,
}

impl Shutdown {
    /// Begins the stop of the process, which ends after `grace`. Requests that begin within `late_after`
    /// may last longer than that. Further calls have no effect.
    pub fn begin(&self, late_after: Duration, grace: Duration) {
        let now = Instant::now();
        let end = now + grace.saturating_sub(ANSWER_MARGIN);
        let _ = self.0.set(Plan { late_from: now + late_after, end });
    }

    /// Time by which responses must be complete; `None` while the process isn't being stopped.
    pub fn remaining(&self) -> Option<Millis> {
        let plan = self.0.get()?;
        Some(Millis::from(plan.end.saturating_duration_since(Instant::now())))
    }

    /// Whether a request that may last for `timeout` is sure to end before the process does.
    pub fn leaves_time_for(&self, timeout: Millis) -> bool {
        self.remaining().is_none_or(|remaining| timeout <= remaining)
    }

    /// Whether a request may still begin. It is sure to end by itself after `timeout`, and usually ends
    /// after `usual`. One that the end of the process could cut off may begin only while callers may not
    /// know yet that it is being stopped, and after that only if it will usually end in time and can be
    /// answered as a whole even then, as `ends_whole` says.
    pub fn may_begin(&self, timeout: Millis, usual: Millis, ends_whole: bool) -> bool {
        let is_late = self.0.get().is_some_and(|plan| Instant::now() >= plan.late_from);
        let is_usually_in_time = ends_whole && self.leaves_time_for(usual);
        !is_late || is_usually_in_time || self.leaves_time_for(timeout)
    }
}
