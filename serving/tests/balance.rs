//! Tests of load balancing: the choice of the upstream and the refusal of requests.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    balance::{
        Class, Criteria, Digest, Load, Outcome, Pick, Refusal, Settings, State, limit::Rate,
    },
    fleet::Entry,
    id::{DataCentre, Service, Upstream, Vm},
    time::Millis,
};

const SLOTS: u32 = 8;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() }
}

fn upstream(index: usize) -> Upstream {
    Upstream(format!("replica-{index}"))
}

/// Entries of `count` upstreams, which alternate between the data centres `here` and `there`.
fn fleet(count: usize) -> BTreeMap<Upstream, Entry> {
    let entry = |index: usize| Entry {
        service: Service::from("model"),
        address: format!("10.0.0.{}:80", index + 1).parse().unwrap(),
        data_centre: DataCentre::from(if index.is_multiple_of(2) { "here" } else { "there" }),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
        started: 1,
    };
    (0..count).map(|index| (upstream(index), entry(index))).collect()
}

fn state(count: usize) -> State {
    let mut state = State::new(Settings::default(), DataCentre::from("here"), 1);
    state.replace(&fleet(count));
    state
}

fn choose(state: &mut State, now: u64, class: Class) -> Result<Pick, Refusal> {
    let service = Service::from("model");
    let (excluded, objective) = (BTreeSet::new(), Millis(300));
    let criteria =
        Criteria { service: &service, class, excluded: &excluded, version: None, objective };
    state.choose(Millis(now), criteria)
}

fn update_loads(state: &mut State, now: u64, vm: &str, loads: &[(usize, u32)]) {
    let load = |online| Load { online, batch: 0 };
    let loads = loads.iter().map(|(index, online)| (Digest::of(&upstream(*index)), load(*online)));
    state.update_loads(Millis(now), &Vm::from(vm), loads.collect());
}

#[test]
fn least_loaded_upstream_is_chosen() {
    let mut state = state(3);
    update_loads(&mut state, 0, "other", &[(0, 5), (1, 7)]);
    assert_eq!(choose(&mut state, 10, Class::Online).unwrap().upstream, upstream(2));
}

#[test]
fn own_data_centre_is_preferred_up_to_the_bias() {
    let mut state = state(2);
    update_loads(&mut state, 0, "other", &[(0, 1)]);
    assert_eq!(choose(&mut state, 10, Class::Online).unwrap().upstream, upstream(0));
    update_loads(&mut state, 20, "other", &[(0, 4)]);
    assert_eq!(choose(&mut state, 30, Class::Online).unwrap().upstream, upstream(1));
}

#[test]
fn burst_is_refused_once_no_upstream_can_answer_in_time() {
    let mut state = state(2);
    let capacity = 2 * (SLOTS + Settings::default().queue_unknown);
    for _ in 0..capacity {
        choose(&mut state, 0, Class::Online).unwrap();
    }
    let refusal = choose(&mut state, 0, Class::Online).unwrap_err();
    assert!(matches!(refusal, Refusal::Full { .. }));
}

#[test]
fn refused_callers_come_back_at_different_times() {
    let mut state = state(1);
    let times: BTreeSet<Millis> = (0..50).map(|_| state.retry_after()).collect();
    let settings = Settings::default();
    assert!(times.len() > 20);
    assert!(times.iter().all(|at| at.0 >= settings.retry_after_ms));
    assert!(times.iter().all(|at| at.0 <= settings.retry_after_ms + settings.retry_spread_ms));
}

#[test]
fn batch_leaves_slots_to_online_requests() {
    let mut state = state(1);
    let service = Service::from("model");
    assert_eq!(state.free_batch_slots(Millis(0), &service), SLOTS - 1);
    while state.free_batch_slots(Millis(0), &service) > 0 {
        choose(&mut state, 0, Class::Batch).unwrap();
    }
    assert_eq!(state.occupancy(Millis(0), &service).0.batch, SLOTS - 1);
    assert!(choose(&mut state, 0, Class::Online).is_ok());
}

/// Guards against batch requests that never start again because the load of a node that has gone
/// keeps all slots taken: without a start, nothing else removed that load.
#[test]
fn load_of_a_node_that_has_gone_frees_its_slots_for_batch() {
    let mut state = state(1);
    let service = Service::from("model");
    update_loads(&mut state, 0, "gone", &[(0, SLOTS)]);
    assert_eq!(state.free_batch_slots(Millis(10), &service), 0);
    let expired = Millis(Settings::default().load_expiry_ms);
    assert_eq!(state.free_batch_slots(expired, &service), SLOTS - 1);
}

