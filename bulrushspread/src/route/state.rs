//! Decides which replica serves a request.
//!
//! All nodes share one order of a group's replicas. Online requests use a window at its front,
//! just wide enough for the online load, so that batch work keeps the back. Inside the window a
//! node compares two replicas drawn at random: nodes that hold the same stale report then don't
//! all choose the same replica.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    id::{DataCentre, Upstream},
    membership::View,
    rendezvous,
    time::Millis,
};

use super::{Load, Settings, group::Group, health::Standing, replica::Replica};

/// The least number of replicas that requests are spread over.
const WINDOW_MIN: usize = 2;
/// Draws before replicas are tried one after the other.
const DRAWS: usize = 4;

/// What a request needs of its replica.
#[derive(Clone, Debug, Default)]
pub struct Want {
    /// The deployment or plain service.
    pub serves: String,
    pub model: Option<String>,
    /// Digest of the prompt's beginning, which a replica may hold in its cache.
    pub prefix: Option<u64>,
    /// Replicas that have failed the request already.
    pub avoid: BTreeSet<Upstream>,
    /// The replica that already holds the request's stream.
    pub prefer: Option<Upstream>,
    pub isolation: Isolation,
}

/// Whether a request may run beside others that may crash upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Isolation {
    #[default]
    Shared,
    /// Apart from other suspects, and no new request of this node joins it.
    Alone,
}

/// The replica that was chosen. The request counts as in flight there until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub upstream: Upstream,
    pub address: SocketAddr,
    pub isolation: bool,
    /// Requests of this node in flight there, this one included.
    pub in_flight: u32,
}

/// Why no replica was chosen. The lesser one is to be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// Those that could serve the request run suspects.
    Busy,
    NoReplica,
}

/// How a request ended, as far as the health of its replica goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Succeeded,
    /// Says nothing of the replica: the caller left or the replica was only busy.
    Neutral,
    Failed,
    Died,
}

/// What a node knows of all replicas.
pub struct State {
    settings: Settings,
    home: DataCentre,
    rng: SmallRng,
    /// Live nodes, this one included. At least one.
    nodes: usize,
    replicas: BTreeMap<Upstream, Replica>,
    groups: BTreeMap<String, Group>,
    /// Ejected replicas by the end of their ejection.
    ejected: BTreeSet<(Millis, Upstream)>,
}

impl State {
    pub fn new(settings: Settings, home: DataCentre, seed: u64) -> State {
        State {
            settings,
            home,
            rng: SmallRng::seed_from_u64(seed),
            nodes: 1,
            replicas: BTreeMap::new(),
            groups: BTreeMap::new(),
            ejected: BTreeSet::new(),
        }
    }

    /// Takes over a new view of the fleet. What is known of staying replicas is kept.
    pub fn update(&mut self, now: Millis, view: &View) {
        self.nodes = view.nodes.len().max(1);
        let first = self.replicas.is_empty();
        self.replicas.retain(|upstream, replica| {
            view.upstreams.get(upstream).is_some_and(|seen| seen.serves == replica.serves)
        });
        for (upstream, seen) in &view.upstreams {
            let replica = self.replicas.entry(upstream.clone()).or_insert_with(|| {
                let new = Replica::new(seen.serves.clone(), seen.address, seen.data_centre.clone());
                Replica { since: (!first).then_some(now), ..new }
            });
            replica.address = seen.address;
            replica.leaving = seen.leaving;
        }
        self.rebuild();
    }

    /// Takes in load reports.
    pub fn report(&mut self, now: Millis, loads: &[Load]) {
        for load in loads {
            let Some(replica) = self.replicas.get_mut(&load.upstream) else { continue };
            let (others, offered) = (replica.others, replica.offered());
            if !replica.report(now, load) {
                continue;
            }
            let Some(group) = self.groups.get_mut(&replica.serves) else { continue };
            group.others += replica.others - others;
            if replica.loaded != load.loaded || load.leaving && !replica.leaving {
                replica.loaded.clone_from(&load.loaded);
                replica.leaving |= load.leaving;
                group.open.clear();
            }
            group.slots = group.slots + replica.offered() - offered;
        }
    }

    /// Chooses a replica and counts the request as in flight there.
    pub fn pick(&mut self, now: Millis, want: &Want) -> Result<Pick, Refusal> {
        self.readmit(now);
        self.open(want);
        let upstream = self.choose(now, want).ok_or_else(|| self.refusal(want))?;
        let replica = self.replicas.get_mut(&upstream).ok_or(Refusal::NoReplica)?;
        replica.own += 1;
        let isolation = want.isolation == Isolation::Alone;
        replica.suspect |= isolation;
        let pick = Pick { address: replica.address, in_flight: replica.own, isolation, upstream };
        if let Some(group) = self.groups.get_mut(&want.serves) {
            group.started(now);
        }
        Ok(pick)
    }

