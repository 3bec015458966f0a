//! Decides which replica serves a request.
//!
//! All nodes share one order of a group's replicas. Online requests use a window at its front,
//! just wide enough for the online load, which leaves the back to batch work. Inside the window a
//! node compares two replicas drawn at random, so that nodes that hold the same stale report don't
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

use super::{Load, Settings, group::Group, health::Status, replica::Replica};

/// Minimum number of replicas over which online requests are spread.
const MIN_WINDOW_REPLICAS: usize = 2;
/// Random draws of a replica before [`draw`] gives up. If no draw succeeds, the choice tries the
/// replicas in order.
const MAX_DRAWS: usize = 4;

/// Constraints on the choice of a replica for one request.
#[derive(Clone, Debug, Default)]
pub struct Criteria {
    /// Name of the deployment or plain service.
    pub serves: String,
    pub model: Option<String>,
    /// Digest of the prompt's prefix, which a replica may have cached.
    pub prefix: Option<u64>,
    /// Replicas that already failed the request.
    pub excluded: BTreeSet<Upstream>,
    /// Replica that already holds the request's stream. Chosen while it is eligible.
    pub preferred: Option<Upstream>,
    pub isolation: Isolation,
}

/// Whether a request may share its replica with other requests. Requests suspected of crashing
/// upstreams run exclusively.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Isolation {
    #[default]
    Shared,
    /// The replica has no other exclusive request of this node when it is chosen, and until the
    /// isolation ends it gets a new request of this node only if no other replica is available.
    /// Requests that already run there may continue.
    Exclusive,
}

/// The chosen replica. The request counts as in flight there until [`State::finish`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub upstream: Upstream,
    pub address: SocketAddr,
    /// Whether the request is exclusive, see [`Isolation::Exclusive`].
    pub exclusive: bool,
    /// Requests of this node in flight at the replica, this one included.
    pub in_flight: u32,
}

/// Reason why no replica was chosen. If several names were tried, the lowest reason is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// Replicas could serve the request, but none accepts it now because of exclusive requests or
    /// pending probes.
    Busy,
    /// No replica can serve the request.
    NoReplica,
}

/// Outcome of a request with regard to the health of its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    /// Does not affect the health: the caller disconnected or the replica was only busy.
    Neutral,
    Failed,
    /// The replica crashed while it served the request. Ejects it at once.
    Crashed,
}

/// State that a node keeps of all replicas.
pub struct State {
    settings: Settings,
    home: DataCentre,
    rng: SmallRng,
    /// Number of live nodes, this one included. At least one.
    nodes: usize,
    replicas: BTreeMap<Upstream, Replica>,
    groups: BTreeMap<String, Group>,
    /// Ejected replicas, ordered by the end of their ejection.
    ejected: BTreeSet<(Millis, Upstream)>,
}

impl State {
    /// Creates the state of a node in the data centre `home`; `seed` initializes the random number
    /// generator.
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

    /// Applies a new membership view. Keeps the state of replicas that remain.
    pub fn apply_view(&mut self, now: Millis, view: &View) {
        self.nodes = view.nodes.len().max(1);
        let is_first_view = self.replicas.is_empty();
        self.replicas.retain(|upstream, replica| {
            view.upstreams.get(upstream).is_some_and(|seen| seen.serves == replica.serves)
        });
        for (upstream, seen) in &view.upstreams {
            let replica = self.replicas.entry(upstream.clone()).or_insert_with(|| {
                let new = Replica::new(seen.serves.clone(), seen.address, seen.data_centre.clone());
                Replica { added_at: (!is_first_view).then_some(now), ..new }
            });
            replica.address = seen.address;
            replica.leaving = seen.leaving;
        }
        self.rebuild_groups();
    }

