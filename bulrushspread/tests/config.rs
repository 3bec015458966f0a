//! The fold of the configuration stream: every reader of the same prefix holds the same state.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    config::{
        Piece, Reader, State, check,
        reader::Event,
        record::{Checkpoint, Operation, Promote, Publish},
        state::Verdict,
    },
    id::{Environment, Offset, Team},
    journal::{
        Entry, Id, Record,
        record::{Position, Writer},
    },
    time::Millis,
};
use proptest::{
    prelude::*,
    sample::Index,
    test_runner::{Config, RngSeed},
};

const TRIAL: &str = "trial";
const PRODUCTION: &str = "production";
const DEPOT: &str = r#"{"services": {"depot": {}}}"#;

fn entry(offset: u64, index: u32, body: Vec<u8>) -> Entry {
    let id = Id { writer: Writer::default(), sequence: offset };
    let position = Position { offset: Offset(offset), index };
    Entry { position, record: Record { id, body } }
}

fn publish(team: &str, base: u64, content: Option<&str>) -> Publish {
    let piece: Piece = content.map_or_else(Piece::default, |text| {
        serde_json::from_str(text).expect("the content of the test is a piece")
    });
    Publish {
        environment: Environment::from(TRIAL),
        team: Team::from(team),
        base,
        author: format!("{team}'s operator"),
        at: Millis(0),
        claims: check::claims(&piece),
        content: content.map(str::to_string),
    }
}

fn promote(version: u64, base: u64) -> Operation {
    Operation::Promote(Promote {
        from: Environment::from(TRIAL),
        version,
        to: Environment::from(PRODUCTION),
        base,
        author: "release".to_string(),
        at: Millis(0),
    })
}

/// A reader that is fed one record an append.
#[derive(Default)]
struct Feed {
    reader: Reader,
    offset: u64,
}

impl Feed {
    fn raw(&mut self, body: Vec<u8>) -> Verdict {
        let entry = entry(self.offset, 0, body);
        let position = entry.position;
        self.offset += 1;
        self.reader.apply(Event::Entries(vec![entry]));
        self.reader.verdict(position).expect("a complete reader judges at once")
    }

    fn operation(&mut self, operation: Operation) -> Verdict {
        self.raw(operation.encode().expect("operations encode"))
    }

    fn publish(&mut self, team: &str, base: u64, content: Option<&str>) -> Verdict {
        self.operation(Operation::Publish(publish(team, base, content)))
    }

    fn document(&mut self, environment: &str) -> String {
        let document = self.reader.document(&Environment::from(environment));
        serde_json::to_string(&document.pieces.keys().collect::<Vec<_>>()).expect("names")
    }
}

#[test]
fn the_first_of_two_racing_changes_wins_and_the_other_learns_of_it() {
    let mut feed = Feed::default();
    assert_eq!(feed.publish("a", 0, Some(DEPOT)), Verdict::Accepted { version: 1 });
    let Verdict::Conflict(winner) = feed.publish("a", 0, Some("{}")) else {
        panic!("the second change has the same base")
    };
    assert_eq!((winner.version, winner.author.as_str()), (1, "a's operator"));
    assert_eq!(winner.digest, bulrushspread::config::state::digest(DEPOT));
    assert_eq!(feed.publish("a", 1, Some("{}")), Verdict::Accepted { version: 2 });
}

