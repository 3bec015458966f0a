//! What this node knows of one replica, and the cost of sending it one more request.

use std::net::SocketAddr;

use crate::{id::DataCentre, time::Millis};

use super::{
    Load, Settings,
    health::{Health, Standing},
};

/// Slots assumed until a replica has reported its own.
const DEFAULT_SLOTS: u32 = 16;
/// Weight of the newest sample in the mean time to a first answer.
const LATENCY_WEIGHT: f64 = 0.1;
/// Bounds of the ratio of a replica's mean time to the group's.
const SLOWNESS: (f64, f64) = (0.5, 8.0);
/// The least share of its slots that a new replica offers.
const SLOW_START_SHARE: f64 = 0.1;

/// One replica as this node sees it.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) serves: String,
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentre,
    pub(super) leaving: bool,
    /// Since when the replica takes up its share; zero for those known from the start.
    pub(super) since: Option<Millis>,
    /// Requests of this node in flight.
    pub(super) own: u32,
    pub(super) slots: u32,
    /// Requests of others in flight when the replica last reported.
    pub(super) others: f64,
    /// When that report was true.
    pub(super) reported: Option<Millis>,
    /// Models that are loaded, once the replica has reported any.
    pub(super) loaded: Vec<String>,
    /// Mean milliseconds to the first answer.
    pub(super) latency: Option<f64>,
    pub(super) health: Health,
    /// A request that may crash upstreams runs here.
    pub(super) suspect: bool,
}

/// What the replicas of a group have in common.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Means {
    /// Mean of `others` over the replicas.
    pub(super) others: f64,
    /// Mean milliseconds to the first answer.
    pub(super) latency: f64,
}

impl Replica {
    pub(super) fn new(serves: String, address: SocketAddr, data_centre: DataCentre) -> Replica {
        Replica {
            serves,
            address,
            data_centre,
            leaving: false,
            since: None,
            own: 0,
            slots: DEFAULT_SLOTS,
            others: 0.0,
            reported: None,
            loaded: Vec::new(),
            latency: None,
            health: Health::default(),
            suspect: false,
        }
    }

    /// Takes in a report unless a newer one is known.
    pub(super) fn report(&mut self, now: Millis, load: &Load) -> bool {
        let at = now - load.age;
        if self.reported.is_some_and(|known| known >= at) {
            return false;
        }
        self.reported = Some(at);
        self.others = f64::from(load.in_flight.saturating_sub(self.own));
        self.slots = load.slots.max(1);
        true
    }

    /// Requests that the replica is believed to have in flight.
    pub(super) fn load(&self, now: Millis, means: &Means, settings: &Settings) -> f64 {
        let Some(reported) = self.reported else { return f64::from(self.own) + means.others };
        let age = (now - reported).0 as f64;
        let weight = (-age / settings.report_decay_ms.max(1) as f64).exp();
        f64::from(self.own) + weight * self.others + (1.0 - weight) * means.others
    }

    /// The cost of one more request, as a share of the replica's slots. Lower is better.
    pub(super) fn cost(
        &self,
        now: Millis,
        means: &Means,
        home: &DataCentre,
        settings: &Settings,
    ) -> f64 {
        let load = self.load(now, means, settings) + 1.0;
        let share = load / (f64::from(self.slots) * self.ramp(now, settings));
        let distance = if self.data_centre == *home { 0.0 } else { settings.data_centre_cost };
        share * self.slowness(means) + distance
    }

    /// Takes in the time to a first answer.
    pub(super) fn answered(&mut self, latency: Millis) {
        let sample = latency.0 as f64;
        let mean = self.latency.unwrap_or(sample);
        self.latency = Some(mean + LATENCY_WEIGHT * (sample - mean));
    }

    /// Slots that are open to new requests.
    pub(super) fn offered(&self) -> u32 {
        if self.leaving { 0 } else { self.slots }
    }

    /// Whether the replica may get another request.
    pub(super) fn takes(&self) -> bool {
        match self.health.standing {
            Standing::Healthy => !self.suspect,
            Standing::Probing => !self.suspect && self.own == 0,
            Standing::Ejected { .. } => false,
        }
    }

    /// Whether the replica can serve `model`. One that never reported is given the benefit.
    pub(super) fn serves_model(&self, model: Option<&str>) -> bool {
        let Some(model) = model else { return true };
        self.loaded.is_empty() || self.loaded.iter().any(|loaded| loaded == model)
    }

    fn slowness(&self, means: &Means) -> f64 {
        match self.latency {
            Some(latency) if means.latency > 0.0 => {
                (latency / means.latency).clamp(SLOWNESS.0, SLOWNESS.1)
            }
            _ => 1.0,
        }
    }

    fn ramp(&self, now: Millis, settings: &Settings) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = (now - since).0 as f64 / settings.slow_start_ms.max(1) as f64;
        age.clamp(SLOW_START_SHARE, 1.0)
    }
}
