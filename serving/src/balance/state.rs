//! State of load balancing.
//!
//! The load of an upstream is the requests that this node has in flight there plus those that the
//! other nodes last reported.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::{Add, Sub},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    catalog::Route,
    fleet::Entry,
    id::{DataCentre, Incarnation, Process, Service, Upstream, Vm},
    time::Millis,
};

use super::{
    Settings,
    limit::{self, Limits, Rate},
    load::{Digest, Load, Loads, Stated},
    locality::{self, Sites},
    pace::{self, Origin},
    replica::{MeanDuration, Replica},
    request::{Class, Criteria, Outcome, Pick},
};

/// Maximum random addition to the delay after which a caller may retry that was refused because of
/// rate limits.
const MAX_RETRY_SPREAD: Millis = Millis(10_000);
/// Maximum number of paces in one datagram; each takes some 10 bytes.
const MAX_PACE_REPORTS: usize = 64;
/// Age of the loads in a sum on its arrival, in intervals between sums. Loads wait for the report of
/// their node, for the sum of its data centre and for that of the fleet; two collectors send sums, each
/// at twice the interval.
const SUM_AGE: f64 = 3.0;
/// Weight of the latest interval between sums in the moving average.
const SUM_INTERVAL_WEIGHT: f64 = 0.1;
/// Age of the loads that gossip reports in a fleet without collectors, in milliseconds.
const GOSSIP_AGE_MS: f64 = 30.0;
/// Maximum number of upstreams that are remembered as leaving.
const MAX_LEAVING: usize = 4_096;

/// Load and health of all upstreams as seen by this node. The cost of choosing an upstream does not
/// grow with their number, except when all of a service must be checked before a refusal.
pub struct State {
    pub(super) settings: Settings,
    pub(super) data_centre: DataCentre,
    pub(super) rng: SmallRng,
    pub(super) seed: u64,
    pub(super) replicas: BTreeMap<Upstream, Replica>,
    by_digest: BTreeMap<Digest, Upstream>,
    pub(super) services: BTreeMap<Service, Members>,
    /// Requests of this node in flight: `Replica::own_load` of the upstreams where it isn't zero.
    own_loads: Loads,
    /// Upstreams that this node has ejected. May include some whose ejection is over.
    ejected: BTreeSet<Upstream>,
    /// Start of the process of each upstream that has said that it is leaving. Kept when an entry
    /// disappears, because it may come back while the process still runs.
    leaving: BTreeMap<Upstream, u64>,
    /// Latest load update of each other node and the time of its arrival. `Replica::peer_load`
    /// holds the sum of these.
    peer_loads: BTreeMap<Vm, (Millis, Loads)>,
    /// Loads of all other nodes together and the time of their arrival. While they last they are
    /// used in place of `peer_loads`, which is then empty.
    fleet_loads: Option<(Millis, Loads)>,
    /// Moving average of the milliseconds between two sums of `fleet_loads`.
    sum_interval_ms: f64,
    /// Kept when an entry disappears, because it may come back while the process still runs.
    pub(super) limits: Limits,
    pub(super) locality: locality::State,
    /// Earliest time at which a load update can expire.
    next_expiry: Millis,
}

/// An upstream that counts as ejected since other nodes report failures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ejection {
    pub upstream: Upstream,
    pub service: Service,
    /// Number of other nodes that have ejected the upstream.
    pub witnesses: usize,
}

/// The upstreams of one service.
#[derive(Default)]
pub(super) struct Members {
    /// Sorted by id.
    pub(super) upstreams: Vec<Upstream>,
    /// Subset of a large service that this node prefers, so that it reuses its connections. `None`
    /// after a change of the members, until the subset is selected again.
    pub(super) favourites: Option<BTreeSet<Upstream>>,
    /// Run time of online requests of the service.
    pub(super) mean_duration: MeanDuration,
}

impl State {
    pub fn new(settings: Settings, data_centre: DataCentre, seed: u64) -> State {
        State {
            locality: locality::State::new(&settings, data_centre.clone(), seed),
            settings,
            data_centre,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            replicas: BTreeMap::new(),
            by_digest: BTreeMap::new(),
            services: BTreeMap::new(),
            own_loads: Loads::new(),
            ejected: BTreeSet::new(),
            leaving: BTreeMap::new(),
            peer_loads: BTreeMap::new(),
            fleet_loads: None,
            sum_interval_ms: 0.0,
            limits: Limits::default(),
            next_expiry: Millis(0),
        }
    }

