//! Chooses the upstream of a request.
//!
//! The least loaded one gets it; one of another data centre must be ahead by a margin. Of many
//! upstreams only a few are compared: the node's favourites and some drawn at random.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, seq::index};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{Service, Upstream},
    time::Millis,
};

use super::{
    Settings, State,
    replica::Replica,
    request::{Class, Pick, Refusal, Want},
};

/// Upstreams that are compared for one request at most.
const SAMPLE_FROM: usize = 12;
/// Upstreams of a large service that a node favours; together they hold its usual load.
const FAVOURITES: usize = 6;

impl State {
    /// Chooses an upstream and counts the request as in flight there.
    pub fn choose(&mut self, now: Millis, want: Want<'_>) -> Result<Pick, Refusal> {
        self.expire(now);
        let favourites = self.favourites(want.service);
        let known = self.services.get(want.service).map_or(0, |members| members.upstreams.len());
        if known > SAMPLE_FROM {
            let sample = self.sample(want.service, &favourites);
            let sample: Vec<&Upstream> = sample.iter().collect();
            let usable = usable(&self.replicas, now, want, &sample, &self.settings);
            let ties = self.ties(usable.len());
            if let Some(upstream) = self.best(now, want, &favourites, &usable, &ties) {
                return Ok(self.start(now, upstream, want.class));
            }
        }
        let ties = self.ties(known);
        let all: Vec<&Upstream> = self
            .services
            .get(want.service)
            .map(|members| members.upstreams.iter().collect())
            .unwrap_or_default();
        let usable = usable(&self.replicas, now, want, &all, &self.settings);
        if usable.is_empty() {
            return Err(Refusal::NoUpstream { retry_after: self.retry_after() });
        }
        let Some(upstream) = self.best(now, want, &favourites, &usable, &ties) else {
            let retry_after = self.retry_after();
            let (load, slots) = self.occupancy(now, want.service);
            return Err(Refusal::Full { in_flight: load.total(), slots, retry_after });
        };
        Ok(self.start(now, upstream, want.class))
    }

    /// The favourites of many upstreams and a few drawn at random: nodes with the same news then
    /// don't all choose the same one.
    fn sample(&mut self, service: &Service, favourites: &BTreeSet<Upstream>) -> Vec<Upstream> {
        let mut sample: Vec<Upstream> = favourites.iter().cloned().collect();
        let Some(members) = self.services.get(service) else { return sample };
        let upstreams = &members.upstreams;
        let count = (SAMPLE_FROM - FAVOURITES).min(upstreams.len());
        let drawn = index::sample(&mut self.rng, upstreams.len(), count);
        let drawn = drawn.into_iter().map(|position| &upstreams[position]);
        sample.extend(drawn.filter(|upstream| !favourites.contains(*upstream)).cloned());
        sample
    }

    /// Fractions that break ties at random, so that nodes with the same news spread out.
    fn ties(&mut self, count: usize) -> Vec<f64> {
        (0..count).map(|_| self.rng.random::<f64>() * 0.5).collect()
    }

    /// The least loaded of `upstreams` that has room.
    fn best(
        &self,
        now: Millis,
        want: Want<'_>,
        favourites: &BTreeSet<Upstream>,
        upstreams: &[&Upstream],
        ties: &[f64],
    ) -> Option<Upstream> {
        let usual = self.services.get(want.service).map(|members| members.span).unwrap_or_default();
        let mut best: Option<(f64, &Upstream)> = None;
        for (upstream, tie) in upstreams.iter().zip(ties) {
            let replica = &self.replicas[*upstream];
            if !replica.has_room(now, want, usual, &self.settings) {
                continue;
            }
            let distance = match replica.entry.data_centre == self.home {
                true => 0.0,
                false => self.settings.data_centre_bias,
            };
            let favour = match favourites.is_empty() || favourites.contains(*upstream) {
                true => 0.0,
                false => self.settings.favour_bias,
            };
            let load = f64::from(replica.load().total() + 1) * replica.pace(usual);
            let score = load + distance + favour + tie;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, upstream));
            }
        }
        best.map(|(_, upstream)| upstream.clone())
    }

    /// The favourites of a large service: the same ones as before, as far as they are still there.
    fn favourites(&mut self, service: &Service) -> BTreeSet<Upstream> {
        let Some(members) = self.services.get_mut(service) else { return BTreeSet::new() };
        let drawn = members.favourites.get_or_insert_with(|| {
            let mut drawn = Vec::new();
            if members.upstreams.len() > SAMPLE_FROM {
                for upstream in &members.upstreams {
                    let is_away = self.replicas[upstream].entry.data_centre != self.home;
                    let draw = xxh3_64_with_seed(upstream.0.as_bytes(), self.seed);
                    drawn.push((is_away, draw, upstream));
                }
            }
            drawn.sort();
            drawn.into_iter().take(FAVOURITES).map(|(_, _, upstream)| upstream.clone()).collect()
        });
        drawn.clone()
    }

    fn start(&mut self, now: Millis, upstream: Upstream, class: Class) -> Pick {
        let load = self.replicas[&upstream].load().total();
        let address = self.replicas[&upstream].entry.address;
        if let Some(replica) = self.replicas.get_mut(&upstream) {
            match class {
                Class::Online => replica.own.online += 1,
                Class::Batch => replica.own.batch += 1,
            }
        }
        let own = self.replicas[&upstream].own;
        self.count_own(&upstream, own);
        Pick { upstream, address, class, load, since: now }
    }
}

/// Those of `upstreams` that may get the request.
fn usable<'a>(
    replicas: &BTreeMap<Upstream, Replica>,
    now: Millis,
    want: Want<'_>,
    upstreams: &[&'a Upstream],
    settings: &Settings,
) -> Vec<&'a Upstream> {
    let may_get = |upstream: &&&Upstream| {
        !replicas[**upstream].entry.draining && !want.avoid.contains(**upstream)
    };
    let (ejected, healthy): (Vec<&Upstream>, Vec<&Upstream>) = upstreams
        .iter()
        .filter(may_get)
        .partition(|upstream| replicas[**upstream].is_ejected(now, settings));
    // Where most seem to fail, the cause is elsewhere, and the rest can't take all requests.
    match healthy.len() < ejected.len() {
        true => healthy.into_iter().chain(ejected).collect(),
        false => healthy,
    }
}
