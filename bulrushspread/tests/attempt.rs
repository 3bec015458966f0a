//! One request under any order of faults: nothing twice, nothing missing, and an end in time.

use bulrushspread::{
    attempt::{
        Fingerprint, Settings,
        intent::{Fold, Intent, Key, Outcome, Record, Stage},
        state::{Action, Event, Loss, Node, Repeat, Request},
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

const LENGTH: u32 = 12;
const DEADLINE: Millis = Millis(5_000);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// What the upstreams do with one dispatch.
#[derive(Clone, Debug)]
struct Dispatch {
    /// Events that arrive, late ones of the attempt before first.
    events: u32,
    /// How it is lost when it does not come to its end.
    loss: Loss,
    stale: Option<u32>,
}

fn loss() -> impl Strategy<Value = Loss> {
    prop::sample::select(vec![Loss::NotSent, Loss::Refused, Loss::Broken, Loss::Died])
}

fn dispatches() -> impl Strategy<Value = Vec<Dispatch>> {
    let dispatch = (0..=LENGTH, loss(), prop::option::of(0..LENGTH))
        .prop_map(|(events, loss, stale)| Dispatch { events, loss, stale });
    prop::collection::vec(dispatch, 1..8)
}

/// The run of one request against scripted upstreams.
struct Run {
    node: Node,
    request: Request,
    now: Millis,
    delivered: Vec<u32>,
    /// Dispatches that may have run at an upstream.
    ran: u32,
    dispatched: u32,
    end: Option<Result<(), Kind>>,
}

impl Run {
    fn new(repeat: Repeat, settings: Settings) -> Run {
        let fingerprint = Fingerprint::of(&Workspace::from("zadruga"), b"body");
        Run {
            node: Node::new(settings, 3),
            request: Request::new(fingerprint, repeat, DEADLINE),
            now: Millis(0),
            delivered: Vec::new(),
            ran: 0,
            dispatched: 0,
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
                    assert!(self.end.is_none(), "two ends");
                    self.end = Some(result.clone().map_err(|error| error.kind));
                }
                _ => {}
            }
        }
        actions
    }

    /// Runs until the end. What the script doesn't say comes to its end at once.
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
        self.dispatched += 1;
        let upstream = Upstream(format!("engine-{attempt}"));
        self.apply(Event::Picked { upstream });
        let to = script.map_or(LENGTH, |script| (from + script.events).min(LENGTH));
        if let Some(index) = script.and_then(|script| script.stale) {
            self.apply(Event::Token { attempt: attempt - 1, index, last: false });
            self.apply(Event::Lost { attempt: attempt - 1, loss: Loss::Died });
        }
        let loss = script.map(|script| script.loss);
        let sent = !matches!(loss, Some(Loss::NotSent | Loss::Refused));
        self.ran += u32::from(sent);
        if sent {
            for index in from..to {
                self.apply(Event::Token { attempt, index, last: index + 1 == LENGTH });
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
    fn a_stream_is_whole_or_a_prefix_and_ends_by_its_deadline(script in dispatches()) {
        let mut run = Run::new(Repeat::Idempotent, Settings::default());
        run.run(&script);
        let expected: Vec<u32> = (0..run.delivered.len() as u32).collect();
        prop_assert_eq!(&run.delivered, &expected);
        prop_assert!(run.now <= DEADLINE + Millis(100));
        prop_assert!(run.dispatched <= Settings::default().attempts);
        if run.end == Some(Ok(())) {
            prop_assert_eq!(run.delivered.len() as u32, LENGTH);
        }
        let not_run = [Some(Err(Kind::NoUpstream)), Some(Err(Kind::DeadlineUnreachable))];
        if not_run.contains(&run.end) {
            prop_assert!(!run.request.sent());
        }
    }

    #[test]
    fn an_at_most_once_call_may_run_at_one_dispatch_only(script in dispatches()) {
        let mut run = Run::new(Repeat::AtMostOnce, Settings::default());
        run.run(&script);
        prop_assert!(run.ran <= 1);
        if run.ran == 1 {
            let said = [Some(Ok(())), Some(Err(Kind::OutcomeUnknown))];
            prop_assert!(said.contains(&run.end), "{:?}", run.end);
        }
    }

    /// Any order of claims and ends, with records standing twice: one claim wins, and while its
    /// call may have run no other claim of the key ever wins.
    #[test]
    fn a_key_is_never_won_again_once_its_call_may_have_run(
        records in prop::collection::vec((0_u64..4, 0_u8..5), 1..40),
    ) {
        let key = Key { workspace: Workspace::from("zadruga"), key: "order-1".into() };
        let mut fold = Fold::default();
        let mut ran: Option<u64> = None;
        for (index, (nonce, kind)) in records.into_iter().enumerate() {
            let outcome = match kind {
                0 | 1 => None,
                2 => Some(Outcome::Unkept),
                3 => Some(Outcome::Unknown),
                _ => Some(Outcome::Released),
            };
            let record = match outcome {
                None => Record::Intent(intent(&key, nonce)),
                Some(outcome) => Record::Ended { key: key.clone(), nonce, outcome },
            };
            let position = Position { offset: Offset(index as u64), index: 0 };
            let won = fold.apply(position, record).map(|intent| intent.nonce);
            prop_assert!(won.is_none() || ran.is_none(), "won again after a run");
            if let Some(entry) = fold.get(&key)
                && entry.stage != Stage::Running
            {
                prop_assert!(ran.is_none() || ran == Some(entry.intent.nonce));
                ran = Some(entry.intent.nonce);
            }
        }
    }
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
    let mut run = Run::new(Repeat::Idempotent, settings);
    let broken = Dispatch { events: 0, loss: Loss::Broken, stale: None };
    run.run(&vec![broken; 8]);
    assert_eq!((run.dispatched, run.end), (2, Some(Err(Kind::UpstreamFailed))));
    assert!(run.now < DEADLINE);
}
