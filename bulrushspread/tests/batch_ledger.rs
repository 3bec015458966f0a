//! Order and limits of the ledger, validation of input files, and the replayed jobs stream.

use std::collections::BTreeMap;

use bulrushspread::{
    batch::{
        Settings,
        items::ItemSet,
        jobs::{Effect, State},
        ledger::{Action, JobSpec, Ledger, Pick, queue::Pool},
        maintenance::{AgeLimits, due_records},
        message::{Capacity, RunEnd, RunOutcome},
        record::{
            FileCreated, JobCreated, JobFinished, JobsRecord, Outcome as Record, decode, encode,
        },
        upload::Chunker,
        view::Counts,
    },
    id::{Deployment, Epoch, File, Item, Job, Model, Offset, Partition, Vm, Workspace},
    journal::record::Position,
    time::Millis,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Time within which an item runs again after a crash of its upstream.
const CRASH_RETRY_LIMIT_MS: u64 = 4_000;

fn settings() -> Settings {
    Settings { adopt_ms: 0, ..Settings::default() }
}

fn ledger() -> Ledger {
    Ledger::new(Millis(0), Partition(0), Epoch(1), settings())
}

fn add(ledger: &mut Ledger, job: &str, workspace: &str, due_at: u64, total: u32) {
    let spec = JobSpec {
        job: Job::from(job),
        workspace: Workspace::from(workspace),
        weight: 1,
        pool: Pool::Model(Model::from("m")),
        due_at: Millis(due_at),
        total,
        idempotent: true,
    };
    ledger.add(Millis(0), spec, ItemSet::default(), ItemSet::default());
}

fn grant(ledger: &mut Ledger, now: u64, items: u32) -> Vec<Pick> {
    let capacity =
        Capacity { deployment: Deployment::from("lm-pool"), models: vec![Model::from("m")], items };
    ledger.grant(Millis(now), &Vm::from("runner"), &[capacity])
}

fn report(ledger: &mut Ledger, now: u64, pick: &Pick, end: RunEnd) -> Vec<Action> {
    let outcome = RunOutcome { ticket: pick.ticket.clone(), end };
    ledger.handle_outcome(Millis(now), &outcome).1
}

fn jobs_of(picks: &[Pick]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for pick in picks {
        *counts.entry(pick.ticket.job.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn grants_the_earliest_deadline_of_a_workspace_first() {
    let mut ledger = ledger();
    add(&mut ledger, "late", "w", 200, 10);
    add(&mut ledger, "early", "w", 100, 4);
    let picks = grant(&mut ledger, 1, 6);
    assert_eq!(jobs_of(&picks), BTreeMap::from([("early".into(), 4), ("late".into(), 2)]));
}

#[test]
fn shares_items_evenly_between_workspaces() {
    let mut ledger = ledger();
    add(&mut ledger, "early", "greedy", 1, 10_000);
    add(&mut ledger, "late", "modest", 9_999, 10_000);
    let picks = grant(&mut ledger, 1, 320);
    assert_eq!(jobs_of(&picks), BTreeMap::from([("early".into(), 160), ("late".into(), 160)]));
}

#[test]
fn item_that_fails_every_run_ends_while_others_are_granted() {
    let mut ledger = ledger();
    add(&mut ledger, "job", "w", 1, 50);
    let mut now = 1;
    let mut ended = None;
    let mut others = 0;
    while ended.is_none() {
        for pick in grant(&mut ledger, now, 1) {
            if pick.ticket.item != Item(0) {
                others += 1;
                continue;
            }
            let reason = "no answer".to_string();
            ended = report(&mut ledger, now, &pick, RunEnd::Failed { reason }).pop();
        }
        now += 500;
        assert!(ledger.tick(Millis(now)).is_empty());
    }
    let Some(Action::AppendResult { item: Item(0), outcome: Record::Failed { code, .. }, .. }) =
        ended
    else {
        panic!("{ended:?} is no terminal failure");
    };
    assert_eq!(code, "attempts_exhausted");
    assert!(others >= 1, "others were granted between the attempts");
}

/// Guards against giving up an item because upstreams crashed under it.
#[test]
fn item_under_which_upstreams_crash_is_granted_again_each_time() {
    let mut ledger = ledger();
    add(&mut ledger, "job", "w", 1, 1);
    let mut now = 1;
    for crash in 0..20 {
        let picks = grant(&mut ledger, now, 1);
        assert_eq!(picks.len(), 1, "not granted again after {crash} crashes");
        let end = RunEnd::Crashed { reason: "crashed".to_string() };
        assert_eq!(report(&mut ledger, now, &picks[0], end), [], "a crash decided the item");
        assert_eq!(grant(&mut ledger, now, 1), [], "granted again without a delay");
        now += CRASH_RETRY_LIMIT_MS;
        assert_eq!(ledger.tick(Millis(now)), []);
    }
}

/// Guards against retries after crashes that queue up behind each other without a limit.
#[test]
fn items_whose_upstreams_crashed_together_are_all_granted_within_the_limit() {
    const ITEMS: u32 = 200;
    let mut ledger = ledger();
    add(&mut ledger, "job", "w", 1, ITEMS);
    for pick in grant(&mut ledger, 1, ITEMS) {
        report(&mut ledger, 1, &pick, RunEnd::Crashed { reason: "crashed".to_string() });
    }
    ledger.tick(Millis(1 + CRASH_RETRY_LIMIT_MS));
    assert_eq!(grant(&mut ledger, 1 + CRASH_RETRY_LIMIT_MS, ITEMS).len(), ITEMS as usize);
}

#[test]
fn run_that_never_ends_is_stopped_and_counts_as_failed() {
    let mut ledger = ledger();
    add(&mut ledger, "job", "w", 1, 1);
    let timeout = settings().run_timeout_ms;
    let mut stops = 0;
    let mut now = 1;
    for _ in 0..10 {
        stops += grant(&mut ledger, now, 1).len();
        now += timeout;
        let actions = ledger.tick(Millis(now));
        assert!(actions.iter().any(|action| matches!(action, Action::Stop { .. })) || stops == 3);
        now += 60_000;
        ledger.tick(Millis(now));
    }
    assert_eq!(stops, settings().attempt_limit as usize);
}

#[test]
fn grants_nothing_while_results_wait_for_the_log() {
    let mut ledger = Ledger::new(
        Millis(0),
        Partition(0),
        Epoch(1),
        Settings { outcome_bytes: 10, ..settings() },
    );
    add(&mut ledger, "job", "w", 1, 5);
    let picks = grant(&mut ledger, 1, 1);
    report(&mut ledger, 1, &picks[0], RunEnd::Answered { status: 200, body: "x".repeat(10) });
    assert_eq!(grant(&mut ledger, 2, 1), []);
    ledger.handle_ended(&Job::from("job"), &[picks[0].ticket.item]);
    assert_eq!(grant(&mut ledger, 3, 1).len(), 1);
}

#[test]
fn reports_the_first_fault_of_a_file() {
    let line = |id: &str, model: &str| {
        format!("{{\"custom_id\":\"{id}\",\"url\":\"/v1/x\",\"body\":{{\"model\":\"{model}\"}}}}\n")
    };
    let fault = |text: String| {
        let mut chunker = Chunker::new(Settings { items_per_job: 3, ..Settings::default() });
        for piece in text.as_bytes().chunks(7) {
            chunker.push(piece);
        }
        chunker.finish().1.fault.unwrap_or_default()
    };
    assert_eq!(fault(line("a", "m") + &line("b", "m")), "");
    assert_eq!(fault(String::new()), "the file has no items");
    assert!(fault(line("a", "m") + "{}\n").starts_with("line 2: not a valid item"));
    assert_eq!(fault(line("a", "m") + &line("a", "m")), "line 2: custom_id \"a\" stands twice");
    assert!(fault(line("a", "m") + &line("b", "n")).starts_with("line 2: model differs"));
    assert_eq!(
        fault(["a", "b", "c", "d"].map(|id| line(id, "m")).concat()),
        "the file has more than 3 items"
    );
}

fn file(name: &str, workspace: &str) -> JobsRecord {
    JobsRecord::FileCreated(FileCreated {
        file: File::from(name),
        workspace: Workspace::from(workspace),
        filename: String::new(),
        bytes: 1,
        items: 1,
        created_at: Millis(0),
        digest: String::new(),
        fault: None,
        url: None,
        model: None,
        index: Position::default(),
    })
}

fn job(name: &str, workspace: &str, key: Option<&str>) -> JobsRecord {
    JobsRecord::JobCreated(JobCreated {
        job: Job::from(name),
        workspace: Workspace::from(workspace),
        key: key.map(str::to_string),
        digest: String::new(),
        file: File(format!("file-of-{workspace}")),
        items: 1,
        endpoint: String::new(),
        model: None,
        completion_window: String::new(),
        idempotent: true,
        metadata: BTreeMap::new(),
        created_at: Millis(0),
        due_at: Millis(0),
    })
}

fn at(offset: usize) -> Position {
    Position { offset: Offset(offset as u64), index: 0 }
}

#[test]
fn rejects_jobs_with_files_of_other_workspaces() {
    let mut state = State::default();
    state.apply(at(0), &file("file-of-b", "a"));
    assert_eq!(state.apply(at(1), &job("x", "b", None)), Effect::Ignored);
}

#[test]
fn copies_records_of_live_jobs_and_expires_those_past_their_retention() {
    let mut state = State::default();
    state.apply(at(0), &file("file-of-a", "a"));
    for (index, name) in ["open", "ended"].iter().enumerate() {
        state.apply(at(index + 1), &job(name, "a", None));
    }
    let finished = JobFinished {
        job: Job::from("ended"),
        counts: Counts::default(),
        index: Position::default(),
        finished_at: Millis(50),
    };
    state.apply(at(3), &JobsRecord::JobFinished(finished));
    let ages = AgeLimits { retention: Millis(100), carry: Millis(60) };
    let names = |now: u64, state: &State| -> Vec<String> {
        let records = due_records(state, Millis(now), ages, |_| true);
        records.iter().map(describe).collect()
    };
    assert_eq!(names(60, &state), [] as [&str; 0]);
    assert_eq!(names(61, &state), ["file", "job ended", "end of ended", "job open"]);
    assert_eq!(names(151, &state), ["file", "job open", "expired ended"]);
    for (index, record) in due_records(&state, Millis(151), ages, |_| true).iter().enumerate() {
        state.apply(at(index + 4), record);
    }
    assert_eq!(names(151, &state), [] as [&str; 0]);
    assert!(state.job(&Job::from("open")).is_some() && state.job(&Job::from("ended")).is_none());
    assert!(state.file(&File::from("file-of-a")).is_some(), "an open job needs its file");
}

fn describe(record: &JobsRecord) -> String {
    match record {
        JobsRecord::Carried { record, .. } => describe(record),
        JobsRecord::FileCreated(_) => "file".to_string(),
        JobsRecord::JobCreated(created) => format!("job {}", created.job),
        JobsRecord::JobFinished(finished) => format!("end of {}", finished.job),
        JobsRecord::JobCancelled { job } => format!("cancel of {job}"),
        JobsRecord::Expired { jobs, .. } => {
            format!("expired {}", jobs.iter().map(Job::to_string).collect::<String>())
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Jobs with few keys are created in any order, and their records copied later. A reader that
    /// starts anywhere before the first copy must end with the same jobs as one that read all
    /// records.
    #[test]
    fn first_job_of_a_key_wins_for_every_reader(
        creates in prop::collection::vec((0..3usize, 0..2usize), 1..12),
        skipped in 0..12usize,
    ) {
        let mut stream = vec![file("file-of-a", "a"), file("file-of-b", "b")];
        for (number, (key, workspace)) in creates.iter().enumerate() {
            let (key, workspace) = (format!("key-{key}"), ["a", "b"][*workspace]);
            stream.push(job(&format!("job-{number}"), workspace, Some(&key)));
        }
        let mut complete = State::default();
        for (index, record) in stream.iter().enumerate() {
            complete.apply(at(index), record);
        }
        let winners: Vec<(Position, JobCreated)> = complete
            .jobs()
            .map(|job| (job.position, JobCreated::clone(&job.created)))
            .collect();
        for (index, record) in stream.clone().into_iter().take(2).enumerate() {
            let record = Box::new(record);
            stream.push(JobsRecord::Carried { position: at(index), at: Millis(1), record });
        }
        for (position, created) in winners {
            let record = Box::new(JobsRecord::JobCreated(created));
            stream.push(JobsRecord::Carried { position, at: Millis(1), record });
        }
        let mut partial = State::default();
        for (index, record) in stream.iter().enumerate().skip(skipped.min(creates.len() + 2)) {
            let record: JobsRecord = decode(&encode(record).unwrap()).unwrap();
            partial.apply(at(index), &record);
        }
        let jobs = |state: &State| -> Vec<(Position, Job)> {
            state.jobs().map(|job| (job.position, job.created.job.clone())).collect()
        };
        prop_assert_eq!(jobs(&partial), jobs(&complete));
        for workspace in ["a", "b"].map(Workspace::from) {
            for key in ["key-0", "key-1", "key-2"] {
                let first = creates.iter().enumerate().find(|(_, (number, index))| {
                    format!("key-{number}") == key && ["a", "b"][*index] == workspace.0
                });
                let holder =
                    partial.find_by_key(&workspace, key).map(|job| job.created.job.to_string());
                prop_assert_eq!(holder, first.map(|(number, _)| format!("job-{number}")));
            }
        }
    }

    /// Guards against items that no event brings back after crashes of upstreams: after any series
    /// of crashes, returned runs and fewer failures than the limit, each item without a result is
    /// granted within the limit once all is calm.
    #[test]
    fn every_open_item_is_granted_again_once_upstreams_no_longer_crash(
        ends in prop::collection::vec((0..8usize, 0..4u8, 0..600u64), 1..120),
    ) {
        const ITEMS: u32 = 6;
        let mut ledger = ledger();
        add(&mut ledger, "job", "w", 1, ITEMS);
        let mut now = 1;
        let mut running: Vec<Pick> = Vec::new();
        let mut failures = [0; ITEMS as usize];
        for (which, end, wait) in ends {
            now += wait;
            prop_assert_eq!(ledger.tick(Millis(now)), []);
            running.extend(grant(&mut ledger, now, ITEMS));
            if running.is_empty() {
                continue;
            }
            let pick = running.swap_remove(which % running.len());
            let failed = &mut failures[pick.ticket.item.0 as usize];
            let may_fail = *failed + 1 < settings().attempt_limit;
            let reason = "reason".to_string();
            let end = match end {
                0 => RunEnd::Returned,
                1 if may_fail => {
                    *failed += 1;
                    RunEnd::Failed { reason }
                }
                _ => RunEnd::Crashed { reason },
            };
            prop_assert_eq!(report(&mut ledger, now, &pick, end), []);
        }
        now += CRASH_RETRY_LIMIT_MS;
        prop_assert_eq!(ledger.tick(Millis(now)), []);
        running.extend(grant(&mut ledger, now, ITEMS));
        prop_assert_eq!(running.len(), ITEMS as usize);
    }
}
