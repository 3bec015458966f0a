//! Ejection of replicas that fail, and their way back.

use rand::{RngExt, rngs::SmallRng};

use crate::time::Millis;

use super::Settings;

/// Doublings of the ejection time after which it stays the same.
const MAX_DOUBLINGS: u32 = 10;

/// Whether a replica may get requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Standing {
    #[default]
    Healthy,
    /// Gets no request before this time.
    Ejected { until: Millis },
    /// Gets one request at a time, until one succeeds.
    Probing,
}

/// What requests have shown of a replica.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    pub(super) standing: Standing,
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
}

impl Health {
    pub(super) fn succeeded(&mut self) {
        *self = Health::default();
    }

    pub(super) fn failed(&mut self, now: Millis, settings: &Settings, rng: &mut SmallRng) {
        self.failures += 1;
        let enough = self.failures >= settings.eject_failures;
        if enough || self.standing == Standing::Probing {
            self.eject(now, settings, rng);
        }
    }

    /// Ejects for a time that doubles with each ejection, half of it at random.
    pub(super) fn eject(&mut self, now: Millis, settings: &Settings, rng: &mut SmallRng) {
        if matches!(self.standing, Standing::Ejected { .. }) {
            return;
        }
        let doubled = settings.eject_ms << self.ejections.min(MAX_DOUBLINGS);
        let span = doubled.clamp(1, settings.eject_max_ms.max(1));
        let span = span / 2 + rng.random_range(0..=span / 2);
        self.ejections += 1;
        self.standing = Standing::Ejected { until: now + Millis(span) };
    }

    /// Lets an ejected replica be probed once its time is over.
    pub(super) fn readmit(&mut self) {
        self.standing = Standing::Probing;
    }
}
