//! Malformed datagrams of peers: none may end the process.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{SeedableRng, rngs::SmallRng};
use serving::{
    access,
    allowance::{self, Answer, Ask, AskId, Kind, Lender, Verdict},
    balance::{self, Class, Criteria, Digest, Load, limit, pace},
    batch::{
        ledger::ItemId,
        order::{Bucket, Urgency, WaitingItem},
        quota, schedule,
    },
    collector::{Collector, DataCentreDigest, Datagram, Envelope, Member, Sum, Version},
    fleet::{Entry, Software},
    forward::{self, Notice, Offer},
    id::{Incarnation, Process, Service, Upstream},
    origins::{self, Announcement, News},
    parts::{self, Attempt, Part, Prompt},
    peers::{self, Message},
    quarantine::{Fingerprint, Quarantine},
    time::Millis,
};

const STARTED: u64 = 7;

fn service() -> Service {
    Service::from("model")
}

fn upstream(index: u32) -> Upstream {
    Upstream(format!("replica-{index}"))
}

fn process(index: u32) -> Process {
    Process::of(&upstream(index), STARTED)
}

/// A message with something in each field.
fn message() -> Message {
    let mut evidence = parts::State::new(1);
    let software = Software { service: service(), version: "v1".into() };
    let prompt = Prompt::new([Part(1), Part(2)]);
    for index in 0..4 {
        let revision = evidence.revision();
        let attempt = Attempt { prompt: &prompt, software: &software, request: index, revision };
        evidence.record_crash(Millis(10), attempt, process(index));
    }
    let mut quarantine = Quarantine::new(Millis(60_000));
    let fingerprint = Fingerprint::of(&"a".into(), b"body");
    quarantine.record_crash(Millis(5), fingerprint, &upstream(1));
    let urgency = Urgency { late: false, due: 5 };
    let ready = vec![Bucket { urgency, count: 3 }, Bucket { urgency, count: 4 }];
    let report = quota::Report {
        epoch: 3,
        waiting: BTreeMap::from([("route".into(), 900)]),
        ready: ready.clone(),
        ready_by_service: BTreeMap::from([(service(), ready)]),
    };
    let limit = limit::Report {
        process: process(0),
        rate: Some(limit::Rate::new(2.5).unwrap()),
        age: Some(Millis(3)),
        sent: 4,
        online_demand: 1.5,
        batch_demand: 0.5,
    };
    let origin = Announcement {
        request: origins::Digest::of("r1"),
        software: 0,
        revision: 1,
        remaining: Millis(4_000),
    };
    let load = Load { online: 3, batch: 2 };
    Message {
        vm: "vm-2".into(),
        incarnation: Incarnation(1),
        sequence: 1,
        address: "10.0.0.2:7000".parse().unwrap(),
        loads: (0..4).map(|index| (Digest::of(&upstream(index)), load)).collect(),
        ejected: vec![(Digest::of(&upstream(1)), Millis(250))],
        owned: vec![(0, report.clone()), (1, report)],
        peers: vec!["10.0.0.9:7000".parse().unwrap()],
        suspects: quarantine.suspects(Millis(20)),
        leaving: false,
        news: News { software: vec![software], origins: vec![origin] },
        parts: evidence.take_report(Millis(20)),
        limits: vec![limit],
        data_centre: DataCentreDigest::default(),
        data_centres: vec![DataCentreDigest::default()],
        offer: Some(Offer { address: "10.0.0.2:7003".parse().unwrap(), can_forward: true }),
        forwarders: vec![Notice {
            address: "10.0.0.3:7003".parse().unwrap(),
            data_centre: DataCentreDigest::default(),
            age: Millis(40),
        }],
        paces: vec![pace::Report { upstream: Digest::of(&upstream(0)), percent: 250, age: 40 }],
    }
}

/// The state of a node that messages change.
struct Node {
    peers: peers::State,
    balance: balance::State,
    quota: quota::State,
    quarantine: Quarantine,
    parts: parts::State,
    origins: origins::State,
    forwarders: forward::State,
}

