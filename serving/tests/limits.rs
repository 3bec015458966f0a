//! Rate limits of upstreams that many nodes keep together, with late and lost gossip.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serving::{
    balance::{
        Class, Criteria, Outcome, Pick, Refusal, Settings, State,
        limit::{Rate, Report},
    },
    fleet::Entry,
    id::{DataCentre, Incarnation, Service, Upstream, Vm},
    time::Millis,
};

/// Step of the simulation.
const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 24_000;
/// Time after a limit was first named from which requests are counted.
const LEARNING_MS: u64 = 3_000;
/// Time over which requests are counted.
const WINDOW_MS: u64 = 4_000;
const GOSSIP_MS: u64 = 40;
const SLOTS: u32 = 8;

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    nodes: usize,
    /// Requests per second that each upstream takes.
    limits: Vec<f64>,
    /// Online requests per second of all nodes, relative to the sum of the limits.
    pressure: f64,
    /// Interval at which the load moves to other nodes.
    shift_ms: u64,
    /// Share of the load that one node has, in percent; the others share the rest.
    skew: u64,
    /// Batch requests that wait at each node ask for a slot at this interval.
    batch_interval_ms: Option<u64>,
    gossip_delay_ms: u64,
    /// Lost messages in percent.
    loss: u64,
    restart_interval_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Outcomes {
    /// Times of the requests that each upstream got.
    sends: Vec<Vec<u64>>,
    /// Batch requests from the learning time on.
    batch_sends: usize,
    refused: usize,
    retry_after: Vec<u64>,
}

impl Outcomes {
    fn max_in_window(&self, upstream: usize) -> usize {
        let sends = &self.sends[upstream];
        let counted: Vec<u64> = sends.iter().copied().filter(|at| *at >= LEARNING_MS).collect();
        let count = |start: &u64| {
            counted.iter().filter(|at| (*start..start + WINDOW_MS).contains(*at)).count()
        };
        counted.iter().map(count).max().unwrap_or(0)
    }

    /// Requests per second from the learning time on.
    fn rate(&self, upstream: usize) -> f64 {
        let counted = self.sends[upstream].iter().filter(|at| **at >= LEARNING_MS).count();
        counted as f64 * 1_000.0 / (DURATION_MS - LEARNING_MS) as f64
    }
}

fn upstream(index: usize) -> Upstream {
    Upstream(format!("replica-{index}"))
}

