//! Replay of the configuration stream: all readers of the same prefix have the same state.

use std::collections::{BTreeMap, BTreeSet};

use bulrushspread::{
    config::{
        Piece, Reader, State, check,
        reader::Event,
        record::{Checkpoint, Operation, Promote, Publish},
        state::Decision,
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

/// A reader that receives one record per append.
#[derive(Default)]
struct Replay {
    reader: Reader,
    offset: u64,
}

impl Replay {
    fn apply_record(&mut self, body: Vec<u8>) -> Decision {
        let entry = entry(self.offset, 0, body);
        let position = entry.position;
        self.offset += 1;
        self.reader.apply(Event::Entries(vec![entry]));
        self.reader.decision(position).expect("a reader without a gap decides at once")
    }

    fn apply(&mut self, operation: Operation) -> Decision {
        self.apply_record(operation.encode().expect("operations encode"))
    }

    fn publish(&mut self, team: &str, base: u64, content: Option<&str>) -> Decision {
        self.apply(Operation::Publish(publish(team, base, content)))
    }

    fn teams(&mut self, environment: &str) -> String {
        let document = self.reader.document(&Environment::from(environment));
        serde_json::to_string(&document.pieces.keys().collect::<Vec<_>>()).expect("names")
    }
}

#[test]
fn of_two_changes_with_the_same_base_the_second_is_a_conflict() {
    let mut replay = Replay::default();
    assert_eq!(replay.publish("a", 0, Some(DEPOT)), Decision::Accepted { version: 1 });
    let Decision::Conflict(winner) = replay.publish("a", 0, Some("{}")) else {
        panic!("the second change has the same base")
    };
    assert_eq!((winner.version, winner.author.as_str()), (1, "a's operator"));
    assert_eq!(winner.digest, bulrushspread::config::state::digest(DEPOT));
    assert_eq!(replay.publish("a", 1, Some("{}")), Decision::Accepted { version: 2 });
}

#[test]
fn a_name_belongs_to_one_team_until_its_piece_is_deleted() {
    let mut replay = Replay::default();
    replay.publish("a", 0, Some(DEPOT));
    let refused = replay.publish("b", 0, Some(DEPOT));
    let reason = "deployment or service depot is already declared by team a".to_string();
    assert_eq!(refused, Decision::Refused(reason));
    assert_eq!(replay.publish("a", 1, None), Decision::Accepted { version: 2 });
    assert_eq!(replay.publish("b", 0, Some(DEPOT)), Decision::Accepted { version: 1 });
    assert!(
        matches!(replay.publish("a", 0, Some("{}")), Decision::Conflict(_)),
        "version 0 is outdated"
    );
    assert_eq!(replay.teams(TRIAL), r#"["b"]"#);
}

#[test]
fn promotion_requires_the_current_versions_of_both_environments() {
    let mut replay = Replay::default();
    replay.publish("a", 0, Some(DEPOT));
    assert_eq!(replay.apply(promote(1, 0)), Decision::Accepted { version: 1 });
    replay.publish("b", 0, Some("{}"));
    assert!(
        matches!(replay.apply(promote(1, 1)), Decision::Conflict(_)),
        "the version of trial is outdated"
    );
    assert!(
        matches!(replay.apply(promote(2, 0)), Decision::Conflict(_)),
        "the base in production is outdated"
    );
    assert_eq!(replay.teams(PRODUCTION), r#"["a"]"#);
    replay.publish("a", 1, None);
    assert_eq!(replay.apply(promote(3, 1)), Decision::Accepted { version: 2 });
    assert_eq!(replay.teams(PRODUCTION), r#"["b"]"#);
}

#[test]
fn an_unreadable_content_is_accepted_but_the_last_readable_one_stays_in_force() {
    let mut replay = Replay::default();
    replay.publish("a", 0, Some(DEPOT));
    let newer = Publish {
        content: Some(r#"{"services": {}, "regions": {}}"#.to_string()),
        ..publish("a", 1, Some(DEPOT))
    };
    assert_eq!(replay.apply(Operation::Publish(newer)), Decision::Accepted { version: 2 });
    let document = replay.reader.document(&Environment::from(TRIAL));
    assert_eq!(document.pieces[&Team::from("a")].services.len(), 1);
    let state = replay.reader.state().clone();
    let declared = &state.environments[&Environment::from(TRIAL)];
    let (team, stored) = declared.pieces.iter().next().expect("one piece");
    assert!(!replay.reader.is_readable(&Environment::from(TRIAL), team, stored));
    assert_eq!(
        replay.apply_record(br#"{"format": 9, "operation": {"merge": {}}}"#.to_vec()),
        Decision::Unreadable
    );
    assert_eq!(replay.publish("a", 2, Some("{}")), Decision::Accepted { version: 3 });
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
    /// The team, the lag of the base behind the current version, the content, and whether the
    /// record appears twice in its append.
    Publish(u8, u64, Option<u8>, bool),
    /// The lag of the promoted version.
    Promote(u64),
    /// A record with the body of an earlier one, as a caller's retry after a lost response appends.
    Duplicate(Index),
    /// A checkpoint of an earlier state.
    Checkpoint(Index),
    /// A record that can't be parsed.
    Malformed,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u8..3, 0u64..3, proptest::option::of(0u8..4), any::<bool>())
            .prop_map(|(team, lag, content, doubled)| Step::Publish(team, lag, content, doubled)),
        2 => (0u64..2).prop_map(Step::Promote),
        2 => any::<Index>().prop_map(Step::Duplicate),
        2 => any::<Index>().prop_map(Step::Checkpoint),
        1 => Just(Step::Malformed),
    ]
}

/// A log and the state of a complete reader after each append.
struct Log {
    appends: Vec<Vec<Entry>>,
    /// The state after `n` appends at index `n`.
    states: Vec<State>,
    /// The positions and bodies of the accepted records.
    accepted: Vec<(Position, Vec<u8>)>,
}

impl Log {
    fn build(steps: &[Step]) -> Log {
        let mut log = Log { appends: vec![], states: vec![State::default()], accepted: vec![] };
        let mut reader = Reader::default();
        for step in steps {
            let (body, doubled) = log.build_body(step);
            let mut append = vec![entry(log.appends.len() as u64, 0, body.clone())];
            if doubled {
                append.push(entry(log.appends.len() as u64, 1, body));
            }
            reader.apply(Event::Entries(append.clone()));
            for entry in &append {
                if let Some(Decision::Accepted { .. }) = reader.decision(entry.position) {
                    log.accepted.push((entry.position, entry.record.body.clone()));
                }
            }
            log.appends.push(append);
            log.states.push(reader.state().clone());
        }
        log
    }

    /// Returns the body of a step's record and whether the record appears twice in its append.
    fn build_body(&self, step: &Step) -> (Vec<u8>, bool) {
        let state = self.states.last().expect("there is a first state");
        let version = |name: &str| {
            state.environments.get(&Environment::from(name)).map_or(0, |declared| declared.version)
        };
        let operation = match step {
            Step::Publish(team, lag, content, doubled) => {
                let team = format!("team{team}");
                let current = state.environments.get(&Environment::from(TRIAL));
                let piece = current.and_then(|it| it.pieces.get(&Team::from(team.as_str())));
                let base = piece.map_or(0, |stored| stored.version).saturating_sub(*lag);
                let content = content.map(|name| format!(r#"{{"services": {{"s{name}": {{}}}}}}"#));
                let publish = publish(&team, base, content.as_deref());
                return (Operation::Publish(publish).encode().expect("encodes"), *doubled);
            }
            Step::Promote(lag) => promote(version(TRIAL).saturating_sub(*lag), version(PRODUCTION)),
            Step::Checkpoint(index) => {
                Operation::Checkpoint(Checkpoint { state: index.get(&self.states).clone() })
            }
            Step::Duplicate(index) if !self.appends.is_empty() => {
                return (index.get(&self.appends)[0].record.body.clone(), false);
            }
            Step::Duplicate(_) | Step::Malformed => return (b"not a record".to_vec(), false),
        };
        (operation.encode().expect("encodes"), false)
    }
}

/// Feeds `reader` the log from `first` on in pages and compares its state after each page with
/// that of the complete reader. After the second page the reader also gets the state `peer`.
fn check_replay(log: &Log, mut reader: Reader, first: usize, page: usize, peer: Option<&State>) {
    reader.apply(Event::Expired(Offset(first as u64)));
    let mut before = reader.state().next;
    for (number, pages) in log.appends[first..].chunks(page).enumerate() {
        reader.apply(Event::Entries(pages.concat()));
        if let (1, Some(state)) = (number, peer) {
            reader.apply(Event::Snapshot(state.clone()));
        }
        let state = reader.state();
        assert!(state.next >= before, "the offset decreased");
        assert_eq!(
            state, &log.states[state.next.0 as usize],
            "the state differs from that of the prefix"
        );
        before = state.next;
    }
    if reader.is_complete() {
        assert_eq!(
            reader.state(),
            log.states.last().expect("a state"),
            "the end of the log was not reached"
        );
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
    fn readers_of_the_same_prefix_agree_wherever_they_start(
        steps in proptest::collection::vec(step(), 1..40),
        first in any::<Index>(),
        page in 1usize..8,
        peer in proptest::option::of(any::<Index>()),
    ) {
        let log = Log::build(&steps);
        let first = first.index(log.appends.len());
        let peer = peer.map(|index| index.get(&log.states));
        check_replay(&log, Reader::default(), 0, page, None);
        check_replay(&log, Reader::default(), first, page, peer);
    }

    #[test]
    fn at_most_one_change_is_accepted_per_base(steps in proptest::collection::vec(step(), 1..60)) {
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
