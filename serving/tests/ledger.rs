//! Jobs are accepted once, their results keep their places, and a later owner goes on.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    batch::{
        ledger::{Hopeless, ItemId, Ledger, Progress, RunEnd},
        record::{Head, Item, State},
    },
    catalog::{Catalog, Kind, Limits, Route, Share},
    id::Job as JobId,
    log_store::Record,
    time::Millis,
};

const RETRY: Millis = Millis(200);
const CHUNK: usize = 100;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(14), failure_persistence: None, ..Config::default() }
}

fn head(items: usize) -> Head {
    let item = |index| Item {
        id: format!("item-{index}"),
        path: "/x/1".to_string(),
        headers: BTreeMap::from([("model".to_string(), "m".to_string())]),
        body: vec![7; 60],
        tokens: 100,
    };
    Head {
        host: "a.example".to_string(),
        path: "/x/".to_string(),
        accepted: 1_000,
        config: 5,
        items: (0..items).map(item).collect(),
    }
}

fn submit(ledger: &mut Ledger, id: &str, items: usize) -> Vec<Record> {
    ledger.submit(&JobId::from(id), head(items), Millis(18_000), CHUNK).unwrap()
}

/// A ledger with one durable job, and its records.
fn accepted(items: usize) -> (Ledger, Vec<Record>) {
    let mut ledger = Ledger::default();
    let records = submit(&mut ledger, "job", items);
    ledger.confirm_job(&JobId::from("job"));
    (ledger, records)
}

fn item(index: u32) -> ItemId {
    ItemId { job: JobId::from("job"), index }
}

fn progress(events: u64) -> Progress {
    Progress { output: b"text".to_vec(), events, last_event: Some(events) }
}

fn ran(ledger: &mut Ledger, index: u32, end: &RunEnd, attempts: u32) -> Vec<Record> {
    ledger.start(&item(index));
    ledger.ran(Millis(0), &item(index), end, progress(3), attempts, RETRY)
}

fn restore(records: &[Record]) -> Ledger {
    Ledger::restore(records, 1_500, Millis(10_000), |_| Millis(18_000))
}

#[test]
fn job_runs_only_once_it_is_durable() {
    let mut ledger = Ledger::default();
    submit(&mut ledger, "job", 2);
    assert!(!ledger.has_ready());
    ledger.confirm_job(&JobId::from("job"));
    assert!(ledger.has_ready());
    ledger.withdraw(&JobId::from("job"));
    assert!(ledger.job(&JobId::from("job")).is_some(), "what is durable stays");
}

#[test]
fn withdrawn_job_leaves_nothing_behind() {
    let mut ledger = Ledger::default();
    submit(&mut ledger, "job", 2);
    ledger.withdraw(&JobId::from("job"));
    assert!(ledger.job(&JobId::from("job")).is_none());
    assert!(!ledger.has_ready());
}

#[test]
fn item_is_given_up_after_its_failures_and_at_once_when_impossible() {
    let (mut ledger, _) = accepted(3);
    assert!(ran(&mut ledger, 0, &RunEnd::Failed, 2).is_empty());
    assert_eq!(ran(&mut ledger, 0, &RunEnd::Failed, 2).len(), 1);
    assert_eq!(ran(&mut ledger, 1, &RunEnd::Impossible, 2).len(), 1);
    let job = ledger.job(&JobId::from("job")).unwrap();
    let states: Vec<(u32, State)> = job.results.iter().map(|r| (r.item, r.state)).collect();
    assert_eq!(states, vec![(0, State::DeadLettered), (1, State::DeadLettered)]);
}

#[test]
fn failed_item_waits_before_it_runs_again() {
    let (mut ledger, _) = accepted(1);
    ran(&mut ledger, 0, &RunEnd::Failed, 3);
    assert_eq!(ledger.runnable(Millis(100)).count(), 0);
    assert_eq!(ledger.runnable(RETRY).count(), 1);
}

#[test]
fn interrupted_item_goes_on_where_it_was() {
    let (mut ledger, _) = accepted(1);
    assert!(ran(&mut ledger, 0, &RunEnd::Interrupted, 3).is_empty());
    assert_eq!(ledger.start(&item(0)), progress(3));
}

fn catalog(version: u64, routes: Vec<Route>) -> Catalog {
    Catalog::new(version, Limits::default(), routes)
}

fn route() -> Route {
    Route {
        id: "batch".into(),
        host: "a.example".to_string(),
        prefix: "/x/".to_string(),
        kind: Kind::Batch,
        split: vec![Share { service: "model".into(), weight: 1 }],
        timeout: Millis(5_000),
        latency_objective: Millis(400),
        max_attempts: 3,
        priority: 2,
        results_due: Millis(18_000),
        abandon_after: Millis(60_000),
        token_quota: 0,
    }
}

