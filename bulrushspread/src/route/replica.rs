//! State that this node keeps of one replica, and the cost of sending it one more request.

use std::net::SocketAddr;

use crate::{id::DataCentre, time::Millis};

use super::{
    Load, Settings,
    health::{Health, Status},
};

/// Slots assumed until a replica has reported its own.
const DEFAULT_SLOTS: u32 = 16;
/// Weight of the newest sample in the replica's moving average of the time to the first response.
const LATENCY_WEIGHT: f64 = 0.1;
/// Minimum and maximum ratio of a replica's latency to its group's that the cost accounts for.
const LATENCY_RATIO: (f64, f64) = (0.5, 8.0);
/// Minimum share of its slots that a new replica offers during slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// One replica from the view of this node.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    /// Name of the deployment or plain service.
    pub(super) serves: String,
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentre,
    pub(super) leaving: bool,
    /// When slow start began. None for the replicas of the first view, which need none.
    pub(super) added_at: Option<Millis>,
    /// Requests of this node in flight.
    pub(super) own_in_flight: u32,
    pub(super) slots: u32,
    /// Requests of other nodes in flight according to the newest load report.
    pub(super) others_in_flight: f64,
    /// When the replica made that report.
    pub(super) reported_at: Option<Millis>,
    /// Models that are loaded. Empty until the replica has reported some.
    pub(super) loaded: Vec<String>,
    /// Moving average of the milliseconds to the first response.
    pub(super) latency: Option<f64>,
    pub(super) health: Health,
    /// Whether an exclusive request of this node is in flight.
    pub(super) exclusive: bool,
}

/// Averages over the replicas of a group.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Averages {
    /// Mean of the replicas' `others_in_flight`.
    pub(super) others_in_flight: f64,
    /// Moving average of the milliseconds to the first response.
    pub(super) latency: f64,
}

impl Replica {
    pub(super) fn new(serves: String, address: SocketAddr, data_centre: DataCentre) -> Replica {
        Replica {
            serves,
            address,
            data_centre,
            leaving: false,
            added_at: None,
            own_in_flight: 0,
            slots: DEFAULT_SLOTS,
            others_in_flight: 0.0,
            reported_at: None,
            loaded: Vec::new(),
            latency: None,
            health: Health::default(),
            exclusive: false,
        }
    }

    /// Applies the numbers of a load report. Returns false, without effect, if it is no newer than
    /// the last one.
    pub(super) fn apply_load(&mut self, now: Millis, load: &Load) -> bool {
        let at = now - load.age;
        if self.reported_at.is_some_and(|newest| newest >= at) {
            return false;
        }
        self.reported_at = Some(at);
        self.others_in_flight = f64::from(load.in_flight.saturating_sub(self.own_in_flight));
        self.slots = load.slots.max(1);
        true
    }

    /// Estimates the requests in flight. As the report ages, the estimate for other nodes' requests
    /// moves from the reported number to the group's average.
    pub(super) fn estimate_in_flight(
        &self,
        now: Millis,
        averages: &Averages,
        settings: &Settings,
    ) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return f64::from(self.own_in_flight) + averages.others_in_flight;
        };
        let age = (now - reported_at).0 as f64;
        let weight = (-age / settings.report_decay_ms.max(1) as f64).exp();
        f64::from(self.own_in_flight)
            + weight * self.others_in_flight
            + (1.0 - weight) * averages.others_in_flight
    }

    /// Returns the cost of one more request, as a share of the replica's slots. Lower is better.
    pub(super) fn cost(
        &self,
        now: Millis,
        averages: &Averages,
        home: &DataCentre,
        settings: &Settings,
    ) -> f64 {
        let in_flight = self.estimate_in_flight(now, averages, settings) + 1.0;
        let share = in_flight / (f64::from(self.slots) * self.slow_start_share(now, settings));
        let distance = if self.data_centre == *home { 0.0 } else { settings.data_centre_cost };
        share * self.latency_ratio(averages) + distance
    }

    /// Adds a sample of the time to the first response.
    pub(super) fn observe_latency(&mut self, latency: Millis) {
        let sample = latency.0 as f64;
        let mean = self.latency.unwrap_or(sample);
        self.latency = Some(mean + LATENCY_WEIGHT * (sample - mean));
    }

    /// Returns the slots that are open to new requests.
    pub(super) fn available_slots(&self) -> u32 {
        if self.leaving { 0 } else { self.slots }
    }

    /// Whether health and exclusive requests permit another request.
    pub(super) fn is_available(&self) -> bool {
        match self.health.status {
            Status::Healthy => !self.exclusive,
            Status::Probing => !self.exclusive && self.own_in_flight == 0,
            Status::Ejected { .. } => false,
        }
    }

    /// Whether the replica can serve `model`. A replica that has not reported its models yet is
    /// assumed to serve every model.
    pub(super) fn can_serve(&self, model: Option<&str>) -> bool {
        let Some(model) = model else { return true };
        self.loaded.is_empty() || self.loaded.iter().any(|loaded| loaded == model)
    }

    fn latency_ratio(&self, averages: &Averages) -> f64 {
        match self.latency {
            Some(latency) if averages.latency > 0.0 => {
                (latency / averages.latency).clamp(LATENCY_RATIO.0, LATENCY_RATIO.1)
            }
            _ => 1.0,
        }
    }

    fn slow_start_share(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(added_at) = self.added_at else { return 1.0 };
        let age = (now - added_at).0 as f64 / settings.slow_start_ms.max(1) as f64;
        age.clamp(MIN_SLOW_START_SHARE, 1.0)
    }
}
