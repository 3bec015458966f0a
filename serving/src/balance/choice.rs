//! Choice of the upstream for a request.
//!
//! The least loaded upstream is chosen, with a penalty on those in other data centres. In a large
//! service only a sample is compared: the node's favourites and some upstreams selected at random.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, seq::index};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    fleet::Entry,
    id::{DataCentre, Process, Service, Upstream},
    time::Millis,
};

use super::{
    Settings, State,
    locality::{Departure, Plan, Reason},
    pace::{self, Candidate},
    replica::Replica,
    request::{Class, Criteria, Pick, Refusal},
};

/// Penalty on upstreams of a large service to which this node has no idle connection, in requests in flight,
/// where upstreams state their pace. Greater values hardly save more connections.
const CONNECT_PENALTY: f64 = 3.0;
/// Decisions of rate limits on one request.
type Admissions = BTreeMap<Process, bool>;

/// Maximum number of upstreams in a sample. Services with no more upstreams than this are compared
/// as a whole.
const SAMPLE_SIZE: usize = 12;
/// Number of upstreams added to a sample for a request that is sent to another data centre.
const TARGET_COUNT: usize = 3;
/// Number of upstreams of a large service that a node favours; enough for the usual load of one
/// node.
const FAVOURITE_COUNT: usize = 6;

impl State {
    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// A sample without capacity is followed by a comparison of the whole service, so that a
    /// request is refused only if no upstream has capacity.
    pub fn choose(&mut self, now: Millis, criteria: Criteria<'_>) -> Result<Pick, Refusal> {
        self.expire(now);
        let plan = self.plan(now, criteria);
        let favourites = self.favourites(criteria.service);
        let mut admissions = Admissions::new();
        let known =
            self.services.get(criteria.service).map_or(0, |members| members.upstreams.len());
        if known > SAMPLE_SIZE {
            let sample = self.sample(criteria.service, &favourites, plan.target());
            let sample: Vec<&Upstream> = sample.iter().collect();
            let eligible = eligible(&self.replicas, now, criteria, &sample, &self.settings);
            let eligible = self.admitted(now, criteria, eligible, &mut admissions);
            let tie_breakers = self.tie_breakers(eligible.len());
            if let Some(upstream) =
                self.least_loaded(now, criteria, &plan, &favourites, &eligible, &tie_breakers)
            {
                let departure = self.departure(now, criteria, &plan, &eligible, &upstream);
                return Ok(self.add_in_flight(now, upstream, criteria.class, departure));
            }
        }
        let tie_breakers = self.tie_breakers(known);
        let all: Vec<&Upstream> = self
            .services
            .get(criteria.service)
            .map(|members| members.upstreams.iter().collect())
            .unwrap_or_default();
        let eligible = eligible(&self.replicas, now, criteria, &all, &self.settings);
        if eligible.is_empty() {
            return Err(Refusal::NoUpstream { retry_after: self.retry_after() });
        }
        let eligible: Vec<Upstream> = eligible.into_iter().cloned().collect();
        let eligible = self.admitted(now, criteria, eligible.iter().collect(), &mut admissions);
        let Some(upstream) =
            self.least_loaded(now, criteria, &plan, &favourites, &eligible, &tie_breakers)
        else {
            if admissions.values().any(|is_admitted| !is_admitted) {
                let retry_after = self.limited_retry_after(now, criteria.service);
                return Err(Refusal::Limited { retry_after });
            }
            let retry_after = self.retry_after();
            let (load, slots) = self.occupancy(now, criteria.service);
            return Err(Refusal::Full { in_flight: load.total(), slots, retry_after });
        };
        let departure = self.departure(now, criteria, &plan, &eligible, &upstream);
        Ok(self.add_in_flight(now, upstream, criteria.class, departure))
    }

