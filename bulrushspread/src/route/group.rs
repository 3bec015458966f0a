//! The replicas of one deployment or plain service, in the order that all nodes share.

use std::collections::BTreeMap;

use crate::{id::Upstream, time::Millis};

use super::replica::Means;

/// Milliseconds over which the highest number in flight is forgotten.
const PEAK_DECAY_MS: f64 = 5_000.0;
/// Weight of the newest sample in the group's mean time to a first answer.
const LATENCY_WEIGHT: f64 = 0.02;

/// The replicas of one name.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// All replicas: online work fills them from the front, batch work from the back.
    pub(super) order: Vec<Upstream>,
    /// Per model, the replicas that may get requests, in the shared order. Emptied by changes.
    pub(super) open: BTreeMap<Option<String>, Vec<Upstream>>,
    /// Requests of this node in flight over all replicas.
    pub(super) own: u32,
    /// Slots of the replicas that are not leaving.
    pub(super) slots: u32,
    /// Sum of `others` over the replicas.
    pub(super) others: f64,
    latency: Option<f64>,
    peak: f64,
    peak_at: Millis,
}

impl Group {
    pub(super) fn means(&self) -> Means {
        let replicas = self.order.len().max(1) as f64;
        Means { others: self.others.max(0.0) / replicas, latency: self.latency.unwrap_or(0.0) }
    }

    pub(super) fn started(&mut self, now: Millis) {
        self.own += 1;
        self.peak = self.recent_peak(now).max(f64::from(self.own));
        self.peak_at = now;
    }

    pub(super) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// The highest number in flight of late.
    pub(super) fn recent_peak(&self, now: Millis) -> f64 {
        let age = (now - self.peak_at).0 as f64;
        (self.peak * (-age / PEAK_DECAY_MS).exp()).max(f64::from(self.own))
    }

    pub(super) fn answered(&mut self, latency: Millis) {
        let sample = latency.0 as f64;
        let mean = self.latency.unwrap_or(sample);
        self.latency = Some(mean + LATENCY_WEIGHT * (sample - mean));
    }
}