impl Node {
    fn new() -> Node {
        let entry = |index: u32| Entry {
            service: service(),
            address: ([10, 0, 1, index as u8], 80).into(),
            data_centre: "here".into(),
            version: "v1".into(),
            slots: 8,
            draining: false,
            started: STARTED,
        };
        let mut balance = balance::State::new(balance::Settings::default(), "here".into(), 1);
        balance.replace(&(0..4).map(|index| (upstream(index), entry(index))).collect());
        Node {
            peers: peers::State::new(
                peers::Settings::default(),
                "10.0.0.1:7000".parse().unwrap(),
                DataCentreDigest::default(),
            ),
            balance,
            quota: quota::State::new(2),
            quarantine: Quarantine::new(Millis(60_000)),
            parts: parts::State::new(2),
            origins: origins::State::default(),
            forwarders: forward::State::default(),
        }
    }

    /// Applies a message as the node does, and then decides by it.
    fn handle(&mut self, now: Millis, message: Message) {
        self.origins.merge(now, message.news.clone());
        if self.peers.handle_message(now, &message) {
            let own = "10.0.0.1:7003".parse().unwrap();
            self.forwarders.merge(now, own, &message.forwarders);
            if let Some(offer) = message.offer {
                self.forwarders.record_offer(now, offer, message.data_centre);
            }
            self.balance.update_loads(now, &message.vm, message.loads);
            self.balance.update_paces(now, balance::pace::Origin::Node, &message.paces);
            self.balance.update_ejections(now, &message.vm, &message.ejected);
            self.quarantine.merge(now, message.suspects);
            self.parts.merge(now, message.parts);
            let (vm, incarnation) = (&message.vm, message.incarnation);
            self.balance.update_limits(now, vm, incarnation, message.limits);
            for (partition, report) in message.owned {
                self.quota.apply_report(now, partition, report);
            }
        }
        self.decide(now);
    }

    fn decide(&mut self, now: Millis) {
        let mut rng = SmallRng::seed_from_u64(3);
        let none = BTreeSet::new();
        self.forwarders.choose(now, &[DataCentreDigest::default()], &none, &mut rng);
        self.forwarders.notices(now, &mut rng);
        self.peers.start_round(now, true);
        self.peers.expire(now);
        self.peers.collectors();
        let (service, excluded) = (service(), BTreeSet::new());
        for class in [Class::Online, Class::Batch] {
            let criteria = Criteria {
                service: &service,
                class,
                excluded: &excluded,
                version: None,
                objective: Millis(300),
            };
            if let Ok(pick) = self.balance.choose(now, criteria) {
                self.balance.finish(now, &pick, balance::Outcome::Succeeded);
            }
        }
        self.balance.occupancy(now, &service);
        self.balance.free_batch_slots(now, &service);
        self.balance.excess_batch();
        self.balance.own_limits(now);
        self.balance.own_ejections(now);
        let urgency = Urgency { late: false, due: u64::MAX };
        let item = ItemId { job: "job".into(), index: 0 };
        let waiting = vec![WaitingItem { urgency, remaining: Millis(5), item }; 2];
        schedule::count_starts(&waiting, 8, |urgency| self.quota.count_ahead(0, &service, urgency));
        self.quota.reserve(now, Millis(0), &"job".into(), &"route".into(), 10, 1_000);
        self.quarantine.most_crashes(now, 12);
        self.parts.take_report(now);
        self.parts.remaining_block(now, &Prompt::new([Part(1), Part(2)]));
        self.origins.take_news(now, &[]);
    }
}

/// Changes some bytes.
fn mutate(bytes: &mut Vec<u8>, changes: &[(prop::sample::Index, u8)], length: Option<u16>) {
    for (index, value) in changes {
        let position = index.index(bytes.len());
        bytes[position] = *value;
    }
    if let Some(length) = length {
        bytes.truncate(usize::from(length));
    }
}

