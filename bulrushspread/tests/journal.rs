//! The journal's decisions against a log that loses answers, acts late, refuses and fails.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    id::{Incarnation, Offset, Stream, Vm},
    journal::{
        Page, Record, Settings,
        appender::{Refusal, Request},
        record::{Position, Writer, decode, encode},
        seen::Seen,
        state::{Action, Event, State},
        store::Stored,
    },
    time::Millis,
};
use proptest::{prelude::*, test_runner::RngSeed};

const STREAMS: [&str; 2] = ["jobs", "lane-0"];
const PAGE: usize = 2;
const TIMEOUT: Millis = Millis(1_500);

/// What the log does with one operation.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Works,
    Refuses,
    LosesAnswer,
    LosesRequest,
    ActsLate,
}

#[derive(Clone, Debug)]
enum Step {
    Append {
        node: usize,
        stream: usize,
        records: usize,
    },
    /// The oldest operation of the node ends this way.
    Finish {
        node: usize,
        fate: Fate,
    },
    /// A delayed append takes effect.
    Land,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(Fate::Works),
        1 => Just(Fate::Refuses),
        1 => Just(Fate::LosesAnswer),
        1 => Just(Fate::LosesRequest),
        1 => Just(Fate::ActsLate),
    ];
    prop_oneof![
        3 => (0..2usize, 0..2usize, 1..4usize)
            .prop_map(|(node, stream, records)| Step::Append { node, stream, records }),
        6 => (0..2usize, fate).prop_map(|(node, fate)| Step::Finish { node, fate }),
        1 => Just(Step::Land),
        2 => (1..600u64).prop_map(Step::Wait),
    ]
}

/// Two nodes before one log.
struct World {
    now: Millis,
    log: BTreeMap<Stream, Vec<Vec<u8>>>,
    late: Vec<(Stream, Vec<u8>)>,
    nodes: Vec<State>,
    running: Vec<Vec<Action>>,
    /// Bodies of each request with its stream.
    asked: Vec<(Stream, Vec<Vec<u8>>)>,
    answers: BTreeMap<u64, Result<Vec<Position>, Refusal>>,
}

impl World {
    fn new() -> World {
        let settings = Settings { buffer_bytes: 64, append_bytes: 24, ..Settings::default() };
        let node = |name: &str| {
            let writer = Writer { vm: Vm::from(name), incarnation: Incarnation(1) };
            State::new(writer, settings.clone())
        };
        World {
            now: Millis(0),
            log: STREAMS.iter().map(|name| (Stream::from(*name), Vec::new())).collect(),
            late: Vec::new(),
            nodes: vec![node("a"), node("b")],
            running: vec![Vec::new(), Vec::new()],
            asked: Vec::new(),
            answers: BTreeMap::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Append { node, stream, records } => self.append(node, stream, records),
            Step::Finish { node, fate } if !self.running[node].is_empty() => {
                let action = self.running[node].remove(0);
                self.finish(node, action, fate);
            }
            Step::Finish { .. } => {}
            Step::Land => self.land(),
            Step::Wait(span) => self.wait(Millis(span)),
        }
    }

    fn append(&mut self, node: usize, stream: usize, records: usize) {
        let number = self.asked.len() as u64;
        let stream = Stream::from(STREAMS[stream]);
        let bodies: Vec<Vec<u8>> =
            (0..records).map(|index| format!("{number}/{index}").into_bytes()).collect();
        self.asked.push((stream.clone(), bodies.clone()));
        let request = Request { number, bodies, deadline: self.now + TIMEOUT };
        let actions = self.nodes[node].apply(self.now, &stream, Event::Append(request));
        self.take(node, actions);
    }

    fn finish(&mut self, node: usize, action: Action, fate: Fate) {
        let (stream, event) = match action {
            Action::Append(stream, records) => {
                let event = self.store(&stream, &records, fate);
                (stream, event)
            }
            Action::Read(stream, from) => {
                let event = match fate {
                    Fate::Works | Fate::ActsLate => Event::Read(self.page(&stream, from)),
                    _ => Event::ReadFailed,
                };
                (stream, event)
            }
            Action::Answer(_) => return,
        };
        let actions = self.nodes[node].apply(self.now, &stream, event);
        self.take(node, actions);
    }

