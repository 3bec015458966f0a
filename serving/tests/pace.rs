//! Tests of the choice between upstreams that state their pace.

use std::collections::{BTreeMap, BTreeSet};

use serving::{
    balance::{
        Class, Criteria, Digest, Load, Outcome, Pick, Settings, State, Stated,
        pace::{Origin, Report},
    },
    fleet::Entry,
    id::{DataCentre, Service, Upstream},
    time::Millis,
};

/// Upstreams of the service.
const COUNT: usize = 12;

fn upstream(index: usize) -> Upstream {
    Upstream(format!("replica-{index:02}"))
}

fn state(seed: u64) -> State {
    state_of(COUNT, seed)
}

fn state_of(count: usize, seed: u64) -> State {
    let entry = |index: usize| Entry {
        service: Service::from("model"),
        address: format!("10.0.0.{}:80", index + 1).parse().unwrap(),
        data_centre: DataCentre::from("here"),
        version: "v1".into(),
        slots: 8,
        draining: false,
        started: 1,
    };
    let entries: BTreeMap<_, _> = (0..count).map(|index| (upstream(index), entry(index))).collect();
    let mut state = State::new(Settings::default(), DataCentre::from("here"), seed);
    state.replace(&entries);
    state
}

fn choose(state: &mut State, now: u64) -> Pick {
    let (service, excluded) = (Service::from("model"), BTreeSet::new());
    let criteria = Criteria {
        service: &service,
        class: Class::Online,
        excluded: &excluded,
        version: None,
        objective: Millis(300),
    };
    state.choose(Millis(now), criteria).unwrap()
}

fn paces(percent: impl Fn(usize) -> u16, age: u16) -> Vec<Report> {
    let report =
        |index| Report { upstream: Digest::of(&upstream(index)), percent: percent(index), age };
    (0..COUNT).map(report).collect()
}

/// Requests in flight of other nodes, the same at each upstream, as a sum that is `interval` old.
fn update_fleet_loads(state: &mut State, now: u64, online: u32) {
    let load = Load { online, batch: 0 };
    let loads = (0..COUNT).map(|index| (Digest::of(&upstream(index)), load)).collect();
    state.update_fleet_loads(Millis(now), loads);
}

/// How many of 60 nodes choose each upstream for one request by the same reports.
fn choices(reports: &[Vec<Report>], age: u64) -> BTreeMap<Upstream, usize> {
    let mut counts = BTreeMap::new();
    for seed in 0..60 {
        let mut state = state(seed);
        for (index, reports) in reports.iter().enumerate() {
            state.update_paces(Millis(1_000 + 100 * index as u64), Origin::Fleet, reports);
        }
        let reported_at = 1_000 + 100 * (reports.len() as u64 - 1);
        update_fleet_loads(&mut state, reported_at, 4);
        *counts.entry(choose(&mut state, reported_at + age).upstream).or_default() += 1;
    }
    counts
}

/// Deployments whose upstreams state three figures are served as before: the figures change no choice.
#[test]
fn loads_without_a_pace_change_no_choice() {
    let (mut plain, mut stating) = (state(1), state(1));
    for now in 0..200 {
        let (expected, pick) = (choose(&mut plain, now), choose(&mut stating, now));
        assert_eq!(expected, pick);
        let stated = Stated { running: 8, waiting: now as u32, slots: 8, pace: None };
        stating.record_stated(Millis(now), &pick, stated);
        plain.finish(Millis(now + 1), &expected, Outcome::Succeeded);
        stating.finish(Millis(now + 1), &pick, Outcome::Succeeded);
    }
    assert!(stating.pace_reports(Millis(200), Millis(0), Origin::Fleet).is_empty());
}

/// An upstream that takes longer at the moment gets fewer requests, also of nodes that haven't heard
/// from it themselves.
#[test]
fn slow_pace_of_another_nodes_report_is_avoided() {
    let usual = paces(|_| 100, 0);
    let slow = paces(|index| if index == 0 { 800 } else { 100 }, 0);
    let chosen = choices(&[usual, slow], 30).remove(&upstream(0)).unwrap_or_default();
    assert!(chosen <= 1, "{chosen} of 60");
}

