//! Loads that reach all nodes of a large fleet through collectors in each data centre.

use std::{collections::BTreeMap, net::SocketAddr};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serving::{
    balance::{Digest, Load, Loads, pace},
    collector::{
        Collector, DataCentreDigest, Datagram, Envelope, Member, Sum, Version, interval_after,
    },
    id::{DataCentre, Incarnation, Upstream},
    time::Millis,
};

const DATA_CENTRES: usize = 4;
const COLLECTORS: usize = 2;
const STEP_MS: u64 = 5;
const INTERVAL_MS: u64 = 50;
const MAX_DELAY_MS: u64 = 15;
/// Time within which all nodes know a change: a report, an exchange between collectors and a sum, each
/// of them up to `MAX_DELAY_MS` on its way.
const MAX_AGE_MS: u64 = 3 * (INTERVAL_MS + MAX_DELAY_MS) + 2 * STEP_MS;
/// The same if any of these datagrams is lost: loads are sent again after 300 ms, sums in the next
/// interval.
const MAX_AGE_WITH_LOSS_MS: u64 = MAX_AGE_MS + 300 + INTERVAL_MS;

fn address(node: usize) -> SocketAddr {
    ([10, 0, (node >> 8) as u8, node as u8], 7_002).into()
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("only such addresses are used") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn data_centre(node: usize) -> DataCentreDigest {
    DataCentreDigest::of(&DataCentre(format!("dc-{}", node % DATA_CENTRES)))
}

fn digest(upstream: usize) -> Digest {
    Digest::of(&Upstream(format!("upstream-{upstream}")))
}

fn version(sequence: u64) -> Version {
    Version { incarnation: Incarnation(1), sequence }
}

fn loads(entries: &[(usize, u32)]) -> Loads {
    let load = |online: u32| Load { online, batch: 0 };
    entries.iter().map(|(upstream, online)| (digest(*upstream), load(*online))).collect()
}

/// A fleet whose nodes are the collectors of their data centre if they are among the first two.
struct Fleet {
    rng: SmallRng,
    /// Lost datagrams in percent.
    loss: u32,
    members: Vec<Member>,
    collectors: Vec<Collector>,
    /// Requests in flight of each node.
    own: Vec<Loads>,
    /// Loads of the other nodes, as each node believes them.
    believed: Vec<Option<Loads>>,
    killed: Vec<usize>,
    datagrams: Vec<(u64, usize, usize, Datagram)>,
}

impl Fleet {
    fn new(nodes: usize, seed: u64, loss: u32) -> Fleet {
        Fleet {
            rng: SmallRng::seed_from_u64(seed),
            loss,
            members: vec![Member::new(Incarnation(1)); nodes],
            collectors: vec![Collector::default(); nodes],
            own: vec![Loads::new(); nodes],
            believed: vec![None; nodes],
            killed: Vec::new(),
            datagrams: Vec::new(),
        }
    }

    fn send(&mut self, now: u64, to: usize, from: usize, datagram: Datagram) {
        if to == from || self.rng.random_range(0..100) >= self.loss {
            let delay = self.rng.random_range(1..=MAX_DELAY_MS);
            self.datagrams.push((now + delay, to, from, datagram));
        }
    }

    fn step(&mut self, now: u64) {
        let time = Millis(now);
        let due: Vec<_> = self.datagrams.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, to, from, datagram) in due {
            if self.killed.contains(&to) {
                continue;
            }
            let sender = address(from);
            match datagram {
                Datagram::Member { version, loads } => {
                    self.collectors[to].record_member(time, sender, version, loads);
                }
                Datagram::DataCentre { version, data_centre, sum } => {
                    self.collectors[to].record_data_centre(time, sender, version, data_centre, sum);
                }
                Datagram::Fleet { version, included, sum } => {
                    let loads = self.members[to].apply(time, sender, version, included, sum);
                    self.believed[to] = loads.or(self.believed[to].take());
                }
            }
        }
        for from in 0..self.members.len() {
            if !(now + 7 * from as u64 * STEP_MS).is_multiple_of(INTERVAL_MS)
                || self.killed.contains(&from)
            {
                continue;
            }
            self.collectors[from].expire(time);
            if let Some((version, loads)) = self.members[from].report(time, &self.own[from]) {
                for index in 0..COLLECTORS {
                    let datagram = Datagram::Member { version, loads: loads.clone() };
                    self.send(now, from % DATA_CENTRES + index * DATA_CENTRES, from, datagram);
                }
            }
            if !self.collectors[from].has_members() {
                continue;
            }
            let version = self.members[from].next_version();
            let sum = self.collectors[from].member_sum();
            // Collectors of the same rank exchange sums.
            let rank = from / DATA_CENTRES;
            for to in (0..DATA_CENTRES).filter(|to| *to != from % DATA_CENTRES) {
                let to = to + rank * DATA_CENTRES;
                let (data_centre, sum) = (data_centre(from), sum.clone());
                self.send(now, to, from, Datagram::DataCentre { version, data_centre, sum });
            }
            let sum = self.collectors[from].fleet_sum(data_centre(from));
            let members: Vec<(SocketAddr, Version)> = self.collectors[from].members().collect();
            for (member, included) in members {
                let to = node_at(member);
                let sum = sum.clone();
                self.send(now, to, from, Datagram::Fleet { version, included, sum });
            }
        }
    }

    /// Requests in flight at each upstream.
    fn all(&self) -> Loads {
        let mut sum = Loads::new();
        for (digest, load) in self.own.iter().flatten() {
            let total = sum.entry(*digest).or_default();
            *total = *total + *load;
        }
        sum
    }

    /// Requests in flight that `node` doesn't know of or that don't exist, of `all`.
    fn error(&self, node: usize, all: &Loads) -> u32 {
        let Some(believed) = &self.believed[node] else { return u32::MAX };
        let count =
            |loads: &Loads, digest: &Digest| loads.get(digest).map_or(0, |load| load.online);
        let difference = |digest: &Digest| {
            let known = count(believed, digest) + count(&self.own[node], digest);
            known.abs_diff(count(all, digest))
        };
        let unknown = believed.keys().filter(|digest| !all.contains_key(*digest));
        all.keys().chain(unknown).map(difference).sum()
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 6,
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        max_shrink_iters: 8,
        ..Config::default()
    })]

    /// Square-wave bursts over a large fleet: within a few intervals after the load of 163 upstreams
    /// has changed at all nodes, each node knows it. If datagrams are lost, it knows all but a
    /// twentieth of it. Datagrams come out of order, and a collector is killed.
    #[test]
    fn nodes_of_a_large_fleet_know_the_load_soon_after_a_burst_begins(
        seed in any::<u64>(),
        nodes in 81_usize..300,
        loss in 0_u32..3,
        kills_collector in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(nodes, seed, loss);
        for burst in 0..4_u64 {
            let in_flight = if burst % 2 == 0 { 1 } else { 6 };
            for node in (0..nodes).filter(|node| !fleet.killed.contains(node)) {
                let mut rng = SmallRng::seed_from_u64(seed ^ burst ^ (node as u64) << 8);
                let picked = (0..in_flight).map(|_| (rng.random_range(0..163), 1));
                fleet.own[node] = loads(&picked.collect::<Vec<_>>());
            }
            if burst == 2 && kills_collector {
                fleet.killed.push(1);
                fleet.own[1].clear();
            }
            let start = burst * 2_400;
            for now in (start..start + 2_400).step_by(STEP_MS as usize) {
                fleet.step(now);
                // The loads of a killed node expire after a second.
                let known_after = match (loss, burst == 2 && kills_collector) {
                    (_, true) => 1_000 + MAX_AGE_WITH_LOSS_MS,
                    (0, false) => MAX_AGE_MS,
                    (_, false) => MAX_AGE_WITH_LOSS_MS,
                };
                if now < start + known_after || now >= start + known_after + STEP_MS {
                    continue;
                }
                let all = fleet.all();
                let total: u32 = all.values().map(|load| load.online).sum();
                for node in (0..nodes).filter(|node| !fleet.killed.contains(node)) {
                    let error = fleet.error(node, &all);
                    let allowed = if loss == 0 { 0 } else { total / 20 };
                    prop_assert!(error <= allowed, "burst {burst}, node {node}: {error} of {total}");
                }
            }
        }
    }

    /// Datagrams in any order, repeated or outdated, leave a member with the loads of the newest one.
    #[test]
    fn outdated_sums_change_nothing(order in Just((1_u64..=8).collect::<Vec<_>>()).prop_shuffle()) {
        let mut member = Member::new(Incarnation(1));
        let (included, own) = member.report(Millis(0), &loads(&[(1, 2)])).unwrap();
        let mut newest = 0;
        let mut believed = None;
        for sequence in order {
            let mut sum = Sum { nodes: 9, loads: loads(&[(1, 2), (2, sequence as u32)]) };
            sum.loads.extend(own.clone());
            let applied = member.apply(Millis(1), address(2), version(sequence), included, sum);
            prop_assert_eq!(applied.is_some(), sequence > newest);
            newest = newest.max(sequence);
            believed = applied.or(believed);
        }
        prop_assert_eq!(believed, Some(loads(&[(2, 8)])));
    }
}

