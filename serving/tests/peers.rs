//! Peer discovery and expiry, and the schedule and recipients of gossip messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serving::{
    balance::{self, pace},
    batch::{
        order::{Bucket, Urgency},
        quota::Report,
    },
    collector::DataCentreDigest,
    fleet::Software,
    forward::{Notice, Offer},
    id::Incarnation,
    origins::{Announcement, Digest, News},
    parts,
    peers::{Message, Settings, State},
    time::Millis,
};

fn address(index: u8) -> SocketAddr {
    format!("10.0.0.{index}:7000").parse().unwrap()
}

fn state() -> State {
    State::new(Settings::default(), address(1), DataCentreDigest::default())
}

fn message(index: u8, incarnation: u64, sequence: u64) -> Message {
    Message {
        vm: format!("vm-{index}").as_str().into(),
        incarnation: Incarnation(incarnation),
        sequence,
        address: address(index),
        loads: BTreeMap::new(),
        ejected: Vec::new(),
        owned: vec![(3, Report { epoch: 9, ..Report::default() })],
        peers: vec![address(9), address(1)],
        suspects: Vec::new(),
        leaving: false,
        news: News::default(),
        parts: parts::Report::default(),
        limits: Vec::new(),
        data_centre: DataCentreDigest::default(),
        data_centres: Vec::new(),
        offer: None,
        forwarders: Vec::new(),
        paces: Vec::new(),
    }
}

#[test]
fn message_round_trips_through_encoding() {
    let message = message(2, 1, 1);
    assert_eq!(Message::decode(&message.encode().unwrap()).unwrap(), message);
}

#[test]
fn news_round_trips_through_encoding() {
    let software = Software { service: "model".into(), version: "v1".into() };
    let origin = Announcement {
        request: Digest::of("r1"),
        software: 0,
        revision: 1,
        remaining: Millis(4_000),
    };
    let news = News { software: vec![software], origins: vec![origin] };
    let message = Message { news, ..message(2, 1, 1) };
    assert_eq!(Message::decode(&message.encode().unwrap()).unwrap(), message);
}

#[test]
fn waiting_items_of_a_service_round_trip_through_encoding() {
    let urgency = Urgency { late: false, due: 5 };
    let ready = vec![Bucket { urgency, count: 3 }];
    let ready_by_service = BTreeMap::from([("model".into(), ready)]);
    let report = Report { epoch: 9, ready_by_service, ..Report::default() };
    let owned = vec![(3, Report::default()), (4, report)];
    let message = Message { owned, ..message(2, 1, 1) };
    assert_eq!(Message::decode(&message.encode().unwrap()).unwrap(), message);
}

/// Nodes of two releases exchange their loads during an upgrade, though only one of them sends news.
#[test]
fn message_of_an_older_node_has_no_news() {
    let message = message(2, 1, 1);
    let old_format = postcard::to_stdvec(&message).unwrap();
    assert_eq!(Message::decode(&old_format).unwrap(), message);
    let new_format = message.encode().unwrap();
    assert_eq!(postcard::from_bytes::<Message>(&new_format).unwrap(), message);
}

/// Nodes of the last release neither report paces nor read those of others, and a node that knows of no
/// pace sends the same bytes as they do.
#[test]
fn paces_are_left_out_by_older_nodes() {
    let without = message(2, 1, 1);
    let paces = vec![pace::Report {
        upstream: balance::Digest::of(&"engine".into()),
        percent: 250,
        age: 40,
    }];
    let message = Message { paces: paces.clone(), ..without.clone() };
    let bytes = message.encode().unwrap();
    assert_eq!(Message::decode(&bytes).unwrap(), message);
    let added = postcard::to_stdvec(&paces).unwrap();
    assert_eq!(bytes[..bytes.len() - added.len()], without.encode().unwrap());
}

/// Nodes of the last release without forwarding neither offer it nor read the offers of others.
#[test]
fn offers_to_forward_are_left_out_by_older_nodes() {
    let address = "10.0.0.9:7663".parse().unwrap();
    let offer = Some(Offer { address, can_forward: true });
    let data_centre = DataCentreDigest::of(&"dc".into());
    let forwarders = vec![Notice { address, data_centre, age: Millis(30) }];
    let data_centres = vec![data_centre];
    let message = Message { data_centre, data_centres, offer, forwarders, ..message(2, 1, 1) };
    let bytes = message.encode().unwrap();
    assert_eq!(Message::decode(&bytes).unwrap(), message);
    let added = postcard::to_stdvec(&(&message.offer, &message.forwarders)).unwrap();
    let older = &bytes[..bytes.len() - added.len()];
    let decoded = Message::decode(older).unwrap();
    assert_eq!((decoded.offer, decoded.forwarders), (None, Vec::new()));
    assert_eq!((decoded.data_centre, decoded.data_centres), (data_centre, vec![data_centre]));
    // An older node reads the data centres last and ignores what follows.
    let last = postcard::to_stdvec(&(&message.data_centre, &message.data_centres)).unwrap();
    let tail = &bytes[older.len() - last.len()..];
    let read: (DataCentreDigest, Vec<DataCentreDigest>) = postcard::from_bytes(tail).unwrap();
    assert_eq!(read, (data_centre, vec![data_centre]));
}