fn new_state(scenario: &Scenario, node: usize) -> State {
    let entry = |index: usize| Entry {
        service: "model".into(),
        address: format!("10.0.1.{}:80", index + 1).parse().unwrap(),
        data_centre: "here".into(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
        started: 1,
    };
    let entries = (0..scenario.limits.len()).map(|index| (upstream(index), entry(index))).collect();
    let mut state =
        State::new(Settings::default(), DataCentre::from("here"), scenario.seed ^ node as u64);
    state.replace(&entries);
    state
}

struct Message {
    at: u64,
    to: usize,
    from: usize,
    incarnation: u64,
    sequence: u64,
    reports: Vec<Report>,
}

/// Simulates nodes whose responses all name the limit of their upstream.
fn run(scenario: &Scenario) -> Outcomes {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut nodes: Vec<(State, u64)> =
        (0..scenario.nodes).map(|node| (new_state(scenario, node), 0)).collect();
    let mut outcomes =
        Outcomes { sends: vec![Vec::new(); scenario.limits.len()], ..Outcomes::default() };
    let mut answers: Vec<(u64, usize, u64, Pick)> = Vec::new();
    let mut messages: Vec<Message> = Vec::new();
    let mut latest: BTreeMap<(usize, usize), (u64, u64)> = BTreeMap::new();
    let rate = scenario.limits.iter().sum::<f64>() * scenario.pressure;
    let mut busiest = 0;
    for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let is_due = |interval: u64| now % interval < STEP_MS;
        if is_due(scenario.shift_ms) {
            busiest = rng.random_range(0..scenario.nodes);
        }
        if now > 0 && scenario.restart_interval_ms.is_some_and(is_due) {
            let node = rng.random_range(0..scenario.nodes);
            nodes[node] = (new_state(scenario, node), now);
        }
        let mut asks: Vec<(usize, Class)> = Vec::new();
        if rng.random_bool((rate * STEP_MS as f64 / 1_000.0).min(1.0)) {
            let node = match rng.random_range(0..100) < scenario.skew {
                true => busiest,
                false => rng.random_range(0..scenario.nodes),
            };
            asks.push((node, Class::Online));
        }
        if scenario.batch_interval_ms.is_some_and(is_due) {
            asks.extend((0..scenario.nodes).map(|node| (node, Class::Batch)));
        }
        for (node, class) in asks {
            let service = Service::from("model");
            let excluded = BTreeSet::new();
            let objective = Millis(300);
            let criteria = Criteria {
                service: &service,
                class,
                excluded: &excluded,
                version: None,
                objective,
            };
            let (state, started) = &mut nodes[node];
            match state.choose(Millis(now), criteria) {
                Ok(pick) => {
                    let index = (0..scenario.limits.len())
                        .find(|index| upstream(*index) == pick.upstream)
                        .unwrap();
                    outcomes.batch_sends +=
                        usize::from(class == Class::Batch && now >= LEARNING_MS);
                    // Requests of a node that has just started are excused.
                    if *started == 0 || now >= *started + LEARNING_MS {
                        outcomes.sends[index].push(now);
                    }
                    answers.push((now + rng.random_range(50..600), node, *started, pick));
                }
                Err(Refusal::Limited { retry_after }) if class == Class::Online => {
                    outcomes.refused += 1;
                    outcomes.retry_after.push(retry_after.0);
                }
                Err(_) => {}
            }
        }
        let due: Vec<_> = answers.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, node, started, pick) in due {
            if nodes[node].1 != started {
                continue;
            }
            let state = &mut nodes[node].0;
            let index =
                (0..scenario.limits.len()).find(|index| upstream(*index) == pick.upstream).unwrap();
            let rate = Rate::new(scenario.limits[index]).unwrap();
            state.record_limit(Millis(now), &pick, Some(rate));
            state.finish(Millis(now), &pick, Outcome::Succeeded);
        }
        let due: Vec<Message> = messages.extract_if(.., |message| message.at <= now).collect();
        for message in due {
            let version = (message.incarnation, message.sequence);
            let known = latest.entry((message.to, message.from)).or_default();
            if version <= *known {
                continue;
            }
            *known = version;
            let vm = Vm(format!("vm-{}", message.from));
            let incarnation = Incarnation(message.incarnation);
            nodes[message.to].0.update_limits(Millis(now), &vm, incarnation, message.reports);
        }
        if !is_due(GOSSIP_MS) {
            continue;
        }
        for from in 0..scenario.nodes {
            let (state, started) = &mut nodes[from];
            let reports = state.own_limits(Millis(now));
            for to in (0..scenario.nodes).filter(|to| *to != from) {
                if rng.random_range(0..100) >= scenario.loss {
                    messages.push(Message {
                        at: now + rng.random_range(1..=scenario.gossip_delay_ms),
                        to,
                        from,
                        incarnation: *started + 1,
                        sequence: now + 1,
                        reports: reports.clone(),
                    });
                }
            }
        }
    }
    outcomes
}

fn max_allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(27), failure_persistence: None, ..Config::default() }
}

prop_compose! {
    fn scenario()(
        seed in any::<u64>(),
        nodes in 1_usize..16,
        limits in proptest::collection::vec(0.5_f64..6.0, 1..8),
        pressure in 0.5_f64..5.0,
        shift_ms in 400_u64..8_000,
        skew in 0_u64..=100,
        batch_interval_ms in proptest::option::of(40_u64..400),
        gossip_delay_ms in 2_u64..500,
        loss in 0_u64..40,
        restart_interval_ms in proptest::option::of(1_000_u64..5_000),
    ) -> Scenario {
        Scenario {
            seed, nodes, limits, pressure, shift_ms, skew, batch_interval_ms, gossip_delay_ms, loss,
            restart_interval_ms,
        }
    }
}