    /// Replaces all upstreams by the entries of the fleet.
    pub fn replace(&mut self, entries: &BTreeMap<Upstream, Entry>) {
        let gone: Vec<Upstream> =
            self.replicas.keys().filter(|known| !entries.contains_key(*known)).cloned().collect();
        gone.iter().for_each(|upstream| self.remove(upstream));
        entries.iter().for_each(|(upstream, entry)| self.upsert(upstream, entry));
    }

    /// Adds an upstream or updates its entry. Its load and health are reset if its process
    /// restarted or its service or address changed.
    pub fn upsert(&mut self, upstream: &Upstream, entry: &Entry) {
        if let Some(replica) = self.replicas.get_mut(upstream)
            && replica.entry.started == entry.started
            && replica.entry.service == entry.service
            && replica.entry.address == entry.address
        {
            replica.entry = entry.clone();
            return;
        }
        self.remove(upstream);
        let digest = Digest::of(upstream);
        let process = Process::of(upstream, entry.started);
        let mut replica = Replica::new(process, entry.clone());
        replica.is_leaving = self.leaving.get(upstream) == Some(&entry.started);
        for (_, loads) in self.peer_loads.values().chain(&self.fleet_loads) {
            replica.peer_load = replica.peer_load + loads.get(&digest).copied().unwrap_or_default();
        }
        self.replicas.insert(upstream.clone(), replica);
        self.by_digest.insert(digest, upstream.clone());
        let members = self.services.entry(entry.service.clone()).or_default();
        if let Err(position) = members.upstreams.binary_search(upstream) {
            members.upstreams.insert(position, upstream.clone());
        }
        members.favourites = None;
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: &Upstream) {
        let Some(replica) = self.replicas.remove(upstream) else { return };
        let digest = Digest::of(upstream);
        self.by_digest.remove(&digest);
        self.own_loads.remove(&digest);
        self.ejected.remove(upstream);
        let Some(members) = self.services.get_mut(&replica.entry.service) else { return };
        if let Ok(position) = members.upstreams.binary_search(upstream) {
            members.upstreams.remove(position);
        }
        members.favourites = None;
        if members.upstreams.is_empty() {
            self.services.remove(&replica.entry.service);
            self.locality.retain(|service| self.services.contains_key(service));
        }
    }

    /// Applies the loads of all other nodes together, which replace the previous ones and the load
    /// updates of single nodes.
    pub fn update_fleet_loads(&mut self, now: Millis, loads: Loads) {
        self.expire(now);
        self.change_peer_loads(&loads, Load::add);
        let single = std::mem::take(&mut self.peer_loads);
        let previous = self.fleet_loads.replace((now, loads));
        if let Some((at, _)) = &previous {
            let interval = (now - *at).0 as f64;
            self.sum_interval_ms += SUM_INTERVAL_WEIGHT * (interval - self.sum_interval_ms);
        }
        for (_, loads) in single.into_values().chain(previous) {
            self.change_peer_loads(&loads, Load::sub);
        }
        self.next_expiry = now + Millis(self.settings.load_expiry_ms);
    }

    /// Applies a load update of another node, which replaces its previous one.
    pub fn update_loads(&mut self, now: Millis, vm: &Vm, loads: Loads) {
        self.expire(now);
        if self.fleet_loads.is_some() {
            return;
        }
        self.change_peer_loads(&loads, Load::add);
        if let Some((_, previous)) = self.peer_loads.insert(vm.clone(), (now, loads)) {
            self.change_peer_loads(&previous, Load::sub);
        }
    }

