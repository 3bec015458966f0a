//! Limits hold across nodes, the queue is fair, and requests that would wait too long are refused
//! without delay.

use std::collections::BTreeMap;

use bulrushspread::{
    admit::{
        Settings, State,
        account::limit,
        message::Amount,
        queue::{Queue, Ticket},
        share::{Allocator, BASE_SHARE},
        state::{Action, Decision, Request},
    },
    config::document::WorkspaceSpec,
    error::Kind,
    id::{Vm, Workspace},
    time::Millis,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const EXPIRY: Millis = Millis(2_500);

fn config() -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

fn spec(requests_per_s: f64, concurrency: u32) -> WorkspaceSpec {
    let (key_digests, weight) = (Vec::new(), 1);
    WorkspaceSpec { key_digests, requests_per_s, tokens_per_s: 1e9, concurrency, weight }
}

fn request(workspace: &str, deadline: u64) -> Request {
    Request {
        workspace: Workspace::from(workspace),
        target: "svetovalec".into(),
        tokens: 10,
        deadline: Millis(deadline),
    }
}

/// Simulates nodes with the given rates of requests in steps of 10 ms. Returns the number of
/// admitted requests.
fn count_admitted(nodes: usize, spec: &WorkspaceSpec, rates: &[f64], seconds: u64) -> f64 {
    let mut states: Vec<State> = (0..nodes).map(|_| State::new(Settings::default())).collect();
    states.iter_mut().for_each(|state| state.set_node_count(nodes));
    let (mut allocator, mut due) = (Allocator::default(), vec![0.0; nodes]);
    let mut admitted = 0.0;
    for step in 0..seconds * 100 {
        let now = Millis(step * 10);
        for (index, state) in states.iter_mut().enumerate() {
            due[index] += rates[index % rates.len()] / 100.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                let decision = state.admit(now, request("zadruga", now.0 + 10_000), spec, 1 << 20);
                if let Decision::Admitted(ticket) = decision {
                    admitted += 1.0;
                    state.release(now, ticket, 10);
                }
            }
            if step % 50 == 0 {
                let demands = state.take_demands(now);
                let vm = Vm(format!("entry-{index}"));
                let share = |(workspace, demand): (Workspace, Amount)| {
                    let terms = (limit(spec), nodes, EXPIRY);
                    let share = allocator.allocate(now, &workspace, &vm, demand, terms);
                    (workspace, share)
                };
                let shares = demands.into_iter().map(share).collect();
                state.apply_grants(now, shares);
            }
        }
    }
    admitted
}