#[test]
fn online_requests_beyond_the_slots_pause_as_many_batch_requests() {
    let mut state = state(1);
    while choose(&mut state, 0, Class::Batch).is_ok() {}
    assert!(state.excess_batch().is_empty());
    choose(&mut state, 0, Class::Online).unwrap();
    assert_eq!(state.excess_batch(), BTreeMap::from([(upstream(0), 1)]));
}

#[test]
fn draining_upstream_gets_no_requests() {
    let mut entries = fleet(2);
    entries.get_mut(&upstream(0)).unwrap().draining = true;
    let mut state = state(2);
    state.replace(&entries);
    for _ in 0..5 {
        assert_eq!(choose(&mut state, 0, Class::Online).unwrap().upstream, upstream(1));
    }
}

/// A stream must not go on at an upstream of another version, however much room it has.
#[test]
fn request_that_needs_a_version_goes_to_no_other_one() {
    let mut entries = fleet(4);
    for index in 2..4 {
        entries.get_mut(&upstream(index)).unwrap().version = "v2".into();
    }
    let mut state = state(4);
    state.replace(&entries);
    update_loads(&mut state, 0, "other", &[(0, 5), (1, 6)]);
    let (service, version, excluded) = ("model".into(), "v1".into(), BTreeSet::new());
    let criteria = Criteria {
        service: &service,
        class: Class::Online,
        excluded: &excluded,
        version: Some(&version),
        objective: Millis(300),
    };
    let pick = state.choose(Millis(0), criteria).unwrap();
    assert_eq!((pick.upstream, pick.version), (upstream(0), "v1".into()));
    let unknown = "v3".into();
    let refusal = state.choose(Millis(0), Criteria { version: Some(&unknown), ..criteria });
    assert!(matches!(refusal, Err(Refusal::NoUpstream { .. })), "{refusal:?}");
}

/// What the registry says, in any order, must not bring back a process that is leaving. Another
/// process under the same id serves.
#[test]
fn upstream_that_says_that_it_leaves_gets_no_requests() {
    let mut state = state(2);
    let leaving = choose(&mut state, 0, Class::Online).unwrap();
    state.finish(Millis(0), &leaving, Outcome::Neutral);
    let leaving = Pick { upstream: upstream(0), ..leaving };
    assert!(state.record_leaving(&leaving));
    assert!(!state.record_leaving(&leaving), "known already");
    let entries = fleet(2);
    let first = entries[&upstream(0)].clone();
    for _ in 0..3 {
        for _ in 0..5 {
            let pick = choose(&mut state, 10_000, Class::Batch).unwrap();
            assert_eq!(pick.upstream, upstream(1));
            state.finish(Millis(10_000), &pick, Outcome::Succeeded);
        }
        state.upsert(&upstream(0), &Entry { draining: true, ..first.clone() });
        state.upsert(&upstream(0), &first);
        state.remove(&upstream(0));
        state.upsert(&upstream(0), &first);
    }
    state.remove(&upstream(1));
    assert!(choose(&mut state, 10_000, Class::Online).is_err());
    state.upsert(&upstream(0), &Entry { started: 2, ..first });
    assert_eq!(choose(&mut state, 10_000, Class::Online).unwrap().upstream, upstream(0));
}

#[test]
fn failed_upstream_is_avoided_unless_it_is_the_only_one() {
    let mut state = state(2);
    let pick = choose(&mut state, 0, Class::Online).unwrap();
    state.finish(Millis(0), &pick, Outcome::Failed);
    assert_ne!(choose(&mut state, 1, Class::Online).unwrap().upstream, pick.upstream);
    let mut single = self::state(1);
    let pick = choose(&mut single, 0, Class::Online).unwrap();
    single.finish(Millis(0), &pick, Outcome::Failed);
    assert_eq!(choose(&mut single, 1, Class::Online).unwrap().upstream, pick.upstream);
}

