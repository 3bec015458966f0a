//! The journal's decisions against a simulated log that loses responses, delays appends, refuses
//! them and fails reads.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    id::{Incarnation, Offset, Stream, Vm},
    journal::{
        Page, Record, Settings,
        appender::{Failure, Request},
        dedup::Filter,
        record::{Position, Writer, decode, encode},
        state::{Action, Event, State},
        store::Append,
    },
    time::Millis,
};
use proptest::{prelude::*, test_runner::RngSeed};

const STREAMS: [&str; 2] = ["jobs", "lane-0"];
const PAGE_APPENDS: usize = 2;
const TIMEOUT: Millis = Millis(1_500);

/// How an operation on the log ends.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Succeeds,
    Refused,
    /// An append takes effect, but the response is lost.
    ResponseLost,
    /// The request is lost and has no effect.
    RequestLost,
    /// An append gets no response and takes effect later.
    Delayed,
}

#[derive(Clone, Debug)]
enum Step {
    Append {
        node: usize,
        stream: usize,
        records: usize,
    },
    /// Ends the oldest operation of the node.
    Finish {
        node: usize,
        outcome: Outcome,
    },
    /// A delayed append takes effect.
    ApplyDelayed,
    /// Milliseconds pass.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Succeeds),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::ResponseLost),
        1 => Just(Outcome::RequestLost),
        1 => Just(Outcome::Delayed),
    ];
    prop_oneof![
        3 => (0..2usize, 0..2usize, 1..4usize)
            .prop_map(|(node, stream, records)| Step::Append { node, stream, records }),
        6 => (0..2usize, outcome).prop_map(|(node, outcome)| Step::Finish { node, outcome }),
        1 => Just(Step::ApplyDelayed),
        2 => (1..600u64).prop_map(Step::Wait),
    ]
}

/// Two nodes that append to one log.
struct Simulation {
    now: Millis,
    log: BTreeMap<Stream, Vec<Vec<u8>>>,
    delayed: Vec<(Stream, Vec<u8>)>,
    nodes: Vec<State>,
    /// Operations in flight, by node.
    running: Vec<Vec<Action>>,
    /// The stream and the bodies of each request, indexed by request number.
    requests: Vec<(Stream, Vec<Vec<u8>>)>,
    answers: BTreeMap<u64, Result<Vec<Position>, Failure>>,
}

impl Simulation {
    fn new() -> Simulation {
        let settings = Settings { buffer_bytes: 64, append_bytes: 24, ..Settings::default() };
        let node = |name: &str| {
            let writer = Writer { vm: Vm::from(name), incarnation: Incarnation(1) };
            State::new(writer, settings.clone())
        };
        Simulation {
            now: Millis(0),
            log: STREAMS.iter().map(|name| (Stream::from(*name), Vec::new())).collect(),
            delayed: Vec::new(),
            nodes: vec![node("a"), node("b")],
            running: vec![Vec::new(), Vec::new()],
            requests: Vec::new(),
            answers: BTreeMap::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Append { node, stream, records } => self.append(node, stream, records),
            Step::Finish { node, outcome } if !self.running[node].is_empty() => {
                let action = self.running[node].remove(0);
                self.finish(node, action, outcome);
            }
            Step::Finish { .. } => {}
            Step::ApplyDelayed => self.apply_delayed(),
            Step::Wait(ms) => self.wait(Millis(ms)),
        }
    }

    fn append(&mut self, node: usize, stream: usize, records: usize) {
        let number = self.requests.len() as u64;
        let stream = Stream::from(STREAMS[stream]);
        let bodies: Vec<Vec<u8>> =
            (0..records).map(|index| format!("{number}/{index}").into_bytes()).collect();
        self.requests.push((stream.clone(), bodies.clone()));
        let request = Request { number, bodies, deadline: self.now + TIMEOUT };
        let actions = self.nodes[node].apply(self.now, &stream, Event::Append(request));
        self.handle_actions(node, actions);
    }

    fn finish(&mut self, node: usize, action: Action, outcome: Outcome) {
        let (stream, event) = match action {
            Action::Append(stream, records) => {
                let event = self.append_to_log(&stream, &records, outcome);
                (stream, event)
            }
            Action::Read(stream, from) => {
                let event = match outcome {
                    Outcome::Succeeds | Outcome::Delayed => {
                        Event::Read(self.read_page(&stream, from))
                    }
                    _ => Event::ReadFailed,
                };
                (stream, event)
            }
            Action::Answer(_) => return,
        };
        let actions = self.nodes[node].apply(self.now, &stream, event);
        self.handle_actions(node, actions);
    }

    fn append_to_log(&mut self, stream: &Stream, records: &[Record], outcome: Outcome) -> Event {
        let data = encode(records).unwrap();
        let log = self.log.get_mut(stream).unwrap();
        match outcome {
            Outcome::Succeeds => {
                log.push(data);
                Event::Appended(Offset(log.len() as u64 - 1))
            }
            Outcome::Refused => Event::Refused { retry_after: None },
            Outcome::ResponseLost => {
                log.push(data);
                Event::OutcomeUnknown
            }
            Outcome::RequestLost => Event::OutcomeUnknown,
            Outcome::Delayed => {
                self.delayed.push((stream.clone(), data));
                Event::OutcomeUnknown
            }
        }
    }

    fn read_page(&self, stream: &Stream, from: Offset) -> Page {
        let log = &self.log[stream];
        let appends = log.iter().enumerate().skip(from.0 as usize).take(PAGE_APPENDS);
        let append = |(offset, data): (usize, &Vec<u8>)| Append {
            offset: Offset(offset as u64),
            data: data.clone(),
        };
        Page {
            first: Offset(0),
            head: Offset(log.len() as u64),
            appends: appends.map(append).collect(),
        }
    }

