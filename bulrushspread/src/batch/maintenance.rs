//! Keeps the jobs stream short and complete: expired jobs leave it, live ones are carried forward.

use std::time::Duration;

use crate::{
    id::{File, Job, Partition},
    journal::record::Position,
    node::Shared,
    time::Millis,
};

use super::{
    files,
    jobs::{FileState, JobState, State},
    record::{self, JobsRecord, jobs_stream},
};

/// Time between two looks at the jobs.
const PERIOD: Duration = Duration::from_secs(10);
/// Records that one look appends at most.
const RECORD_LIMIT: usize = 512;

/// Ages at which the records of a job or file are dropped or repeated.
#[derive(Clone, Copy, Debug)]
pub struct AgeLimits {
    /// Time after its end for which a job is kept, and after its upload for a file.
    pub retention: Millis,
    /// Age at which the record of what is kept is repeated.
    pub carry: Millis,
}

/// Records that are due at wall-clock time `now` for the partitions of this node.
pub fn due_records(
    fold: &State,
    now: Millis,
    ages: AgeLimits,
    owns: impl Fn(&File) -> bool,
) -> Vec<JobsRecord> {
    let is_old = |at: Millis, age: Millis| at + age < now;
    let mut expired: (Vec<Job>, Vec<File>) = Default::default();
    let mut records = Vec::new();
    for state in fold.jobs().filter(|state| owns(&state.created.file)) {
        let ended = state.finished.as_ref().map(|finished| finished.finished_at);
        if ended.is_some_and(|at| is_old(at, ages.retention)) {
            expired.0.push(state.created.job.clone());
        } else if is_old(state.carried_at, ages.carry) {
            records.extend(carry_job(state, now));
        }
    }
    for state in fold.files().filter(|state| owns(&state.created.file)) {
        if state.open_jobs == 0 && is_old(state.created.created_at, ages.retention) {
            expired.1.push(state.created.file.clone());
        } else if is_old(state.carried_at, ages.carry) {
            // Before the jobs: a reader needs the file to accept its jobs.
            records.insert(0, carry_file(state, now));
        }
    }
    if !expired.0.is_empty() || !expired.1.is_empty() {
        expired.0.truncate(RECORD_LIMIT);
        expired.1.truncate(RECORD_LIMIT);
        records.push(JobsRecord::Expired { jobs: expired.0, files: expired.1 });
    }
    records
}

/// Appends what is due for as long as the process runs.
pub(crate) async fn run(context: Shared) {
    let settings = &context.settings;
    let ages = AgeLimits {
        retention: Millis(settings.batch.retention_ms),
        carry: Millis(settings.journal.retention_ms / 2),
    };
    loop {
        tokio::time::sleep(PERIOD).await;
        let owned = context.batch.owner.owned.lock().unwrap().clone();
        let owns = |file: &File| {
            let partition: Partition = files::partition(&context, file);
            owned.contains(&partition)
        };
        let now = context.clock.wall();
        let records = due_records(&context.batch.owner.directory.state(), now, ages, owns);
        append(&context, &records).await;
    }
}

async fn append(context: &Shared, records: &[JobsRecord]) {
    let stream = jobs_stream(&context.settings.environment);
    for records in records.chunks(RECORD_LIMIT) {
        let bodies = records.iter().filter_map(|record| record::encode(record).ok()).collect();
        if let Err(error) = context.journal.append(&stream, bodies).await {
            log::debug!("batch: upkeep of the jobs stream: {error}");
            return;
        }
    }
}

fn carry_file(state: &FileState, at: Millis) -> JobsRecord {
    carried(state.position, at, JobsRecord::FileCreated(state.created.clone()))
}

fn carry_job(state: &JobState, at: Millis) -> Vec<JobsRecord> {
    let created = JobsRecord::JobCreated(state.created.as_ref().clone());
    let job = state.created.job.clone();
    let cancelled = state.cancelled.then_some(JobsRecord::JobCancelled { job });
    let finished = state.finished.clone().map(JobsRecord::JobFinished);
    let records = [Some(created), cancelled, finished].into_iter().flatten();
    records.map(|record| carried(state.position, at, record)).collect()
}

fn carried(position: Position, at: Millis, record: JobsRecord) -> JobsRecord {
    JobsRecord::Carried { position, at, record: Box::new(record) }
}