/// Guards against sending further requests to an upstream that is gone while the registry, which may
/// be unavailable, still lists it.
#[test]
fn upstream_whose_address_belongs_to_another_one_gets_no_requests_until_its_entry_changes() {
    let mut state = state(3);
    let pick = choose(&mut state, 0, Class::Online).unwrap();
    state.finish(Millis(0), &pick, Outcome::Misdirected);
    let last = Settings::default().misdirected_ms - 1;
    for now in [1, last] {
        for _ in 0..SLOTS {
            let other = choose(&mut state, now, Class::Online).unwrap();
            assert_ne!(other.upstream, pick.upstream);
            state.finish(Millis(now), &other, Outcome::Succeeded);
        }
    }
    let mut entries = fleet(3);
    entries.get_mut(&pick.upstream).unwrap().address = "10.0.1.1:80".parse().unwrap();
    state.replace(&entries);
    let mut chosen = (0..3).map(|_| choose(&mut state, last, Class::Online).unwrap().upstream);
    assert!(chosen.any(|upstream| upstream == pick.upstream));
}

/// An upstream that fails every second request never reaches two consecutive failures, so its
/// ejection must grow with its failure rate.
#[test]
fn ejection_grows_with_the_failure_rate() {
    let mut state = state(2);
    let settings = Settings::default();
    let mut now = 0;
    for _ in 0..10 {
        for outcome in [Outcome::Succeeded, Outcome::Failed] {
            let pick = choose(&mut state, now, Class::Online).unwrap();
            let is_faulty = pick.upstream == upstream(0);
            state.finish(Millis(now), &pick, if is_faulty { outcome } else { Outcome::Succeeded });
            now += settings.eject_max_ms + 1;
        }
    }
    let remaining: Vec<Millis> = state
        .own_ejections(Millis(now - settings.eject_max_ms - 1))
        .into_iter()
        .map(|(_, remaining)| remaining)
        .collect();
    assert!(remaining.iter().all(|time| time.0 > settings.eject_ms), "{remaining:?}");
}

#[test]
fn upstream_ejected_by_several_nodes_gets_no_requests() {
    let mut state = state(2);
    let ejected = [(Digest::of(&upstream(0)), Millis(500))];
    state.update_ejections(Millis(0), &Vm::from("a"), &ejected);
    assert_eq!(choose(&mut state, 1, Class::Online).unwrap().upstream, upstream(0));
    state.update_ejections(Millis(0), &Vm::from("b"), &ejected);
    assert_eq!(choose(&mut state, 1, Class::Online).unwrap().upstream, upstream(1));
    assert_eq!(choose(&mut state, 501, Class::Online).unwrap().upstream, upstream(0));
}

#[test]
fn service_is_never_ejected_as_a_whole() {
    let mut state = state(4);
    let ejected: Vec<_> = (0..3).map(|index| (Digest::of(&upstream(index)), Millis(500))).collect();
    for vm in ["a", "b", "c"] {
        state.update_ejections(Millis(0), &Vm::from(vm), &ejected);
    }
    let chosen: BTreeSet<Upstream> =
        (0..20).map(|_| choose(&mut state, 1, Class::Online).unwrap().upstream).collect();
    assert!(chosen.len() > 1);
}

/// Many nodes choose at once with the same load updates. Without random choice they would all send
/// to the same upstreams.
#[test]
fn burst_at_many_nodes_spreads_over_a_large_service() {
    let mut chosen: BTreeMap<Upstream, u32> = BTreeMap::new();
    for node in 0..60 {
        let mut state = State::new(Settings::default(), DataCentre::from("here"), node);
        state.replace(&fleet(90));
        *chosen.entry(choose(&mut state, 0, Class::Online).unwrap().upstream).or_default() += 1;
    }
    assert!(chosen.values().all(|count| *count <= 6), "{chosen:?}");
}

/// A node with few requests to a large service must return to few upstreams, so that it reuses its
/// connections.
#[test]
fn node_reuses_few_upstreams_of_a_large_service() {
    let mut state = State::new(Settings::default(), DataCentre::from("here"), 7);
    state.replace(&fleet(90));
    let mut chosen = BTreeSet::new();
    for now in 0..50 {
        let pick = choose(&mut state, now, Class::Online).unwrap();
        chosen.insert(pick.upstream.clone());
        state.finish(Millis(now), &pick, Outcome::Succeeded);
    }
    assert!(chosen.len() <= 6, "{chosen:?}");
}

#[test]
fn upstream_that_refused_a_request_counts_as_full_for_a_while() {
    let mut state = state(1);
    let pick = choose(&mut state, 0, Class::Online).unwrap();
    state.finish(Millis(0), &pick, Outcome::Full);
    assert!(choose(&mut state, 1, Class::Online).is_err());
    assert!(choose(&mut state, Settings::default().full_ms + 1, Class::Online).is_ok());
}

