//! Decides which requests are refused while the upstreams of a service are short: those of the
//! workspaces that use most in relation to their limits.
//!
//! The policy approximates weighted max-min, with the limit of a workspace as its weight. As the last
//! slots of a service fill up, requests of the workspaces that use clearly more of their limits than
//! all do on average pass with a probability that brings them down to about the average. The others
//! pass, and where all use about the same nobody is refused here: the upstreams refuse what they
//! can't take, and none of their capacity is left unused. An earlier design that lowered a common
//! level of usage over time refused more requests than the upstreams alone.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{balance::Load, id::Service, time::Millis};

/// Online requests for each slot from which requests are refused at all, and from which they are
/// refused with the full probability.
const SHORT: [f64; 2] = [0.9, 1.0];
/// Usage in relation to the mean from which requests may be refused. Estimates of workspaces that
/// use the same differ by less.
const ABOVE_MEAN: f64 = 1.2;
/// Usage in relation to the mean to which a workspace is brought down.
const TARGET: f64 = 0.8;
/// The smallest share of the requests of a workspace that passes. Every workspace must be served at
/// least a quarter as often as all together.
const MIN_PASS: f64 = 0.3;
/// Addition to the usage for each rank of the workspace's priority, and of the route's. Ranks beyond
/// the last count like it, so that the workspace's priority always goes before that of the route.
const WORKSPACE_RANK: f64 = 0.25;
const ROUTE_RANK: f64 = 0.05;
const LAST_RANK: u32 = 4;
/// Time for which an occupancy is used. Reading one costs a pass over the service's upstreams.
const OCCUPANCY_LIFETIME: Millis = Millis(20);
/// Weight of a request in the mean usage.
const USAGE_WEIGHT: f64 = 0.02;
/// The smallest usage that counts in the mean.
const MIN_USAGE: f64 = 0.05;
/// Time without a refusal after which a service counts as no longer short.
const EPISODE_END: Millis = Millis(2_000);

/// What is known of a request's workspace and route.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Demand of the workspace relative to its limit.
    pub usage: f64,
    /// Ranks; 0 is the most urgent.
    pub workspace_priority: u32,
    pub route_priority: u32,
}

impl Claim {
    /// The usage that competes for the upstreams, higher for less urgent requests. What exceeds the
    /// limit is refused before.
    fn weighted_usage(&self) -> f64 {
        let rank = |priority: u32| f64::from(priority.min(LAST_RANK));
        let workspace = rank(self.workspace_priority) * WORKSPACE_RANK;
        let route = rank(self.route_priority) * ROUTE_RANK;
        self.usage.clamp(0.0, 1.0) * (1.0 + workspace + route)
    }
}

/// One service.
#[derive(Clone, Debug)]
struct Pressure {
    /// Mean of the inverse of the weighted usage over all requests. Because a workspace sends as many
    /// requests as usage and limit say, its inverse is the sum of all demands relative to the sum of
    /// all limits.
    mean_inverse_usage: f64,
    /// Online requests for each slot.
    occupancy: f64,
    observed_at: Millis,
    last_refusal: Option<Millis>,
}

/// The services whose requests this node admits.
#[derive(Debug)]
pub struct State {
    services: BTreeMap<Service, Pressure>,
    rng: SmallRng,
}

impl State {
    pub fn new(seed: u64) -> State {
        State { services: BTreeMap::new(), rng: SmallRng::seed_from_u64(seed) }
    }

    /// Whether the occupancy of a service has to be observed before a decision.
    pub fn needs_occupancy(&self, now: Millis, service: &Service) -> bool {
        let pressure = self.services.get(service);
        pressure.is_none_or(|pressure| now - pressure.observed_at >= OCCUPANCY_LIFETIME)
    }

    /// Applies the requests in flight and the slots of a service.
    pub fn observe(&mut self, now: Millis, service: &Service, load: Load, slots: u32) {
        let occupancy = f64::from(load.online) / f64::from(slots.max(1));
        let pressure = self.services.entry(service.clone()).or_insert(Pressure {
            mean_inverse_usage: 1.0,
            occupancy,
            observed_at: now,
            last_refusal: None,
        });
        pressure.occupancy = occupancy;
        pressure.observed_at = now;
    }

    /// Whether a request may be sent.
    pub fn admit(&mut self, now: Millis, service: &Service, claim: Claim) -> bool {
        let Some(pressure) = self.services.get_mut(service) else { return true };
        let usage = claim.weighted_usage();
        let inverse = 1.0 / usage.max(MIN_USAGE);
        pressure.mean_inverse_usage += USAGE_WEIGHT * (inverse - pressure.mean_inverse_usage);
        let passing = pressure.passing_share(usage);
        if passing >= 1.0 || self.rng.random::<f64>() < passing {
            return true;
        }
        if pressure.last_refusal.is_none() {
            log::info!(service = service.0.as_str(), occupancy = pressure.occupancy, mean_usage = 1.0 / pressure.mean_inverse_usage; "upstreams are short; requests of the workspaces that use most of their limits are refused");
        }
        pressure.last_refusal = Some(now);
        false
    }

    /// Logs the services that are no longer short.
    pub fn clean_up(&mut self, now: Millis) {
        for (service, pressure) in &mut self.services {
            if pressure.last_refusal.take_if(|last| now - *last >= EPISODE_END).is_some() {
                log::info!(service = service.0.as_str(); "upstreams are no longer short");
            }
        }
    }
}

impl Pressure {
    /// The share of the requests with this weighted usage that passes.
    fn passing_share(&self, usage: f64) -> f64 {
        let mean = 1.0 / self.mean_inverse_usage;
        if usage <= mean * ABOVE_MEAN {
            return 1.0;
        }
        let [begin, full] = SHORT;
        let shortage = ((self.occupancy - begin) / (full - begin)).clamp(0.0, 1.0);
        let least = (mean * TARGET / usage).max(MIN_PASS);
        1.0 - shortage * (1.0 - least)
    }
}
