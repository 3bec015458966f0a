//! The time that one decision takes.

use std::{hint::black_box, time::Instant};

use bulrushspread::{
    admit::{
        self,
        state::{Decision, Request as AdmitRequest},
    },
    attempt::{
        self, Fingerprint,
        state::{Event, NodeState, Repeatability, Request},
    },
    config::document::WorkspaceSpec,
    id::{Upstream, Workspace},
    route::{Criteria, state::Outcome},
    time::Millis,
};
use serde::Serialize;

use crate::fake;

/// Number of decisions over which each figure is averaged.
const ROUNDS: u32 = 200_000;
/// Requests in flight at the node while it decides.
const IN_FLIGHT: usize = 64;
const WORKSPACES: usize = 1_400;

/// Microseconds of one decision of each kind.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Line {
    nodes: usize,
    replicas: usize,
    admit_us: f64,
    route_us: f64,
    attempt_us: f64,
}

/// Measures at one size of the fleet.
pub(crate) fn measure(nodes: usize, replicas: usize) -> Line {
    Line {
        nodes,
        replicas,
        admit_us: admit(nodes),
        route_us: route(nodes, replicas),
        attempt_us: attempt(),
    }
}

fn time(mut decide: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut decide);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// Admits a request and releases its ticket.
fn admit(nodes: usize) -> f64 {
    let mut state = admit::State::new(admit::Settings::default());
    state.set_node_count(nodes);
    let spec = WorkspaceSpec {
        key_digests: Vec::new(),
        requests_per_s: 1e9,
        tokens_per_s: 1e12,
        concurrency: u32::MAX,
        weight: 1,
    };
    let workspaces: Vec<Workspace> =
        (0..WORKSPACES).map(|index| Workspace(format!("workspace-{index}"))).collect();
    time(|round| {
        let now = Millis(u64::from(round / 100));
        let request = AdmitRequest {
            workspace: workspaces[round as usize % WORKSPACES].clone(),
            target: fake::SERVES.into(),
            tokens: 100,
            deadline: now + Millis(60_000),
        };
        if let Decision::Admitted(ticket) = state.admit(now, request, &spec, 9_600) {
            black_box(state.release(now, ticket, 50));
        }
    })
}

/// Picks a replica and finishes another request, with requests in flight and varying prefixes.
fn route(nodes: usize, replicas: usize) -> f64 {
    let mut state = fake::state(nodes, replicas, 1);
    let criteria = |round: u32| Criteria {
        serves: fake::SERVES.into(),
        model: Some(fake::SERVES.into()),
        prefix: Some(u64::from(round).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        ..Criteria::default()
    };
    let mut held: Vec<_> =
        (0..IN_FLIGHT).filter_map(|_| state.pick(Millis(0), &criteria(0)).ok()).collect();
    time(|round| {
        let now = Millis(u64::from(round / 100));
        let Ok(pick) = state.pick(now, &criteria(round)) else { return };
        let slot = round as usize % held.len();
        let ended = std::mem::replace(&mut held[slot], pick);
        state.observe_latency(&ended.upstream, Millis(40));
        black_box(state.finish(now, &ended, Outcome::Succeeded));
    })
}

/// Starts a request, dispatches it and applies the two events of its stream.
fn attempt() -> f64 {
    let mut node = NodeState::new(attempt::Settings::default(), 1);
    let fingerprint = Fingerprint::of(&Workspace::from("zadruga"), b"body");
    let upstream = Upstream::from("engine-1");
    time(|round| {
        let now = Millis(u64::from(round / 100));
        let mut request =
            Request::new(fingerprint, Repeatability::Idempotent, now + Millis(60_000));
        black_box(request.apply(now, Event::Begin, &mut node));
        let picked = Event::Picked { upstream: upstream.clone() };
        black_box(request.apply(now, picked, &mut node));
        let first = Event::Token { attempt: 1, index: 0, last: false };
        black_box(request.apply(now, first, &mut node));
        let last = Event::Token { attempt: 1, index: 1, last: true };
        black_box(request.apply(now, last, &mut node));
    })
}
