//! The choice of a replica respects what is known, and spreads what is not.

use std::collections::BTreeMap;

use bulrushspread::{
    id::{DataCentre, Incarnation, Upstream, Vm},
    membership::{
        View,
        view::{Node, Replica},
    },
    rendezvous,
    route::{Isolation, Load, Pick, Settings, State, Want, state::End},
    time::Millis,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SERVES: &str = "svetovalec";

fn config() -> Config {
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
    state.update(Millis(0), view);
    state
}

fn want() -> Want {
    Want { serves: SERVES.into(), ..Want::default() }
}

fn load(upstream: Upstream, in_flight: u32, loaded: &[&str]) -> Load {
    let loaded = loaded.iter().map(ToString::to_string).collect();
    Load { upstream, in_flight, slots: 16, age: Millis(0), loaded, leaving: false }
}

proptest! {
    #![proptest_config(config())]

    /// In any run of picks, ends and marks: no leaving, ejected or unfit replica is chosen, and
    /// the numbers in flight are those of the picks that have not ended.
    #[test]
    fn only_fit_replicas_are_chosen_and_all_are_counted(
        replicas in 1_usize..12,
        steps in prop::collection::vec((0_u8..5, 0_usize..12, 0_u64..400), 1..200),
    ) {
        let mut view = view(3, replicas);
        let mut state = state(&view);
        let mut open: Vec<Pick> = Vec::new();
        let mut dead: BTreeMap<Upstream, Millis> = BTreeMap::new();
        let mut now = Millis(0);
        for (kind, index, pause) in steps {
            now = now + Millis(pause);
            match kind {
                0 | 1 => {
                    let Ok(pick) = state.pick(now, &want()) else { continue };
                    prop_assert!(!view.upstreams[&pick.upstream].leaving);
                    let ejected = dead.get(&pick.upstream).is_some_and(|until| now < *until);
                    prop_assert!(!ejected, "{} was ejected", pick.upstream);
                    open.push(pick);
                }
                2 if !open.is_empty() => {
                    let pick = open.swap_remove(index % open.len());
                    state.end(now, &pick, End::Succeeded);
                    dead.remove(&pick.upstream);
                }
                3 if !open.is_empty() => {
                    let pick = open.swap_remove(index % open.len());
                    state.end(now, &pick, End::Died);
                    let least = now + Millis(Settings::default().eject_ms / 2);
                    dead.entry(pick.upstream).or_insert(least);
                }
                _ => {
                    if let Some(replica) = view.upstreams.get_mut(&name(index)) {
                        replica.leaving = !replica.leaving;
                    }
                    state.update(now, &view);
                }
            }
            for upstream in view.upstreams.keys() {
                let count = open.iter().filter(|pick| pick.upstream == *upstream).count();
                prop_assert_eq!(state.in_flight(upstream) as usize, count);
            }
        }
    }

    /// Light online load stays at the front of the shared order, so that batch keeps the back.
    #[test]
    fn a_light_load_stays_at_the_front(nodes in 1_usize..4, replicas in 6_usize..30) {
        let view = view(nodes, replicas);
        let mut state = state(&view);
        let order = rendezvous::rank(SERVES, view.upstreams.keys());
        for step in 0..50 {
            let picks: Vec<Pick> =
                (0..2).filter_map(|_| state.pick(Millis(step * 20), &want()).ok()).collect();
            for pick in picks {
                let rank = order.iter().position(|upstream| **upstream == pick.upstream);
                prop_assert!(rank < Some(2), "{rank:?}");
                state.end(Millis(step * 20 + 10), &pick, End::Succeeded);
            }
        }
    }

    /// However many come, they spill over rather than pile up on a few replicas.
    #[test]
    fn a_heavy_load_is_spread(replicas in 2_usize..20) {
        let mut state = state(&view(1, replicas));
        let total = replicas * 16;
        let mut counts: BTreeMap<Upstream, usize> = BTreeMap::new();
        for _ in 0..total {
            let pick = state.pick(Millis(0), &want()).expect("a replica");
            *counts.entry(pick.upstream).or_default() += 1;
        }
        let highest = counts.values().max().copied().unwrap_or_default();
        prop_assert!(highest <= 24, "{counts:?}");
    }
}

#[test]
fn a_model_is_sent_only_where_it_is_loaded() {
    let mut state = state(&view(1, 4));
    for index in 0..4 {
        let loaded: &[&str] = if index == 2 { &["base", "base:slo"] } else { &["base"] };
        state.report(Millis(1), &[load(name(index), 0, loaded)]);
    }
    let adapter = Want { model: Some("base:slo".into()), ..want() };
    for _ in 0..20 {
        assert_eq!(state.pick(Millis(2), &adapter).expect("a replica").upstream, name(2));
    }
    let missing = Want { model: Some("base:pol".into()), ..want() };
    assert!(state.pick(Millis(2), &missing).is_err());
}

#[test]
fn a_replica_that_reports_leaving_gets_nothing_more() {
    let mut state = state(&view(1, 3));
    let leaving = Load { leaving: true, ..load(name(1), 0, &[]) };
    state.report(Millis(5), &[leaving]);
    for _ in 0..60 {
        assert_ne!(state.pick(Millis(6), &want()).expect("a replica").upstream, name(1));
    }
}

#[test]
fn suspects_run_at_one_replica_each_and_nothing_new_joins_them() {
    let mut state = state(&view(1, 3));
    let alone = Want { isolation: Isolation::Alone, ..want() };
    let first = state.pick(Millis(0), &alone).expect("a replica");
    let second = state.pick(Millis(0), &alone).expect("another");
    assert_ne!(first.upstream, second.upstream);
    for _ in 0..20 {
        let pick = state.pick(Millis(0), &want()).expect("the third");
        assert!(pick.upstream != first.upstream && pick.upstream != second.upstream);
    }
}

#[test]
fn a_hot_prefix_stays_together_until_its_replica_is_full() {
    let mut state = state(&view(1, 10));
    let hot = Want { prefix: Some(42), ..want() };
    let picks: Vec<Pick> =
        (0..60).map(|_| state.pick(Millis(0), &hot).expect("a replica")).collect();
    let same = picks[..4].iter().filter(|pick| pick.upstream == picks[0].upstream).count();
    assert_eq!(same, 4);
    let all = picks.iter().filter(|pick| pick.upstream == picks[0].upstream).count();
    assert!(all <= 24, "{all}");
}
