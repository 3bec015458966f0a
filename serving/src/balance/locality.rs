//! Decides which requests leave their data centre.
//!
//! A request that runs in another data centre costs round trips and bytes between the two. It gains
//! only if it would wait longer at home than there. Below `KNEE` of its slots a data centre serves
//! online requests without a wait; what home has beyond that, and beyond the level that all data
//! centres would have together, is its excess, which leaves as far as others have slots to spare.
//!
//! All nodes of a data centre decide on the same sums, which are some 100 ms old. Each therefore sends
//! out a share of its requests, drawn request by request, and not all of them. The share is
//! proportional to the excess, which converges while the sums are young relative to the run time of
//! a request (docs/design/locality.md).

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    id::{DataCentre, Service},
    time::Millis,
};

use super::{Class, Load, Settings};

/// Share of the slots up to which online requests hardly wait. Above it some upstreams are full
/// while others have free slots, because the load is spread by outdated sums.
const KNEE: f64 = 0.8;
/// Share of the requests that is sent out for each share of the load that is excess. At 1, half of
/// the data centre's demand in excess leaves a load of 1.1 times the slots. At 2, the share of a data
/// centre at 1.3 times its slots swings by 0.46 in place of 0.18 (tests/locality.rs).
const GAIN: f64 = 1.5;
/// A request is sent out if it gains more than a share of its run time, drawn by each node from this
/// range.
const MARGIN: std::ops::Range<f64> = 0.02..0.06;
/// Sending out stops when online requests fill a smaller share of the slots than one drawn by each
/// node from this range.
const RELEASE: std::ops::Range<f64> = 0.6..0.75;
/// Run time, relative to home, below which requests don't stay for the bytes: the shorter run is
/// worth more to a caller.
const FAST: f64 = 0.75;
/// Round trips of a request on a new connection.
const ROUND_TRIPS: f64 = 2.0;
/// Cost of bytes at which requests stay as long as there is a free slot at home.
const FULL_STAY_COST_MS: f64 = 40.0;
/// Interval at which the loads of data centres are summed up, for each service.
const REFRESH: Millis = Millis(25);
/// Number of the latest connection set-ups that are remembered by data centre.
const SETUPS: usize = 8;
/// Number of connection set-ups after which the delay counts as known.
const MIN_SETUPS: usize = 3;

/// The upstreams of a service in one data centre that are neither draining nor ejected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Site {
    pub upstreams: u32,
    pub load: Load,
    pub slots: u32,
    /// Mean run time of online requests; `None` before the first one.
    pub run_ms: Option<f64>,
}

pub type Sites = BTreeMap<DataCentre, Site>;

impl Site {
    /// Share of the slots that online requests fill. Batch items are paused in their favour and
    /// don't count.
    fn fill(&self) -> f64 {
        f64::from(self.load.online) / f64::from(self.slots.max(1))
    }

    /// Online requests beyond the share `level` of the slots; negative if there are slots to spare.
    fn excess(&self, level: f64) -> f64 {
        f64::from(self.load.online) - level * f64::from(self.slots)
    }
}

/// Why a request has left its data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Home has no upstream of the service.
    Absent,
    /// An upstream at home has failed or refused the request.
    Retry,
    /// The request is in the share that is sent out.
    Share,
    /// No upstream at home has capacity.
    Full,
    /// The load elsewhere is lower by more than the penalty.
    Lower,
}

impl Reason {
    pub fn name(self) -> &'static str {
        match self {
            Reason::Absent => "absent",
            Reason::Retry => "retry",
            Reason::Share => "share",
            Reason::Full => "full",
            Reason::Lower => "lower",
        }
    }
}

/// A request that has left its data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    pub data_centre: DataCentre,
    pub reason: Reason,
}

/// A service starts or stops to send out requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Started { service: Service, fill: f64, share: f64 },
    Stopped { service: Service, fill: f64, lasted: Millis },
}

