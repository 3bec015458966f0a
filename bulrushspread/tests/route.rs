//! Tests of the choice of replicas: it skips replicas that can't serve a request, keeps light load
//! at the front of the shared order and spreads heavy load.

use std::collections::BTreeMap;

use bulrushspread::{
    id::{DataCentre, Incarnation, Upstream, Vm},
    membership::{
        View,
        view::{Node, Replica},
    },
    rendezvous,
    route::{Criteria, Isolation, Load, Pick, Settings, State, state::Outcome},
    time::Millis,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SERVES: &str = "svetovalec";

fn proptest_config() -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    }
}

fn view(nodes: usize, replicas: usize) -> View {
    let address = "127.0.0.1:1".parse().unwrap();
    let data_centre = DataCentre::from("celje-b");
    let node = Node {
        address,
        data_centre: data_centre.clone(),
        incarnation: Incarnation(1),
        leaving: false,
    };
    let replica = Replica { serves: SERVES.into(), address, data_centre, leaving: false };
    let nodes = (0..nodes).map(|index| (Vm(format!("entry-{index}")), node.clone()));
    let upstreams = (0..replicas).map(|index| (name(index), replica.clone()));
    View { nodes: nodes.collect(), upstreams: upstreams.collect() }
}

fn name(index: usize) -> Upstream {
    Upstream(format!("engine-{index}"))
}

fn state(view: &View) -> State {
    let mut state = State::new(Settings::default(), DataCentre::from("celje-b"), 1);
    state.apply_view(Millis(0), view);
    state
}

fn criteria() -> Criteria {
    Criteria { serves: SERVES.into(), ..Criteria::default() }
}

fn load(upstream: Upstream, in_flight: u32, loaded: &[&str]) -> Load {
    let loaded = loaded.iter().map(ToString::to_string).collect();
    Load { upstream, in_flight, slots: 16, age: Millis(0), loaded, leaving: false }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// In any sequence of picks, finished requests and changes of `leaving`, no leaving or ejected
    /// replica is chosen, and the numbers in flight equal the picks that have not finished.
    #[test]
    fn only_eligible_replicas_are_chosen_and_every_pick_is_counted(
        replicas in 1_usize..12,
        steps in prop::collection::vec((0_u8..5, 0_usize..12, 0_u64..400), 1..200),
    ) {
        let mut view = view(3, replicas);
        let mut state = state(&view);
        let mut unfinished: Vec<Pick> = Vec::new();
        let mut ejections: BTreeMap<Upstream, Millis> = BTreeMap::new();
        let mut now = Millis(0);
        for (kind, index, pause) in steps {
            now = now + Millis(pause);
            match kind {
                0 | 1 => {
                    let Ok(pick) = state.pick(now, &criteria()) else { continue };
                    prop_assert!(!view.upstreams[&pick.upstream].leaving);
                    let ejected = ejections.get(&pick.upstream).is_some_and(|until| now < *until);
                    prop_assert!(!ejected, "{} was ejected", pick.upstream);
                    unfinished.push(pick);
                }
                2 if !unfinished.is_empty() => {
                    let pick = unfinished.swap_remove(index % unfinished.len());
                    state.finish(now, &pick, Outcome::Succeeded);
                    ejections.remove(&pick.upstream);
                }
                3 if !unfinished.is_empty() => {
                    let pick = unfinished.swap_remove(index % unfinished.len());
                    state.finish(now, &pick, Outcome::Crashed);
                    let least = now + Millis(Settings::default().eject_ms / 2);
                    ejections.entry(pick.upstream).or_insert(least);
                }
                _ => {
                    if let Some(replica) = view.upstreams.get_mut(&name(index)) {
                        replica.leaving = !replica.leaving;
                    }
                    state.apply_view(now, &view);
                }
            }
            for upstream in view.upstreams.keys() {
                let count = unfinished.iter().filter(|pick| pick.upstream == *upstream).count();
                prop_assert_eq!(state.in_flight(upstream) as usize, count);
            }
        }
    }

    /// Light online load stays at the front of the shared order, so that batch work has the back.
    #[test]
    fn light_load_stays_at_the_front(nodes in 1_usize..4, replicas in 6_usize..30) {
        let view = view(nodes, replicas);
        let mut state = state(&view);
        let order = rendezvous::rank(SERVES, view.upstreams.keys());
        for step in 0..50 {
            let picks: Vec<Pick> =
                (0..2).filter_map(|_| state.pick(Millis(step * 20), &criteria()).ok()).collect();
            for pick in picks {
                let rank = order.iter().position(|upstream| **upstream == pick.upstream);
                prop_assert!(rank < Some(2), "{rank:?}");
                state.finish(Millis(step * 20 + 10), &pick, Outcome::Succeeded);
            }
        }
    }

    /// A load of as many requests as slots spills over instead of piling up: no replica gets more
    /// than one and a half times its slots.
    #[test]
    fn heavy_load_is_spread(replicas in 2_usize..20) {
        let mut state = state(&view(1, replicas));
        let total = replicas * 16;
        let mut counts: BTreeMap<Upstream, usize> = BTreeMap::new();
        for _ in 0..total {
            let pick = state.pick(Millis(0), &criteria()).expect("a replica");
            *counts.entry(pick.upstream).or_default() += 1;
        }
        let highest = counts.values().max().copied().unwrap_or_default();
        prop_assert!(highest <= 24, "{counts:?}");
    }
}