#[test]
fn load_update_expires() {
    let mut state = state(1);
    update_loads(&mut state, 0, "other", &[(0, 100)]);
    assert!(choose(&mut state, 10, Class::Online).is_err());
    assert!(choose(&mut state, Settings::default().load_expiry_ms, Class::Online).is_ok());
}

#[test]
fn load_update_replaces_the_previous_one_of_its_node() {
    let mut state = state(1);
    update_loads(&mut state, 0, "a", &[(0, 100)]);
    update_loads(&mut state, 1, "b", &[(0, 3)]);
    update_loads(&mut state, 2, "a", &[]);
    assert_eq!(choose(&mut state, 3, Class::Online).unwrap().load, 3);
    state.replace(&fleet(2));
    assert_eq!(state.occupancy(Millis(4), &Service::from("model")).0.online, 4);
}

fn update_fleet_loads(state: &mut State, now: u64, loads: &[(usize, u32)]) {
    let load = |online| Load { online, batch: 0 };
    let loads = loads.iter().map(|(index, online)| (Digest::of(&upstream(*index)), load(*online)));
    state.update_fleet_loads(Millis(now), loads.collect());
}

/// Loads of the fleet include those of single nodes, which must not count twice.
#[test]
fn loads_of_the_fleet_replace_those_of_single_nodes() {
    let mut state = state(2);
    let service = Service::from("model");
    update_loads(&mut state, 0, "a", &[(0, 3)]);
    update_fleet_loads(&mut state, 1, &[(0, 5), (1, 1)]);
    update_loads(&mut state, 2, "a", &[(0, 4)]);
    update_loads(&mut state, 2, "b", &[(1, 4)]);
    assert_eq!(state.occupancy(Millis(3), &service).0.online, 6);
    update_fleet_loads(&mut state, 4, &[(1, 2)]);
    assert_eq!(state.occupancy(Millis(5), &service).0.online, 2);
    state.replace(&fleet(1));
    state.replace(&fleet(2));
    assert_eq!(state.occupancy(Millis(6), &service).0.online, 2, "a new entry has its load");
}

/// When the collectors are lost, the loads of the fleet expire and those of single nodes count again.
#[test]
fn loads_of_single_nodes_count_after_those_of_the_fleet_expire() {
    let mut state = state(1);
    let service = Service::from("model");
    let expiry = Settings::default().load_expiry_ms;
    update_fleet_loads(&mut state, 10, &[(0, 5)]);
    update_loads(&mut state, 9 + expiry, "a", &[(0, 3)]);
    assert_eq!(state.occupancy(Millis(9 + expiry), &service).0.online, 5);
    update_loads(&mut state, 10 + expiry, "a", &[(0, 3)]);
    assert_eq!(state.occupancy(Millis(10 + expiry), &service).0.online, 3);
}

/// A spread of retries longer than the limit of 10 s made `clamp` panic.
#[test]
fn refusal_because_of_a_limit_takes_any_retry_spread() {
    let settings = Settings { retry_spread_ms: 20_000, ..Settings::default() };
    let mut state = State::new(settings, DataCentre::from("here"), 1);
    state.replace(&fleet(1));
    let pick = choose(&mut state, 0, Class::Online).unwrap();
    state.record_limit(Millis(1), &pick, Some(Rate::new(0.0).unwrap()));
    let refusal = (0..100).find_map(|_| choose(&mut state, 2_000, Class::Online).err()).unwrap();
    assert!(matches!(refusal, Refusal::Limited { .. }), "{refusal:?}");
}

#[test]
fn restarted_upstream_starts_without_load() {
    let mut state = state(1);
    while choose(&mut state, 0, Class::Online).is_ok() {}
    let mut entries = fleet(1);
    entries.get_mut(&upstream(0)).unwrap().started = 2;
    state.replace(&entries);
    assert!(choose(&mut state, 0, Class::Online).is_ok());
}

proptest! {
    #![proptest_config(config())]

    /// The requests in flight equal the choices that have not ended.
    #[test]
    fn in_flight_counts_open_choices(choices in prop::collection::vec(any::<bool>(), 1..200)) {
        let mut state = state(3);
        let mut picks = Vec::new();
        for (now, start) in choices.into_iter().enumerate() {
            let now = now as u64;
            if start {
                picks.extend(choose(&mut state, now, Class::Online));
            } else if let Some(pick) = picks.pop() {
                state.finish(Millis(now), &pick, Outcome::Succeeded);
            }
            let counted: u32 = state.own_loads().values().map(|load| load.total()).sum();
            prop_assert_eq!(counted as usize, picks.len());
        }
    }
}