/// Penalties on the data centres for one request, in requests in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    home: DataCentre,
    /// Penalty on home, which a retry leaves.
    home_penalty: f64,
    /// Cost of the way to each data centre whose delay is known.
    costs: BTreeMap<DataCentre, f64>,
    /// Penalty while the delay is unknown or home has no free slot.
    bias: f64,
    /// Penalty on each of `costs` while home has a free slot.
    stays: BTreeMap<DataCentre, f64>,
    /// Penalty on the data centres that aren't the target while a share is sent out.
    hold: Option<f64>,
    /// The data centre to which the request is sent as part of the share.
    target: Option<DataCentre>,
    pub(super) is_retry: bool,
    pub(super) is_home_absent: bool,
}

impl Plan {
    /// Penalty on upstreams in `data_centre`. `is_home_free` says that one of the upstreams at home
    /// has a free slot.
    pub fn penalty(&self, data_centre: &DataCentre, is_home_free: bool) -> f64 {
        if *data_centre == self.home {
            return self.home_penalty;
        }
        let Some(cost) = self.costs.get(data_centre).copied() else { return self.bias };
        match self.hold {
            _ if self.is_retry || self.target.as_ref() == Some(data_centre) => cost,
            Some(hold) => hold + cost,
            None if is_home_free => {
                self.stays.get(data_centre).copied().unwrap_or(self.bias.max(cost))
            }
            None => self.bias.max(cost),
        }
    }

    pub fn target(&self) -> Option<&DataCentre> {
        self.target.as_ref()
    }
}

/// The latest connection set-up times to upstreams of one data centre.
#[derive(Clone, Debug, Default)]
struct Link {
    setups_ms: VecDeque<f64>,
}

impl Link {
    fn record_setup(&mut self, ms: f64) {
        if self.setups_ms.len() >= SETUPS {
            self.setups_ms.pop_front();
        }
        self.setups_ms.push_back(ms);
    }

    /// An answer takes at least a round trip, which bounds what was measured before.
    fn record_answer(&mut self, ms: f64) {
        self.setups_ms.iter_mut().for_each(|setup| *setup = setup.min(ms));
    }

    /// Lower quartile of the set-up times, which a node that lacks processor time or a lost packet
    /// hardly affects. `None` while too few are known.
    fn round_trip_ms(&self) -> Option<f64> {
        if self.setups_ms.len() < MIN_SETUPS {
            return None;
        }
        let mut sorted: Vec<f64> = self.setups_ms.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        Some(sorted[sorted.len() / 4])
    }
}

/// What a node sends out of one service.
#[derive(Clone, Debug, Default)]
struct Flow {
    refreshed_at: Option<Millis>,
    /// Start of sending out; `None` while requests stay.
    since: Option<Millis>,
    /// Share of the requests that is sent out, from 0 to 1.
    share: f64,
    /// Data centres to which the share is sent, weighted by their slots to spare and by the gain.
    weights: BTreeMap<DataCentre, f64>,
    /// Cost of the way to each data centre whose delay is known, in requests in flight.
    costs: BTreeMap<DataCentre, f64>,
    /// Penalty on each of `costs` while requests stay.
    stays: BTreeMap<DataCentre, f64>,
    slots_per_upstream: f64,
    /// Whether home has a slot that a batch item may take, the reserve for online requests left out.
    has_batch_slot: bool,
    is_home_absent: bool,
    /// Random fractions that place this node's thresholds in `MARGIN` and `RELEASE`. Drawn again
    /// with each change, so that nodes with the same sums don't all change at once.
    draws: Option<(f64, f64)>,
}

/// What is known of the ways to other data centres and of the loads there.
#[derive(Clone, Debug)]
pub struct State {
    home: DataCentre,
    bias: f64,
    byte_cost_ms: f64,
    online_reserve: f64,
    /// Apart from the generator of the balance, whose draws don't depend on locality.
    rng: SmallRng,
    links: BTreeMap<DataCentre, Link>,
    flows: BTreeMap<Service, Flow>,
    changes: Vec<Change>,
}

