//! Which peers a node knows and when it tells them something.

use std::{collections::BTreeMap, net::SocketAddr};

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
    assert_eq!(state.introductions(Millis(0)), vec![address(2)], "only peers that were heard");
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
    state.introductions(Millis(100));
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
    state.introductions(Millis(0));
    assert!(state.due(true) >= Millis(200));
    assert!(state.due(true) <= state.due(false));
}