#[test]
fn outdated_messages_are_dropped() {
    let mut state = state();
    assert!(state.handle_message(Millis(0), &message(2, 1, 5)));
    assert!(!state.handle_message(Millis(1), &message(2, 1, 4)));
    assert!(!state.handle_message(Millis(1), &message(2, 1, 5)));
    assert!(
        state.handle_message(Millis(2), &message(2, 2, 1)),
        "sequence numbers restart with a new incarnation"
    );
}

#[test]
fn messages_introduce_peers() {
    let mut state = state();
    state.handle_message(Millis(0), &message(2, 1, 1));
    assert_eq!(state.addresses().collect::<Vec<_>>(), vec![address(2), address(9)]);
    let round = state.start_round(Millis(0), false);
    assert_eq!(
        round.introductions,
        vec![address(2)],
        "only peers that sent a message are introduced"
    );
}

#[test]
fn peers_without_messages_expire() {
    let mut state = state();
    state.handle_message(Millis(0), &message(2, 1, 1));
    state.handle_message(Millis(2_000), &message(3, 1, 1));
    let expired = vec![address(2), address(9)];
    assert_eq!(
        state.expire(Millis(3_500)),
        expired,
        "introduced peers expire without a message too"
    );
}

#[test]
fn changes_are_sent_sooner_than_heartbeats() {
    let mut state = state();
    assert_eq!(state.next_round_at(false), Millis(0));
    state.start_round(Millis(100), false);
    let settings = Settings::default();
    assert_eq!(state.next_round_at(true), Millis(100 + settings.change_ms));
    assert_eq!(state.next_round_at(false), Millis(100 + settings.heartbeat_ms));
}

#[test]
fn interval_is_long_in_a_large_fleet() {
    let mut state = state();
    for index in 2..=200 {
        state.discover(Millis(0), address(index));
    }
    state.start_round(Millis(0), false);
    assert!(state.next_round_at(true) >= Millis(200));
    assert!(state.next_round_at(true) <= state.next_round_at(false));
}

/// Guards against gossip traffic per node that grows in proportion to the fleet, here 350 nodes.
#[test]
fn messages_in_a_large_fleet_reach_owners_and_a_few_others() {
    let count = 350;
    let node_address = |index: usize| -> SocketAddr {
        format!("10.0.{}.{}:7000", index / 250, index % 250).parse().unwrap()
    };
    let owners: BTreeSet<SocketAddr> = (0..12).map(|index| node_address(index * 29)).collect();
    let mut received: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut links = Vec::new();
    for index in 0..count {
        let mut state =
            State::new(Settings::default(), node_address(index), DataCentreDigest::default());
        for other in (0..count).map(node_address).filter(|other| *other != node_address(index)) {
            let owned = match owners.contains(&other) {
                true => vec![(1, Report::default())],
                false => Vec::new(),
            };
            state.handle_message(Millis(0), &Message { address: other, owned, ..message(2, 1, 1) });
        }
        let recipients = state.start_round(Millis(0), false).recipients;
        assert!(
            owners
                .iter()
                .filter(|owner| **owner != node_address(index))
                .all(|o| recipients.contains(o))
        );
        assert!(recipients.len() <= 21, "{}", recipients.len());
        for recipient in &recipients {
            *received.entry(*recipient).or_default() += 1;
        }
        links.push((node_address(index), recipients));
    }
    let non_owner_counts = received.iter().filter(|(to, _)| !owners.contains(*to)).map(|(_, n)| *n);
    assert!(non_owner_counts.max().unwrap() <= 9);
    // Gossip that each recipient passes on reaches nearly all nodes in about log2(count) rounds.
    let mut informed = BTreeSet::from([node_address(0)]);
    for _ in 0..9 {
        let next = links.iter().filter(|(from, _)| informed.contains(from));
        let next: Vec<SocketAddr> =
            next.flat_map(|(_, to)| to.iter().copied().filter(|to| !owners.contains(to))).collect();
        informed.extend(next);
    }
    let others = (0..count).map(node_address).filter(|address| !owners.contains(address));
    assert!(others.filter(|other| informed.contains(other)).count() >= 330);
}

#[test]
fn owner_in_a_large_fleet_announces_to_all_peers_periodically() {
    let mut state = state();
    for index in 2..=200 {
        state.discover(Millis(0), address(index));
    }
    let settings = Settings::default();
    assert_eq!(state.start_round(Millis(0), true).recipients.len(), 199);
    assert!(state.start_round(Millis(10), true).recipients.len() < 10);
    assert_eq!(state.start_round(Millis(settings.announce_ms), true).recipients.len(), 199);
}