/// A collector that has just started knows few nodes; its sum must not hide the loads of the others.
#[test]
fn sum_of_a_collector_that_knows_fewer_nodes_is_ignored() {
    let mut member = Member::new(Incarnation(1));
    let (included, _) = member.report(Millis(0), &Loads::new()).unwrap();
    let sum = |nodes, online| Sum { nodes, loads: loads(&[(1, online)]) };
    assert!(member.apply(Millis(0), address(1), version(1), included, sum(74, 40)).is_some());
    assert!(member.apply(Millis(10), address(2), version(1), included, sum(2, 1)).is_none());
    assert!(member.apply(Millis(20), address(1), version(2), included, sum(74, 41)).is_some());
    assert!(member.apply(Millis(30), address(2), version(2), included, sum(73, 41)).is_some());
    let later = Millis(1_100);
    assert!(member.apply(later, address(2), version(3), included, sum(2, 1)).is_some());
}

/// Loads of members that stopped sending must not count forever.
#[test]
fn loads_of_silent_members_expire() {
    let mut collector = Collector::default();
    collector.record_member(Millis(0), address(1), version(1), loads(&[(1, 3)]));
    collector.record_member(Millis(800), address(2), version(1), loads(&[(1, 1)]));
    collector.expire(Millis(1_100));
    let sum = collector.fleet_sum(data_centre(1));
    assert_eq!(sum, Sum { nodes: 1, loads: loads(&[(1, 1)]) });
    assert_eq!(collector.members().collect::<BTreeMap<_, _>>().len(), 1);
}