/// Lets each upstream answer 20 requests, one at a time, in its number of milliseconds.
fn answer_requests(state: &mut State, ms: &[u64]) {
    let (service, objective) = (Service::from("model"), Millis(300));
    for round in 0..20 {
        let now = round * 10_000;
        for (index, ms) in ms.iter().enumerate() {
            let others = (0..2).filter(|other| *other != index).map(upstream);
            let excluded: BTreeSet<Upstream> = others.collect();
            let criteria = Criteria {
                service: &service,
                class: Class::Online,
                excluded: &excluded,
                version: None,
                objective,
            };
            let pick = state.choose(Millis(now), criteria).unwrap();
            state.finish(Millis(now + ms), &pick, Outcome::Succeeded);
        }
    }
}

/// Number of online requests that are admitted at one moment.
fn count_admitted(state: &mut State, now: u64) -> u32 {
    (0..200).take_while(|_| choose(state, now, Class::Online).is_ok()).count() as u32
}

/// A request may wait 90 ms (`wait_share` of 300 ms). With requests of 800 ms, each place in the
/// queue takes 100 ms, so nothing is queued.
#[test]
fn burst_of_long_requests_is_refused_rather_than_queued() {
    let mut state = state(2);
    answer_requests(&mut state, &[800, 800]);
    assert_eq!(count_admitted(&mut state, 900_000), 2 * SLOTS);
}

/// All slots are in use and a request waits some 4 ms for the next one: a caller that waits 10 ms more is
/// refused, one with its whole objective left isn't.
#[test]
fn request_that_would_wait_beyond_the_time_left_is_refused() {
    let mut state = state(1);
    answer_requests(&mut state, &[30]);
    for _ in 0..SLOTS {
        choose(&mut state, 900_000, Class::Online).unwrap();
    }
    let (service, excluded) = (Service::from("model"), BTreeSet::new());
    let mut choose_with = |objective| {
        let class = Class::Online;
        let criteria =
            Criteria { service: &service, class, excluded: &excluded, version: None, objective };
        state.choose(Millis(900_000), criteria)
    };
    assert!(matches!(choose_with(Millis(10)), Err(Refusal::Full { .. })));
    assert!(choose_with(Millis(300)).is_ok());
}

/// With requests of 30 ms each place in the queue takes a few milliseconds, so the queue fills up
/// to its limit.
#[test]
fn burst_of_short_requests_is_queued_up_to_the_limit() {
    let mut state = state(2);
    answer_requests(&mut state, &[30, 30]);
    let limit = Settings::default().queue_per_upstream;
    assert_eq!(count_admitted(&mut state, 900_000), 2 * (SLOTS + limit));
}

/// One of two upstreams takes four times as long and must get fewer requests.
#[test]
fn slow_upstream_gets_fewer_requests() {
    let mut state = state(2);
    answer_requests(&mut state, &[800, 3_200]);
    let picks = (0..8).map(|_| choose(&mut state, 900_000, Class::Online).unwrap());
    let slow = picks.filter(|pick| pick.upstream == upstream(1)).count();
    assert!(slow <= 2, "{slow} of 8");
}

/// Batch items hold all slots when a burst of online requests comes. They are paused in favour of
/// online requests, so the burst is admitted.
#[test]
fn burst_is_admitted_while_batch_items_hold_the_slots() {
    let mut state = state(2);
    answer_requests(&mut state, &[800, 800]);
    for _ in 0..2 * SLOTS {
        choose(&mut state, 900_000, Class::Batch).unwrap();
    }
    assert_eq!(count_admitted(&mut state, 900_000), 2 * SLOTS);
}

/// An upstream that takes few requests a second has few slots for batch requests, whatever its
/// registry entry says.
#[test]
fn slots_of_a_limited_upstream_are_not_free_for_batch() {
    let mut state = state(2);
    for now in 0..4 {
        let pick = choose(&mut state, now, Class::Online).unwrap();
        state.finish(Millis(now + 500), &pick, Outcome::Succeeded);
        if now == 3 {
            let rate = Rate::new(4.0).unwrap();
            state.record_limit(Millis(now), &pick, Some(rate));
        }
    }
    // Requests of some 500 ms at 4 a second fill two slots.
    let free = state.free_batch_slots(Millis(1_000), &Service::from("model"));
    assert_eq!(
        free,
        ((f64::from(SLOTS) + 2.0) * (1.0 - Settings::default().online_reserve)) as u32
    );
}