impl State {
    pub fn new(settings: &Settings, home: DataCentre, seed: u64) -> State {
        State {
            home,
            bias: settings.data_centre_bias,
            byte_cost_ms: settings.data_centre_byte_cost_ms,
            online_reserve: settings.online_reserve,
            rng: SmallRng::seed_from_u64(seed ^ 0x10ca_1174),
            links: BTreeMap::new(),
            flows: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Records the time that it took to set up a connection.
    pub fn record_setup(&mut self, data_centre: &DataCentre, ms: f64) {
        self.links.entry(data_centre.clone()).or_default().record_setup(ms);
    }

    /// Records the time from a request to the head of its response.
    pub fn record_answer(&mut self, data_centre: &DataCentre, ms: f64) {
        if let Some(link) = self.links.get_mut(data_centre) {
            link.record_answer(ms);
        }
    }

    /// Round trip to a data centre beyond that to an upstream at home. `None` while unknown.
    pub fn delay_ms(&self, data_centre: &DataCentre) -> Option<f64> {
        let there = self.links.get(data_centre)?.round_trip_ms()?;
        let here = self.links.get(&self.home)?.round_trip_ms()?;
        Some((there - here).max(0.0))
    }

    /// Changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets services that have no upstream left.
    pub(super) fn retain(&mut self, is_known: impl Fn(&Service) -> bool) {
        self.flows.retain(|service, _| is_known(service));
    }

    /// Whether the sums for `service` are due.
    pub fn needs_refresh(&self, now: Millis, service: &Service) -> bool {
        let refreshed_at = self.flows.get(service).and_then(|flow| flow.refreshed_at);
        refreshed_at.is_none_or(|at| now - at >= REFRESH)
    }

    /// Decides again, from the upstreams of `service` by data centre, how much leaves. `sites` is
    /// `None` while no other node reports its load or no upstream states its pace: requests then
    /// leave as if no delay were known.
    pub fn refresh(&mut self, now: Millis, service: &Service, sites: Option<&Sites>) {
        let mut flow = self.flows.remove(service).unwrap_or_default();
        flow.refreshed_at = Some(now);
        flow.costs.clear();
        flow.weights.clear();
        flow.share = 0.0;
        flow.stays.clear();
        flow.is_home_absent = false;
        if let Some(sites) = sites {
            self.weigh(now, service, sites, &mut flow);
        }
        self.flows.insert(service.clone(), flow);
    }

    fn weigh(&mut self, now: Millis, service: &Service, sites: &Sites, flow: &mut Flow) {
        let home = sites.get(&self.home).copied().filter(|home| home.slots > 0);
        flow.is_home_absent = home.is_none();
        let Some(home) = home else { return };
        flow.slots_per_upstream = f64::from(home.slots) / f64::from(home.upstreams.max(1));
        let Some(run_ms) = home.run_ms.filter(|run_ms| *run_ms > 0.0) else { return };
        // One request in flight at an upstream without free slots delays the next one by so much.
        let ms_per_request = run_ms / flow.slots_per_upstream.max(1.0);
        let kept = (self.byte_cost_ms / FULL_STAY_COST_MS).clamp(0.0, 1.0);
        let extra = (flow.slots_per_upstream - self.bias).max(0.0) * kept;
        flow.has_batch_slot =
            f64::from(home.load.total()) < f64::from(home.slots) * (1.0 - self.online_reserve);
        let home_wait = run_ms * (home.fill() - KNEE).max(0.0);
        let mut best_gain = f64::NEG_INFINITY;
        let level = self.level(sites);
        let (mut total_excess, mut spare) = (0.0, 0.0);
        for (data_centre, site) in sites.iter().filter(|(_, site)| site.slots > 0) {
            total_excess += site.excess(level).max(0.0);
            if *data_centre == self.home {
                continue;
            }
            let Some(delay) = self.delay_ms(data_centre) else { continue };
            let cost_ms = ROUND_TRIPS * delay + self.byte_cost_ms;
            let cost = cost_ms / ms_per_request;
            flow.costs.insert(data_centre.clone(), cost);
            let site_run_ms = site.run_ms.unwrap_or(run_ms);
            let slower = (site_run_ms / run_ms - FAST) / (1.0 - FAST);
            let stay = self.bias.max(cost) + extra * slower.clamp(0.0, 1.0);
            flow.stays.insert(data_centre.clone(), stay);
            let wait = site_run_ms * (site.fill() - KNEE).max(0.0);
            let gain = home_wait - wait - cost_ms;
            best_gain = best_gain.max(gain);
            if gain > 0.0 && site.excess(level) < 0.0 {
                spare -= site.excess(level);
                flow.weights.insert(data_centre.clone(), -site.excess(level) * gain);
            }
        }
        let rng = &mut self.rng;
        let (margin, release) = *flow.draws.get_or_insert_with(|| (rng.random(), rng.random()));
        let margin_ms = run_ms * (MARGIN.start + (MARGIN.end - MARGIN.start) * margin);
        let release = RELEASE.start + (RELEASE.end - RELEASE.start) * release;
        let excess = home.excess(level).max(0.0);
        // Other data centres with an excess send it to the same slots.
        let fitting = if total_excess > 0.0 { (spare / total_excess).min(1.0) } else { 0.0 };
        let share = GAIN * excess * fitting / f64::from(home.load.online.max(1));
        let share = share.min(1.0);
        match flow.since {
            None if best_gain > margin_ms && share > 0.0 => {
                (flow.since, flow.draws) = (Some(now), None);
                let (service, fill) = (service.clone(), home.fill());
                self.changes.push(Change::Started { service, fill, share });
            }
            Some(since) if home.fill() < release => {
                (flow.since, flow.draws) = (None, None);
                let (service, fill) = (service.clone(), home.fill());
                self.changes.push(Change::Stopped { service, fill, lasted: now - since });
            }
            None | Some(_) => {}
        }
        if flow.since.is_some() {
            flow.share = share;
        }
    }

    /// Share of the slots that requests would fill if the load were level in all data centres with a
    /// known delay, but at least `KNEE`: what is below hardly waits and has no reason to leave.
    fn level(&self, sites: &Sites) -> f64 {
        let is_known = |data_centre: &DataCentre| {
            *data_centre == self.home || self.delay_ms(data_centre).is_some()
        };
        let (mut online, mut slots) = (0.0, 0.0);
        for (_, site) in sites.iter().filter(|(data_centre, _)| is_known(data_centre)) {
            online += f64::from(site.load.online);
            slots += f64::from(site.slots);
        }
        if slots > 0.0 { (online / slots).max(KNEE) } else { KNEE }
    }

    /// Penalties for one request. `is_retry` says that an upstream at home has failed or refused
    /// it.
    pub fn plan(&mut self, service: &Service, class: Class, is_retry: bool) -> Plan {
        let mut plan = Plan {
            home: self.home.clone(),
            home_penalty: 0.0,
            costs: BTreeMap::new(),
            bias: self.bias,
            stays: BTreeMap::new(),
            hold: None,
            target: None,
            is_retry: is_retry && class == Class::Online,
            is_home_absent: false,
        };
        let Some(flow) = self.flows.get(service) else { return plan };
        plan.is_home_absent = flow.is_home_absent;
        plan.costs.clone_from(&flow.costs);
        if class == Class::Online || flow.has_batch_slot {
            plan.stays.clone_from(&flow.stays);
        }
        if plan.is_retry && !flow.costs.is_empty() {
            plan.home_penalty = flow.slots_per_upstream.max(self.bias);
        }
        if class == Class::Batch || is_retry || flow.share <= 0.0 {
            return plan;
        }
        // The share decides: a comparison of loads would send out all requests at once.
        plan.hold = Some(flow.slots_per_upstream.max(self.bias));
        if self.rng.random::<f64>() < flow.share {
            let mut draw = self.rng.random::<f64>() * flow.weights.values().sum::<f64>();
            let target = flow.weights.iter().find(|(_, weight)| {
                draw -= **weight;
                draw < 0.0
            });
            plan.target = target.map(|(target, _)| target.clone());
        }
        plan
    }
}
