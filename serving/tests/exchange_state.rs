//! Tests of the retry decisions for a request.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    balance::Outcome,
    catalog::Kind,
    exchange::state::{Action, End, Silence, State, health_outcome, may_be_crash},
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

fn fail(state: &mut State, now: u64, index: usize, delivery: Delivery) -> Action {
    state.record_send();
    state.record_failure(Millis(now), &Upstream(format!("replica-{index}")), &failure(delivery))
}

/// Guards against an upstream being ejected because no other node took a request for it.
#[test]
fn only_failures_of_the_upstream_count_against_it() {
    let outcome = |kind| {
        let message = "failed".to_string();
        health_outcome(&Failure { kind, delivery: Delivery::NotSent, message })
    };
    assert_eq!(outcome(FailureKind::NoPath), Outcome::Neutral);
    assert_eq!(outcome(FailureKind::Overloaded), Outcome::Full);
    assert_eq!(outcome(FailureKind::Misdirected), Outcome::Misdirected);
    for kind in [FailureKind::Connect, FailureKind::TimedOut, FailureKind::Broken] {
        assert_eq!(outcome(kind), Outcome::Failed);
    }
}

#[test]
fn at_most_once_request_ends_once_it_may_have_run() {
    let mut state = state(Kind::AtMostOnce, 3);
    assert_eq!(fail(&mut state, 0, 0, Delivery::Sent), Action::End(End::Unknown));
}

#[test]
fn refused_and_unsent_requests_are_sent_to_another_upstream() {
    let mut state = state(Kind::AtMostOnce, 2);
    assert_eq!(fail(&mut state, 0, 0, Delivery::NotSent), Action::Send { resume_after: None });
    assert_eq!(fail(&mut state, 0, 1, Delivery::Refused), Action::Send { resume_after: None });
    assert_eq!(fail(&mut state, 0, 2, Delivery::Refused), Action::End(End::NotRun));
}

/// Guards against a refusal of a request with one attempt while the registry still lists an upstream
/// that is gone: the upstream that has its address now doesn't run the request.
#[test]
fn request_answered_by_another_upstream_is_sent_again() {
    let mut state = state(Kind::AtMostOnce, 1);
    let kind = FailureKind::Misdirected;
    let message = "another upstream has the address".to_string();
    let misdirected = Failure { kind, delivery: Delivery::Refused, message };
    for index in 0..3 {
        state.record_send();
        let upstream = Upstream(format!("replica-{index}"));
        let action = state.record_failure(Millis(0), &upstream, &misdirected);
        assert_eq!(action, Action::Send { resume_after: None });
    }
    assert_eq!(fail(&mut state, 0, 3, Delivery::Refused), Action::End(End::NotRun));
}

#[test]
fn idempotent_request_is_retried_within_its_attempts() {
    let mut state = state(Kind::Idempotent, 2);
    assert_eq!(fail(&mut state, 0, 0, Delivery::Sent), Action::Send { resume_after: None });
    assert_eq!(fail(&mut state, 0, 1, Delivery::Sent), Action::End(End::Unknown));
}

#[test]
fn stream_resumes_after_its_last_event() {
    let mut state = state(Kind::Stream { resumable: true }, 2);
    state.record_send();
    assert_eq!(state.accept_event(Some(1)), Ok(true));
    assert_eq!(state.accept_event(Some(2)), Ok(true));
    let next = state.record_failure(Millis(0), &Upstream::from("a"), &failure(Delivery::Sent));
    assert_eq!(next, Action::Send { resume_after: Some(2) });
    assert_eq!(state.accept_event(Some(2)), Ok(false), "a repeated event is dropped");
    assert!(state.accept_event(Some(4)).is_err(), "a missing event is an error");
}