    fn store(&mut self, stream: &Stream, records: &[Record], fate: Fate) -> Event {
        let data = encode(records).unwrap();
        let log = self.log.get_mut(stream).unwrap();
        match fate {
            Fate::Works => {
                log.push(data);
                Event::Appended(Offset(log.len() as u64 - 1))
            }
            Fate::Refuses => Event::Refused { retry_after: None },
            Fate::LosesAnswer => {
                log.push(data);
                Event::Lost
            }
            Fate::LosesRequest => Event::Lost,
            Fate::ActsLate => {
                self.late.push((stream.clone(), data));
                Event::Lost
            }
        }
    }

    fn page(&self, stream: &Stream, from: Offset) -> Page {
        let log = &self.log[stream];
        let appends = log.iter().enumerate().skip(from.0 as usize).take(PAGE);
        let stored = |(offset, data): (usize, &Vec<u8>)| Stored {
            offset: Offset(offset as u64),
            data: data.clone(),
        };
        Page {
            first: Offset(0),
            head: Offset(log.len() as u64),
            appends: appends.map(stored).collect(),
        }
    }

    fn take(&mut self, node: usize, actions: Vec<Action>) {
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

    fn land(&mut self) {
        if !self.late.is_empty() {
            let (stream, data) = self.late.remove(0);
            self.log.get_mut(&stream).unwrap().push(data);
        }
    }

    fn wait(&mut self, span: Millis) {
        self.now = self.now + span;
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].tick(self.now);
            self.take(node, actions);
        }
    }

    /// Lets the log work until every request is answered and every late append has landed.
    fn settle(&mut self) {
        for _ in 0..400 {
            for node in 0..self.nodes.len() {
                while !self.running[node].is_empty() {
                    let action = self.running[node].remove(0);
                    self.finish(node, action, Fate::Works);
                }
            }
            self.land();
            self.wait(Millis(50));
        }
    }

    /// The records that count, in order, and all that stand.
    fn fold(&self, stream: &Stream) -> (Vec<(Position, Record)>, BTreeSet<Vec<u8>>) {
        let mut seen = Seen::default();
        let mut counted = Vec::new();
        let mut standing = BTreeSet::new();
        for (offset, data) in self.log[stream].iter().enumerate() {
            for entry in decode(Offset(offset as u64), data).unwrap() {
                standing.insert(entry.record.body.clone());
                if seen.admit(&entry) {
                    counted.push((entry.position, entry.record));
                }
            }
        }
        (counted, standing)
    }
}

fn check(world: &World) {
    assert_eq!(world.answers.len(), world.asked.len(), "each request is answered");
    for (number, (stream, bodies)) in world.asked.iter().enumerate() {
        let (counted, standing) = world.fold(stream);
        match &world.answers[&(number as u64)] {
            Ok(positions) => {
                let expected: Vec<_> = positions.iter().zip(bodies).collect();
                let found: Vec<_> = counted
                    .iter()
                    .filter(|(_, record)| bodies.contains(&record.body))
                    .map(|(position, record)| (position, &record.body))
                    .collect();
                assert_eq!(found, expected, "acknowledged records stand once, where it was said");
            }
            Err(Refusal::Unavailable) => {
                let stands = bodies.iter().any(|body| standing.contains(body));
                assert!(!stands, "a refused record never stands");
            }
            Err(Refusal::Unconfirmed) => {}
        }
    }
    for stream in STREAMS {
        let (counted, _) = world.fold(&Stream::from(stream));
        let mut last: BTreeMap<&Writer, u64> = BTreeMap::new();
        for (_, record) in &counted {
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
    fn acknowledged_records_stand_once_and_refused_ones_never(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
        }
        world.settle();
        check(&world);
    }
}

#[test]
fn refuses_records_beyond_the_buffer_at_once() {
    let mut world = World::new();
    for _ in 0..20 {
        world.append(0, 0, 3);
    }
    let refused = world.answers.values().filter(|answer| **answer == Err(Refusal::Unavailable));
    assert_eq!(refused.count(), 20 - 64 / 9);
    assert!(world.nodes[0].buffered() <= 64);
}

#[test]
fn refuses_what_was_never_sent_when_its_time_is_over() {
    let mut world = World::new();
    world.append(0, 0, 1);
    for _ in 0..20 {
        let actions = std::mem::take(&mut world.running[0]);
        for action in actions {
            world.finish(0, action, Fate::Refuses);
        }
        world.wait(Millis(100));
    }
    assert_eq!(world.answers[&0], Err(Refusal::Unavailable));
    world.settle();
    check(&world);
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
                    let stored = Stored { offset: Offset(appended - 1), data };
                    let page =
                        Page { first: Offset(0), head: Offset(appended), appends: vec![stored] };
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
