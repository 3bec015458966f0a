//! Tests of the fleet's state: changes of entries and the grace period after an outage of the
//! registry.

use std::collections::BTreeMap;

use serving::{
    fleet::{Change, Entry, State},
    id::{Service, Upstream},
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
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), Some(Change::Added(id())));
    state.record_registry_read(Millis(400));
    assert_eq!(state.remove(Millis(400), &id()), Some(Change::Gone(id())));
}

#[test]
fn entry_that_expired_in_a_registry_outage_may_return() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(Millis(0), id(), entry(1, false));
    state.record_registry_read(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), None);
    assert!(state.entries().contains_key(&id()));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), None);
    assert!(state.expire(Millis(20_000)).is_empty());
}

#[test]
fn entry_that_does_not_return_is_gone_after_the_grace_period() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(Millis(0), id(), entry(1, false));
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
    state.upsert(Millis(0), id(), entry(1, true));
    state.record_registry_read(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), Some(Change::Gone(id())));
}

#[test]
fn each_change_is_reported_once() {
    let mut state = State::default();
    state.upsert(Millis(0), id(), entry(1, false));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, true)), None);
    assert_eq!(state.upsert(Millis(0), id(), entry(2, false)), Some(Change::Restarted(id())));
}

#[test]
fn full_read_removes_entries_that_it_does_not_contain() {
    let mut state = State::default();
    state.upsert(Millis(0), id(), entry(1, false));
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
    state.upsert(Millis(0), id(), entry(1, false));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), Some(Change::Updated(id())));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), None);
    let smaller = Entry { slots: 4, ..entry(1, false) };
    assert_eq!(state.upsert(Millis(0), id(), smaller), Some(Change::Updated(id())));
}

/// A stream may be resumed without knowing what began it only while all upstreams that can have
/// begun it had one version.
#[test]
fn only_version_covers_upstreams_that_have_gone() {
    const LIFETIME: Millis = Millis(5_000);
    let service = Service::from("model");
    let entry = |version: &str| Entry { version: version.into(), ..entry(1, false) };
    let mut state = State::default();
    state.replace(Millis(0), BTreeMap::from([(id(), entry("v1"))]));
    let only = |state: &State, now| state.only_version(Millis(now), &service, LIFETIME);
    assert_eq!(only(&state, 4_999), None, "the registry was not followed long enough");
    assert_eq!(only(&state, 5_000), Some("v1".into()));
    state.upsert(Millis(6_000), "new".into(), entry("v2"));
    assert_eq!(only(&state, 6_000), None);
    state.remove(Millis(7_000), &id());
    assert_eq!(only(&state, 11_999), None, "streams of the upstream that left can be resumed");
    assert_eq!(only(&state, 12_000), Some("v2".into()));
    state.upsert(Millis(13_000), "new".into(), Entry { started: 9, ..entry("v3") });
    assert_eq!(only(&state, 13_000), None, "the upstream restarted with another version");
    assert_eq!(only(&state, 18_000), Some("v3".into()));
}
