//! Ejection of replicas that fail, and the probes that readmit them.

use rand::{RngExt, rngs::SmallRng};

use crate::time::Millis;

use super::Settings;

/// Number of ejections after which their duration stops doubling.
const MAX_DOUBLINGS: u32 = 10;

/// Whether a replica may get requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Status {
    #[default]
    Healthy,
    /// Gets no request before this time.
    Ejected { until: Millis },
    /// Gets one request at a time until one succeeds.
    Probing,
}

/// Health of a replica, derived from the outcomes of its requests and load polls.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    pub(super) status: Status,
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
}

impl Health {
    pub(super) fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Counts a failure, and ejects the replica if it is probed or has failed often enough.
    pub(super) fn record_failure(&mut self, now: Millis, settings: &Settings, rng: &mut SmallRng) {
        self.failures += 1;
        let limit_reached = self.failures >= settings.eject_failures;
        if limit_reached || self.status == Status::Probing {
            self.eject(now, settings, rng);
        }
    }

    /// Ejects the replica for a duration that doubles with each ejection. Half of the duration is
    /// random.
    pub(super) fn eject(&mut self, now: Millis, settings: &Settings, rng: &mut SmallRng) {
        if matches!(self.status, Status::Ejected { .. }) {
            return;
        }
        let doubled = settings.eject_ms << self.ejections.min(MAX_DOUBLINGS);
        let duration = doubled.clamp(1, settings.eject_max_ms.max(1));
        let duration = duration / 2 + rng.random_range(0..=duration / 2);
        self.ejections += 1;
        self.status = Status::Ejected { until: now + Millis(duration) };
    }

    /// Allows probe requests after an ejection has expired.
    pub(super) fn start_probing(&mut self) {
        self.status = Status::Probing;
    }
}
