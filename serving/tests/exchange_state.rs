//! What becomes of a request after each failure.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    catalog::Kind,
    exchange::state::{End, Next, State, may_be_death},
    id::Upstream,
    time::Millis,
    upstream::{Delivery, Failure, FailureKind},
};

const END: Millis = Millis(5_000);
const OBJECTIVE: Millis = Millis(300);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..Config::default() }
}

fn state(kind: Kind, attempts: u32) -> State {
    State::new(kind, attempts, END, OBJECTIVE)
}

fn failure(delivery: Delivery) -> Failure {
    let kind = match delivery {
        Delivery::NotSent => FailureKind::Connect,
        Delivery::Refused => FailureKind::Overloaded,
        Delivery::Sent => FailureKind::Broken,
    };
    Failure { kind, delivery, message: "failed".to_string() }
}

fn fail(state: &mut State, now: u64, index: usize, delivery: Delivery) -> Next {
    state.sent();
    state.failed(Millis(now), &Upstream(format!("replica-{index}")), &failure(delivery))
}

#[test]
fn request_that_must_not_repeat_ends_once_it_may_have_run() {
    let mut state = state(Kind::AtMostOnce, 3);
    assert_eq!(fail(&mut state, 0, 0, Delivery::Sent), Next::End(End::Unknown));
}

#[test]
fn refused_and_unsent_requests_go_elsewhere() {
    let mut state = state(Kind::AtMostOnce, 2);
    assert_eq!(fail(&mut state, 0, 0, Delivery::NotSent), Next::Send { resume_after: None });
    assert_eq!(fail(&mut state, 0, 1, Delivery::Refused), Next::Send { resume_after: None });
    assert_eq!(fail(&mut state, 0, 2, Delivery::Refused), Next::End(End::NotRun));
}

#[test]
fn idempotent_request_is_sent_again_within_its_attempts() {
    let mut state = state(Kind::Idempotent, 2);
    assert_eq!(fail(&mut state, 0, 0, Delivery::Sent), Next::Send { resume_after: None });
    assert_eq!(fail(&mut state, 0, 1, Delivery::Sent), Next::End(End::Unknown));
}

#[test]
fn stream_resumes_behind_its_last_event() {
    let mut state = state(Kind::Stream { resumable: true }, 2);
    state.sent();
    assert_eq!(state.event(Some(1)), Ok(true));
    assert_eq!(state.event(Some(2)), Ok(true));
    let next = state.failed(Millis(0), &Upstream::from("a"), &failure(Delivery::Sent));
    assert_eq!(next, Next::Send { resume_after: Some(2) });
    assert_eq!(state.event(Some(2)), Ok(false), "an event that comes again is dropped");
    assert!(state.event(Some(4)).is_err(), "a missing event isn't passed over");
}

#[test]
fn stream_that_has_begun_and_cannot_resume_is_cut() {
    let mut state = state(Kind::Stream { resumable: false }, 2);
    state.sent();
    assert_eq!(state.event(Some(1)), Ok(true));
    let next = state.failed(Millis(0), &Upstream::from("a"), &failure(Delivery::Sent));
    assert_eq!(next, Next::End(End::Cut));
}

#[test]
fn caller_position_is_passed_on() {
    let mut state = state(Kind::Stream { resumable: true }, 2);
    state.resumes_at(12);
    assert_eq!(state.resume_after(), Some(12));
    assert_eq!(state.event(Some(12)), Ok(false));
    assert_eq!(state.event(Some(13)), Ok(true));
}

#[test]
fn nothing_is_sent_when_the_time_is_up() {
    let mut state = state(Kind::Idempotent, 3);
    assert_eq!(fail(&mut state, END.0, 0, Delivery::Sent), Next::End(End::Timeout));
    let mut state = self::state(Kind::Idempotent, 3);
    assert_eq!(fail(&mut state, END.0, 0, Delivery::Refused), Next::End(End::NotRun));
}

#[test]
fn silence_is_borne_to_the_end_where_nothing_else_can_be_done() {
    let mut once = state(Kind::AtMostOnce, 3);
    once.sent();
    assert_eq!(once.silent_until(Millis(0)), END);
    let mut repeatable = state(Kind::Idempotent, 3);
    repeatable.sent();
    assert_eq!(repeatable.silent_until(Millis(0)), Millis(900));
    repeatable.sent();
    repeatable.sent();
    assert_eq!(repeatable.silent_until(Millis(0)), END, "no attempt is left");
}

/// Upstreams that go dark take no innocent requests into quarantine with them.
#[test]
fn only_a_broken_exchange_may_be_a_death() {
    assert!(may_be_death(&failure(Delivery::Sent)));
    assert!(!may_be_death(&failure(Delivery::NotSent)));
    assert!(!may_be_death(&failure(Delivery::Refused)));
    let silent = Failure { kind: FailureKind::TimedOut, ..failure(Delivery::Sent) };
    assert!(!may_be_death(&silent));
}

fn kinds() -> impl Strategy<Value = Kind> {
    prop_oneof![
        Just(Kind::Idempotent),
        Just(Kind::AtMostOnce),
        any::<bool>().prop_map(|resumable| Kind::Stream { resumable }),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Sends that may run stay within the attempts, and within one for what must not repeat. A
    /// refusal is told only if nothing may have run.
    #[test]
    fn attempts_are_bounded(
        kind in kinds(),
        attempts in 1u32..4,
        outcomes in prop::collection::vec(0u8..3, 1..12),
    ) {
        let mut state = state(kind, attempts);
        let mut reaching = 0;
        for (index, outcome) in outcomes.into_iter().enumerate() {
            let delivery = match outcome {
                0 => Delivery::NotSent,
                1 => Delivery::Refused,
                _ => Delivery::Sent,
            };
            reaching += u32::from(delivery != Delivery::NotSent);
            let ran = delivery == Delivery::Sent;
            match fail(&mut state, 0, index, delivery) {
                Next::Send { .. } => prop_assert!(!ran || kind.is_retryable()),
                Next::End(end) => {
                    prop_assert_ne!((end, ran), (End::NotRun, true));
                    break;
                }
            }
            prop_assert!(reaching < attempts);
        }
    }
}