    /// Those of `upstreams` whose rate limit admits the request. Each upstream with capacity is asked
    /// once for each request; `admissions` holds the decisions so far.
    fn admitted<'a>(
        &mut self,
        now: Millis,
        criteria: Criteria<'_>,
        mut upstreams: Vec<&'a Upstream>,
        admissions: &mut Admissions,
    ) -> Vec<&'a Upstream> {
        let service_mean = self
            .services
            .get(criteria.service)
            .map(|members| members.mean_duration)
            .unwrap_or_default();
        upstreams.retain(|upstream| {
            let replica = &self.replicas[*upstream];
            if self.limits.rate(replica.process).is_none()
                || !replica.has_capacity(now, criteria, service_mean, &self.settings)
            {
                return true;
            }
            *admissions.entry(replica.process).or_insert_with(|| {
                let draw = self.rng.random();
                self.limits.admit(now, replica.process, criteria.class, draw)
            })
        });
        upstreams
    }

    /// The favourites and a few upstreams selected at random, so that nodes that act on the same
    /// load updates don't all choose the same upstream.
    /// If the request is sent to another data centre, some of the upstreams there are included.
    fn sample(
        &mut self,
        service: &Service,
        favourites: &BTreeSet<Upstream>,
        target: Option<&DataCentre>,
    ) -> Vec<Upstream> {
        let mut sample: Vec<Upstream> = favourites.iter().cloned().collect();
        let Some(members) = self.services.get(service) else { return sample };
        let upstreams = &members.upstreams;
        let count = (SAMPLE_SIZE - FAVOURITE_COUNT).min(upstreams.len());
        let drawn = index::sample(&mut self.rng, upstreams.len(), count);
        let drawn = drawn.into_iter().map(|position| &upstreams[position]);
        sample.extend(drawn.filter(|upstream| !favourites.contains(*upstream)).cloned());
        if let Some(target) = target {
            let is_there =
                |upstream: &&Upstream| self.replicas[*upstream].entry.data_centre == *target;
            let there: Vec<&Upstream> = upstreams.iter().filter(is_there).collect();
            let count = TARGET_COUNT.min(there.len());
            let drawn = index::sample(&mut self.rng, there.len(), count).into_iter();
            let drawn = drawn.map(|position| there[position].clone());
            let drawn: Vec<Upstream> =
                drawn.filter(|upstream| !sample.contains(upstream)).collect();
            sample.extend(drawn);
        }
        sample
    }

    /// Random fractions that break ties, so that nodes that act on the same load updates choose
    /// different upstreams.
    fn tie_breakers(&mut self, count: usize) -> Vec<f64> {
        (0..count).map(|_| self.rng.random::<f64>() * 0.5).collect()
    }

    /// The least loaded of `upstreams` that has capacity for the request. Where upstreams state their
    /// pace, one of those with the shortest expected times.
    fn least_loaded(
        &self,
        now: Millis,
        criteria: Criteria<'_>,
        plan: &Plan,
        favourites: &BTreeSet<Upstream>,
        upstreams: &[&Upstream],
        tie_breakers: &[f64],
    ) -> Option<Upstream> {
        let service_mean = self
            .services
            .get(criteria.service)
            .map(|members| members.mean_duration)
            .unwrap_or_default();
        let has_pace = upstreams.iter().any(|upstream| self.replicas[*upstream].pace.is_stated());
        let report_age = self.report_age(now);
        let (mut candidates, mut unseen) = (Vec::new(), 0.0);
        let is_home_free = upstreams.iter().any(|upstream| {
            let replica = &self.replicas[*upstream];
            replica.entry.data_centre == self.data_centre
                && replica.load().total() < replica.entry.slots
                && now >= replica.full_until
        });
        let mut best: Option<(f64, &Upstream)> = None;
        for (upstream, tie_breaker) in upstreams.iter().zip(tie_breakers) {
            let replica = &self.replicas[*upstream];
            if !replica.has_capacity(now, criteria, service_mean, &self.settings) {
                continue;
            }
            let data_centre = &replica.entry.data_centre;
            let distance_penalty = plan.penalty(data_centre, is_home_free);
            let is_favoured = favourites.is_empty()
                || favourites.contains(*upstream)
                || plan.target() == Some(data_centre);
            let favour_penalty = match is_favoured {
                true => 0.0,
                false => self.settings.favour_bias,
            };
            if has_pace {
                let mut candidate = replica.candidate(now, service_mean, report_age);
                let connect_penalty = match favourites.is_empty() || replica.has_connection(now) {
                    true => 0.0,
                    false => CONNECT_PENALTY,
                };
                candidate.time += distance_penalty + favour_penalty + connect_penalty;
                candidates.push((candidate, *upstream));
                // As many requests as have ended have probably begun.
                unseen += replica.ended(service_mean, report_age);
                continue;
            }
            let load = f64::from(replica.load().total() + 1) * replica.slowdown(service_mean);
            let score = load + distance_penalty + favour_penalty + tie_breaker;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, upstream));
            }
        }
        if has_pace {
            let (times, upstreams): (Vec<Candidate>, Vec<&Upstream>) =
                candidates.into_iter().unzip();
            // Half of a random fraction, which has not been used here.
            let draw = tie_breakers.first()? * 2.0;
            let position = pace::draw(&times, unseen, draw)?;
            return Some(upstreams[position].clone());
        }
        best.map(|(_, upstream)| upstream.clone())
    }

    /// Why the request leaves this node's data centre for `chosen`; `None` if it stays.
    fn departure(
        &self,
        now: Millis,
        criteria: Criteria<'_>,
        plan: &Plan,
        compared: &[&Upstream],
        chosen: &Upstream,
    ) -> Option<Departure> {
        let data_centre = &self.replicas[chosen].entry.data_centre;
        if *data_centre == self.data_centre {
            return None;
        }
        let service_mean = self.services.get(criteria.service)?.mean_duration;
        let has_capacity_at_home = |upstream: &&Upstream| {
            let replica = &self.replicas[*upstream];
            replica.entry.data_centre == self.data_centre
                && replica.has_capacity(now, criteria, service_mean, &self.settings)
        };
        let reason = match () {
            () if plan.is_home_absent => Reason::Absent,
            () if plan.is_retry => Reason::Retry,
            () if plan.target() == Some(data_centre) => Reason::Share,
            () if !compared.iter().any(has_capacity_at_home) => Reason::Full,
            () => Reason::Lower,
        };
        Some(Departure { data_centre: data_centre.clone(), reason })
    }

    /// The favourites of a large service, or none if the service is small. Upstreams in this node's
    /// data centre come first. The draw depends only on the upstream's id and the node's seed, so a
    /// change of the members replaces as few favourites as possible.
    fn favourites(&mut self, service: &Service) -> BTreeSet<Upstream> {
        let Some(members) = self.services.get_mut(service) else { return BTreeSet::new() };
        let drawn = members.favourites.get_or_insert_with(|| {
            let mut drawn = Vec::new();
            if members.upstreams.len() > SAMPLE_SIZE {
                for upstream in &members.upstreams {
                    let is_remote = self.replicas[upstream].entry.data_centre != self.data_centre;
                    let draw = xxh3_64_with_seed(upstream.0.as_bytes(), self.seed);
                    drawn.push((is_remote, draw, upstream));
                }
            }
            drawn.sort();
            drawn
                .into_iter()
                .take(FAVOURITE_COUNT)
                .map(|(_, _, upstream)| upstream.clone())
                .collect()
        });
        drawn.clone()
    }

    fn add_in_flight(
        &mut self,
        now: Millis,
        upstream: Upstream,
        class: Class,
        departure: Option<Departure>,
    ) -> Pick {
        let load = self.replicas[&upstream].load().total();
        let Entry { address, service, version, started, .. } =
            self.replicas[&upstream].entry.clone();
        if let Some(replica) = self.replicas.get_mut(&upstream) {
            replica.take_connection();
            match class {
                Class::Online => replica.own_load.online += 1,
                Class::Batch => replica.own_load.batch += 1,
            }
        }
        let process = self.replicas[&upstream].process;
        self.limits.record_send(now, process);
        let own_load = self.replicas[&upstream].own_load;
        self.update_own_load(&upstream, own_load);
        Pick {
            upstream,
            address,
            service,
            version,
            started,
            class,
            load,
            chosen_at: now,
            departure,
        }
    }
}

/// The upstreams that may get the request: of the version that the request needs, and neither
/// draining, excluded nor, in general, ejected.
fn eligible<'a>(
    replicas: &BTreeMap<Upstream, Replica>,
    now: Millis,
    criteria: Criteria<'_>,
    upstreams: &[&'a Upstream],
    settings: &Settings,
) -> Vec<&'a Upstream> {
    let is_candidate = |upstream: &&&Upstream| {
        let entry = &replicas[**upstream].entry;
        !entry.draining
            && !replicas[**upstream].is_leaving
            && !criteria.excluded.contains(**upstream)
            && criteria.version.is_none_or(|version| *version == entry.version)
    };
    let (ejected, healthy): (Vec<&Upstream>, Vec<&Upstream>) = upstreams
        .iter()
        .filter(is_candidate)
        .partition(|upstream| replicas[**upstream].is_ejected(now, settings));
    // If most upstreams are ejected, the cause is probably not the upstreams, and the healthy ones
    // don't have the capacity for all requests: ejections are ignored.
    match healthy.len() < ejected.len() {
        true => healthy.into_iter().chain(ejected).collect(),
        false => healthy,
    }
}
