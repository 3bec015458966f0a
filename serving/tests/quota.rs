//! Quotas on the waiting tokens of a route over all partitions.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    batch::{
        partition_for,
        quota::{Decision, Report, State},
    },
    id::{Job, Route},
    time::Millis,
};

const PARTITIONS: u16 = 3;
const LIMIT: u64 = 1_000;
/// Time after which a coordinator knows what an earlier one has granted.
const SETTLED: Millis = Millis(800);

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
        state.apply_report(Millis(0), number as u16, report(1, tokens));
    }
    state
}

fn reserve(state: &mut State, now: u64, job: &str, tokens: u64) -> Decision {
    state.reserve(SETTLED + Millis(now), Millis(0), &Job::from(job), &route(), tokens, LIMIT)
}

#[test]
fn nothing_is_granted_until_all_partitions_have_reported() {
    let mut state = State::new(PARTITIONS);
    state.apply_report(Millis(0), 0, report(1, 0));
    state.apply_report(Millis(0), 1, report(1, 0));
    assert_eq!(reserve(&mut state, 0, "a", 1), Decision::Unknown);
    state.apply_report(Millis(0), 2, report(1, 0));
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
    let reported_at = SETTLED + Millis(800);
    for number in 0..PARTITIONS {
        let tokens = if number == partition_for("a", PARTITIONS) { 600 } else { 0 };
        state.apply_report(reported_at, number, report(1, tokens));
    }
    assert_eq!(reserve(&mut state, 800, "b", 400), Decision::Granted);
}

/// Guards against a coordinator that stood still or missed reports and forgets a job that it has
/// granted, although no report includes it yet.
#[test]
fn grant_counts_until_a_report_that_must_include_it_has_arrived() {
    let mut state = state_with_reports([0, 0, 0]);
    assert_eq!(reserve(&mut state, 0, "a", 600), Decision::Granted);
    for number in 0..PARTITIONS {
        state.apply_report(SETTLED + Millis(799), number, report(1, 0));
    }
    assert_eq!(reserve(&mut state, 5_000, "b", 600), Decision::OverQuota);
}

/// Guards against a new coordinator that grants what an earlier one has granted to jobs that no
/// report includes yet.
#[test]
fn new_coordinator_grants_nothing_while_earlier_grants_may_be_unknown() {
    let mut earlier = state_with_reports([0, 0, 0]);
    assert_eq!(reserve(&mut earlier, 0, "a", 600), Decision::Granted);
    let mut later = state_with_reports([0, 0, 0]);
    let claimed_at = SETTLED + Millis(50);
    let mut reserve_at = |after: u64| {
        let now = claimed_at + Millis(after);
        later.reserve(now, claimed_at, &Job::from("b"), &route(), 600, LIMIT)
    };
    assert_eq!(reserve_at(1), Decision::Unknown);
    assert_eq!(reserve_at(799), Decision::Unknown);
    assert_eq!(reserve_at(800), Decision::Granted, "the reports lack job a");
    let number = partition_for("a", PARTITIONS);
    later.apply_report(claimed_at + Millis(700), number, report(1, 600));
    let decision =
        later.reserve(claimed_at + SETTLED, claimed_at, &Job::from("c"), &route(), 600, LIMIT);
    assert_eq!(decision, Decision::OverQuota);
}

#[test]
fn report_of_an_earlier_owner_is_ignored() {
    let mut state = state_with_reports([0, 0, 0]);
    state.apply_report(Millis(0), 0, report(5, 900));
    state.apply_report(Millis(0), 0, report(4, 0));
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