#[test]
fn datagrams_round_trip_through_encoding() {
    let sum = Sum { nodes: 3, loads: loads(&[(1, 2), (2, 7)]) };
    let datagrams = [
        Datagram::Member { version: version(1), loads: sum.loads.clone() },
        Datagram::DataCentre { version: version(2), data_centre: data_centre(1), sum: sum.clone() },
        Datagram::Fleet { version: version(3), included: version(1), sum },
    ];
    for datagram in datagrams {
        assert_eq!(Datagram::decode(&datagram.encode().unwrap()).unwrap(), datagram);
    }
}

/// Nodes of the last release read the datagram and ignore the paces; without paces the bytes are theirs.
#[test]
fn paces_are_left_out_by_older_nodes() {
    let datagram = Datagram::Member { version: version(1), loads: loads(&[(1, 2)]) };
    let older = datagram.encode().unwrap();
    let mut envelope = Envelope { datagram: datagram.clone(), paces: Vec::new() };
    assert_eq!(envelope.encode().unwrap(), older);
    assert_eq!(Envelope::decode(&older).unwrap(), envelope);
    envelope.paces = vec![pace::Report { upstream: digest(1), percent: 250, age: 40 }];
    let bytes = envelope.encode().unwrap();
    assert_eq!(Envelope::decode(&bytes).unwrap(), envelope);
    assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
}

/// A malformed datagram must not end the process.
#[test]
fn malformed_datagrams_are_errors() {
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..20_000 {
        let length = rng.random_range(0..64);
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        let _ = Datagram::decode(&bytes);
        let _ = Envelope::decode(&bytes);
    }
}

/// The sums for 350 nodes and 600 upstreams, all with requests of both classes, must fit one datagram
/// each and be sent often. Those of a fleet that is far larger must not fill the links.
#[test]
fn sums_are_sent_as_often_as_links_allow() {
    const MAX_DATAGRAM_BYTES: usize = 16 << 10;
    let load = Load { online: 200, batch: 200 };
    let sum = |upstreams| Sum {
        nodes: 350,
        loads: (0..upstreams).map(|upstream| (digest(upstream), load)).collect(),
    };
    let interval = |upstreams, members| interval_after(sum(upstreams).encoded_len() * members);
    assert!(sum(600).encoded_len() <= MAX_DATAGRAM_BYTES);
    assert!(interval(600, 30).is_some_and(|interval| interval <= Millis(200)));
    assert_eq!(interval(3_000, 75), None);
    assert_eq!(interval(10, 10), Some(Millis(INTERVAL_MS)));
}
