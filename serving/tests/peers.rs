//! Which peers a node knows and when it tells them something.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serving::{
    batch::quota::Report,
    id::Incarnation,
    peers::{Message, Settings, State},
    time::Millis,
};

fn address(index: u8) -> SocketAddr {
    format!("10.0.0.{index}:7000").parse().unwrap()
}

fn state() -> State {
    State::new(Settings::default(), address(1))
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
    }
}

#[test]
fn message_survives_its_encoding() {
    let message = message(2, 1, 1);
    assert_eq!(Message::decode(&message.encode().unwrap()).unwrap(), message);
}

#[test]
fn late_messages_are_dropped() {
    let mut state = state();
    assert!(state.receive(Millis(0), &message(2, 1, 5)));
    assert!(!state.receive(Millis(1), &message(2, 1, 4)));
    assert!(!state.receive(Millis(1), &message(2, 1, 5)));
    assert!(state.receive(Millis(2), &message(2, 2, 1)), "a restarted peer begins anew");
}

#[test]
fn peers_introduce_one_another() {
    let mut state = state();
    state.receive(Millis(0), &message(2, 1, 1));
    assert_eq!(state.addresses().collect::<Vec<_>>(), vec![address(2), address(9)]);
    let round = state.send(Millis(0), false);
    assert_eq!(round.introductions, vec![address(2)], "only peers that were heard");
}

#[test]
fn silent_peers_are_forgotten() {
    let mut state = state();
    state.receive(Millis(0), &message(2, 1, 1));
    state.receive(Millis(2_000), &message(3, 1, 1));
    let silent = vec![address(2), address(9)];
    assert_eq!(state.expire(Millis(3_500)), silent, "an introduced peer must be heard as well");
}

#[test]
fn changes_are_told_soon_and_the_rest_at_a_heartbeat() {
    let mut state = state();
    assert_eq!(state.due(false), Millis(0));
    state.send(Millis(100), false);
    let settings = Settings::default();
    assert_eq!(state.due(true), Millis(100 + settings.change_ms));
    assert_eq!(state.due(false), Millis(100 + settings.heartbeat_ms));
}

#[test]
fn cost_of_news_is_bounded_as_the_fleet_grows() {
    let mut state = state();
    for index in 2..=200 {
        state.discover(Millis(0), address(index));
    }
    state.send(Millis(0), false);
    assert!(state.due(true) >= Millis(200));
    assert!(state.due(true) <= state.due(false));
}

/// 350 nodes: what a node sends and receives must not grow with the fleet.
#[test]
fn news_of_a_large_fleet_go_to_owners_and_a_few_others() {
    let count = 350;
    let far = |index: usize| -> SocketAddr {
        format!("10.0.{}.{}:7000", index / 250, index % 250).parse().unwrap()
    };
    let owners: BTreeSet<SocketAddr> = (0..12).map(|index| far(index * 29)).collect();
    let mut received: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut links = Vec::new();
    for index in 0..count {
        let mut state = State::new(Settings::default(), far(index));
        for other in (0..count).map(far).filter(|other| *other != far(index)) {
            let owned = match owners.contains(&other) {
                true => vec![(1, Report::default())],
                false => Vec::new(),
            };
            state.receive(Millis(0), &Message { address: other, owned, ..message(2, 1, 1) });
        }
        let recipients = state.send(Millis(0), false).recipients;
        assert!(
            owners.iter().filter(|owner| **owner != far(index)).all(|o| recipients.contains(o))
        );
        assert!(recipients.len() <= 21, "{}", recipients.len());
        for recipient in &recipients {
            *received.entry(*recipient).or_default() += 1;
        }
        links.push((far(index), recipients));
    }
    let busiest_other = received.iter().filter(|(to, _)| !owners.contains(*to)).map(|(_, n)| *n);
    assert!(busiest_other.max().unwrap() <= 9);
    // News that go on with each message reach everybody within the logarithm of the fleet.
    let mut informed = BTreeSet::from([far(0)]);
    for _ in 0..9 {
        let next = links.iter().filter(|(from, _)| informed.contains(from));
        let next: Vec<SocketAddr> =
            next.flat_map(|(_, to)| to.iter().copied().filter(|to| !owners.contains(to))).collect();
        informed.extend(next);
    }
    let others = (0..count).map(far).filter(|address| !owners.contains(address));
    assert!(others.filter(|other| informed.contains(other)).count() >= 330);
}

#[test]
fn owner_in_a_large_fleet_tells_everybody_from_time_to_time() {
    let mut state = state();
    for index in 2..=200 {
        state.discover(Millis(0), address(index));
    }
    let settings = Settings::default();
    assert_eq!(state.send(Millis(0), true).recipients.len(), 199);
    assert!(state.send(Millis(10), true).recipients.len() < 10);
    assert_eq!(state.send(Millis(settings.announce_ms), true).recipients.len(), 199);
}

#[test]
fn small_fleets_tell_all_peers() {
    let mut state = state();
    for index in 2..=13 {
        state.discover(Millis(0), address(index));
    }
    assert_eq!(state.send(Millis(0), false).recipients.len(), 12);
}

/// A peer of a large fleet that only others hear is kept as long as they do.
#[test]
fn introduced_peers_of_a_large_fleet_are_kept_while_somebody_hears_them() {
    let mut state = state();
    for index in 10..=200 {
        state.discover(Millis(0), address(index));
    }
    for round in 0..3 {
        state.receive(Millis(round * 1_000), &message(2, 1, round + 1));
    }
    assert_eq!(state.expire(Millis(3_000)).len(), 191, "nobody has named 10 to 200 again");
    assert_eq!(state.addresses().collect::<Vec<_>>(), vec![address(2), address(9)]);
    let round = state.send(Millis(3_000), false);
    assert_eq!(round.introductions, vec![address(2)], "9 was not heard here");
}
