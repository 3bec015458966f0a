//! Batch jobs of one partition: acceptance, runs, results, and restoring the jobs from the log.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    batch::{
        ledger::{AbandonReason, ItemId, Ledger, Progress, RunEnd, RunRecords},
        record::{
            self, Failure, Head, Item, Key, RunId, State, decode_head, encode_failure, encode_head,
            encode_submission,
        },
    },
    catalog::{Catalog, Kind, Limits, Route, RouteKey, Share},
    fleet::Software,
    id::{Job as JobId, Workspace},
    log_store::Record,
    time::Millis,
};

const RETRY_DELAY: Millis = Millis(200);
const CHUNK_BYTES: usize = 100;
/// Limits with which jobs are written in one append.
const LIMITS: record::Limits = record::Limits { record_bytes: CHUNK_BYTES, append_bytes: 1 << 20 };

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
        workspace: None,
        route: None,
    }
}

fn submit(ledger: &mut Ledger, id: &str, items: usize) -> Vec<Record> {
    ledger.submit(&JobId::from(id), head(items), Millis(18_000), LIMITS).unwrap().concat()
}

/// Returns a ledger with one durable job, and the records of the job.
fn accepted_ledger(items: usize) -> (Ledger, Vec<Record>) {
    let mut ledger = Ledger::default();
    let records = submit(&mut ledger, "job", items);
    ledger.confirm_job(&JobId::from("job"));
    (ledger, records)
}

fn item(index: u32) -> ItemId {
    ItemId { job: JobId::from("job"), index }
}

fn progress(events: u64) -> Progress {
    let software = Some(Software { service: "model".into(), version: "v1".into() });
    Progress { output: b"text".to_vec(), events, last_event: Some(events), software }
}

/// Starts an item, ends its run after three events, and returns the records of its result.
fn run_item(ledger: &mut Ledger, index: u32, end: &RunEnd, max_failures: u32) -> Vec<Record> {
    ledger.start(&item(index));
    finish_run(ledger, index, end, max_failures).result
}

/// Ends a run of an item after three events; a failure is durable at once.
fn finish_run(ledger: &mut Ledger, index: u32, end: &RunEnd, max_failures: u32) -> RunRecords {
    let item = item(index);
    let records = ledger.finish_run(Millis(0), &item, end, progress(3), max_failures, RETRY_DELAY);
    if records.result.is_empty() && records.failure.is_some() {
        ledger.confirm_failure(&item);
    }
    records
}

