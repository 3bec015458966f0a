//! One request under random sequences of failures.
//!
//! Guards against duplicate or missing events, a second run of an at-most-once call, requests that
//! outlast their deadline, and a key that is won by two intents.

use bulrushspread::{
    attempt::{
        Fingerprint, Settings,
        intent::{Intent, Key, Outcome, Record, Stage, State},
        quarantine::{Crash, Suspect},
        state::{Action, Event, Loss, NodeState, Repeatability, Request},
    },
    error::Kind,
    id::{Incarnation, Offset, Upstream, Vm, Workspace},
    journal::record::Position,
    time::Millis,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Number of events of the stream.
const STREAM_EVENTS: u32 = 12;
const DEADLINE: Millis = Millis(5_000);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// Scripted outcome of one dispatch.
#[derive(Clone, Debug)]
struct Dispatch {
    /// Events that arrive before the loss.
    events: u32,
    /// How the attempt is lost if the stream has not ended.
    loss: Loss,
    /// Index of a late event of the previous attempt, which arrives first.
    stale: Option<u32>,
}

fn loss() -> impl Strategy<Value = Loss> {
    prop::sample::select(vec![Loss::NotSent, Loss::Refused, Loss::Broken, Loss::Crashed])
}

fn dispatches() -> impl Strategy<Value = Vec<Dispatch>> {
    let dispatch = (0..=STREAM_EVENTS, loss(), prop::option::of(0..STREAM_EVENTS))
        .prop_map(|(events, loss, stale)| Dispatch { events, loss, stale });
    prop::collection::vec(dispatch, 1..8)
}

/// Runs one request against scripted upstreams.
struct Harness {
    node: NodeState,
    request: Request,
    now: Millis,
    /// Indices of the delivered events.
    delivered: Vec<u32>,
    /// Number of dispatches that may have run at an upstream.
    possible_runs: u32,
    dispatches: u32,
    end: Option<Result<(), Kind>>,
}

impl Harness {
    fn new(repeatability: Repeatability, settings: Settings) -> Harness {
        Harness {
            node: NodeState::new(settings, 3),
            request: Request::new(fingerprint(), repeatability, DEADLINE),
            now: Millis(0),
            delivered: Vec::new(),
            possible_runs: 0,
            dispatches: 0,
            end: None,
        }
    }

    fn apply(&mut self, event: Event) -> Vec<Action> {
        let index = match event {
            Event::Token { index, .. } => Some(index),
            _ => None,
        };
        let actions = self.request.apply(self.now, event, &mut self.node);
        for action in &actions {
            match action {
                Action::Deliver => self.delivered.extend(index),
                Action::Finish(result) => {
                    assert!(self.end.is_none(), "the request ended twice");
                    self.end = Some(result.clone().map_err(|error| error.kind));
                }
                _ => {}
            }
        }
        actions
    }

    /// Runs until the request ends. Dispatches beyond the script complete at once.
    fn run(&mut self, script: &[Dispatch]) {
        let mut script = script.iter();
        let mut actions = self.apply(Event::Begin);
        while self.end.is_none() {
            let dispatch = actions.iter().find_map(|action| match action {
                Action::Dispatch { attempt, from, .. } => Some((*attempt, *from)),
                _ => None,
            });
            actions = match dispatch {
                Some((attempt, from)) => self.dispatch(attempt, from, script.next()),
                None => {
                    self.now = self.now + Millis(100);
                    self.apply(Event::Tick)
                }
            };
        }
    }

    fn dispatch(&mut self, attempt: u32, from: u32, script: Option<&Dispatch>) -> Vec<Action> {
        self.dispatches += 1;
        let upstream = Upstream(format!("engine-{attempt}"));
        let actions = self.apply(Event::Picked { upstream });
        assert!(actions.contains(&Action::Send), "{actions:?}");
        let to = script.map_or(STREAM_EVENTS, |script| (from + script.events).min(STREAM_EVENTS));
        if let Some(index) = script.and_then(|script| script.stale) {
            self.apply(Event::Token { attempt: attempt - 1, index, last: false });
            self.apply(Event::Lost { attempt: attempt - 1, loss: Loss::Crashed });
        }
        let loss = script.map(|script| script.loss);
        let sent = !matches!(loss, Some(Loss::NotSent | Loss::Refused));
        self.possible_runs += u32::from(sent);
        if sent {
            for index in from..to {
                self.apply(Event::Token { attempt, index, last: index + 1 == STREAM_EVENTS });
            }
        }
        match loss {
            Some(loss) if self.end.is_none() => self.apply(Event::Lost { attempt, loss }),
            _ => Vec::new(),
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_stream_is_complete_or_a_prefix_and_ends_by_its_deadline(script in dispatches()) {
        let mut harness = Harness::new(Repeatability::Idempotent, Settings::default());
        harness.run(&script);
        let expected: Vec<u32> = (0..harness.delivered.len() as u32).collect();
        prop_assert_eq!(&harness.delivered, &expected);
        prop_assert!(harness.now <= DEADLINE + Millis(100));
        prop_assert!(harness.dispatches <= Settings::default().attempts);
        if harness.end == Some(Ok(())) {
            prop_assert_eq!(harness.delivered.len() as u32, STREAM_EVENTS);
        }
        let not_run = [Some(Err(Kind::NoUpstream)), Some(Err(Kind::DeadlineUnreachable))];
        if not_run.contains(&harness.end) {
            prop_assert!(!harness.request.has_been_sent());
        }
    }

    #[test]
    fn an_at_most_once_call_may_run_at_one_dispatch_only(script in dispatches()) {
        let mut harness = Harness::new(Repeatability::AtMostOnce, Settings::default());
        harness.run(&script);
        prop_assert!(harness.possible_runs <= 1);
        if harness.possible_runs == 1 {
            let expected = [Some(Ok(())), Some(Err(Kind::OutcomeUnknown))];
            prop_assert!(expected.contains(&harness.end), "{:?}", harness.end);
        }
    }

    /// Applies intents and outcomes in random order, some of them twice: once the call of a key may
    /// have run, no other intent wins the key.
    #[test]
    fn a_key_is_never_won_again_once_its_call_may_have_run(
        records in prop::collection::vec((0_u64..4, 0_u8..5), 1..40),
    ) {
        let key = Key { workspace: Workspace::from("zadruga"), key: "order-1".into() };
        let mut state = State::default();
        let mut run_nonce: Option<u64> = None;
        for (index, (nonce, kind)) in records.into_iter().enumerate() {
            let outcome = match kind {
                0 | 1 => None,
                2 => Some(Outcome::NotStored),
                3 => Some(Outcome::Unknown),
                _ => Some(Outcome::Released),
            };
            let record = match outcome {
                None => Record::Intent(intent(&key, nonce)),
                Some(outcome) => Record::Ended { key: key.clone(), nonce, outcome },
            };
            let position = Position { offset: Offset(index as u64), index: 0 };
            let won = state.apply(position, record).map(|intent| intent.nonce);
            prop_assert!(won.is_none() || run_nonce.is_none(), "the key was won again after a run");
            if let Some(entry) = state.get(&key)
                && entry.stage != Stage::Running
            {
                prop_assert!(run_nonce.is_none() || run_nonce == Some(entry.intent.nonce));
                run_nonce = Some(entry.intent.nonce);
            }
        }
    }
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&Workspace::from("zadruga"), b"body")
}

fn intent(key: &Key, nonce: u64) -> Intent {
    Intent {
        key: key.clone(),
        fingerprint: Fingerprint::of(&key.workspace, b"body"),
        vm: Vm::from("entry-0"),
        incarnation: Incarnation(1),
        nonce,
        at: Millis(0),
    }
}

#[test]
fn retries_stop_when_the_budget_is_empty() {
    let settings = Settings { retry_burst: 1, retry_share: 0.0, ..Settings::default() };
    let mut harness = Harness::new(Repeatability::Idempotent, settings);
    let broken = Dispatch { events: 0, loss: Loss::Broken, stale: None };
    harness.run(&vec![broken; 8]);
    assert_eq!((harness.dispatches, harness.end), (2, Some(Err(Kind::UpstreamFailed))));
    assert!(harness.now < DEADLINE);
}

/// Guards against a third crash: another node reports the second one while this node waits for the
/// reservation of an upstream.
#[test]
fn a_request_that_is_quarantined_while_its_upstream_is_picked_is_not_sent() {
    let crash = |upstream| Crash { upstream: Upstream::from(upstream), at: Millis(0) };
    let suspect = |crashes| Suspect { fingerprint: fingerprint(), crashes };
    let mut harness = Harness::new(Repeatability::Idempotent, Settings::default());
    harness.node.quarantine.merge(Millis(0), vec![suspect(vec![crash("engine-1")])]);
    let actions = harness.apply(Event::Begin);
    assert!(matches!(actions[..], [Action::Dispatch { .. }]), "{actions:?}");
    harness.node.quarantine.merge(Millis(0), vec![suspect(vec![crash("engine-2")])]);
    harness.apply(Event::Picked { upstream: Upstream::from("engine-3") });
    assert_eq!(harness.end, Some(Err(Kind::Quarantined)));
    assert!(!harness.request.has_been_sent());
}
