//! Compares three ways to choose a replica under the same requests.

use std::collections::BTreeMap;

use bulrushspread::{
    id::Upstream,
    route::{Criteria, Load, Pick, State, state::Outcome},
    time::Millis,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::fake::{self, Engine, Job, NEAR, SLOTS};

const REPLICAS: usize = 10;
const REQUESTS: usize = 20_000;
/// Mean milliseconds of work of one request whose prefix is not cached.
const WORK_MS: f64 = 200.0;
/// Number of prefixes that one replica caches.
const CACHE: usize = 8;
/// Milliseconds between two load reports, and from a report to its use.
const REPORT_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Policy {
    Ours,
    RoundRobin,
    LeastReported,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Scenario {
    /// Many nodes act on one stale report.
    StaleReport,
    /// One replica takes five times as long.
    SlowReplica,
    /// One in ten requests to the other data centre takes 400 ms longer.
    LossyLink,
    /// Half of the requests share one prefix, the others have 100.
    HotPrefix,
}

impl Scenario {
    /// Share of all slots that the requests take. The near data centre alone can carry the
    /// requests of the lossy link.
    fn load(self) -> f64 {
        match self {
            Scenario::LossyLink => 0.3,
            _ => 0.5,
        }
    }
}

/// Milliseconds from arrival to completion, and requests at the fullest replica.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Line {
    scenario: Scenario,
    policy: Policy,
    mean_ms: u64,
    p50_ms: u64,
    p99_ms: u64,
    deepest: usize,
}

/// Runs all scenarios with all policies.
pub(crate) fn compare(seed: u64) -> Vec<Line> {
    let scenarios =
        [Scenario::StaleReport, Scenario::SlowReplica, Scenario::LossyLink, Scenario::HotPrefix];
    let policies = [Policy::Ours, Policy::RoundRobin, Policy::LeastReported];
    let runs = scenarios
        .into_iter()
        .flat_map(|scenario| policies.map(move |policy| Run::new(scenario, policy, seed).run()));
    runs.collect()
}

enum Event {
    Arrive(usize),
    End { replica: usize, job: usize },
    Report,
    Learn(Vec<Load>),
}

struct Run {
    scenario: Scenario,
    policy: Policy,
    rng: SmallRng,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    engines: Vec<Engine>,
    nodes: Vec<State>,
    turns: Vec<usize>,
    reported: Vec<u32>,
    /// By request: its arrival, its node and its pick.
    requests: Vec<(u64, usize, Option<Pick>)>,
    taken: Vec<u64>,
    deepest: usize,
}

impl Run {
    fn new(scenario: Scenario, policy: Policy, seed: u64) -> Run {
        let nodes = if scenario == Scenario::StaleReport { 50 } else { 12 };
        let near = if scenario == Scenario::LossyLink { NEAR } else { REPLICAS };
        let mut rng = SmallRng::seed_from_u64(seed);
        Run {
            scenario,
            policy,
            events: BTreeMap::new(),
            sequence: 0,
            engines: vec![Engine::default(); REPLICAS],
            nodes: (0..nodes)
                .map(|node| fake::spread_state(nodes, REPLICAS, seed + node as u64, near))
                .collect(),
            turns: (0..nodes).map(|_| rng.random_range(0..REPLICAS)).collect(),
            reported: vec![0; REPLICAS],
            requests: Vec::new(),
            taken: Vec::new(),
            deepest: 0,
            rng,
        }
    }

    fn run(mut self) -> Line {
        let rate = self.scenario.load() * (REPLICAS * SLOTS) as f64 / WORK_MS;
        let mut at = 0.0;
        for number in 0..REQUESTS {
            at += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            let node = self.rng.random_range(0..self.nodes.len());
            self.requests.push((at as u64, node, None));
            self.push(at as u64, Event::Arrive(number));
        }
        self.push(0, Event::Report);
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Arrive(number) => self.arrive(now, number),
                Event::End { replica, job } => self.end(now, replica, job),
                Event::Report if self.taken.len() < REQUESTS => self.report(now),
                Event::Report => {}
                Event::Learn(loads) => self.learn(now, &loads),
            }
        }
        self.taken.sort_unstable();
        let percentile = |share: f64| self.taken[(share * (self.taken.len() - 1) as f64) as usize];
        Line {
            scenario: self.scenario,
            policy: self.policy,
            mean_ms: self.taken.iter().sum::<u64>() / self.taken.len() as u64,
            p50_ms: percentile(0.5),
            p99_ms: percentile(0.99),
            deepest: self.deepest,
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn arrive(&mut self, now: u64, number: usize) {
        let prefix = self.prefix(number);
        let replica = self.choose(now, number, prefix);
        let work = -(1.0 - self.rng.random::<f64>()).ln() * WORK_MS;
        let work = Millis(work as u64 + 1);
        self.engines[replica].queue.push_back(Job { number, prefix, work });
        let engine = &self.engines[replica];
        self.deepest = self.deepest.max(engine.queue.len() + engine.running);
        self.start(now, replica);
    }

    fn prefix(&mut self, number: usize) -> u64 {
        match self.scenario {
            Scenario::HotPrefix if self.rng.random::<bool>() => 0,
            Scenario::HotPrefix => self.rng.random_range(1..=100),
            _ => number as u64 + 1_000,
        }
    }

    fn choose(&mut self, now: u64, number: usize, prefix: u64) -> usize {
        let node = self.requests[number].1;
        match self.policy {
            Policy::Ours => {
                let criteria = Criteria {
                    serves: fake::SERVES.into(),
                    prefix: Some(prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                    ..Criteria::default()
                };
                let pick = self.nodes[node].pick(Millis(now), &criteria).expect("a replica");
                let replica = fake::index(&pick.upstream);
                self.requests[number].2 = Some(pick);
                replica
            }
            Policy::RoundRobin => {
                self.turns[node] = (self.turns[node] + 1) % REPLICAS;
                self.turns[node]
            }
            Policy::LeastReported => {
                let least = (0..REPLICAS).min_by_key(|replica| self.reported[*replica]);
                least.unwrap_or_default()
            }
        }
    }

    fn start(&mut self, now: u64, replica: usize) {
        while self.engines[replica].running < SLOTS {
            let Some(job) = self.engines[replica].queue.pop_front() else { return };
            self.engines[replica].running += 1;
            let hit = self.engines[replica].cached(job.prefix, CACHE);
            let mut work = if hit { job.work.0 / 2 } else { job.work.0 };
            if self.scenario == Scenario::SlowReplica && replica == 0 {
                work *= 5;
            }
            let far = self.scenario == Scenario::LossyLink && replica >= NEAR;
            if far && self.rng.random_range(0..10) == 0 {
                work += 400;
            }
            self.push(now + work.max(1), Event::End { replica, job: job.number });
        }
    }

    fn end(&mut self, now: u64, replica: usize, number: usize) {
        self.engines[replica].running -= 1;
        let (arrived, node, pick) = self.requests[number].clone();
        self.taken.push(now - arrived);
        if let Some(pick) = pick {
            let upstream: &Upstream = &pick.upstream;
            self.nodes[node].observe_latency(upstream, Millis(now - arrived));
            self.nodes[node].finish(Millis(now), &pick, Outcome::Succeeded);
        }
        self.start(now, replica);
    }

    fn report(&mut self, now: u64) {
        let loads = self.engines.iter().enumerate().map(|(index, engine)| engine.load(index));
        let loads = loads.collect();
        self.push(now + REPORT_LAG_MS, Event::Learn(loads));
        self.push(now + REPORT_MS, Event::Report);
    }

    fn learn(&mut self, now: u64, loads: &[Load]) {
        self.reported = loads.iter().map(|load| load.in_flight).collect();
        let aged: Vec<Load> =
            loads.iter().map(|load| Load { age: Millis(REPORT_LAG_MS), ..load.clone() }).collect();
        self.nodes.iter_mut().for_each(|node| node.apply_loads(Millis(now), &aged));
    }
}