    /// Applies load reports. Ignores those of unknown replicas, and those no newer than the last.
    pub fn apply_loads(&mut self, now: Millis, loads: &[Load]) {
        for load in loads {
            let Some(replica) = self.replicas.get_mut(&load.upstream) else { continue };
            let (others_before, slots_before) =
                (replica.others_in_flight, replica.available_slots());
            if !replica.apply_load(now, load) {
                continue;
            }
            let Some(group) = self.groups.get_mut(&replica.serves) else { continue };
            group.others_in_flight += replica.others_in_flight - others_before;
            if replica.loaded != load.loaded || load.leaving && !replica.leaving {
                replica.loaded.clone_from(&load.loaded);
                replica.leaving |= load.leaving;
                group.eligible.clear();
            }
            group.slots = group.slots + replica.available_slots() - slots_before;
        }
    }

    /// Chooses a replica and counts the request as in flight there until [`State::finish`].
    pub fn pick(&mut self, now: Millis, criteria: &Criteria) -> Result<Pick, Refusal> {
        self.start_probes(now);
        self.cache_eligible(criteria);
        let upstream = self.choose(now, criteria).ok_or_else(|| self.refusal(criteria))?;
        let replica = self.replicas.get_mut(&upstream).ok_or(Refusal::NoReplica)?;
        replica.own_in_flight += 1;
        let exclusive = criteria.isolation == Isolation::Exclusive;
        replica.exclusive |= exclusive;
        let pick = Pick {
            address: replica.address,
            in_flight: replica.own_in_flight,
            exclusive,
            upstream,
        };
        if let Some(group) = self.groups.get_mut(&criteria.serves) {
            group.start_request(now);
        }
        Ok(pick)
    }

    /// Allows other requests at the replica of a request that was exclusive until now.
    pub fn end_isolation(&mut self, pick: &mut Pick) {
        if !std::mem::take(&mut pick.exclusive) {
            return;
        }
        if let Some(replica) = self.replicas.get_mut(&pick.upstream) {
            replica.exclusive = false;
        }
    }