/// Guards against owners that never hear of each other after all nodes were restarted: each knows the
/// other from the group only, and a full link drops the last of the messages to all peers.
#[test]
fn owners_named_by_the_group_are_sent_every_message_first() {
    let mut state = state();
    for index in 2..=200 {
        state.discover(Millis(0), address(index));
    }
    let named = BTreeSet::from([address(150), address(200), address(201)]);
    state.name_owners(Millis(0), named.clone());
    let first_three = |recipients: Vec<SocketAddr>| -> BTreeSet<SocketAddr> {
        recipients.into_iter().take(3).collect()
    };
    assert_eq!(first_three(state.start_round(Millis(0), true).recipients), named);
    // The message is from before the node owned a partition.
    state.handle_message(Millis(5), &Message { address: address(200), ..message(2, 1, 1) });
    assert_eq!(first_three(state.start_round(Millis(10), true).recipients), named);
    state.name_owners(Millis(20), BTreeSet::from([address(150)]));
    assert!(!state.start_round(Millis(20), false).recipients.contains(&address(201)));
}

/// Guards against peers that are always the last ones of a message to all peers, which a full link
/// drops: half of each announcement reaches every peer within a few of them.
#[test]
fn announcements_begin_with_other_peers_each_time() {
    let mut state = state();
    let all: BTreeSet<SocketAddr> = (2..=200).map(address).collect();
    for address in &all {
        state.discover(Millis(0), *address);
    }
    let announce_ms = Settings::default().announce_ms;
    let mut reached = BTreeSet::new();
    for round in 0..4 {
        let recipients = state.start_round(Millis(round * announce_ms), true).recipients;
        assert_eq!(recipients.iter().copied().collect::<BTreeSet<_>>(), all);
        reached.extend(recipients.into_iter().take(100));
    }
    assert_eq!(reached, all);
}

#[test]
fn messages_in_a_small_fleet_reach_all_peers() {
    let mut state = state();
    for index in 2..=13 {
        state.discover(Millis(0), address(index));
    }
    assert_eq!(state.start_round(Millis(0), false).recipients.len(), 12);
}

/// In a large fleet a peer that sends no messages to this node must not expire while other peers
/// introduce it.
#[test]
fn introductions_keep_peers_of_a_large_fleet() {
    let mut state = state();
    for index in 10..=200 {
        state.discover(Millis(0), address(index));
    }
    for round in 0..3 {
        state.handle_message(Millis(round * 1_000), &message(2, 1, round + 1));
    }
    assert_eq!(state.expire(Millis(3_000)).len(), 191, "peers 10 to 200 were not introduced again");
    assert_eq!(state.addresses().collect::<Vec<_>>(), vec![address(2), address(9)]);
    let round = state.start_round(Millis(3_000), false);
    assert_eq!(round.introductions, vec![address(2)], "peer 9 sent no message to this node");
}

/// Nodes that know the same peers must select the same collectors, and each other's of the same rank.
#[test]
fn nodes_of_a_large_fleet_select_the_same_collectors() {
    let node_address = |index: usize| -> SocketAddr {
        ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into()
    };
    let data_centre =
        |index: usize| DataCentreDigest::of(&format!("dc-{}", index % 4).as_str().into());
    let mut selected: BTreeMap<DataCentreDigest, BTreeSet<Vec<SocketAddr>>> = BTreeMap::new();
    let mut links: BTreeMap<SocketAddr, Vec<SocketAddr>> = BTreeMap::new();
    for index in 0..295 {
        let mut state = State::new(Settings::default(), node_address(index), data_centre(index));
        let others: Vec<usize> = (0..295).filter(|other| *other != index).collect();
        // Half of the peers send a message, the others are introduced.
        for pair in others.chunks(2) {
            let peers = pair.iter().skip(1).map(|other| node_address(*other)).collect();
            let data_centres = pair.iter().skip(1).map(|other| data_centre(*other)).collect();
            let (address, data_centre) = (node_address(pair[0]), data_centre(pair[0]));
            let message = Message { address, data_centre, peers, data_centres, ..message(2, 1, 1) };
            state.handle_message(Millis(0), &message);
        }
        let (own, others) = state.collectors();
        assert_eq!((own.len(), others.len()), (2, 3));
        if own.contains(&node_address(index)) {
            links.insert(node_address(index), others);
        }
        selected.entry(data_centre(index)).or_default().insert(own);
    }
    assert!(selected.values().all(|choices| choices.len() == 1), "{selected:?}");
    for (from, others) in &links {
        assert!(others.iter().all(|to| links[to].contains(from)), "{from} and {others:?}");
    }
}

/// Nodes of an older release say no data centre and don't know collectors.
#[test]
fn peers_without_a_data_centre_are_no_collectors() {
    let own = DataCentreDigest::of(&"dc-0".into());
    let mut state = State::new(Settings::default(), address(1), own);
    for index in 2..=200 {
        let message = Message { address: address(index), peers: Vec::new(), ..message(2, 1, 1) };
        state.handle_message(Millis(0), &message);
    }
    assert_eq!(state.collectors(), (vec![address(1)], Vec::new()));
}

/// In a small fleet gossip reaches all peers, and collectors would only add to it.
#[test]
fn small_fleet_has_no_collectors() {
    let mut state = state();
    for index in 2..=13 {
        state.handle_message(Millis(0), &Message { address: address(index), ..message(2, 1, 1) });
    }
    assert_eq!(state.collectors(), (Vec::new(), Vec::new()));
}