/// The latest record of each key that isn't deleted.
fn latest(records: &[Record]) -> Vec<Record> {
    let by_key: BTreeMap<&str, &Record> =
        records.iter().map(|record| (record.key.as_str(), record)).collect();
    by_key.into_values().filter(|record| record.value.is_some()).cloned().collect()
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
    assert!(ledger.job(&JobId::from("job")).is_some(), "a durable job can't be withdrawn");
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
fn item_is_given_up_after_its_last_failure_or_at_once_when_impossible() {
    let (mut ledger, _) = accepted_ledger(3);
    assert!(run_item(&mut ledger, 0, &RunEnd::Failed, 2).is_empty());
    let records = run_item(&mut ledger, 0, &RunEnd::Failed, 2);
    let keys: Vec<&str> = records.iter().map(|record| record.key.as_str()).collect();
    assert_eq!(keys, ["r/job/000000", "f/job/000000/0-0"], "the result, and the run before");
    assert_eq!(run_item(&mut ledger, 1, &RunEnd::Impossible, 2).len(), 1);
    let job = ledger.job(&JobId::from("job")).unwrap();
    let states: Vec<(u32, State)> = job.results.iter().map(|r| (r.item, r.state)).collect();
    assert_eq!(states, vec![(0, State::DeadLettered), (1, State::DeadLettered)]);
}

#[test]
fn failed_item_waits_for_the_retry_delay() {
    let (mut ledger, _) = accepted_ledger(1);
    run_item(&mut ledger, 0, &RunEnd::Failed, 3);
    assert_eq!(ledger.runnable(Millis(100)).count(), 0);
    assert_eq!(ledger.runnable(RETRY_DELAY).count(), 1);
}

/// Guards against an item that always fails and is tried anew by each owner of its partition.
#[test]
fn next_owner_knows_the_failed_runs_of_an_item() {
    let (mut ledger, mut records) = accepted_ledger(1);
    for epoch in [1_025, 2_049] {
        ledger.set_epoch(epoch);
        ledger.start(&item(0));
        let ended = finish_run(&mut ledger, 0, &RunEnd::Failed, 3);
        assert!(ended.result.is_empty());
        records.extend(ended.failure);
        ledger = restore(&records);
    }
    ledger.set_epoch(3_073);
    let result = run_item(&mut ledger, 0, &RunEnd::Failed, 3);
    assert!(result[0].key.starts_with("r/"), "{result:?}");
    let deleted: Vec<&str> = result[1..].iter().map(|record| record.key.as_str()).collect();
    assert_eq!(deleted, ["f/job/000000/401-0", "f/job/000000/801-0"]);
    records.extend(result);
    assert_eq!(latest(&records).iter().filter(|record| record.key.starts_with("f/")).count(), 0);
}

/// Guards against an owner that runs an item again although no later owner would know of its failed
/// run, because the log doesn't take the record.
#[test]
fn failed_item_waits_until_its_failure_is_durable() {
    let (mut ledger, _) = accepted_ledger(1);
    ledger.start(&item(0));
    ledger.finish_run(Millis(0), &item(0), &RunEnd::Failed, progress(0), 3, RETRY_DELAY);
    assert!(!ledger.has_ready());
    ledger.confirm_failure(&item(0));
    assert_eq!(ledger.runnable(RETRY_DELAY).count(), 1);
    ledger.start(&item(0));
    ledger.finish_run(Millis(0), &item(0), &RunEnd::Failed, progress(0), 3, RETRY_DELAY);
    ledger.cancel(&JobId::from("job"));
    ledger.confirm_failure(&item(0));
    assert!(!ledger.has_ready());
}

/// Guards against a further run of an item whose last failed run was saved only after the next
/// owner had taken over: of three failed runs, or of one that showed that none can succeed.
#[test]
fn item_that_failed_at_earlier_owners_is_given_up_without_a_run() {
    for (failures, is_given_up) in [
        (vec![Failure::Failed; 2], false),
        (vec![Failure::Failed; 3], true),
        (vec![Failure::Failed; 4], true),
        (vec![Failure::Impossible], true),
    ] {
        let (_, mut records) = accepted_ledger(2);
        for (number, failure) in (0..).zip(&failures) {
            let run = RunId { epoch: 1_025, number };
            let record = encode_failure(&JobId::from("job"), 1, run, *failure).unwrap();
            // The same run, saved by its owner and once more after its end.
            records.extend([record.clone(), record]);
        }
        let mut ledger = restore(&latest(&records));
        assert_eq!(ledger.give_up_failed(|_| None).len(), usize::from(failures.len() == 1));
        let mut ledger = restore(&latest(&records));
        let given_up = ledger.give_up_failed(|_| Some(3));
        assert_eq!(given_up.len(), usize::from(is_given_up), "{failures:?}");
        assert_eq!(ledger.runnable(Millis(u64::MAX)).count(), 2 - given_up.len());
        records.extend(given_up.into_iter().flat_map(|(_, records)| records));
        let left = latest(&records);
        let has_failures = left.iter().any(|record| record.key.starts_with("f/"));
        assert_eq!(has_failures, !is_given_up, "{left:?}");
    }
}

/// Guards against records of failed runs that nobody deletes: of an item with a result, and of a job
/// that a node removed which doesn't know these records.
#[test]
fn records_of_failed_runs_that_are_no_longer_needed_are_deleted() {
    let (mut ledger, mut records) = accepted_ledger(1);
    records.extend(run_item(&mut ledger, 0, &RunEnd::Complete, 3));
    let run = RunId { epoch: 1_025, number: 0 };
    for job in ["job", "removed"] {
        records.push(encode_failure(&JobId::from(job), 0, run, Failure::Failed).unwrap());
    }
    let mut ledger = restore(&records);
    let obsolete = ledger.take_obsolete();
    let deleted: Vec<(&str, bool)> =
        obsolete.iter().map(|record| (record.key.as_str(), record.value.is_some())).collect();
    assert_eq!(deleted, [("f/job/000000/401-0", false), ("f/removed/000000/401-0", false)]);
    assert_eq!(ledger.take_obsolete(), Vec::new());
}

/// Guards against a failed run under a key that no node can read.
#[test]
fn key_of_a_failed_run_is_read_as_it_was_written() {
    let run = RunId { epoch: u64::MAX, number: u32::MAX };
    for job in ["job", "work space/job"] {
        let key = Key::Failure { job: JobId::from(job), item: 7, run };
        assert_eq!(Key::decode(&key.encode()), Some(key));
    }
    for text in ["f/job/000007", "f/job/000007/1", "f/job/000007/g-1", "f/000007/1-1", "f//"] {
        assert_eq!(Key::decode(text), None, "{text}");
    }
}

#[test]
fn interrupted_item_resumes_from_its_progress() {
    let (mut ledger, _) = accepted_ledger(1);
    assert!(run_item(&mut ledger, 0, &RunEnd::Interrupted, 3).is_empty());
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
        is_public: false,
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

/// After several configuration changes in quick succession, a new owner may have an older
/// configuration than the one under which the job was accepted. The route may be missing there.
#[test]
fn job_is_not_abandoned_if_its_route_is_missing_from_an_older_configuration() {
    let (ledger, _) = accepted_ledger(1);
    assert_eq!(ledger.find_abandoned(&catalog(4, Vec::new()), 2_000), Vec::new());
    assert_eq!(ledger.find_abandoned(&catalog(5, Vec::new()), 2_000), Vec::new());
    let gone = vec![(JobId::from("job"), AbandonReason::RouteGone)];
    assert_eq!(ledger.find_abandoned(&catalog(6, Vec::new()), 2_000), gone);
}

#[test]
fn job_is_abandoned_a_margin_after_its_time_limit() {
    let (ledger, _) = accepted_ledger(1);
    let catalog = catalog(6, vec![route()]);
    assert_eq!(ledger.find_abandoned(&catalog, 1_000 + 60_000), Vec::new());
    let over = vec![(JobId::from("job"), AbandonReason::TimeUp)];
    assert_eq!(ledger.find_abandoned(&catalog, 1_000 + 66_000), over);
}

#[test]
fn items_of_a_cancelled_job_do_not_run() {
    let (mut ledger, _) = accepted_ledger(3);
    ledger.start(&item(0));
    ledger.cancel(&JobId::from("job"));
    assert!(!ledger.has_ready());
    let records =
        ledger.finish_run(Millis(0), &item(0), &RunEnd::Complete, progress(3), 3, RETRY_DELAY);
    assert_eq!(records, RunRecords::default());
    assert!(!ledger.has_ready());
}

#[test]
fn burst_of_jobs_runs_by_due_time() {
    let mut ledger = Ledger::default();
    for (id, due) in [("late", 30_000), ("early", 10_000)] {
        let id = JobId::from(id);
        ledger.submit(&id, head(1), Millis(due), LIMITS).unwrap();
        ledger.confirm_job(&id);
    }
    let order: Vec<String> = ledger.runnable(Millis(0)).map(|item| item.job.to_string()).collect();
    assert_eq!(order, ["early", "late"]);
}

/// Progress from before records named the software must not be continued by chance: the next owner
/// doesn't know which upstreams can.
#[test]
fn progress_without_its_software_is_not_continued() {
    let (mut ledger, mut records) = accepted_ledger(1);
    run_item(&mut ledger, 0, &RunEnd::Interrupted, 3);
    let saved = ledger.save_progress(&item(0), &progress(3)).unwrap();
    let old_format = postcard::to_stdvec(&(b"text".to_vec(), 3u64, Some(3u64))).unwrap();
    records.push(Record { value: Some(old_format.into()), ..saved });
    assert_eq!(restore(&records).start(&item(0)), Progress::default());
}

#[test]
fn next_owner_resumes_from_saved_progress() {
    let (mut ledger, mut records) = accepted_ledger(2);
    run_item(&mut ledger, 0, &RunEnd::Interrupted, 3);
    records.extend(ledger.save_all_progress());
    let mut next = restore(&records);
    assert_eq!(next.start(&item(0)), progress(3));
    assert_eq!(next.start(&item(1)), Progress::default());
}

#[test]
fn due_time_is_counted_from_the_submission() {
    let (_, records) = accepted_ledger(1);
    let next = restore(&records);
    assert_eq!(next.due(&item(0)), Millis(10_000 + 18_000 - 500));
}

#[test]
fn job_whose_head_lacks_a_chunk_is_ignored() {
    let (_, mut records) = accepted_ledger(3);
    assert!(records.len() > 2, "the head has several chunks");
    records.pop();
    assert!(restore(&records).job(&JobId::from("job")).is_none());
}

#[test]
fn removing_an_expired_job_deletes_all_of_its_keys() {
    let (mut ledger, mut records) = accepted_ledger(2);
    ledger.start(&item(0));
    records.extend(ledger.save_progress(&item(0), &progress(2)));
    for index in 0..2 {
        ledger.start(&item(index));
        let end = RunEnd::Complete;
        let ended = ledger.finish_run(Millis(0), &item(index), &end, progress(9), 3, RETRY_DELAY);
        records.extend(ended.result);
        ledger.confirm_result(&JobId::from("job"));
    }
    assert!(ledger.remove_expired(1_000).is_empty(), "not old enough");
    records.extend(ledger.remove_expired(1_001).into_iter().flatten());
    let mut kept: BTreeMap<String, bool> = BTreeMap::new();
    for record in &records {
        kept.insert(record.key.clone(), record.value.is_some());
    }
    let left: Vec<&String> = kept.iter().filter(|(_, kept)| **kept).map(|(key, _)| key).collect();
    assert_eq!(left, Vec::<&String>::new());
}

proptest! {
    #![proptest_config(config())]

    /// However the runs end, each item has at most one result, and a ledger that is restored after
    /// any of the writes has the same results at the same positions.
    #[test]
    fn results_keep_their_positions(steps in prop::collection::vec((0u32..5, 0u8..4), 1..60)) {
        let (mut ledger, mut records) = accepted_ledger(5);
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
            records.extend(run_item(&mut ledger, index, &end, 2));
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

proptest! {
    #![proptest_config(config())]

    /// Guards against a job that a reader takes for accepted before its last append is durable,
    /// whatever an earlier attempt at the same job has left behind.
    #[test]
    fn job_is_accepted_by_its_last_append_only(
        bodies in prop::collection::vec(0usize..300, 0..4),
        record_bytes in 16usize..200,
        append_bytes in 100usize..600,
        has_route in any::<bool>(),
    ) {
        let id = JobId::from("job");
        let mut written = head(bodies.len());
        for (item, bytes) in written.items.iter_mut().zip(&bodies) {
            item.body = vec![7; *bytes];
        }
        let route = RouteKey { id: "night".into(), prefix: "/jobs/night/".to_string() };
        written.route = has_route.then_some(route);
        let limits = record::Limits { record_bytes, append_bytes };
        let earlier = encode_submission(&id, &Head { accepted: 900, ..written.clone() }, limits);
        let (earlier, appends) = (earlier.unwrap(), encode_submission(&id, &written, limits).unwrap());
        for of_earlier in 0..earlier.len() {
            let left = earlier[..of_earlier].concat();
            for of_later in 0..appends.len() {
                let records = latest(&[left.clone(), appends[..of_later].concat()].concat());
                prop_assert!(restore(&records).job(&id).is_none(), "{of_earlier}, {of_later}");
            }
            let restored = restore(&latest(&[left, appends.concat()].concat()));
            prop_assert_eq!(restored.job(&id).map(|job| &job.head), Some(&written));
        }
        for append in &appends {
            let bytes: usize = append.iter().map(Record::encoded_len).sum();
            prop_assert!(append.len() == 1 || bytes <= append_bytes);
        }
    }
}

/// Guards against a head in several appends that nodes of an earlier release can't read.
#[test]
fn head_in_several_appends_ends_with_an_empty_chunk() {
    let id = JobId::from("job");
    let limits = record::Limits { append_bytes: 400, ..LIMITS };
    let route = Some(RouteKey { id: "night".into(), prefix: "/jobs/night/".to_string() });
    let written = Head { route, ..head(6) };
    let appends = encode_submission(&id, &written, limits).unwrap();
    let shape: Vec<Vec<(&str, usize)>> = appends
        .iter()
        .map(|append| {
            let size = |record: &Record| record.value.as_ref().map_or(0, bytes::Bytes::len);
            append.iter().map(|record| (record.key.as_str(), size(record))).collect()
        })
        .collect();
    insta::assert_debug_snapshot!(shape);
    let one_append = encode_submission(&id, &written, LIMITS).unwrap().concat();
    let joined = |records: &[Record]| -> Vec<u8> {
        let chunks = records.iter().filter(|record| record.key.starts_with("h/"));
        chunks.flat_map(|record| record.value.as_ref().unwrap()[4..].to_vec()).collect()
    };
    assert_eq!(joined(&appends.concat()), joined(&one_append));
}

/// Guards against a cancellation, left behind by a refused job, that applies to a later submission.
#[test]
fn cancellation_without_a_head_is_deleted() {
    let (mut ledger, records) = accepted_ledger(1);
    let cancellation = ledger.cancel(&JobId::from("job")).unwrap();
    let obsolete = restore(std::slice::from_ref(&cancellation)).take_obsolete();
    assert_eq!(obsolete, [Record { value: None, ..cancellation.clone() }]);
    let mut cancelled = restore(&[records, vec![cancellation]].concat());
    assert!(cancelled.job(&JobId::from("job")).unwrap().cancelled);
    assert!(cancelled.take_obsolete().is_empty());
}

/// A caller may state any number of tokens; their sum must neither end the owner nor wrap around to
/// a job that fits every quota.
#[test]
fn tokens_of_a_job_add_up_without_overflow() {
    let mut head = head(3);
    head.items.iter_mut().for_each(|item| item.tokens = u64::MAX / 2 + 1);
    let mut ledger = Ledger::default();
    ledger.submit(&JobId::from("job"), head, Millis(18_000), LIMITS).unwrap();
    ledger.confirm_job(&JobId::from("job"));
    let waiting = |ledger: &Ledger| ledger.jobs().map(|(_, job)| job.waiting_tokens).max();
    assert_eq!(waiting(&ledger), Some(u64::MAX));
    for index in 0..3 {
        run_item(&mut ledger, index, &RunEnd::Complete, 3);
    }
    assert_eq!(waiting(&ledger), Some(0));
}

/// The head of a job as nodes wrote it before jobs had workspaces.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct OldHead {
    host: String,
    path: String,
    accepted: u64,
    config: u64,
    items: Vec<Item>,
}

impl OldHead {
    fn of(head: Head) -> OldHead {
        let Head { host, path, accepted, config, items, .. } = head;
        OldHead { host, path, accepted, config, items }
    }
}

/// Guards against jobs that are lost, or lose their workspace, while nodes of two releases run side by
/// side.
#[test]
fn heads_are_read_by_older_and_newer_nodes() {
    let old = postcard::to_stdvec(&OldHead::of(head(2))).unwrap();
    for workspace in [None, Some(Workspace::from("one"))] {
        let written = Head { workspace: workspace.clone(), ..head(2) };
        let records = encode_head(&JobId::from("job"), &written, CHUNK_BYTES).unwrap();
        let chunks: BTreeMap<u32, bytes::Bytes> =
            (0..).zip(records.into_iter().map(|record| record.value.unwrap())).collect();
        let encoded: Vec<u8> = chunks.values().flat_map(|chunk| chunk[4..].to_vec()).collect();
        assert_eq!(encoded == old, workspace.is_none(), "heads without a workspace stay the same");
        let read_by_old: OldHead = postcard::from_bytes(&encoded).unwrap();
        assert_eq!(read_by_old, OldHead::of(head(2)));
        assert_eq!(decode_head(&chunks), Some(Ok(written)));
    }
    let mut chunk = 0u32.to_be_bytes().to_vec();
    chunk.extend(old);
    assert_eq!(decode_head(&BTreeMap::from([(0, chunk.into())])), Some(Ok(head(2))));
}

/// Guards against a caller that names a job of another workspace by an id of its own.
#[test]
fn no_id_names_a_job_of_another_workspace() {
    let (one, two) = (Workspace::from("one"), Workspace::from("two"));
    let secret = JobId::scoped(Some(&one), "job");
    assert_eq!(JobId::scoped(None, "job"), JobId::from("job"));
    assert_ne!(JobId::scoped(Some(&two), "job"), secret);
    for guess in ["job", "one/job", &secret.0, &secret.0[1..]] {
        assert_ne!(JobId::scoped(None, guess), secret, "{guess}");
        assert_ne!(JobId::scoped(Some(&two), guess), secret, "{guess}");
    }
}

/// Guards against an owner that looks the route of a job up by path only, and against nodes of a
/// release without the records of routes, which leave them behind.
#[test]
fn route_of_a_job_is_kept_beside_its_head() {
    let id = JobId::from("job");
    let accepted = RouteKey { id: "night".into(), prefix: "/jobs/night/".to_string() };
    let head = Head { route: Some(accepted.clone()), ..head(1) };
    let mut ledger = Ledger::default();
    let limits = record::Limits { record_bytes: 1 << 10, ..LIMITS };
    let records = ledger.submit(&id, head, Millis(0), limits).unwrap().concat();
    assert_eq!(restore(&records).job(&id).unwrap().head.route, Some(accepted));
    let older: Vec<Record> =
        records.iter().filter(|record| !record.key.starts_with("t/")).cloned().collect();
    assert_eq!(older.len(), records.len() - 1);
    assert_eq!(restore(&older).job(&id).unwrap().head.route, None);
    let left: Vec<Record> =
        records.into_iter().filter(|record| record.key.starts_with("t/")).collect();
    let obsolete = restore(&left).take_obsolete();
    assert_eq!(obsolete.iter().map(|record| record.key.as_str()).collect::<Vec<_>>(), ["t/job"]);
}
