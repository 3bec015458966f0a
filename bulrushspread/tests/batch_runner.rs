//! Tests the state machine of the batch runners with random interleavings of events.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    batch::{
        message::{RunEnd, Ticket, Work},
        runner::{
            Settings, State,
            message::{Action, Event, Execution, ExecutionEnd, Kind, OnlineCount, Spec},
        },
    },
    id::{Epoch, Item, Model, Partition, Upstream, Vm, Workspace},
    time::Millis,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const REPLICAS: usize = 3;
const SLOTS: u32 = 6;

#[derive(Clone, Debug)]
enum Step {
    Grant { items: u32 },
    Dispatch { replica: usize },
    Finish { replica: usize },
    OnlineNearby { replica: usize },
    Token { nth: usize },
    End { nth: usize, end: ExecutionEnd },
    ConfirmCancel { nth: usize },
    Stop { item: u32 },
    Acknowledge,
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let reason = || "test".to_string();
    let end = prop_oneof![
        4 => Just(ExecutionEnd::Finished { last: None, reason: "stop".to_string(), created: 1 }),
        1 => Just(ExecutionEnd::NotRun { reason: reason() }),
        1 => Just(ExecutionEnd::Interrupted { reason: reason() }),
        1 => Just(ExecutionEnd::Failed { reason: reason() }),
        1 => Just(ExecutionEnd::Crashed { reason: reason() }),
    ];
    prop_oneof![
        3 => (1..6u32).prop_map(|items| Step::Grant { items }),
        2 => (0..REPLICAS).prop_map(|replica| Step::Dispatch { replica }),
        3 => (0..REPLICAS).prop_map(|replica| Step::Finish { replica }),
        1 => (0..REPLICAS).prop_map(|replica| Step::OnlineNearby { replica }),
        8 => any::<usize>().prop_map(|nth| Step::Token { nth }),
        3 => (any::<usize>(), end).prop_map(|(nth, end)| Step::End { nth, end }),
        4 => any::<usize>().prop_map(|nth| Step::ConfirmCancel { nth }),
        1 => (0..60u32).prop_map(|item| Step::Stop { item }),
        1 => Just(Step::Acknowledge),
        4 => (1..3_000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Simulates engines, online callers and partition owners around the state and records what they
/// observe.
struct World {
    state: State,
    settings: Settings,
    now: Millis,
    sequence: u64,
    online: BTreeMap<Upstream, u32>,
    running: BTreeMap<Execution, Upstream>,
    cancelling: BTreeMap<Execution, Upstream>,
    text: BTreeMap<Ticket, Vec<String>>,
    reported: Vec<(Ticket, RunEnd)>,
    ends: BTreeMap<Ticket, RunEnd>,
    granted: BTreeSet<Ticket>,
    stopped: BTreeSet<Ticket>,
}

impl World {
    fn new() -> World {
        let settings = Settings { streams: 4, prefills: 2, ..Settings::default() };
        let mut world = World {
            state: State::new(settings.clone()),
            settings,
            now: Millis(1),
            sequence: 0,
            online: BTreeMap::new(),
            running: BTreeMap::new(),
            cancelling: BTreeMap::new(),
            text: BTreeMap::new(),
            reported: Vec::new(),
            ends: BTreeMap::new(),
            granted: BTreeSet::new(),
            stopped: BTreeSet::new(),
        };
        world.apply(Event::ReplicasChanged((0..REPLICAS).map(|n| (upstream(n), spec())).collect()));
        world
    }

    fn apply(&mut self, event: Event) {
        for action in self.state.apply(self.now, event) {
            self.handle_action(action);
        }
        for n in 0..REPLICAS {
            self.check_replica(&upstream(n));
        }
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Start { execution, upstream, text, .. } => {
                assert!(!self.stopped.contains(&execution.ticket), "a stopped ticket started");
                assert!(!self.ends.contains_key(&execution.ticket), "an ended ticket started");
                assert_eq!(self.online.get(&upstream).copied().unwrap_or(0), 0);
                let received = self.text.entry(execution.ticket.clone()).or_default();
                assert_eq!(*received, text, "a start lost tokens");
                self.running.insert(execution, upstream);
            }
            Action::Cancel { execution, upstream } => {
                self.running.remove(&execution);
                self.cancelling.insert(execution, upstream);
            }
            Action::ReportOutcomes(outcomes) => {
                for outcome in outcomes {
                    let before = self.ends.insert(outcome.ticket.clone(), outcome.end.clone());
                    assert!(
                        before.is_none_or(|end| end == outcome.end),
                        "a ticket has two different outcomes"
                    );
                    self.reported.push((outcome.ticket, outcome.end));
                }
            }
            Action::Pull { .. }
            | Action::RenewHolding(_)
            | Action::NotifyFollowing { .. }
            | Action::RecordYield { .. } => {}
        }
    }

    fn check_replica(&self, upstream: &Upstream) {
        let here = |streams: &BTreeMap<Execution, Upstream>| {
            streams.values().filter(|at| *at == upstream).count()
        };
        let streams = here(&self.running) + here(&self.cancelling);
        assert!(streams <= self.settings.streams.min(SLOTS) as usize, "too many batch streams");
        if self.online.get(upstream).is_some_and(|in_flight| *in_flight > 0) {
            assert_eq!(here(&self.running), 0, "a batch stream runs beside online work");
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Grant { items } => self.grant(items),
            Step::Dispatch { replica } => self.count(replica, 1),
            Step::Finish { replica } => self.count(replica, -1),
            Step::OnlineNearby { replica } => {
                self.apply(Event::OnlineNearby { upstream: upstream(replica) })
            }
            Step::Token { nth } => self.token(nth),
            Step::End { nth, end } => self.end(nth, end),
            Step::ConfirmCancel { nth } => self.confirm_cancel(nth),
            Step::Stop { item } => self.stop(item),
            Step::Acknowledge => self.acknowledge(),
            Step::Wait { millis } => {
                self.now = self.now + Millis(millis);
                self.resend_counts();
                self.apply(Event::Tick);
            }
        }
    }

    fn grant(&mut self, items: u32) {
        let first = self.granted.len() as u32;
        let work: Vec<Work> = (first..first + items).map(work).collect();
        self.granted.extend(work.iter().map(|work| work.ticket.clone()));
        self.apply(Event::Granted(work));
    }

    fn count(&mut self, replica: usize, change: i32) {
        let upstream = upstream(replica);
        let in_flight = self.online.entry(upstream.clone()).or_default();
        *in_flight = in_flight.saturating_add_signed(change);
        let in_flight = *in_flight;
        self.send_count(upstream, in_flight);
    }

    /// Sends counts again before they expire, as the nodes of online callers do.
    fn resend_counts(&mut self) {
        for (upstream, in_flight) in self.online.clone() {
            if in_flight > 0 {
                self.send_count(upstream, in_flight);
            }
        }
    }

    fn send_count(&mut self, upstream: Upstream, in_flight: u32) {
        self.sequence += 1;
        let count = OnlineCount { from: Vm::from("entry-1"), sequence: self.sequence, in_flight };
        self.apply(Event::OnlineCount { upstream, count });
    }

    fn token(&mut self, nth: usize) {
        let Some((execution, _)) = pick(&self.running, nth) else { return };
        let text = self.text.entry(execution.ticket.clone()).or_default();
        let index = text.len() as u32;
        text.push(format!("t{index} "));
        self.apply(Event::Token { execution, index, text: format!("t{index} ") });
    }

    fn end(&mut self, nth: usize, end: ExecutionEnd) {
        let Some((execution, at)) = pick(&self.running, nth) else { return };
        self.running.remove(&execution);
        let others = self.running.values().filter(|other| **other == at).count();
        if matches!(end, ExecutionEnd::Crashed { .. }) {
            self.running.retain(|_, other| *other != at);
        }
        let reported = self.reported.len();
        self.apply(Event::Ended { execution, end });
        self.apply(Event::Tick);
        let is_crash = |(_, end): &(Ticket, RunEnd)| matches!(end, RunEnd::Crashed { .. });
        assert!(
            others == 0 || !self.reported[reported..].iter().any(is_crash),
            "an item that ran beside others was reported as the cause of a crash"
        );
    }

    fn confirm_cancel(&mut self, nth: usize) {
        let Some((execution, upstream)) = pick(&self.cancelling, nth) else { return };
        self.cancelling.remove(&execution);
        self.apply(Event::Cancelled { upstream, execution });
    }

    fn stop(&mut self, item: u32) {
        let ticket = ticket(item);
        self.stopped.insert(ticket.clone());
        self.apply(Event::Stop(vec![ticket.clone()]));
        assert!(
            !self.running.keys().any(|execution| execution.ticket == ticket),
            "a stopped item runs"
        );
    }

    fn acknowledge(&mut self) {
        let tickets = std::mem::take(&mut self.reported).into_iter().map(|(ticket, _)| ticket);
        let tickets = tickets.collect();
        self.apply(Event::Acknowledged(tickets));
    }
}

fn pick(streams: &BTreeMap<Execution, Upstream>, nth: usize) -> Option<(Execution, Upstream)> {
    let nth = nth.checked_rem(streams.len())?;
    streams.iter().nth(nth).map(|(execution, at)| (execution.clone(), at.clone()))
}

fn upstream(n: usize) -> Upstream {
    Upstream(format!("lm-{n}"))
}

fn spec() -> Spec {
    let models = vec![Model::from("small")];
    Spec { kind: Kind::Engine, serves: "lm-pool".to_string(), models, slots: SLOTS }
}

fn ticket(item: u32) -> Ticket {
    Ticket {
        partition: Partition(0),
        epoch: Epoch(1),
        job: "job-1".into(),
        item: Item(item),
        attempt: 1,
    }
}

fn work(item: u32) -> Work {
    Work {
        ticket: ticket(item),
        workspace: Workspace::from("zadruga"),
        due_in: Millis(600_000),
        idempotent: true,
        url: "/v1/completions".to_string(),
        model: Some(Model::from("small")),
        body: r#"{"model":"small","prompt":"route notes"}"#.to_string(),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn gives_each_ticket_one_outcome_and_online_work_the_replica(steps in vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
        }
        world.apply(Event::Drain);
        while !world.cancelling.is_empty() {
            world.confirm_cancel(0);
        }
        world.acknowledge();
        for ticket in world.granted.difference(&world.stopped) {
            prop_assert!(world.ends.contains_key(ticket), "{ticket:?} has no outcome");
        }
        prop_assert_eq!(world.state.held_count(), 0);
    }
}

#[test]
fn resumes_at_the_position_after_online_work_has_left() {
    let mut world = World::new();
    world.grant(1);
    world.token(0);
    world.token(0);
    let (_, at) = pick(&world.running, 0).expect("the item runs");
    let replica = (0..REPLICAS).find(|n| upstream(*n) == at).expect("the replica is known");
    world.count(replica, 1);
    assert_eq!(world.state.running_streams(&at), 0);
    world.confirm_cancel(0);
    world.run(Step::Wait { millis: 1 });
    assert_eq!(world.running.len(), 1, "the item resumes on another replica");
    assert_eq!(world.text[&ticket(0)].len(), 2);
}

#[test]
fn ignores_counts_that_arrive_out_of_order() {
    let mut world = World::new();
    let count = |sequence, in_flight| Event::OnlineCount {
        upstream: upstream(0),
        count: OnlineCount { from: Vm::from("entry-1"), sequence, in_flight },
    };
    world.apply(count(2, 0));
    world.apply(count(1, 3));
    world.grant(4 * REPLICAS as u32);
    assert!(
        world.state.running_streams(&upstream(0)) > 0,
        "an outdated count kept batch work away"
    );
}

/// Guards against giving up an item because connections to upstreams broke before its first token,
/// as they do when an upstream crashes behind a proxy or is back at once.
#[test]
fn connections_that_break_before_the_first_token_are_no_failures_of_the_item() {
    let mut world = World::new();
    world.grant(1);
    for _ in 0..40 {
        world.end(0, ExecutionEnd::Interrupted { reason: "connection reset".to_string() });
        world.run(Step::Wait { millis: 500 });
    }
    assert_eq!(world.ends, BTreeMap::from([(ticket(0), RunEnd::Returned)]));
}

#[test]
fn answers_of_failure_are_failures_of_the_item() {
    let mut world = World::new();
    world.grant(1);
    world.end(0, ExecutionEnd::Failed { reason: "status 500".to_string() });
    assert!(matches!(world.ends[&ticket(0)], RunEnd::Failed { .. }));
}

#[test]
fn fails_an_item_that_never_ends() {
    let mut world = World::new();
    world.grant(1);
    let limit = world.settings.item_ms;
    world.run(Step::Wait { millis: limit });
    assert!(matches!(world.ends[&ticket(0)], RunEnd::Failed { .. }));
    assert!(world.running.is_empty());
}