/// An old pace says nothing: the upstream gets its share again without another statement.
#[test]
fn pace_is_forgotten_with_age() {
    let usual = paces(|_| 100, 0);
    let slow = paces(|index| if index % 2 == 0 { 400 } else { 100 }, 0);
    let counts = choices(&[usual.clone(), usual.clone(), usual, slow], 900);
    let slow: usize = (0..COUNT).step_by(2).filter_map(|index| counts.get(&upstream(index))).sum();
    assert!((15..=40).contains(&slow), "{slow} of 60");
}

/// Nodes that learn at the same moment that one upstream is fast must not all choose it.
#[test]
fn fast_upstream_is_not_overrun() {
    let usual = paces(|_| 200, 0);
    let fast = paces(|index| if index == 0 { 50 } else { 200 }, 0);
    let chosen = choices(&[usual, fast], 150).remove(&upstream(0)).unwrap_or_default();
    assert!((1..=20).contains(&chosen), "{chosen} of 60");
}

/// Nodes that receive one statement over several ways must not take it for a later one, and a report
/// of an older statement must not replace a newer one.
#[test]
fn older_and_repeated_reports_are_ignored() {
    let mut state = state(1);
    let report = |percent, age| Report { upstream: Digest::of(&upstream(0)), percent, age };
    state.update_paces(Millis(1_000), Origin::Fleet, &[report(100, 0)]);
    state.update_paces(Millis(1_100), Origin::Fleet, &[report(300, 10)]);
    state.update_paces(Millis(1_110), Origin::Fleet, &[report(250, 5), report(500, 200)]);
    let known = state.pace_reports(Millis(1_200), Millis(1_050), Origin::Fleet);
    assert_eq!(known, [report(300, 110)]);
    assert!(state.pace_reports(Millis(1_200), Millis(0), Origin::Own).is_empty());
    assert!(state.pace_reports(Millis(1_200), Millis(1_101), Origin::Fleet).is_empty());
}

/// A pace that other nodes expect anyway would only cost bytes.
#[test]
fn expected_paces_are_not_reported() {
    let mut state = state(1);
    let pick = choose(&mut state, 0);
    let stated = |pace| Stated { running: 1, waiting: 0, slots: 8, pace: Some(pace) };
    for now in [1_000, 5_000, 9_000] {
        state.record_stated(Millis(now), &pick, stated(100));
    }
    assert!(state.pace_reports(Millis(9_000), Millis(9_000), Origin::Own).is_empty());
    state.record_stated(Millis(9_100), &pick, stated(250));
    assert_eq!(state.pace_reports(Millis(9_100), Millis(9_100), Origin::Own).len(), 1);
}

/// A statement of the process before must not count for the one that took its place.
#[test]
fn restarted_upstream_has_no_pace() {
    let mut state = state(1);
    let pick = choose(&mut state, 0);
    let stated = Stated { running: 1, waiting: 0, slots: 8, pace: Some(250) };
    state.record_stated(Millis(5), &Pick { started: 0, ..pick.clone() }, stated);
    assert!(state.pace_reports(Millis(5), Millis(0), Origin::Own).is_empty());
    state.record_stated(Millis(5), &pick, stated);
    assert_eq!(state.pace_reports(Millis(5), Millis(0), Origin::Own).len(), 1);
}

/// A node alone with few requests must not open a connection to nearly every upstream, and must not
/// stay at an upstream that others have loaded for the sake of its connection.
#[test]
fn connections_are_reused_while_the_upstream_has_room() {
    const LARGE: usize = 30;
    let mut state = state_of(LARGE, 1);
    state.update_paces(Millis(0), Origin::Fleet, &paces(|_| 100, 0));
    let mut used = BTreeSet::new();
    for round in 1..30 {
        let pick = choose(&mut state, 300 * round);
        state.finish(Millis(300 * round + 200), &pick, Outcome::Succeeded);
        used.insert(pick.upstream);
    }
    assert!(used.len() <= 2, "{used:?}");
    let load = |index| if used.contains(&upstream(index)) { 7 } else { 0 };
    let loads = (0..LARGE)
        .map(|index| (Digest::of(&upstream(index)), Load { online: load(index), batch: 0 }))
        .collect();
    state.update_fleet_loads(Millis(9_000), loads);
    assert!(!used.contains(&choose(&mut state, 9_010).upstream));
}