    /// Records the time from the start of a request to its first response.
    pub fn observe_latency(&mut self, upstream: &Upstream, latency: Millis) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        replica.observe_latency(latency);
        if let Some(group) = self.groups.get_mut(&replica.serves) {
            group.observe_latency(latency);
        }
    }

    /// Counts a request as finished and records its outcome. Returns the number of this node's
    /// requests that remain in flight at the replica.
    pub fn finish(&mut self, now: Millis, pick: &Pick, outcome: Outcome) -> u32 {
        let Some(replica) = self.replicas.get_mut(&pick.upstream) else { return 0 };
        replica.own_in_flight = replica.own_in_flight.saturating_sub(1);
        if pick.exclusive {
            replica.exclusive = false;
        }
        let before = replica.health.status;
        match outcome {
            Outcome::Succeeded => replica.health.record_success(),
            Outcome::Neutral => {}
            Outcome::Failed => replica.health.record_failure(now, &self.settings, &mut self.rng),
            Outcome::Crashed => replica.health.eject(now, &self.settings, &mut self.rng),
        }
        let (remaining, after) = (replica.own_in_flight, replica.health.status);
        if let Some(group) = self.groups.get_mut(&replica.serves) {
            group.finish_request();
        }
        self.update_ejections(&pick.upstream, before, after);
        remaining
    }

    /// Records that a load poll did not reach a replica.
    pub fn record_unreachable(&mut self, now: Millis, upstream: &Upstream) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        let before = replica.health.status;
        replica.health.record_failure(now, &self.settings, &mut self.rng);
        let after = replica.health.status;
        self.update_ejections(upstream, before, after);
    }

    /// Returns the slots of all replicas of a deployment or plain service that are not leaving.
    pub fn slots(&self, serves: &str) -> u32 {
        self.groups.get(serves).map_or(0, |group| group.slots)
    }

    /// Returns the number of this node's requests in flight at a replica.
    pub fn in_flight(&self, upstream: &Upstream) -> u32 {
        self.replicas.get(upstream).map_or(0, |replica| replica.own_in_flight)
    }

    /// Updates the ejections and the cached eligible replicas after a change of health.
    fn update_ejections(&mut self, upstream: &Upstream, before: Status, after: Status) {
        if before == after {
            return;
        }
        if let Status::Ejected { until } = before {
            self.ejected.remove(&(until, upstream.clone()));
        }
        if let Status::Ejected { until } = after {
            self.ejected.insert((until, upstream.clone()));
        }
        let Some(replica) = self.replicas.get(upstream) else { return };
        if let Some(group) = self.groups.get_mut(&replica.serves) {
            group.eligible.clear();
        }
    }

    /// Starts probing the replicas whose ejection has expired.
    fn start_probes(&mut self, now: Millis) {
        while let Some((until, upstream)) = self.ejected.first().cloned() {
            if until > now {
                return;
            }
            self.ejected.pop_first();
            let Some(replica) = self.replicas.get_mut(&upstream) else { continue };
            replica.health.start_probing();
            if let Some(group) = self.groups.get_mut(&replica.serves) {
                group.eligible.clear();
            }
        }
    }

    /// Rebuilds the groups and their sums from the replicas.
    fn rebuild_groups(&mut self) {
        let mut members: BTreeMap<String, Vec<&Upstream>> = BTreeMap::new();
        for (upstream, replica) in &self.replicas {
            members.entry(replica.serves.clone()).or_default().push(upstream);
        }
        self.groups.retain(|serves, _| members.contains_key(serves));
        for (serves, members) in members {
            let group = self.groups.entry(serves.clone()).or_default();
            group.replicas =
                rendezvous::rank(&serves, members.iter().copied()).into_iter().cloned().collect();
            group.eligible.clear();
            let replicas = || group.replicas.iter().filter_map(|member| self.replicas.get(member));
            group.others_in_flight = replicas().map(|replica| replica.others_in_flight).sum();
            group.slots = replicas().map(Replica::available_slots).sum();
            group.own_in_flight = replicas().map(|replica| replica.own_in_flight).sum();
        }
        self.ejected.retain(|(_, upstream)| self.replicas.contains_key(upstream));
    }

    /// Computes the list of replicas that may serve the request's model unless it is cached.
    fn cache_eligible(&mut self, criteria: &Criteria) {
        let Some(group) = self.groups.get_mut(&criteria.serves) else { return };
        if group.eligible.contains_key(&criteria.model) {
            return;
        }
        let is_capable = |upstream: &&Upstream| {
            self.replicas.get(*upstream).is_some_and(|replica| {
                !replica.leaving && replica.can_serve(criteria.model.as_deref())
            })
        };
        let capable: Vec<Upstream> = group.replicas.iter().filter(is_capable).cloned().collect();
        let is_ejected = |upstream: &Upstream| {
            self.replicas
                .get(upstream)
                .is_some_and(|replica| matches!(replica.health.status, Status::Ejected { .. }))
        };
        let eligible = capable.into_iter().filter(|upstream| !is_ejected(upstream)).collect();
        group.eligible.insert(criteria.model.clone(), eligible);
    }

    /// Chooses among the eligible replicas, in this order of precedence: the preferred one; for an
    /// exclusive request the last that is available; the one that owns the prompt's prefix unless
    /// it is overloaded; the cheaper of two drawn from the window. If the window is full, two draws
    /// from all replicas compete as well. The last resort is the first healthy replica, even one
    /// that runs an exclusive request.
    fn choose(&mut self, now: Millis, criteria: &Criteria) -> Option<Upstream> {
        let group = self.groups.get(&criteria.serves)?;
        let eligible = group.eligible.get(&criteria.model)?;
        if let Some(preferred) = &criteria.preferred
            && eligible.contains(preferred)
        {
            return Some(preferred.clone());
        }
        let allowed = |upstream: &Upstream| {
            !criteria.excluded.contains(upstream)
                && self.replicas.get(upstream).is_some_and(Replica::is_available)
        };
        if criteria.isolation == Isolation::Exclusive {
            return eligible.iter().rev().find(|upstream| allowed(upstream)).cloned();
        }
        let window = self.window_size(now, group, eligible);
        let averages = group.averages();
        let cost = |upstream: &Upstream| {
            let replica = self.replicas.get(upstream);
            replica.map_or(f64::MAX, |replica| {
                replica.cost(now, &averages, &self.home, &self.settings)
            })
        };
        let first = draw(&mut self.rng, &eligible[..window], allowed);
        let second = draw(&mut self.rng, &eligible[..window], allowed);
        let better = first.into_iter().chain(second).min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let owner = criteria.prefix.map(|prefix| &eligible[jump_hash(prefix, window)]);
        let is_below_limit = |owner: &Upstream| {
            f64::from(self.in_flight(owner)) < self.max_prefix_in_flight(group, window, owner)
        };
        if let Some(owner) = owner.filter(|owner| allowed(owner) && is_below_limit(owner))
            && better.is_none_or(|better| cost(owner) <= cost(better) + self.prefix_saving(owner))
        {
            return Some(owner.clone());
        }
        if let Some(better) = better
            && cost(better) <= 1.0
        {
            return Some(better.clone());
        }
        let first = draw(&mut self.rng, eligible, allowed);
        let second = draw(&mut self.rng, eligible, allowed);
        let drawn = better.into_iter().chain(first).chain(second);
        let best = drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let best = best.or_else(|| eligible.iter().find(|upstream| allowed(upstream)));
        best.or_else(|| eligible.iter().find(|upstream| self.is_healthy(criteria, upstream)))
            .cloned()
    }

    fn is_healthy(&self, criteria: &Criteria, upstream: &Upstream) -> bool {
        let replica = self.replicas.get(upstream);
        !criteria.excluded.contains(upstream)
            && replica.is_some_and(|replica| replica.health.status == Status::Healthy)
    }

    fn refusal(&self, criteria: &Criteria) -> Refusal {
        let group = self.groups.get(&criteria.serves);
        let eligible = group.and_then(|group| group.eligible.get(&criteria.model));
        let busy = eligible.is_some_and(|eligible| {
            eligible.iter().any(|upstream| !criteria.excluded.contains(upstream))
        });
        if busy { Refusal::Busy } else { Refusal::NoReplica }
    }

    /// Returns the cost that a cached prefix saves. The cost of another data centre is subtracted,
    /// because a cached prefix is not worth sending a request there.
    fn prefix_saving(&self, owner: &Upstream) -> f64 {
        let near = self.replicas.get(owner).is_some_and(|replica| replica.data_centre == self.home);
        let distance = if near { 0.0 } else { self.settings.data_centre_cost };
        self.settings.prefix_worth - distance
    }

    /// Returns how many requests of this node may be in flight at the replica that owns a prefix.
    /// The limit is needed because all nodes send a prefix to the same replica, and load reports
    /// arrive too late to show what the others send.
    fn max_prefix_in_flight(&self, group: &Group, window: usize, owner: &Upstream) -> f64 {
        let even = f64::from(group.own_in_flight + 1) / window.max(1) as f64;
        let slots = self.replicas.get(owner).map_or(0, Replica::available_slots);
        let node_share = f64::from(slots) * self.settings.fill / self.nodes as f64;
        (even * (1.0 + self.settings.prefix_slack)).ceil().max(node_share)
    }

    /// Returns how many replicas at the front of the order the online load of all nodes requires.
    fn window_size(&self, now: Millis, group: &Group, eligible: &[Upstream]) -> usize {
        let Some(front) = eligible.first().and_then(|upstream| self.replicas.get(upstream)) else {
            return 0;
        };
        let online = (group.recent_peak(now) + 1.0) * self.nodes as f64;
        let capacity = f64::from(front.slots) * self.settings.fill;
        let needed = (online / capacity.max(1.0)).ceil() as usize;
        needed.max(MIN_WINDOW_REPLICAS).min(eligible.len())
    }
}

/// Draws a random upstream that is allowed. Returns `None` if no draw hits one.
fn draw<'a>(
    rng: &mut SmallRng,
    from: &'a [Upstream],
    allowed: impl Fn(&Upstream) -> bool,
) -> Option<&'a Upstream> {
    if from.is_empty() {
        return None;
    }
    let mut draws = (0..MAX_DRAWS).map(|_| &from[rng.random_range(0..from.len())]);
    draws.find(|upstream| allowed(upstream))
}

/// Jump consistent hash: when the number of buckets grows, keys move to new buckets only.
fn jump_hash(mut key: u64, buckets: usize) -> usize {
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