proptest! {
    #![proptest_config(config())]

    /// Tolerance: the nodes admit at most 10% and the burst of one second more than the limit,
    /// and at least 85% of the limit is usable however the demand is distributed over the nodes.
    #[test]
    fn a_limit_holds_across_nodes_and_can_be_used(
        nodes in 2_usize..13,
        rates in prop::collection::vec(prop::sample::select(vec![0.0, 5.0, 40.0, 400.0]), 1..12),
    ) {
        let spec = spec(100.0, 100_000);
        let demanded: f64 = (0..nodes).map(|index| rates[index % rates.len()]).sum();
        let seconds = 20;
        let admitted = count_admitted(nodes, &spec, &rates, seconds);
        let limit = 100.0 * seconds as f64;
        prop_assert!(admitted <= limit * 1.1 + 100.0 + nodes as f64, "{admitted} over {limit}");
        let usable = limit.min(demanded * seconds as f64);
        prop_assert!(admitted >= usable * 0.85 - 100.0, "{admitted} of {usable}");
    }

    #[test]
    fn shares_never_exceed_the_limit(
        nodes in 1_usize..40,
        demands in prop::collection::vec(0.0_f32..1_000.0, 1..40),
    ) {
        let mut allocator = Allocator::default();
        let total = Amount { requests_per_s: 300.0, tokens_per_s: 1e6, concurrency: 50.0 };
        let workspace = Workspace::from("zadruga");
        let mut sum = 0.0;
        let reporting = demands.len().min(nodes);
        for round in 0..2 {
            for (index, demand) in demands.iter().take(reporting).enumerate() {
                let demand = Amount { requests_per_s: *demand, ..Amount::default() };
                let vm = Vm(format!("entry-{index}"));
                let terms = (total, nodes, EXPIRY);
                let share = allocator.allocate(Millis(0), &workspace, &vm, demand, terms);
                sum += if round == 1 { share.requests_per_s } else { 0.0 };
            }
        }
        let quiet = (nodes - reporting) as f32 * total.requests_per_s * BASE_SHARE / nodes as f32;
        prop_assert!(sum + quiet <= total.requests_per_s * 1.001, "{sum} and {quiet}");
    }

    /// While all workspaces have waiting requests, their started costs differ by at most the cost
    /// of one request of each.
    #[test]
    fn the_queue_is_fair_by_cost(costs in prop::collection::vec((0_usize..3, 1_u32..50), 30..90)) {
        let names = ["zadruga", "zbiorka", "depot"].map(Workspace::from);
        let mut queue = Queue::default();
        queue.capacity = 1;
        queue.start();
        let mut pushed = BTreeMap::new();
        for (index, (name, cost)) in costs.iter().enumerate() {
            queue.push(Ticket(index as u64), &names[*name], *cost);
            pushed.insert(Ticket(index as u64), (*name, *cost));
        }
        let (mut started, mut waiting) = ([0_u32; 3], [0_usize; 3]);
        costs.iter().for_each(|(name, _)| waiting[*name] += 1);
        while waiting.iter().all(|waiting| *waiting > 0) {
            queue.complete(Millis(10));
            let (name, cost) = pushed[&queue.pop().expect("a request waits")];
            started[name] += cost;
            waiting[name] -= 1;
            let difference = started.iter().max().unwrap() - started.iter().min().unwrap();
            prop_assert!(difference <= 100, "{started:?}");
        }
    }

    /// Guards against requests lost in the queue: each waiting request is admitted or refused once.
    #[test]
    fn every_waiting_request_gets_one_decision(
        steps in prop::collection::vec((0_u8..3, 1_u64..200), 1..200),
    ) {
        let mut state = State::new(Settings { overcommit: 1.0, ..Settings::default() });
        let spec = spec(1e6, 1_000_000);
        let (mut now, mut running, mut waiting) = (Millis(0), Vec::new(), Vec::new());
        for (kind, pause) in steps {
            now = now + Millis(pause);
            let actions = match kind {
                0 | 1 => {
                    match state.admit(now, request("zadruga", now.0 + 2_000), &spec, 2) {
                        Decision::Admitted(ticket) => running.push(ticket),
                        Decision::Queued(ticket) => waiting.push(ticket),
                        Decision::Refused(error) => {
                            prop_assert_eq!(error.kind, Kind::DeadlineUnreachable);
                            prop_assert!(error.retry_after_seconds().is_some());
                        }
                    }
                    state.tick(now)
                }
                _ => running.pop().map(|ticket| state.release(now, ticket, 0)).unwrap_or_default(),
            };
            for action in actions {
                let (Action::Admit(ticket) | Action::Refuse(ticket, _)) = action;
                prop_assert!(waiting.contains(&ticket));
                waiting.retain(|waiting| *waiting != ticket);
                if matches!(action, Action::Admit(_)) {
                    running.push(ticket);
                }
            }
            prop_assert!(running.len() <= 2);
            prop_assert_eq!(state.waiting(), waiting.len());
            prop_assert!(waiting.is_empty() || running.len() == 2);
        }
    }
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_refused_at_once() {
    let mut state = State::new(Settings { overcommit: 1.0, ..Settings::default() });
    let spec = spec(1e6, 1_000_000);
    let decisions: Vec<Decision> =
        (0..40).map(|_| state.admit(Millis(0), request("zadruga", 1_000), &spec, 1)).collect();
    let refused = decisions.iter().filter(|decision| matches!(decision, Decision::Refused(_)));
    assert!(refused.count() >= 30);
    assert!(matches!(decisions[0], Decision::Admitted(_)));
    assert!(matches!(decisions[1], Decision::Queued(_)));
}
