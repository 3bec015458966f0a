//! When an upstream counts as gone.

use std::collections::BTreeMap;

use serving::{
    fleet::{Change, Entry, State},
    id::Upstream,
    time::Millis,
};

fn entry(started: u64, draining: bool) -> Entry {
    Entry {
        service: "model".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "here".into(),
        slots: 8,
        draining,
        started,
    }
}

fn id() -> Upstream {
    Upstream::from("replica")
}

#[test]
fn removed_entry_is_gone_at_once_while_the_registry_answers() {
    let mut state = State::default();
    state.registry_answered(Millis(0));
    assert_eq!(state.put(id(), entry(1, false)), Some(Change::Added(id())));
    state.registry_answered(Millis(400));
    assert_eq!(state.remove(Millis(400), &id()), Some(Change::Gone(id())));
}

#[test]
fn entry_that_lapsed_while_the_registry_was_away_may_come_back() {
    let mut state = State::default();
    state.registry_answered(Millis(0));
    state.put(id(), entry(1, false));
    state.registry_answered(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), None);
    assert!(state.entries().contains_key(&id()));
    assert_eq!(state.put(id(), entry(1, false)), None);
    assert!(state.expire(Millis(20_000)).is_empty());
}

#[test]
fn entry_that_does_not_come_back_is_gone_after_the_grace() {
    let mut state = State::default();
    state.registry_answered(Millis(0));
    state.put(id(), entry(1, false));
    state.registry_answered(Millis(6_000));
    state.remove(Millis(6_000), &id());
    assert!(state.expire(Millis(8_000)).is_empty());
    assert_eq!(state.expire(Millis(8_500)), vec![Change::Gone(id())]);
    assert!(state.entries().is_empty());
}

#[test]
fn draining_upstream_gets_no_grace() {
    let mut state = State::default();
    state.registry_answered(Millis(0));
    state.put(id(), entry(1, true));
    state.registry_answered(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), Some(Change::Gone(id())));
}

#[test]
fn changes_are_told_once() {
    let mut state = State::default();
    state.put(id(), entry(1, false));
    assert_eq!(state.put(id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.put(id(), entry(1, true)), None);
    assert_eq!(state.put(id(), entry(2, false)), Some(Change::Restarted(id())));
}

#[test]
fn whole_read_removes_what_it_lacks() {
    let mut state = State::default();
    state.put(id(), entry(1, false));
    let other = Upstream::from("other");
    let seen = BTreeMap::from([(other.clone(), entry(1, false))]);
    let changes = state.replace(Millis(0), seen);
    assert_eq!(changes, vec![Change::Gone(id()), Change::Added(other)]);
}

/// Decisions see an upstream that is ready again, or has other slots, by its own change.
#[test]
fn each_change_of_an_entry_is_told() {
    let mut state = State::default();
    state.put(id(), entry(1, false));
    assert_eq!(state.put(id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.put(id(), entry(1, false)), Some(Change::Updated(id())));
    assert_eq!(state.put(id(), entry(1, false)), None);
    let smaller = Entry { slots: 4, ..entry(1, false) };
    assert_eq!(state.put(id(), smaller), Some(Change::Updated(id())));
}
