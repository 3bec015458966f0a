//! Quotas on the waiting tokens of a route over all partitions.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    batch::quota::{Decision, Report, State},
    id::{Job, Route},
    time::Millis,
};

const PARTITIONS: u16 = 3;
const LIMIT: u64 = 1_000;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(15), failure_persistence: None, ..Config::default() }
}

fn route() -> Route {
    Route::from("batch")
}

fn report(epoch: u64, tokens: u64) -> Report {
    Report { epoch, waiting: BTreeMap::from([(route(), tokens)]), ..Report::default() }
}

fn state_with_reports(tokens: [u64; PARTITIONS as usize]) -> State {
    let mut state = State::new(PARTITIONS);
    for (number, tokens) in tokens.into_iter().enumerate() {
        state.apply_report(number as u16, report(1, tokens));
    }
    state
}

fn reserve(state: &mut State, now: u64, job: &str, tokens: u64) -> Decision {
    state.reserve(Millis(now), &Job::from(job), &route(), tokens, LIMIT)
}

#[test]
fn nothing_is_granted_until_all_partitions_have_reported() {
    let mut state = State::new(PARTITIONS);
    state.apply_report(0, report(1, 0));
    state.apply_report(1, report(1, 0));
    assert_eq!(reserve(&mut state, 0, "a", 1), Decision::Unknown);
    state.apply_report(2, report(1, 0));
    assert_eq!(reserve(&mut state, 0, "a", 1), Decision::Granted);
}

#[test]
fn tokens_of_all_partitions_count() {
    let mut state = state_with_reports([300, 300, 300]);
    assert_eq!(reserve(&mut state, 0, "a", 101), Decision::OverQuota);
    assert_eq!(reserve(&mut state, 0, "a", 100), Decision::Granted);
}

#[test]
fn grants_count_before_reports_include_them() {
    let mut state = state_with_reports([0, 0, 0]);
    assert_eq!(reserve(&mut state, 0, "a", 600), Decision::Granted);
    assert_eq!(reserve(&mut state, 1, "b", 600), Decision::OverQuota);
    assert_eq!(
        reserve(&mut state, 2, "a", 600),
        Decision::Granted,
        "a repeated request of the same job was refused"
    );
}

#[test]
fn grant_counts_only_until_reports_must_include_it() {
    let mut state = state_with_reports([0, 0, 0]);
    assert_eq!(reserve(&mut state, 0, "a", 600), Decision::Granted);
    state.apply_report(0, report(1, 600));
    assert_eq!(reserve(&mut state, 5_000, "b", 400), Decision::Granted);
}

#[test]
fn report_of_an_earlier_owner_is_ignored() {
    let mut state = state_with_reports([0, 0, 0]);
    state.apply_report(0, report(5, 900));
    state.apply_report(0, report(4, 0));
    assert_eq!(reserve(&mut state, 0, "a", 200), Decision::OverQuota);
}

proptest! {
    #![proptest_config(config())]

    /// Grants and reported tokens together never exceed the limit, in any sequence of concurrent
    /// requests.
    #[test]
    fn limit_holds_over_any_burst(
        waiting in [0u64..400, 0u64..400, 0u64..400],
        jobs in prop::collection::vec(1u64..300, 0..20),
    ) {
        let mut state = state_with_reports(waiting);
        let mut sum: u64 = waiting.iter().sum();
        for (index, tokens) in jobs.into_iter().enumerate() {
            if reserve(&mut state, 0, &format!("job-{index}"), tokens) == Decision::Granted {
                sum += tokens;
                prop_assert!(sum <= LIMIT);
            } else {
                prop_assert!(sum + tokens > LIMIT);
            }
        }
    }
}