#[test]
fn requests_for_a_model_go_only_to_replicas_that_loaded_it() {
    let mut state = state(&view(1, 4));
    for index in 0..4 {
        let loaded: &[&str] = if index == 2 { &["base", "base:slo"] } else { &["base"] };
        state.apply_loads(Millis(1), &[load(name(index), 0, loaded)]);
    }
    let adapter = Criteria { model: Some("base:slo".into()), ..criteria() };
    for _ in 0..20 {
        assert_eq!(state.pick(Millis(2), &adapter).expect("a replica").upstream, name(2));
    }
    let missing = Criteria { model: Some("base:pol".into()), ..criteria() };
    assert!(state.pick(Millis(2), &missing).is_err());
}

#[test]
fn a_replica_that_reports_leaving_gets_no_further_requests() {
    let mut state = state(&view(1, 3));
    let leaving = Load { leaving: true, ..load(name(1), 0, &[]) };
    state.apply_loads(Millis(5), &[leaving]);
    for _ in 0..60 {
        assert_ne!(state.pick(Millis(6), &criteria()).expect("a replica").upstream, name(1));
    }
}

#[test]
fn exclusive_requests_get_a_replica_each_and_no_other_request_joins_them() {
    let mut state = state(&view(1, 3));
    let exclusive = Criteria { isolation: Isolation::Exclusive, ..criteria() };
    let first = state.pick(Millis(0), &exclusive).expect("a replica");
    let second = state.pick(Millis(0), &exclusive).expect("a second replica");
    assert_ne!(first.upstream, second.upstream);
    for _ in 0..20 {
        let pick = state.pick(Millis(0), &criteria()).expect("the third replica");
        assert!(pick.upstream != first.upstream && pick.upstream != second.upstream);
    }
}

#[test]
fn a_hot_prefix_stays_at_one_replica_until_that_is_full() {
    let mut state = state(&view(1, 10));
    let hot = Criteria { prefix: Some(42), ..criteria() };
    let picks: Vec<Pick> =
        (0..60).map(|_| state.pick(Millis(0), &hot).expect("a replica")).collect();
    let same = picks[..4].iter().filter(|pick| pick.upstream == picks[0].upstream).count();
    assert_eq!(same, 4);
    let total = picks.iter().filter(|pick| pick.upstream == picks[0].upstream).count();
    assert!(total <= 24, "{total}");
}