#[test]
fn a_name_belongs_to_one_team_until_its_piece_is_deleted() {
    let mut feed = Feed::default();
    feed.publish("a", 0, Some(DEPOT));
    let refused = feed.publish("b", 0, Some(DEPOT));
    let reason = "deployment or service depot is already declared by team a".to_string();
    assert_eq!(refused, Verdict::Refused(reason));
    assert_eq!(feed.publish("a", 1, None), Verdict::Accepted { version: 2 });
    assert_eq!(feed.publish("b", 0, Some(DEPOT)), Verdict::Accepted { version: 1 });
    assert!(matches!(feed.publish("a", 0, Some("{}")), Verdict::Conflict(_)), "version 0 is over");
    assert_eq!(feed.document(TRIAL), r#"["b"]"#);
}

#[test]
fn promotion_copies_the_current_trial_version_and_compares_production() {
    let mut feed = Feed::default();
    feed.publish("a", 0, Some(DEPOT));
    assert_eq!(feed.operation(promote(1, 0)), Verdict::Accepted { version: 1 });
    feed.publish("b", 0, Some("{}"));
    assert!(matches!(feed.operation(promote(1, 1)), Verdict::Conflict(_)), "trial has moved on");
    assert!(matches!(feed.operation(promote(2, 0)), Verdict::Conflict(_)), "production has too");
    assert_eq!(feed.document(PRODUCTION), r#"["a"]"#);
    feed.publish("a", 1, None);
    assert_eq!(feed.operation(promote(3, 1)), Verdict::Accepted { version: 2 });
    assert_eq!(feed.document(PRODUCTION), r#"["b"]"#);
}

#[test]
fn a_newer_content_keeps_its_version_and_the_last_good_content_stays() {
    let mut feed = Feed::default();
    feed.publish("a", 0, Some(DEPOT));
    let newer = Publish {
        content: Some(r#"{"services": {}, "regions": {}}"#.to_string()),
        ..publish("a", 1, Some(DEPOT))
    };
    assert_eq!(feed.operation(Operation::Publish(newer)), Verdict::Accepted { version: 2 });
    let document = feed.reader.document(&Environment::from(TRIAL));
    assert_eq!(document.pieces[&Team::from("a")].services.len(), 1);
    let state = feed.reader.state().clone();
    let declared = &state.environments[&Environment::from(TRIAL)];
    let (team, stored) = declared.pieces.iter().next().expect("one piece");
    assert!(!feed.reader.is_readable(&Environment::from(TRIAL), team, stored));
    assert_eq!(
        feed.raw(br#"{"format": 9, "operation": {"merge": {}}}"#.to_vec()),
        Verdict::Unreadable
    );
    assert_eq!(feed.publish("a", 2, Some("{}")), Verdict::Accepted { version: 3 });
}

#[test]
fn a_piece_with_faults_is_described_key_by_key() {
    let piece: Piece = serde_json::from_str(
        r#"{
            "deployments": {"svetovalec": {"models": ["m", "n:a"], "slots": 0}},
            "services": {"svetovalec": {"idempotent_methods": ["get"], "timeout_ms": 0}},
            "workspaces": {"zadruga": {
                "key_digests": ["12ab"], "requests_per_s": 0, "tokens_per_s": 1,
                "concurrency": 0, "weight": 0
            }}
        }"#,
    )
    .expect("the piece parses");
    let lines: Vec<String> = check::check(&piece).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    /// Team, how far the base lags behind, the content, and whether it shares the last append.
    Publish(u8, u64, Option<u8>, bool),
    Promote(u64),
    /// A record that stands twice: its writer never saw the answer.
    Again(Index),
    /// A checkpoint by a writer that stopped reading at an earlier place.
    Checkpoint(Index),
    Garbage,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..3, 0u64..3, proptest::option::of(0u8..4), any::<bool>())
            .prop_map(|(team, lag, content, shared)| Step::Publish(team, lag, content, shared)),
        2 => (0u64..2).prop_map(Step::Promote),
        2 => any::<Index>().prop_map(Step::Again),
        2 => any::<Index>().prop_map(Step::Checkpoint),
        1 => Just(Step::Garbage),
    ]
}

/// A log and what a reader of all of it held after each append.
struct Log {
    appends: Vec<Vec<Entry>>,
    /// The state after `n` appends at index `n`.
    states: Vec<State>,
    accepted: Vec<(Position, Vec<u8>)>,
}

impl Log {
    fn build(steps: &[Step]) -> Log {
        let mut log = Log { appends: vec![], states: vec![State::default()], accepted: vec![] };
        let mut reader = Reader::default();
        for step in steps {
            let (body, shared) = log.body(step);
            let mut append = vec![entry(log.appends.len() as u64, 0, body.clone())];
            if shared {
                append.push(entry(log.appends.len() as u64, 1, body));
            }
            reader.apply(Event::Entries(append.clone()));
            for entry in &append {
                if let Some(Verdict::Accepted { .. }) = reader.verdict(entry.position) {
                    log.accepted.push((entry.position, entry.record.body.clone()));
                }
            }
            log.appends.push(append);
            log.states.push(reader.state().clone());
        }
        log
    }

    fn body(&self, step: &Step) -> (Vec<u8>, bool) {
        let state = self.states.last().expect("there is a first state");
        let version = |name: &str| {
            state.environments.get(&Environment::from(name)).map_or(0, |declared| declared.version)
        };
        let operation = match step {
            Step::Publish(team, lag, content, shared) => {
                let team = format!("team{team}");
                let current = state.environments.get(&Environment::from(TRIAL));
                let piece = current.and_then(|it| it.pieces.get(&Team::from(team.as_str())));
                let base = piece.map_or(0, |stored| stored.version).saturating_sub(*lag);
                let content = content.map(|name| format!(r#"{{"services": {{"s{name}": {{}}}}}}"#));
                let publish = publish(&team, base, content.as_deref());
                return (Operation::Publish(publish).encode().expect("encodes"), *shared);
            }
            Step::Promote(lag) => promote(version(TRIAL).saturating_sub(*lag), version(PRODUCTION)),
            Step::Checkpoint(place) => {
                Operation::Checkpoint(Checkpoint { state: place.get(&self.states).clone() })
            }
            Step::Again(place) if !self.appends.is_empty() => {
                return (place.get(&self.appends)[0].record.body.clone(), false);
            }
            Step::Again(_) | Step::Garbage => return (b"not a record".to_vec(), false),
        };
        (operation.encode().expect("encodes"), false)
    }
}

/// Feeds `reader` the log from `first` on in pages and checks it against the full reader.
fn read_on(log: &Log, mut reader: Reader, first: usize, page: usize, peer: Option<&State>) {
    reader.apply(Event::Lost(Offset(first as u64)));
    let mut before = reader.state().next;
    for (number, pages) in log.appends[first..].chunks(page).enumerate() {
        reader.apply(Event::Entries(pages.concat()));
        if let (1, Some(state)) = (number, peer) {
            reader.apply(Event::Adopt(state.clone()));
        }
        let state = reader.state();
        assert!(state.next >= before, "an offset went back");
        assert_eq!(state, &log.states[state.next.0 as usize], "not the state of the prefix");
        before = state.next;
    }
    if reader.complete() {
        assert_eq!(reader.state(), log.states.last().expect("a state"), "the end was not reached");
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn readers_of_the_same_prefix_agree_wherever_they_join(
        steps in proptest::collection::vec(step(), 1..40),
        first in any::<Index>(),
        page in 1usize..8,
        peer in proptest::option::of(any::<Index>()),
    ) {
        let log = Log::build(&steps);
        let first = first.index(log.appends.len());
        let peer = peer.map(|place| place.get(&log.states));
        read_on(&log, Reader::default(), 0, page, None);
        read_on(&log, Reader::default(), first, page, peer);
    }

    #[test]
    fn each_base_has_exactly_one_winner(steps in proptest::collection::vec(step(), 1..60)) {
        let log = Log::build(&steps);
        let mut winners: BTreeMap<String, BTreeSet<Position>> = BTreeMap::new();
        for (position, body) in &log.accepted {
            let record = bulrushspread::config::record::decode(body).expect("accepted records parse");
            let key = match record.operation {
                Operation::Publish(publish) => format!("piece {} {}", publish.team, publish.base),
                Operation::Promote(promote) => format!("document {}", promote.base),
                Operation::Checkpoint(_) => continue,
            };
            winners.entry(key).or_default().insert(*position);
        }
        for (key, positions) in winners {
            prop_assert_eq!(positions.len(), 1, "{}", key);
        }
    }
}