    /// Applies the ejections that another node reported, with the time that is left of each. Returns
    /// the upstreams that count as ejected from now on.
    pub fn update_ejections(
        &mut self,
        now: Millis,
        vm: &Vm,
        ejected: &[(Digest, Millis)],
    ) -> Vec<Ejection> {
        let mut ejections = Vec::new();
        for (digest, remaining) in ejected {
            let upstream = self.by_digest.get(digest);
            let Some(upstream) = upstream else { continue };
            let Some(replica) = self.replicas.get_mut(upstream) else { continue };
            let was_ejected = replica.is_ejected(now, &self.settings);
            replica.ejected_by.insert(vm.clone(), now + *remaining);
            if !was_ejected && replica.is_ejected(now, &self.settings) {
                let (upstream, service) = (upstream.clone(), replica.entry.service.clone());
                ejections.push(Ejection { upstream, service, witnesses: replica.witnesses(now) });
            }
        }
        ejections
    }

    /// Ejections by this node, with the time that is left of each.
    pub fn own_ejections(&mut self, now: Millis) -> Vec<(Digest, Millis)> {
        let replicas = &self.replicas;
        self.ejected.retain(|upstream| {
            replicas.get(upstream).is_some_and(|replica| replica.ejected_until > now)
        });
        let remaining = |upstream: &Upstream| replicas[upstream].ejected_until - now;
        self.ejected.iter().map(|upstream| (Digest::of(upstream), remaining(upstream))).collect()
    }

    /// Ends the ejections by this node, which turned out to be failures of its own path.
    pub fn clear_own_ejections(&mut self) {
        for upstream in std::mem::take(&mut self.ejected) {
            if let Some(replica) = self.replicas.get_mut(&upstream) {
                replica.clear_failures();
            }
        }
    }

    pub(crate) fn data_centre(&self) -> &DataCentre {
        &self.data_centre
    }

    /// Requests of this node in flight.
    pub fn own_loads(&self) -> &Loads {
        &self.own_loads
    }

    /// Records the end of a request.
    pub fn finish(&mut self, now: Millis, pick: &Pick, outcome: Outcome) {
        let Some(replica) = self.replicas.get_mut(&pick.upstream) else { return };
        match pick.class {
            Class::Online => replica.own_load.online = replica.own_load.online.saturating_sub(1),
            Class::Batch => replica.own_load.batch = replica.own_load.batch.saturating_sub(1),
        }
        let own_load = replica.own_load;
        if outcome == Outcome::Succeeded {
            replica.return_connection(now);
        }
        if outcome == Outcome::Succeeded && pick.class == Class::Online {
            let run_ms = replica.observe_answer(pick.load, (now - pick.chosen_at).0 as f64);
            if let Some(members) = self.services.get_mut(&replica.entry.service) {
                members.mean_duration.observe(run_ms);
            }
        }
        match outcome {
            Outcome::Succeeded => replica.record_success(),
            Outcome::Neutral => {}
            Outcome::Full => replica.full_until = now + Millis(self.settings.full_ms),
            Outcome::Misdirected => self.record_misdirected(now, &pick.upstream),
            Outcome::Failed => self.record_failure(now, &pick.upstream),
        }
        self.update_own_load(&pick.upstream, own_load);
    }

    /// Records that the process that `pick` names is leaving: it gets no more requests, whatever the
    /// registry says. Returns whether this was news.
    pub fn record_leaving(&mut self, pick: &Pick) -> bool {
        while self.leaving.len() >= MAX_LEAVING {
            let oldest = self.leaving.iter().min_by_key(|(_, started)| **started);
            let Some(oldest) = oldest.map(|(upstream, _)| upstream.clone()) else { break };
            self.leaving.remove(&oldest);
        }
        let previous = self.leaving.insert(pick.upstream.clone(), pick.started);
        if let Some(replica) = self.replicas.get_mut(&pick.upstream)
            && replica.entry.started == pick.started
        {
            replica.is_leaving = true;
        }
        previous != Some(pick.started)
    }

