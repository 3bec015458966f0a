//! The state machine of the batch runners under random interleavings.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    batch::{
        message::{RunEnd, Ticket, Work},
        runner::{
            Settings, State,
            message::{Action, Count, Event, Fate, Spec, Start, Target},
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
    Near { replica: usize },
    Token { nth: usize },
    End { nth: usize, fate: Fate },
    Vacate { nth: usize },
    Stop { item: u32 },
    TakeOver,
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let reason = || "test".to_string();
    let fate = prop_oneof![
        4 => Just(Fate::Finished { last: None, reason: "stop".to_string(), created: 1 }),
        1 => Just(Fate::NotRun { reason: reason() }),
        1 => Just(Fate::Broken { reason: reason() }),
        1 => Just(Fate::Died { reason: reason() }),
    ];
    prop_oneof![
        3 => (1..6u32).prop_map(|items| Step::Grant { items }),
        2 => (0..REPLICAS).prop_map(|replica| Step::Dispatch { replica }),
        3 => (0..REPLICAS).prop_map(|replica| Step::Finish { replica }),
        1 => (0..REPLICAS).prop_map(|replica| Step::Near { replica }),
        8 => any::<usize>().prop_map(|nth| Step::Token { nth }),
        3 => (any::<usize>(), fate).prop_map(|(nth, fate)| Step::End { nth, fate }),
        4 => any::<usize>().prop_map(|nth| Step::Vacate { nth }),
        1 => (0..60u32).prop_map(|item| Step::Stop { item }),
        1 => Just(Step::TakeOver),
        4 => (1..3_000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Engines, callers and partition owners around the state, and what they have seen.
struct World {
    state: State,
    settings: Settings,
    now: Millis,
    sequence: u64,
    online: BTreeMap<Upstream, u32>,
    running: BTreeMap<Start, Upstream>,
    vacating: BTreeMap<Start, Upstream>,
    text: BTreeMap<Ticket, Vec<String>>,
    told: Vec<(Ticket, RunEnd)>,
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
            vacating: BTreeMap::new(),
            text: BTreeMap::new(),
            told: Vec::new(),
            ends: BTreeMap::new(),
            granted: BTreeSet::new(),
            stopped: BTreeSet::new(),
        };
        world.feed(Event::Replicas((0..REPLICAS).map(|n| (upstream(n), spec())).collect()));
        world
    }

    fn feed(&mut self, event: Event) {
        for action in self.state.apply(self.now, event) {
            self.act(action);
        }
        for n in 0..REPLICAS {
            self.check_replica(&upstream(n));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start { start, upstream, text, .. } => {
                assert!(!self.stopped.contains(&start.ticket), "a stopped ticket started");
                assert!(!self.ends.contains_key(&start.ticket), "an ended ticket started");
                assert_eq!(self.online.get(&upstream).copied().unwrap_or(0), 0);
                let so_far = self.text.entry(start.ticket.clone()).or_default();
                assert_eq!(*so_far, text, "a start lost its position");
                self.running.insert(start, upstream);
            }
            Action::Cancel { start, upstream } => {
                self.running.remove(&start);
                self.vacating.insert(start, upstream);
            }
            Action::Tell(outcomes) => {
                for outcome in outcomes {
                    let before = self.ends.insert(outcome.ticket.clone(), outcome.end.clone());
                    assert!(before.is_none_or(|end| end == outcome.end), "two outcomes");
                    self.told.push((outcome.ticket, outcome.end));
                }
            }
            Action::Pull { .. }
            | Action::Hold(_)
            | Action::Warn { .. }
            | Action::Cleared { .. } => {}
        }
    }

    fn check_replica(&self, upstream: &Upstream) {
        let here = |streams: &BTreeMap<Start, Upstream>| {
            streams.values().filter(|at| *at == upstream).count()
        };
        let streams = here(&self.running) + here(&self.vacating);
        assert!(streams <= self.settings.streams.min(SLOTS) as usize, "too many batch streams");
        if self.online.get(upstream).is_some_and(|in_flight| *in_flight > 0) {
            assert_eq!(here(&self.running), 0, "a batch stream stayed beside online work");
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Grant { items } => self.grant(items),
            Step::Dispatch { replica } => self.count(replica, 1),
            Step::Finish { replica } => self.count(replica, -1),
            Step::Near { replica } => self.feed(Event::Near { upstream: upstream(replica) }),
            Step::Token { nth } => self.token(nth),
            Step::End { nth, fate } => self.end(nth, fate),
            Step::Vacate { nth } => self.vacate(nth),
            Step::Stop { item } => self.stop(item),
            Step::TakeOver => self.take_over(),
            Step::Wait { millis } => {
                self.now = self.now + Millis(millis);
                self.refresh();
                self.feed(Event::Tick);
            }
        }
    }

    fn grant(&mut self, items: u32) {
        let first = self.granted.len() as u32;
        let work: Vec<Work> = (first..first + items).map(work).collect();
        self.granted.extend(work.iter().map(|work| work.ticket.clone()));
        self.feed(Event::Granted(work));
    }

    fn count(&mut self, replica: usize, change: i32) {
        let upstream = upstream(replica);
        let in_flight = self.online.entry(upstream.clone()).or_default();
        *in_flight = in_flight.saturating_add_signed(change);
        let in_flight = *in_flight;
        self.say_online(upstream, in_flight);
    }

    /// Callers' nodes repeat their counts before they lapse.
    fn refresh(&mut self) {
        for (upstream, in_flight) in self.online.clone() {
            if in_flight > 0 {
                self.say_online(upstream, in_flight);
            }
        }
    }

    fn say_online(&mut self, upstream: Upstream, in_flight: u32) {
        self.sequence += 1;
        let count = Count { from: Vm::from("entry-1"), sequence: self.sequence, in_flight };
        self.feed(Event::Online { upstream, count });
    }

    fn token(&mut self, nth: usize) {
        let Some((start, _)) = pick(&self.running, nth) else { return };
        let text = self.text.entry(start.ticket.clone()).or_default();
        let index = text.len() as u32;
        text.push(format!("t{index} "));
        self.feed(Event::Token { start, index, text: format!("t{index} ") });
    }

    fn end(&mut self, nth: usize, fate: Fate) {
        let Some((start, at)) = pick(&self.running, nth) else { return };
        self.running.remove(&start);
        let beside = self.running.values().filter(|other| **other == at).count();
        if matches!(fate, Fate::Died { .. }) {
            self.running.retain(|_, other| *other != at);
        }
        let told = self.told.len();
        self.feed(Event::Ended { start, fate });
        self.feed(Event::Tick);
        let blamed = |(_, end): &(Ticket, RunEnd)| matches!(end, RunEnd::Crashed { .. });
        assert!(beside == 0 || !self.told[told..].iter().any(blamed), "an innocent was blamed");
    }

    fn vacate(&mut self, nth: usize) {
        let Some((start, upstream)) = pick(&self.vacating, nth) else { return };
        self.vacating.remove(&start);
        self.feed(Event::Vacated { upstream, start });
    }

    fn stop(&mut self, item: u32) {
        let ticket = ticket(item);
        self.stopped.insert(ticket.clone());
        self.feed(Event::Stop(vec![ticket.clone()]));
        assert!(!self.running.keys().any(|start| start.ticket == ticket), "a stopped item runs");
    }

    fn take_over(&mut self) {
        let tickets = std::mem::take(&mut self.told).into_iter().map(|(ticket, _)| ticket);
        let tickets = tickets.collect();
        self.feed(Event::TakenOver(tickets));
    }
}

fn pick(streams: &BTreeMap<Start, Upstream>, nth: usize) -> Option<(Start, Upstream)> {
    let nth = nth.checked_rem(streams.len())?;
    streams.iter().nth(nth).map(|(start, at)| (start.clone(), at.clone()))
}

fn upstream(n: usize) -> Upstream {
    Upstream(format!("lm-{n}"))
}

fn spec() -> Spec {
    let models = vec![Model::from("small")];
    Spec { target: Target::Engine, serves: "lm-pool".to_string(), models, slots: SLOTS }
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
            world.take(step);
        }
        world.feed(Event::Drain);
        while !world.vacating.is_empty() {
            world.vacate(0);
        }
        world.take_over();
        for ticket in world.granted.difference(&world.stopped) {
            prop_assert!(world.ends.contains_key(ticket), "{ticket:?} has no outcome");
        }
        prop_assert_eq!(world.state.held(), 0);
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
    assert_eq!(world.state.uncancelled(&at), 0);
    world.vacate(0);
    world.take(Step::Wait { millis: 1 });
    assert_eq!(world.running.len(), 1, "the item runs on at another replica");
    assert_eq!(world.text[&ticket(0)].len(), 2);
}

#[test]
fn ignores_counts_that_arrive_out_of_order() {
    let mut world = World::new();
    let count = |sequence, in_flight| Event::Online {
        upstream: upstream(0),
        count: Count { from: Vm::from("entry-1"), sequence, in_flight },
    };
    world.feed(count(2, 0));
    world.feed(count(1, 3));
    world.grant(4 * REPLICAS as u32);
    assert!(world.state.uncancelled(&upstream(0)) > 0, "an old count kept batch work away");
}

#[test]
fn fails_an_item_that_never_ends() {
    let mut world = World::new();
    world.grant(1);
    let limit = world.settings.item_ms;
    world.take(Step::Wait { millis: limit });
    assert!(matches!(world.ends[&ticket(0)], RunEnd::Failed { .. }));
    assert!(world.running.is_empty());
}