    /// Lets other requests join one that was picked to run alone.
    pub fn share(&mut self, pick: &mut Pick) {
        if !std::mem::take(&mut pick.isolation) {
            return;
        }
        if let Some(replica) = self.replicas.get_mut(&pick.upstream) {
            replica.suspect = false;
        }
    }

    /// A first answer has come from a replica.
    pub fn answered(&mut self, upstream: &Upstream, latency: Millis) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        replica.answered(latency);
        if let Some(group) = self.groups.get_mut(&replica.serves) {
            group.answered(latency);
        }
    }

    /// A request has ended. Returns the requests of this node still in flight there.
    pub fn end(&mut self, now: Millis, pick: &Pick, end: End) -> u32 {
        let Some(replica) = self.replicas.get_mut(&pick.upstream) else { return 0 };
        replica.own = replica.own.saturating_sub(1);
        if pick.isolation {
            replica.suspect = false;
        }
        let before = replica.health.standing;
        match end {
            End::Succeeded => replica.health.succeeded(),
            End::Neutral => {}
            End::Failed => replica.health.failed(now, &self.settings, &mut self.rng),
            End::Died => replica.health.eject(now, &self.settings, &mut self.rng),
        }
        let (own, standing) = (replica.own, replica.health.standing);
        if let Some(group) = self.groups.get_mut(&replica.serves) {
            group.ended();
        }
        self.moved(&pick.upstream, before, standing);
        own
    }

    /// A replica gave no load report.
    pub fn unreachable(&mut self, now: Millis, upstream: &Upstream) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        let before = replica.health.standing;
        replica.health.failed(now, &self.settings, &mut self.rng);
        let after = replica.health.standing;
        self.moved(upstream, before, after);
    }

    /// Slots of all replicas of a name that take requests.
    pub fn slots(&self, serves: &str) -> u32 {
        self.groups.get(serves).map_or(0, |group| group.slots)
    }

    /// Requests of this node in flight at a replica.
    pub fn in_flight(&self, upstream: &Upstream) -> u32 {
        self.replicas.get(upstream).map_or(0, |replica| replica.own)
    }

    fn moved(&mut self, upstream: &Upstream, before: Standing, after: Standing) {
        if before == after {
            return;
        }
        if let Standing::Ejected { until } = before {
            self.ejected.remove(&(until, upstream.clone()));
        }
        if let Standing::Ejected { until } = after {
            self.ejected.insert((until, upstream.clone()));
        }
        let Some(replica) = self.replicas.get(upstream) else { return };
        if let Some(group) = self.groups.get_mut(&replica.serves) {
            group.open.clear();
        }
    }

    fn readmit(&mut self, now: Millis) {
        while let Some((until, upstream)) = self.ejected.first().cloned() {
            if until > now {
                return;
            }
            self.ejected.pop_first();
            let Some(replica) = self.replicas.get_mut(&upstream) else { continue };
            replica.health.readmit();
            if let Some(group) = self.groups.get_mut(&replica.serves) {
                group.open.clear();
            }
        }
    }

    fn rebuild(&mut self) {
        let mut members: BTreeMap<String, Vec<&Upstream>> = BTreeMap::new();
        for (upstream, replica) in &self.replicas {
            members.entry(replica.serves.clone()).or_default().push(upstream);
        }
        self.groups.retain(|serves, _| members.contains_key(serves));
        for (serves, members) in members {
            let group = self.groups.entry(serves.clone()).or_default();
            group.order =
                rendezvous::rank(&serves, members.iter().copied()).into_iter().cloned().collect();
            group.open.clear();
            let replicas = || group.order.iter().filter_map(|member| self.replicas.get(member));
            group.others = replicas().map(|replica| replica.others).sum();
            group.slots = replicas().map(Replica::offered).sum();
            group.own = replicas().map(|replica| replica.own).sum();
        }
        self.ejected.retain(|(_, upstream)| self.replicas.contains_key(upstream));
    }

    /// Makes the list of replicas that may serve the request, where it is not kept already.
    fn open(&mut self, want: &Want) {
        let Some(group) = self.groups.get_mut(&want.serves) else { return };
        if group.open.contains_key(&want.model) {
            return;
        }
        let fits = |upstream: &&Upstream| {
            self.replicas.get(*upstream).is_some_and(|replica| {
                !replica.leaving && replica.serves_model(want.model.as_deref())
            })
        };
        let able: Vec<Upstream> = group.order.iter().filter(fits).cloned().collect();
        let ejected = |upstream: &Upstream| {
            self.replicas
                .get(upstream)
                .is_some_and(|replica| matches!(replica.health.standing, Standing::Ejected { .. }))
        };
        let healthy = able.into_iter().filter(|upstream| !ejected(upstream)).collect();
        group.open.insert(want.model.clone(), healthy);
    }

    fn choose(&mut self, now: Millis, want: &Want) -> Option<Upstream> {
        let group = self.groups.get(&want.serves)?;
        let open = group.open.get(&want.model)?;
        if let Some(prefer) = &want.prefer
            && open.contains(prefer)
        {
            return Some(prefer.clone());
        }
        let allowed = |upstream: &Upstream| {
            !want.avoid.contains(upstream)
                && self.replicas.get(upstream).is_some_and(Replica::takes)
        };
        if want.isolation == Isolation::Alone {
            return open.iter().rev().find(|upstream| allowed(upstream)).cloned();
        }
        let window = self.window(now, group, open);
        let means = group.means();
        let cost = |upstream: &Upstream| {
            let replica = self.replicas.get(upstream);
            replica
                .map_or(f64::MAX, |replica| replica.cost(now, &means, &self.home, &self.settings))
        };
        let first = draw(&mut self.rng, &open[..window], allowed);
        let second = draw(&mut self.rng, &open[..window], allowed);
        let better = first.into_iter().chain(second).min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let owner = want.prefix.map(|prefix| &open[jump(prefix, window)]);
        let below_bound = |owner: &Upstream| {
            f64::from(self.in_flight(owner)) < self.prefix_bound(group, window, owner)
        };
        if let Some(owner) = owner.filter(|owner| allowed(owner) && below_bound(owner))
            && better.is_none_or(|better| cost(owner) <= cost(better) + self.prefix_worth(owner))
        {
            return Some(owner.clone());
        }
        if let Some(better) = better
            && cost(better) <= 1.0
        {
            return Some(better.clone());
        }
        let first = draw(&mut self.rng, open, allowed);
        let second = draw(&mut self.rng, open, allowed);
        let drawn = better.into_iter().chain(first).chain(second);
        let best = drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let best = best.or_else(|| open.iter().find(|upstream| allowed(upstream)));
        best.or_else(|| open.iter().find(|upstream| self.is_healthy(want, upstream))).cloned()
    }

    fn is_healthy(&self, want: &Want, upstream: &Upstream) -> bool {
        let replica = self.replicas.get(upstream);
        !want.avoid.contains(upstream)
            && replica.is_some_and(|replica| replica.health.standing == Standing::Healthy)
    }

    fn refusal(&self, want: &Want) -> Refusal {
        let group = self.groups.get(&want.serves);
        let open = group.and_then(|group| group.open.get(&want.model));
        let busy =
            open.is_some_and(|open| open.iter().any(|upstream| !want.avoid.contains(upstream)));
        if busy { Refusal::Busy } else { Refusal::NoReplica }
    }

    /// The cost that a cached prefix saves. It is not worth a way to another data centre.
    fn prefix_worth(&self, owner: &Upstream) -> f64 {
        let near = self.replicas.get(owner).is_some_and(|replica| replica.data_centre == self.home);
        let distance = if near { 0.0 } else { self.settings.data_centre_cost };
        self.settings.prefix_worth - distance
    }

    /// Requests of this node that the replica of a prefix may have in flight. All nodes send a
    /// prefix to the same replica, and reports come too late to show what the others send.
    fn prefix_bound(&self, group: &Group, window: usize, owner: &Upstream) -> f64 {
        let even = f64::from(group.own + 1) / window.max(1) as f64;
        let slots = self.replicas.get(owner).map_or(0, Replica::offered);
        let part = f64::from(slots) * self.settings.fill / self.nodes as f64;
        (even * (1.0 + self.settings.prefix_slack)).ceil().max(part)
    }

    /// The number of replicas at the front that the online load of all nodes needs.
    fn window(&self, now: Millis, group: &Group, open: &[Upstream]) -> usize {
        let Some(front) = open.first().and_then(|upstream| self.replicas.get(upstream)) else {
            return 0;
        };
        let online = (group.recent_peak(now) + 1.0) * self.nodes as f64;
        let room = f64::from(front.slots) * self.settings.fill;
        let needed = (online / room.max(1.0)).ceil() as usize;
        needed.max(WINDOW_MIN).min(open.len())
    }
}

fn draw<'a>(
    rng: &mut SmallRng,
    from: &'a [Upstream],
    allowed: impl Fn(&Upstream) -> bool,
) -> Option<&'a Upstream> {
    if from.is_empty() {
        return None;
    }
    let mut draws = (0..DRAWS).map(|_| &from[rng.random_range(0..from.len())]);
    draws.find(|upstream| allowed(upstream))
}

/// Jump consistent hash: when the number of buckets grows, keys move to new buckets only.
fn jump(mut key: u64, buckets: usize) -> usize {
    const MULTIPLIER: u64 = 2_862_933_555_777_941_757;
    let (mut bucket, mut next) = (0, 0_u64);
    while (next as usize) < buckets {
        bucket = next as usize;
        key = key.wrapping_mul(MULTIPLIER).wrapping_add(1);
        let scale = (1_u64 << 31) as f64 / ((key >> 33) + 1) as f64;
        next = ((bucket as f64 + 1.0) * scale) as u64;
    }
    bucket
}
