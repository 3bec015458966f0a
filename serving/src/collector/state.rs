//! What a collector knows of its members and of other data centres, and what a member knows of the
//! fleet.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use crate::{balance::Loads, id::Incarnation, time::Millis};

use super::{DataCentreDigest, Sum, Version};

/// Time after which loads expire that are not sent again.
const EXPIRY: Millis = Millis(1_000);
/// Interval at which a member sends its loads if they don't change.
const HEARTBEAT: Millis = Millis(300);
/// Number of own reports that a member remembers. A collector includes one of them in its sum.
const MAX_REPORTS: usize = 16;

/// Share of the nodes of the most complete sum that a sum must include. Collectors that are as good as
/// each other differ by nodes that start, stop or lose a datagram.
const MIN_NODES_SHARE: f64 = 0.9;

/// Interval at which a collector sends its sums, if they are small.
pub(super) const INTERVAL: Millis = Millis(50);
/// Longest interval, less than half of [`EXPIRY`], so that a single lost sum expires no loads.
const MAX_INTERVAL: Millis = Millis(400);
/// Bytes that a collector sends in a millisecond: a quarter of the slowest links.
const BYTES_PER_MS: usize = 1_000;

/// Time after which a collector that has sent `bytes` sends its sums again. `None` if they are too
/// large to be sent at all: there are more loads or members than its link carries.
pub fn interval_after(bytes: usize) -> Option<Millis> {
    let interval = Millis((bytes / BYTES_PER_MS) as u64).max(INTERVAL);
    (interval <= MAX_INTERVAL).then_some(interval)
}

/// Latest datagram of one sender.
#[derive(Clone, Debug)]
struct Received<T> {
    version: Version,
    at: Millis,
    content: T,
}

/// Inserts a datagram unless a newer one of the same sender is known. Returns whether it did.
fn insert_newer<K: Ord, T>(known: &mut BTreeMap<K, Received<T>>, key: K, new: Received<T>) -> bool {
    if known.get(&key).is_some_and(|known| known.version >= new.version) {
        return false;
    }
    known.insert(key, new);
    true
}

fn add_loads(sum: &mut Loads, loads: &Loads) {
    for (digest, load) in loads {
        let total = sum.entry(*digest).or_default();
        *total = *total + *load;
    }
}

/// The loads of the members of a collector, and of the other data centres.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    members: BTreeMap<SocketAddr, Received<Loads>>,
    /// By data centre and collector.
    data_centres: BTreeMap<(DataCentreDigest, SocketAddr), Received<Sum>>,
}

impl Collector {
    /// Records the loads of a member.
    pub fn record_member(
        &mut self,
        now: Millis,
        member: SocketAddr,
        version: Version,
        loads: Loads,
    ) {
        insert_newer(&mut self.members, member, Received { version, at: now, content: loads });
    }

    /// Records the loads of another data centre, as one of its collectors knows them.
    pub fn record_data_centre(
        &mut self,
        now: Millis,
        collector: SocketAddr,
        version: Version,
        data_centre: DataCentreDigest,
        sum: Sum,
    ) {
        let received = Received { version, at: now, content: sum };
        insert_newer(&mut self.data_centres, (data_centre, collector), received);
    }

    /// Removes what has not been sent again in time.
    pub fn expire(&mut self, now: Millis) {
        self.members.retain(|_, member| now - member.at < EXPIRY);
        self.data_centres.retain(|_, data_centre| now - data_centre.at < EXPIRY);
    }

    /// Whether any node takes this one for a collector of its data centre.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// The members, each with the version of its loads that the sums include.
    pub fn members(&self) -> impl Iterator<Item = (SocketAddr, Version)> {
        self.members.iter().map(|(address, member)| (*address, member.version))
    }

    /// Loads of the members.
    pub fn member_sum(&self) -> Sum {
        let mut sum = Sum::default();
        for member in self.members.values() {
            sum.nodes += 1;
            add_loads(&mut sum.loads, &member.content);
        }
        sum
    }

    /// Loads of the fleet. Of several collectors of one data centre the one with the most members
    /// counts. `own` is the data centre of this node.
    pub fn fleet_sum(&self, own: DataCentreDigest) -> Sum {
        let mut sum = self.member_sum();
        let mut best: BTreeMap<DataCentreDigest, &Received<Sum>> = BTreeMap::new();
        for ((data_centre, _), received) in
            self.data_centres.iter().filter(|((data_centre, _), _)| *data_centre != own)
        {
            let rank = |received: &Received<Sum>| (received.content.nodes, received.at);
            let known = best.entry(*data_centre).or_insert(received);
            if rank(received) > rank(known) {
                *known = received;
            }
        }
        for received in best.values() {
            sum.nodes = sum.nodes.saturating_add(received.content.nodes);
            add_loads(&mut sum.loads, &received.content.loads);
        }
        sum
    }
}

/// The loads of the fleet as known to a member, and the member's own reports.
#[derive(Clone, Debug, Default)]
pub struct Member {
    version: Version,
    /// The latest own reports, the oldest first. At most [`MAX_REPORTS`].
    reports: VecDeque<(Version, Loads)>,
    reported_at: Option<Millis>,
    /// Latest sum of each collector: its version, its arrival and the number of nodes.
    sums: BTreeMap<SocketAddr, Received<u32>>,
}

impl Member {
    pub fn new(incarnation: Incarnation) -> Member {
        Member { version: Version { incarnation, sequence: 0 }, ..Member::default() }
    }

    /// A new version for a datagram of this node.
    pub fn next_version(&mut self) -> Version {
        self.version.sequence += 1;
        self.version
    }

    /// The report to send to the collectors; `None` if the loads have not changed since the last
    /// one and no heartbeat is due.
    pub fn report(&mut self, now: Millis, loads: &Loads) -> Option<(Version, Loads)> {
        let is_due = self.reported_at.is_none_or(|at| now >= at + HEARTBEAT);
        let has_changed = self.reports.back().is_none_or(|(_, last)| last != loads);
        if !is_due && !has_changed {
            return None;
        }
        Some(self.report_now(now, loads))
    }

    /// The report to send to the collectors, whether it is due or not.
    pub fn report_now(&mut self, now: Millis, loads: &Loads) -> (Version, Loads) {
        let report = (self.next_version(), loads.clone());
        self.reported_at = Some(now);
        self.reports.push_back(report.clone());
        while self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        report
    }

    /// Takes the sum of a collector. Returns the loads of all other nodes, or `None` if the sum is
    /// outdated or another collector knows of far more nodes.
    pub fn apply(
        &mut self,
        now: Millis,
        collector: SocketAddr,
        version: Version,
        included: Version,
        sum: Sum,
    ) -> Option<Loads> {
        self.sums.retain(|_, known| now - known.at < EXPIRY);
        let received = Received { version, at: now, content: sum.nodes };
        if !insert_newer(&mut self.sums, collector, received) {
            return None;
        }
        let most = self.sums.values().map(|known| known.content).max().unwrap_or(0);
        if f64::from(sum.nodes) < f64::from(most) * MIN_NODES_SHARE {
            return None;
        }
        let (_, own) = self.reports.iter().find(|(version, _)| *version == included)?;
        let mut loads = sum.loads;
        for (digest, load) in own {
            if let Some(total) = loads.get_mut(digest) {
                *total = *total - *load;
            }
        }
        loads.retain(|_, load| load.total() > 0);
        Some(loads)
    }
}