#[test]
fn stream_that_has_begun_and_is_not_resumable_is_cut() {
    let mut state = state(Kind::Stream { resumable: false }, 2);
    state.record_send();
    assert_eq!(state.accept_event(Some(1)), Ok(true));
    let next = state.record_failure(Millis(0), &Upstream::from("a"), &failure(Delivery::Sent));
    assert_eq!(next, Action::End(End::Cut));
}

#[test]
fn stream_resumes_after_the_last_event_of_the_caller() {
    let mut state = state(Kind::Stream { resumable: true }, 2);
    state.set_last_event(12);
    assert_eq!(state.resume_after(), Some(12));
    assert_eq!(state.accept_event(Some(12)), Ok(false));
    assert_eq!(state.accept_event(Some(13)), Ok(true));
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut state = state(Kind::Idempotent, 3);
    assert_eq!(fail(&mut state, END.0, 0, Delivery::Sent), Action::End(End::Timeout));
    let mut state = self::state(Kind::Idempotent, 3);
    assert_eq!(fail(&mut state, END.0, 0, Delivery::Refused), Action::End(End::NotRun));
}

/// A request with little time left must not wait at an upstream as if it had the whole objective.
#[test]
fn objective_ends_with_the_deadline() {
    let state = state(Kind::Idempotent, 3);
    assert_eq!(state.objective_at(Millis(0)), OBJECTIVE);
    assert_eq!(state.objective_at(END - OBJECTIVE), OBJECTIVE);
    assert_eq!(state.objective_at(END - Millis(40)), Millis(40));
    assert_eq!(state.objective_at(END + Millis(1)), Millis(0));
}

#[test]
fn silent_upstream_is_awaited_until_the_deadline_if_no_retry_is_possible() {
    let mut at_most_once = state(Kind::AtMostOnce, 3);
    at_most_once.record_send();
    assert_eq!(at_most_once.silence_deadline(Millis(0)), END);
    let mut repeatable = state(Kind::Idempotent, 3);
    repeatable.record_send();
    assert_eq!(repeatable.silence_deadline(Millis(0)), Millis(900));
    repeatable.record_send();
    repeatable.record_send();
    assert_eq!(repeatable.silence_deadline(Millis(0)), END, "no attempt is left");
}

/// A silent upstream must keep the request while no other one has it, however many refuse it.
#[test]
fn silent_upstream_keeps_the_request_until_its_deadline() {
    let mut state = state(Kind::Stream { resumable: true }, 2);
    let silent = Upstream::from("silent");
    state.record_send();
    let mut now = state.silence_deadline(Millis(0));
    assert_eq!(now, Millis(900));
    for index in 0.. {
        match state.record_silence(now, &silent) {
            Silence::FindSuccessor => {
                state.record_send();
                assert!(state.overlap_deadline(now) - now < Millis(400), "two runs of a stream");
                let delivery = if index % 2 == 0 { Delivery::Refused } else { Delivery::NotSent };
                let other = Upstream(format!("other-{index}"));
                state.record_successor_failure(&other, &failure(delivery));
                now = state.next_search(now);
            }
            Silence::Wait => now = END,
            Silence::End(end) => {
                assert_eq!((now, end), (END, End::Timeout));
                break;
            }
        }
    }
}

/// A successor that may have run the request uses up an attempt, although the silent upstream keeps
/// the request.
#[test]
fn successor_that_may_have_run_counts_as_an_attempt() {
    let mut state = state(Kind::Idempotent, 2);
    state.record_send();
    assert_eq!(state.record_silence(Millis(900), &"silent".into()), Silence::FindSuccessor);
    state.record_send();
    state.record_successor_failure(&"other".into(), &failure(Delivery::Sent));
    assert_eq!(state.next_search(Millis(950)), END);
    assert_eq!(state.record_silence(Millis(1_000), &"silent".into()), Silence::Wait);
}