/// Configurations in quick succession: a new owner may know an older one than the last owner did.
#[test]
fn job_of_a_route_that_the_node_does_not_know_yet_is_not_given_up() {
    let (ledger, _) = accepted(1);
    assert_eq!(ledger.hopeless(&catalog(4, Vec::new()), 2_000), Vec::new());
    assert_eq!(ledger.hopeless(&catalog(5, Vec::new()), 2_000), Vec::new());
    let gone = vec![(JobId::from("job"), Hopeless::RouteGone)];
    assert_eq!(ledger.hopeless(&catalog(6, Vec::new()), 2_000), gone);
}

#[test]
fn job_is_given_up_some_time_after_its_limit() {
    let (ledger, _) = accepted(1);
    let catalog = catalog(6, vec![route()]);
    assert_eq!(ledger.hopeless(&catalog, 1_000 + 60_000), Vec::new());
    let over = vec![(JobId::from("job"), Hopeless::TimeUp)];
    assert_eq!(ledger.hopeless(&catalog, 1_000 + 66_000), over);
}

#[test]
fn nothing_of_an_ended_job_runs() {
    let (mut ledger, _) = accepted(3);
    ledger.start(&item(0));
    ledger.end(&JobId::from("job"));
    assert!(!ledger.has_ready());
    let late = ledger.ran(Millis(0), &item(0), &RunEnd::Complete, progress(3), 3, RETRY);
    assert!(late.is_empty());
    assert!(!ledger.has_ready());
}

#[test]
fn burst_of_jobs_runs_by_due_time() {
    let mut ledger = Ledger::default();
    for (id, due) in [("late", 30_000), ("early", 10_000)] {
        let id = JobId::from(id);
        ledger.submit(&id, head(1), Millis(due), CHUNK).unwrap();
        ledger.confirm_job(&id);
    }
    let order: Vec<String> = ledger.runnable(Millis(0)).map(|item| item.job.to_string()).collect();
    assert_eq!(order, ["early", "late"]);
}

#[test]
fn next_owner_goes_on_behind_saved_progress() {
    let (mut ledger, mut records) = accepted(2);
    ran(&mut ledger, 0, &RunEnd::Interrupted, 3);
    records.extend(ledger.save_all());
    let mut next = restore(&records);
    assert_eq!(next.start(&item(0)), progress(3));
    assert_eq!(next.start(&item(1)), Progress::default());
}

#[test]
fn due_time_counts_from_the_submission() {
    let (_, records) = accepted(1);
    let next = restore(&records);
    assert_eq!(next.due(&item(0)), Millis(10_000 + 18_000 - 500));
}

#[test]
fn head_with_a_missing_chunk_is_left_out() {
    let (_, mut records) = accepted(3);
    assert!(records.len() > 2, "the head has several chunks");
    records.pop();
    assert!(restore(&records).job(&JobId::from("job")).is_none());
}

#[test]
fn forgetting_a_job_drops_all_of_its_keys() {
    let (mut ledger, mut records) = accepted(2);
    ledger.start(&item(0));
    records.extend(ledger.save(&item(0), &progress(2)));
    for index in 0..2 {
        ledger.start(&item(index));
        let end = RunEnd::Complete;
        records.extend(ledger.ran(Millis(0), &item(index), &end, progress(9), 3, RETRY));
        ledger.confirm_result(&JobId::from("job"));
    }
    assert!(ledger.forget(1_000).is_empty(), "not old enough");
    records.extend(ledger.forget(1_001));
    let mut kept: BTreeMap<String, bool> = BTreeMap::new();
    for record in &records {
        kept.insert(record.key.clone(), record.value.is_some());
    }
    let left: Vec<&String> = kept.iter().filter(|(_, kept)| **kept).map(|(key, _)| key).collect();
    assert_eq!(left, Vec::<&String>::new());
}

proptest! {
    #![proptest_config(config())]

    /// Whatever the runs do, each item has at most one place, and a ledger that is restored
    /// after any of the writes holds the same results at the same places.
    #[test]
    fn results_keep_their_places(steps in prop::collection::vec((0u32..5, 0u8..4), 1..60)) {
        let (mut ledger, mut records) = accepted(5);
        for (index, kind) in steps {
            let end = match kind {
                0 => RunEnd::Complete,
                1 => RunEnd::Interrupted,
                2 => RunEnd::Failed,
                _ => RunEnd::Impossible,
            };
            if !ledger.runnable(Millis(10_000)).any(|ready| *ready == item(index)) {
                continue;
            }
            records.extend(ran(&mut ledger, index, &end, 2));
            let job = ledger.job(&JobId::from("job")).unwrap();
            let mut items: Vec<u32> = job.results.iter().map(|result| result.item).collect();
            let restored = restore(&records);
            let copy = restored.job(&JobId::from("job")).unwrap();
            prop_assert_eq!(&copy.results, &job.results);
            prop_assert_eq!(copy.waiting_tokens, job.waiting_tokens);
            items.sort_unstable();
            items.dedup();
            prop_assert_eq!(items.len(), job.results.len());
        }
    }
}