    /// Whether an upstream gets no more requests because it is leaving, as the registry or the upstream
    /// itself says.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        let replica = self.replicas.get(upstream);
        replica.is_some_and(|replica| replica.entry.draining || replica.is_leaving)
    }

    /// Records the load and pace in a response of the process that `pick` names. Without a pace nothing
    /// changes.
    pub fn record_stated(&mut self, now: Millis, pick: &Pick, stated: Stated) {
        let Some(percent) = stated.pace else { return };
        let Some(replica) = self.replicas.get_mut(&pick.upstream) else { return };
        if replica.entry.started == pick.started {
            let percent = u16::try_from(percent).unwrap_or(u16::MAX);
            replica.pace.record(now, now, percent, Origin::Own);
        }
    }

    /// Expected time in milliseconds of the request of `pick`, if its upstream states a pace.
    pub(crate) fn expected_ms(&self, pick: &Pick) -> Option<f64> {
        self.replicas.get(&pick.upstream)?.expected_ms(pick.chosen_at, pick.load)
    }

    /// Applies the paces that another node reports.
    pub fn update_paces(&mut self, now: Millis, origin: Origin, reports: &[pace::Report]) {
        for report in reports {
            let upstream = self.by_digest.get(&report.upstream);
            if let Some(replica) = upstream.and_then(|id| self.replicas.get_mut(id)) {
                let at = now - Millis(report.age.into());
                replica.pace.record(now, at, report.percent, origin);
            }
        }
    }

    /// The paces that this node has learned of at `since` or later, from origins up to `farthest`.
    pub fn pace_reports(&self, now: Millis, since: Millis, farthest: Origin) -> Vec<pace::Report> {
        let reports = self
            .replicas
            .iter()
            .filter_map(|(upstream, replica)| replica.pace.report(now, since, upstream, farthest));
        reports.take(MAX_PACE_REPORTS).collect()
    }

    /// Milliseconds since the loads of other nodes were what is known of them, on average.
    pub(super) fn report_age(&self, now: Millis) -> f64 {
        match &self.fleet_loads {
            Some((at, _)) => (now - *at).0 as f64 + SUM_AGE * self.sum_interval_ms,
            None => GOSSIP_AGE_MS,
        }
    }

    /// Records the rate limit in a response of the process that `pick` names; `None` if the response
    /// names none.
    pub fn record_limit(
        &mut self,
        now: Millis,
        pick: &Pick,
        rate: Option<Rate>,
    ) -> Option<limit::Change> {
        self.limits.record_answer(now, Process::of(&pick.upstream, pick.started), rate)
    }

    /// Applies the reports of another node about rate limits, with the changes that they bring.
    pub fn update_limits(
        &mut self,
        now: Millis,
        vm: &Vm,
        incarnation: Incarnation,
        reports: Vec<limit::Report>,
    ) -> Vec<(Process, limit::Change)> {
        self.limits.merge(now, vm, incarnation, reports)
    }

    /// Reports of this node about rate limits.
    pub fn own_limits(&mut self, now: Millis) -> Vec<limit::Report> {
        self.limits.reports(now)
    }

    /// Records a failure of an upstream that may still have requests in flight.
    pub fn record_failure(&mut self, now: Millis, upstream: &Upstream) {
        if let Some(replica) = self.replicas.get_mut(upstream) {
            replica.record_failure(now, &self.settings);
            self.ejected.insert(upstream.clone());
        }
    }

    /// Records that the address of an upstream belongs to another one.
    fn record_misdirected(&mut self, now: Millis, upstream: &Upstream) {
        if let Some(replica) = self.replicas.get_mut(upstream) {
            replica.ejected_until = now + Millis(self.settings.misdirected_ms);
            self.ejected.insert(upstream.clone());
        }
    }

    pub(super) fn update_own_load(&mut self, upstream: &Upstream, own_load: Load) {
        let digest = Digest::of(upstream);
        match own_load.total() {
            0 => self.own_loads.remove(&digest),
            _ => self.own_loads.insert(digest, own_load),
        };
    }

    /// Whether `service` has an upstream that takes requests. Ejected ones count as well if
    /// `with_ejected`.
    pub fn has_upstream(&self, now: Millis, service: &Service, with_ejected: bool) -> bool {
        let members = self.services.get(service).into_iter().flat_map(|members| &members.upstreams);
        members.map(|upstream| &self.replicas[upstream]).any(|replica| {
            let takes_requests = !replica.entry.draining && !replica.is_leaving;
            takes_requests && (with_ejected || !replica.is_ejected(now, &self.settings))
        })
    }

    /// Selects a service of a route by weight, for a uniformly distributed random number `sample` in
    /// `0..1`. Services without a healthy upstream are selected only if all have none.
    pub fn select_service(&self, now: Millis, route: &Route, sample: f64) -> Service {
        let selected = [false, true].into_iter().find_map(|with_ejected| {
            route.select_among(sample, |service| self.has_upstream(now, service, with_ejected))
        });
        selected.unwrap_or_else(|| route.select_service(sample)).clone()
    }

    /// Requests in flight and slots, summed over the upstreams of `service` that are neither
    /// draining nor ejected. An upstream that limits the rate of its requests counts with the slots
    /// that requests at this rate fill.
    pub fn occupancy(&self, now: Millis, service: &Service) -> (Load, u32) {
        let mut sum = Load::default();
        let mut slots: u32 = 0;
        let Some(members) = self.services.get(service) else { return (sum, slots) };
        let mean_duration = members.mean_duration;
        for replica in members.upstreams.iter().map(|upstream| &self.replicas[upstream]) {
            if replica.entry.draining
                || replica.is_leaving
                || replica.is_ejected(now, &self.settings)
            {
                continue;
            }
            let load = replica.load();
            sum = sum + load;
            let own = match self.limits.rate(replica.process) {
                Some(rate) => replica.slots_at(rate, mean_duration),
                None => replica.entry.slots,
            };
            slots = slots.saturating_add(own);
        }
        (sum, slots)
    }

    /// Upstreams of `service` that are neither draining nor ejected, by data centre.
    fn sites(&self, now: Millis, service: &Service) -> Sites {
        let mut sites = Sites::new();
        let mut run_times: BTreeMap<&DataCentre, f64> = BTreeMap::new();
        let Some(members) = self.services.get(service) else { return sites };
        for replica in members.upstreams.iter().map(|upstream| &self.replicas[upstream]) {
            let entry = &replica.entry;
            if entry.draining || replica.is_leaving || replica.is_ejected(now, &self.settings) {
                continue;
            }
            let site = match sites.get_mut(&entry.data_centre) {
                Some(site) => site,
                None => sites.entry(entry.data_centre.clone()).or_default(),
            };
            site.upstreams += 1;
            site.load = site.load + replica.load();
            site.slots = site.slots.saturating_add(entry.slots);
            if let Some(run_ms) = replica.run_ms(members.mean_duration) {
                *run_times.entry(&entry.data_centre).or_insert(0.0) += run_ms;
            }
        }
        for (data_centre, sum) in run_times {
            if let Some(site) = sites.get_mut(data_centre) {
                site.run_ms = Some(sum / f64::from(site.upstreams));
            }
        }
        sites
    }

    /// Whether an upstream of `service` has stated its pace.
    fn has_pace(&self, service: &Service) -> bool {
        let members = self.services.get(service).into_iter().flat_map(|members| &members.upstreams);
        members.into_iter().any(|upstream| self.replicas[upstream].pace.is_stated())
    }

    /// The penalties on data centres for one request.
    pub(super) fn plan(&mut self, now: Millis, criteria: Criteria<'_>) -> locality::Plan {
        let service = criteria.service;
        if self.locality.needs_refresh(now, service) {
            let is_reported = self.fleet_loads.is_some() || !self.peer_loads.is_empty();
            // Services whose upstreams state no pace keep the constant bias.
            let is_weighed = is_reported && self.has_pace(service);
            let sites = is_weighed.then(|| self.sites(now, service));
            self.locality.refresh(now, service, sites.as_ref());
        }
        let is_at_home = |upstream: &Upstream| {
            let replica = self.replicas.get(upstream);
            replica.is_some_and(|replica| replica.entry.data_centre == self.data_centre)
        };
        let is_retry = criteria.excluded.iter().any(is_at_home);
        self.locality.plan(service, criteria.class, is_retry)
    }

    /// Records the time that it took to set up a connection to `upstream`.
    pub fn record_setup(&mut self, upstream: &Upstream, ms: f64) {
        if let Some(replica) = self.replicas.get(upstream) {
            self.locality.record_setup(&replica.entry.data_centre, ms);
        }
    }

    /// Records the time from sending a request to `upstream` to the head of the response.
    pub fn record_answer(&mut self, upstream: &Upstream, ms: f64) {
        if let Some(replica) = self.replicas.get(upstream) {
            self.locality.record_answer(&replica.entry.data_centre, ms);
        }
    }

    /// Services that have started or stopped to send requests out since the last call.
    pub fn take_locality_changes(&mut self) -> Vec<locality::Change> {
        self.locality.take_changes()
    }

    /// Batch requests of this node to pause, by upstream. Where the load exceeds the slots, each
    /// node pauses a share of the excess in proportion to its batch requests, because nodes that
    /// act on the same load updates would otherwise all pause theirs.
    pub fn excess_batch(&mut self) -> BTreeMap<Upstream, u32> {
        let mut counts = BTreeMap::new();
        for upstream in self.own_loads.keys().filter_map(|digest| self.by_digest.get(digest)) {
            let Some(replica) = self.replicas.get(upstream) else { continue };
            let load = replica.load();
            let excess = load.total().saturating_sub(replica.entry.slots).min(load.batch);
            if excess == 0 || replica.own_load.batch == 0 {
                continue;
            }
            let share =
                f64::from(excess) * f64::from(replica.own_load.batch) / f64::from(load.batch);
            let rounded_up = self.rng.random::<f64>() < share.fract();
            let count = share as u32 + u32::from(rounded_up);
            if count > 0 {
                counts.insert(upstream.clone(), count);
            }
        }
        counts
    }

    /// Number of batch requests that may start now at the upstreams of `service`. The reserve for
    /// online requests is counted over the whole service, so that a single online request at one
    /// upstream does not start or stop batch requests.
    pub fn free_batch_slots(&mut self, now: Millis, service: &Service) -> u32 {
        self.expire(now);
        let (load, slots) = self.occupancy(now, service);
        let open = (f64::from(slots) * (1.0 - self.settings.online_reserve)) as u32;
        open.saturating_sub(load.total())
    }

    /// Removes load updates that have expired.
    pub(super) fn expire(&mut self, now: Millis) {
        if now < self.next_expiry {
            return;
        }
        let expiry = Millis(self.settings.load_expiry_ms);
        let expired: Vec<Vm> = self
            .peer_loads
            .iter()
            .filter(|(_, (reported_at, _))| now - *reported_at >= expiry)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            if let Some((_, loads)) = self.peer_loads.remove(&vm) {
                self.change_peer_loads(&loads, Load::sub);
            }
        }
        if let Some((_, loads)) = self.fleet_loads.take_if(|(at, _)| now - *at >= expiry) {
            self.change_peer_loads(&loads, Load::sub);
        }
        let reported_at = self.peer_loads.values().chain(&self.fleet_loads).map(|(at, _)| *at);
        let oldest = reported_at.min().unwrap_or(now);
        self.next_expiry = oldest + expiry;
    }

    fn change_peer_loads(&mut self, loads: &Loads, change: fn(Load, Load) -> Load) {
        for (digest, load) in loads {
            let upstream = self.by_digest.get(digest);
            if let Some(replica) = upstream.and_then(|id| self.replicas.get_mut(id)) {
                replica.peer_load = change(replica.peer_load, *load);
            }
        }
    }

    /// Delay after which a caller may retry that was refused because of rate limits. Callers return
    /// over the time that the limited upstreams of the service take to serve those that were refused
    /// within a second.
    pub(super) fn limited_retry_after(&mut self, now: Millis, service: &Service) -> Millis {
        let members = self.services.get(service).into_iter().flat_map(|members| &members.upstreams);
        let processes = members.map(|upstream| self.replicas[upstream].process);
        let (demand, rate) = self.limits.pressure(now, processes);
        let excess_s = if rate > 0.0 { (demand - rate).max(0.0) / rate } else { 0.0 };
        let spread_ms = (excess_s * 1_000.0) as u64;
        let spread_ms = spread_ms.min(MAX_RETRY_SPREAD.0).max(self.settings.retry_spread_ms);
        let spread = self.rng.random_range(0..=spread_ms);
        Millis(self.settings.retry_after_ms + spread)
    }

    /// Delay after which a refused caller may retry, with random jitter so that callers don't all
    /// retry at once.
    pub fn retry_after(&mut self) -> Millis {
        let spread = self.rng.random_range(0..=self.settings.retry_spread_ms);
        Millis(self.settings.retry_after_ms + spread)
    }
}