/// A request that a silent upstream has lost to another one, which then refuses it, must go on: the
/// refusal uses up no attempt, and the silent upstream may be tried again, once.
#[test]
fn silent_upstream_is_tried_again_after_the_one_that_took_over_refuses() {
    let (silent, other) = (Upstream::from("silent"), Upstream::from("other"));
    for delivery in [Delivery::Refused, Delivery::NotSent] {
        let mut state = state(Kind::Stream { resumable: true }, 2);
        state.record_send();
        assert_eq!(state.record_silence(Millis(900), &silent), Silence::FindSuccessor);
        state.record_send();
        let next = state.record_failure(Millis(1_400), &other, &failure(delivery));
        assert_eq!(next, Action::Send { resume_after: None });
        assert_eq!(state.excluded, [other.clone()].into());
        state.record_send();
        let next = state.record_failure(Millis(1_500), &silent, &failure(Delivery::Refused));
        assert_eq!(next, Action::End(End::Unknown));
        assert_eq!(state.excluded, [silent.clone(), other.clone()].into());
    }
}

/// A silent upstream that has failed meanwhile isn't tried again after the one that took over refuses.
#[test]
fn silent_upstream_that_failed_is_not_tried_again() {
    let (silent, other) = (Upstream::from("silent"), Upstream::from("other"));
    let break_connection = |state: &mut State| {
        state.record_failure(Millis(1_000), &silent, &failure(Delivery::Sent));
    };
    let answer_with_error = |state: &mut State| {
        state.record_error_answer(Millis(1_000), &silent);
    };
    for fail in [&break_connection as &dyn Fn(&mut State), &answer_with_error] {
        let mut state = state(Kind::Idempotent, 2);
        state.record_send();
        assert_eq!(state.record_silence(Millis(900), &silent), Silence::FindSuccessor);
        state.record_send();
        fail(&mut state);
        let next = state.record_failure(Millis(1_400), &other, &failure(Delivery::Refused));
        assert_eq!(next, Action::End(End::Unknown));
        assert_eq!(state.excluded, [silent.clone(), other.clone()].into());
    }
}

/// A request that must run at most once stays with its silent upstream.
#[test]
fn at_most_once_request_has_no_successor() {
    let mut state = state(Kind::AtMostOnce, 3);
    state.record_send();
    assert_eq!(state.record_silence(Millis(900), &"silent".into()), Silence::Wait);
    assert_eq!(state.record_silence(END, &"silent".into()), Silence::End(End::Timeout));
}

/// Upstreams that become silent or unreachable must not send the requests in flight there to
/// quarantine.
#[test]
fn only_a_connection_that_broke_after_the_send_may_be_a_crash() {
    assert!(may_be_crash(&failure(Delivery::Sent)));
    assert!(!may_be_crash(&failure(Delivery::NotSent)));
    assert!(!may_be_crash(&failure(Delivery::Refused)));
    let silent = Failure { kind: FailureKind::TimedOut, ..failure(Delivery::Sent) };
    assert!(!may_be_crash(&silent));
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

    /// The number of sends that reach an upstream is limited by the attempts, and to one send that
    /// may have run if the request must not be repeated. A request ends as not run only if no
    /// upstream may have run it.
    #[test]
    fn attempts_are_bounded(
        kind in kinds(),
        attempts in 1u32..4,
        outcomes in prop::collection::vec(0u8..3, 1..12),
    ) {
        let mut state = state(kind, attempts);
        let mut reached_count = 0;
        for (index, outcome) in outcomes.into_iter().enumerate() {
            let delivery = match outcome {
                0 => Delivery::NotSent,
                1 => Delivery::Refused,
                _ => Delivery::Sent,
            };
            reached_count += u32::from(delivery != Delivery::NotSent);
            let may_have_run = delivery == Delivery::Sent;
            match fail(&mut state, 0, index, delivery) {
                Action::Send { .. } => prop_assert!(!may_have_run || kind.is_retryable()),
                Action::End(end) => {
                    prop_assert_ne!((end, may_have_run), (End::NotRun, true));
                    break;
                }
            }
            prop_assert!(reached_count < attempts);
        }
    }
}