fn config() -> Config {
    let cases = std::env::var("MALFORMED_CASES").ok().and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(4_000),
        rng_seed: RngSeed::Fixed(34),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_compose! {
    fn changes()(
        changes in prop::collection::vec(
            (any::<prop::sample::Index>(), prop_oneof![Just(0xff_u8), Just(0x7f), any::<u8>()]),
            1..40,
        ),
        length in prop::option::weighted(0.1, 0_u16..600),
    ) -> (Vec<(prop::sample::Index, u8)>, Option<u16>) {
        (changes, length)
    }
}

proptest! {
    #![proptest_config(config())]

    /// One malformed gossip message must not end the process.
    #[test]
    fn malformed_gossip_ends_no_node(changes in prop::collection::vec(changes(), 1..4)) {
        let valid = message().encode().unwrap();
        let mut node = Node::new();
        for (index, (changes, length)) in changes.iter().enumerate() {
            let mut bytes = valid.clone();
            mutate(&mut bytes, changes, *length);
            if let Ok(message) = Message::decode(&bytes) {
                node.handle(Millis(100 * index as u64), message);
            }
        }
        node.handle(Millis(1_000), Message { sequence: u64::MAX, ..message() });
    }

    /// One malformed datagram of a collector or a member must not end the process.
    #[test]
    fn malformed_loads_end_no_node(changes in prop::collection::vec(changes(), 1..6)) {
        let load = Load { online: 3, batch: 2 };
        let loads: balance::Loads =
            (0..4).map(|index| (Digest::of(&upstream(index)), load)).collect();
        let sum = Sum { nodes: 3, loads: loads.clone() };
        let version = Version { incarnation: Incarnation(1), sequence: 1 };
        let datagrams = [
            Datagram::Member { version, loads: loads.clone() },
            Datagram::DataCentre { version, data_centre: DataCentreDigest::default(), sum: sum.clone() },
            Datagram::Fleet { version, included: version, sum },
        ];
        let (mut member, mut collector) = (Member::new(Incarnation(1)), Collector::default());
        member.report(Millis(0), &loads);
        let mut node = Node::new();
        for (index, (changes, length)) in changes.iter().enumerate() {
            let datagram = datagrams[index % datagrams.len()].clone();
            let envelope = Envelope { datagram, paces: message().paces };
            let mut bytes = envelope.encode().unwrap();
            mutate(&mut bytes, changes, *length);
            let (now, from) = (Millis(10), ([10, 0, 0, 2 + index as u8], 7_002).into());
            let decoded = Envelope::decode(&bytes);
            if let Ok(Envelope { datagram, paces }) = &decoded {
                node.balance.update_paces(now, datagram.pace_origin(), paces);
            }
            match decoded.map(|envelope| envelope.datagram) {
                Ok(Datagram::Member { version, loads }) => {
                    collector.record_member(now, from, version, loads);
                }
                Ok(Datagram::DataCentre { version, data_centre, sum }) => {
                    collector.record_data_centre(now, from, version, data_centre, sum);
                }
                Ok(Datagram::Fleet { version, included, sum }) => {
                    let loads = member.apply(now, from, version, included, sum);
                    loads.into_iter().for_each(|loads| node.balance.update_fleet_loads(now, loads));
                }
                Err(_) => {}
            }
            collector.fleet_sum(DataCentreDigest::of(&"elsewhere".into()));
            node.decide(now);
        }
    }

    /// Guards against numbers in asks and answers for allowance, or in a configuration, that end a
    /// node or that a later decision can't cope with.
    #[test]
    fn any_numbers_about_allowance_end_no_node(
        rate in prop::num::f32::ANY,
        burst in prop::num::f32::ANY,
        count in any::<u32>(),
        retry_after in any::<u64>(),
        usage in prop::num::f32::ANY,
        is_reserve in any::<bool>(),
    ) {
        let (own, peer) = (([10, 0, 0, 1], 1).into(), ([10, 0, 0, 2], 1).into());
        let settings = allowance::Settings { slack: 20.0, ..allowance::Settings::default() };
        let mut state = allowance::State::new(settings, Millis(0), own, 1);
        let kind = if is_reserve { Kind::Reserve } else { Kind::Bucket };
        let workspace = || "w".into();
        let ask = Ask {
            id: AskId(1),
            workspace: workspace(),
            kind,
            count,
            requests: count,
            rate_per_s: rate,
            burst,
        };
        state.answer(Millis(9_000), peer, &ask, Lender::Here { since: Millis(1) });
        let member = access::Member {
            workspace: workspace(),
            priority: count,
            rate_per_s: rate.into(),
            burst: burst.into(),
        };
        let mut shares = allowance::share::State::new(1);
        for verdict in [Verdict::Lent(count), Verdict::Full { retry_after: Millis(retry_after) }] {
            let (_, actions) = state.take(Millis(10_000), &member, Lender::Peer(peer));
            for action in actions {
                let allowance::Action::Send { datagram, .. } = action else { continue };
                let allowance::Datagram::Ask(ask) = datagram else { continue };
                let answer = Answer { id: ask.id, nodes: count, usage, verdict };
                state.apply(Millis(10_010), &answer);
            }
        }
        state.take(Millis(10_020), &member, Lender::Here { since: Millis(1) });
        state.take(Millis(10_030), &member, Lender::Unknown);
        state.tick(Millis(10_500));
        shares.observe(Millis(1), &service(), Load { online: 99, batch: 0 }, 10);
        let usage = state.usage(&workspace());
        prop_assert!(!usage.is_nan());
        let claim = |usage, workspace_priority| allowance::share::Claim {
            usage,
            workspace_priority,
            route_priority: 0,
        };
        shares.admit(Millis(2), &service(), claim(usage, count));
        prop_assert!(shares.admit(Millis(3), &service(), claim(0.0, 0)));
    }

    /// Bytes that are no datagram at all.
    #[test]
    fn random_bytes_end_no_node(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = allowance::Datagram::decode(&bytes);
        let mut node = Node::new();
        if let Ok(message) = Message::decode(&bytes) {
            node.handle(Millis(0), message);
        }
        let _ = Envelope::decode(&bytes);
        let _ = origins::Datagram::decode(&bytes);
    }
}

/// Well-formed messages may hold any numbers, which are added up.
#[test]
fn extreme_values_end_no_node() {
    let mut node = Node::new();
    for sender in 0..3_u8 {
        let mut message = message();
        message.vm = format!("vm-{sender}").as_str().into();
        message.address = ([10, 0, 0, 2 + sender], 7_000).into();
        message.sequence = u64::MAX;
        for load in message.loads.values_mut() {
            *load = Load { online: u32::MAX, batch: u32::MAX };
        }
        message.ejected = vec![(Digest::of(&upstream(1)), Millis(u64::MAX))];
        for (_, report) in &mut message.owned {
            report.epoch = u64::MAX;
            report.waiting = BTreeMap::from([("route".into(), u64::MAX)]);
            for bucket in
                report.ready.iter_mut().chain(report.ready_by_service.values_mut().flatten())
            {
                bucket.count = u32::MAX;
            }
        }
        for origin in &mut message.news.origins {
            (origin.software, origin.remaining) = (u32::MAX, Millis(u64::MAX));
        }
        for (_, evidence) in &mut message.parts.parts {
            evidence.position = u8::MAX;
            for (_, crash) in &mut evidence.crashes {
                (crash.round, crash.at) = (u8::MAX, Millis(u64::MAX));
            }
        }
        for limit in &mut message.limits {
            (limit.age, limit.sent) = (Some(Millis(u64::MAX)), u32::MAX);
            (limit.online_demand, limit.batch_demand) = (f32::MAX, f32::NAN);
        }
        let message = Message::decode(&message.encode().unwrap()).unwrap();
        node.handle(Millis(u64::from(sender)), message);
    }
    node.decide(Millis(u64::MAX));
}
