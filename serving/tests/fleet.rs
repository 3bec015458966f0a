//! Tests of the fleet's state: changes of entries and the grace period after an outage of the
//! registry.

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
        version: "v1".into(),
        slots: 8,
        draining,
        started,
    }
}

fn id() -> Upstream {
    Upstream::from("replica")
}

#[test]
fn removed_entry_is_gone_immediately_while_the_registry_answers() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    assert_eq!(state.upsert(id(), entry(1, false)), Some(Change::Added(id())));
    state.record_registry_read(Millis(400));
    assert_eq!(state.remove(Millis(400), &id()), Some(Change::Gone(id())));
}

#[test]
fn entry_that_expired_in_a_registry_outage_may_return() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(id(), entry(1, false));
    state.record_registry_read(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), None);
    assert!(state.entries().contains_key(&id()));
    assert_eq!(state.upsert(id(), entry(1, false)), None);
    assert!(state.expire(Millis(20_000)).is_empty());
}

#[test]
fn entry_that_does_not_return_is_gone_after_the_grace_period() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(id(), entry(1, false));
    state.record_registry_read(Millis(6_000));
    state.remove(Millis(6_000), &id());
    assert!(state.expire(Millis(8_000)).is_empty());
    assert_eq!(state.expire(Millis(8_500)), vec![Change::Gone(id())]);
    assert!(state.entries().is_empty());
}

#[test]
fn draining_upstream_has_no_grace_period() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(id(), entry(1, true));
    state.record_registry_read(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), Some(Change::Gone(id())));
}

#[test]
fn each_change_is_reported_once() {
    let mut state = State::default();
    state.upsert(id(), entry(1, false));
    assert_eq!(state.upsert(id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.upsert(id(), entry(1, true)), None);
    assert_eq!(state.upsert(id(), entry(2, false)), Some(Change::Restarted(id())));
}

#[test]
fn full_read_removes_entries_that_it_does_not_contain() {
    let mut state = State::default();
    state.upsert(id(), entry(1, false));
    let other = Upstream::from("other");
    let seen = BTreeMap::from([(other.clone(), entry(1, false))]);
    let changes = state.replace(Millis(0), seen);
    assert_eq!(changes, vec![Change::Gone(id()), Change::Added(other)]);
}

/// An upstream that stops draining or gets another number of slots must be reported, because load
/// balancing depends on both.
#[test]
fn end_of_draining_and_new_slots_are_reported() {
    let mut state = State::default();
    state.upsert(id(), entry(1, false));
    assert_eq!(state.upsert(id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.upsert(id(), entry(1, false)), Some(Change::Updated(id())));
    assert_eq!(state.upsert(id(), entry(1, false)), None);
    let smaller = Entry { slots: 4, ..entry(1, false) };
    assert_eq!(state.upsert(id(), smaller), Some(Change::Updated(id())));
}