    fn handle_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer(answer) => {
                    let earlier = self.answers.insert(answer.number, answer.result);
                    assert_eq!(earlier, None, "request {} was answered twice", answer.number);
                }
                action => self.running[node].push(action),
            }
        }
    }

    fn apply_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let (stream, data) = self.delayed.remove(0);
            self.log.get_mut(&stream).unwrap().push(data);
        }
    }

    fn wait(&mut self, span: Millis) {
        self.now = self.now + span;
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].tick(self.now);
            self.handle_actions(node, actions);
        }
    }

    /// Lets every operation succeed until each request is answered and each delayed append has
    /// taken effect.
    fn settle(&mut self) {
        for _ in 0..400 {
            for node in 0..self.nodes.len() {
                while !self.running[node].is_empty() {
                    let action = self.running[node].remove(0);
                    self.finish(node, action, Outcome::Succeeds);
                }
            }
            self.apply_delayed();
            self.wait(Millis(50));
        }
    }

    /// Returns the records without duplicates, in order, and the bodies of all records.
    fn read_records(&self, stream: &Stream) -> (Vec<(Position, Record)>, BTreeSet<Vec<u8>>) {
        let mut duplicates = Filter::default();
        let mut unique = Vec::new();
        let mut bodies_in_log = BTreeSet::new();
        for (offset, data) in self.log[stream].iter().enumerate() {
            for entry in decode(Offset(offset as u64), data).unwrap() {
                bodies_in_log.insert(entry.record.body.clone());
                if duplicates.insert(&entry) {
                    unique.push((entry.position, entry.record));
                }
            }
        }
        (unique, bodies_in_log)
    }
}

fn check(simulation: &Simulation) {
    assert_eq!(simulation.answers.len(), simulation.requests.len(), "each request is answered");
    for (number, (stream, bodies)) in simulation.requests.iter().enumerate() {
        let (unique, bodies_in_log) = simulation.read_records(stream);
        match &simulation.answers[&(number as u64)] {
            Ok(positions) => {
                let expected: Vec<_> = positions.iter().zip(bodies).collect();
                let found: Vec<_> = unique
                    .iter()
                    .filter(|(_, record)| bodies.contains(&record.body))
                    .map(|(position, record)| (position, &record.body))
                    .collect();
                assert_eq!(
                    found, expected,
                    "acknowledged records appear once, at the returned positions"
                );
            }
            Err(Failure::Unavailable) => {
                let appended = bodies.iter().any(|body| bodies_in_log.contains(body));
                assert!(!appended, "a refused record is never appended");
            }
            Err(Failure::Unconfirmed) => {}
        }
    }
    for stream in STREAMS {
        let (unique, _) = simulation.read_records(&Stream::from(stream));
        let mut last: BTreeMap<&Writer, u64> = BTreeMap::new();
        for (_, record) in &unique {
            let before = last.insert(&record.id.writer, record.id.sequence);
            assert!(before < Some(record.id.sequence), "records of a writer keep their order");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn acknowledged_records_appear_once_and_refused_ones_never(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.run(step);
        }
        simulation.settle();
        check(&simulation);
    }
}

#[test]
fn refuses_records_beyond_the_buffer_at_once() {
    let mut simulation = Simulation::new();
    for _ in 0..20 {
        simulation.append(0, 0, 3);
    }
    let refused =
        simulation.answers.values().filter(|answer| **answer == Err(Failure::Unavailable));
    assert_eq!(refused.count(), 20 - 64 / 9);
    assert!(simulation.nodes[0].buffered() <= 64);
}

#[test]
fn refuses_unsent_records_after_their_deadline() {
    let mut simulation = Simulation::new();
    simulation.append(0, 0, 1);
    for _ in 0..20 {
        let actions = std::mem::take(&mut simulation.running[0]);
        for action in actions {
            simulation.finish(0, action, Outcome::Refused);
        }
        simulation.wait(Millis(100));
    }
    assert_eq!(simulation.answers[&0], Err(Failure::Unavailable));
    simulation.settle();
    check(&simulation);
}

#[test]
fn groups_waiting_records_in_one_append() {
    let settings = Settings { appends_per_s: 10, ..Settings::default() };
    let mut state = State::new(Writer::default(), settings);
    let stream = Stream::from("lane-0");
    let request =
        |number| Event::Append(Request { number, bodies: vec![vec![0]], deadline: Millis(10_000) });
    let mut sizes = Vec::new();
    let mut appended = 0;
    for now in 0..1_000 {
        let mut actions = state.apply(Millis(now), &stream, request(now));
        while let Some(action) = actions.pop() {
            let event = match action {
                Action::Append(_, records) => {
                    sizes.push(records.len());
                    appended += 1;
                    let data = encode(&records).unwrap();
                    let append = Append { offset: Offset(appended - 1), data };
                    let page =
                        Page { first: Offset(0), head: Offset(appended), appends: vec![append] };
                    actions.extend(state.apply(
                        Millis(now),
                        &stream,
                        Event::Appended(Offset(appended - 1)),
                    ));
                    Event::Read(page)
                }
                Action::Read(..) if appended == 0 => Event::Read(Page::default()),
                _ => continue,
            };
            actions.extend(state.apply(Millis(now), &stream, event));
        }
    }
    assert!(sizes.len() <= 13, "appends: {sizes:?}");
    assert!(sizes.iter().skip(4).all(|size| *size >= 90), "appends: {sizes:?}");
}