proptest! {
    #![proptest_config(config(64))]

    /// Each node alone sends less than the limit, and all together more.
    #[test]
    fn no_upstream_gets_more_than_its_limit_allows(scenario in scenario()) {
        let outcomes = run(&scenario);
        for (index, limit) in scenario.limits.iter().enumerate() {
            let count = outcomes.max_in_window(index);
            prop_assert!(count <= max_allowed(*limit), "{count} requests in 4 s at {limit}/s");
        }
    }

    /// A limit that is shared out in fixed parts is lost where a node has no callers, or is refused
    /// to the node that has all of them.
    #[test]
    fn limits_are_used_while_callers_wait(scenario in scenario()) {
        const MIN_USE: f64 = 0.75;
        let pressure = scenario.pressure.max(2.5);
        let scenario = Scenario { pressure, restart_interval_ms: None, ..scenario };
        let outcomes = run(&scenario);
        for (index, limit) in scenario.limits.iter().enumerate() {
            let rate = outcomes.rate(index);
            prop_assert!(rate >= MIN_USE * limit, "{rate} of {limit} requests a second");
        }
    }
}

/// While online callers are refused, batch requests get almost nothing of the limits.
#[test]
fn batch_gives_way_to_online_requests() {
    let scenario = Scenario {
        seed: 3,
        nodes: 12,
        limits: vec![2.0, 3.0],
        pressure: 3.0,
        shift_ms: 1_000,
        skew: 30,
        batch_interval_ms: Some(40),
        gossip_delay_ms: 40,
        loss: 5,
        restart_interval_ms: None,
    };
    let outcomes = run(&scenario);
    let all: usize = outcomes.sends.iter().map(Vec::len).sum();
    assert!(outcomes.refused > 100, "{} refused", outcomes.refused);
    assert!(
        outcomes.batch_sends * 10 <= all,
        "{} of {all} are batch requests",
        outcomes.batch_sends
    );
    // Some 10 of 15 requests a second are refused, and 5 a second are served.
    let longest = outcomes.retry_after.iter().max().unwrap();
    assert!((1_000..5_000).contains(longest), "{longest} ms");
}

/// A node that sends alone keeps the limit from the response that names it to the one that doesn't.
#[test]
fn limit_ends_with_an_answer_without_it() {
    let scenario = Scenario {
        seed: 1,
        nodes: 1,
        limits: vec![1.0],
        pressure: 1.0,
        shift_ms: 1_000,
        skew: 0,
        batch_interval_ms: None,
        gossip_delay_ms: 1,
        loss: 0,
        restart_interval_ms: None,
    };
    let mut state = new_state(&scenario, 0);
    let service = Service::from("model");
    let excluded = BTreeSet::new();
    let criteria = Criteria {
        service: &service,
        class: Class::Online,
        excluded: &excluded,
        version: None,
        objective: Millis(300),
    };
    let send = |state: &mut State, now: u64| {
        let pick = state.choose(Millis(now), criteria);
        if let Ok(pick) = &pick {
            state.finish(Millis(now), pick, Outcome::Succeeded);
        }
        pick
    };
    let first = send(&mut state, 0).unwrap();
    state.record_limit(Millis(0), &first, Some(Rate::new(1.0).unwrap()));
    let admitted = (0..100).filter(|index| send(&mut state, index * 10).is_ok()).count();
    assert!(admitted <= 3, "{admitted} requests in a second");
    state.record_limit(Millis(1_000), &first, None);
    assert!((0..100).all(|index| send(&mut state, 1_000 + index).is_ok()));
}

/// A limit of zero must not keep the nodes from learning that it has ended.
#[test]
fn upstream_with_a_limit_of_zero_gets_a_request_now_and_then() {
    let scenario = Scenario {
        seed: 5,
        nodes: 6,
        limits: vec![0.0],
        pressure: 1.0,
        shift_ms: 1_000,
        skew: 0,
        batch_interval_ms: Some(40),
        gossip_delay_ms: 30,
        loss: 0,
        restart_interval_ms: None,
    };
    let outcomes = run(&scenario);
    let later = outcomes.sends[0].iter().filter(|at| **at >= LEARNING_MS).count();
    assert!((1..=6).contains(&later), "{later} requests in 21 s");
}
