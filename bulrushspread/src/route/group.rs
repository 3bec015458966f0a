//! The replicas of one deployment or plain service, in an order shared by all nodes.

use std::collections::BTreeMap;

use crate::{id::Upstream, time::Millis};

use super::replica::Averages;

/// Time constant of the exponential decay of the peak number of requests in flight.
const PEAK_DECAY_MS: f64 = 5_000.0;
/// Weight of the newest sample in the group's moving average of the time to the first response.
const LATENCY_WEIGHT: f64 = 0.02;

/// The replicas of one deployment or plain service.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// All replicas. Online work fills them from the front, batch work from the back.
    pub(super) replicas: Vec<Upstream>,
    /// Per model, the replicas that may get requests, in the shared order. Computed on demand and
    /// cleared when the group or a replica's eligibility changes.
    pub(super) eligible: BTreeMap<Option<String>, Vec<Upstream>>,
    /// Requests of this node in flight at all replicas together.
    pub(super) own_in_flight: u32,
    /// Slots of the replicas that are not leaving.
    pub(super) slots: u32,
    /// Sum of the replicas' `others_in_flight`.
    pub(super) others_in_flight: f64,
    /// Moving average of the milliseconds to the first response.
    latency: Option<f64>,
    peak_in_flight: f64,
    peak_at: Millis,
}

impl Group {
    pub(super) fn averages(&self) -> Averages {
        let replicas = self.replicas.len().max(1) as f64;
        Averages {
            others_in_flight: self.others_in_flight.max(0.0) / replicas,
            latency: self.latency.unwrap_or(0.0),
        }
    }

    pub(super) fn start_request(&mut self, now: Millis) {
        self.own_in_flight += 1;
        self.peak_in_flight = self.recent_peak(now).max(f64::from(self.own_in_flight));
        self.peak_at = now;
    }

    pub(super) fn finish_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Returns the peak number of this node's requests in flight, decayed since it was reached.
    pub(super) fn recent_peak(&self, now: Millis) -> f64 {
        let age = (now - self.peak_at).0 as f64;
        (self.peak_in_flight * (-age / PEAK_DECAY_MS).exp()).max(f64::from(self.own_in_flight))
    }

    pub(super) fn observe_latency(&mut self, latency: Millis) {
        let sample = latency.0 as f64;
        let mean = self.latency.unwrap_or(sample);
        self.latency = Some(mean + LATENCY_WEIGHT * (sample - mean));
    }
}
