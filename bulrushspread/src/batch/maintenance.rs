//! Maintenance of the jobs stream: expires jobs and files after their retention, and copies records
//! that are still needed before they expire from the log.

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

/// Interval between two passes over the jobs and files.
const INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of records per append, and of jobs and of files per `Expired` record.
const RECORD_LIMIT: usize = 512;

/// Ages at which jobs and files expire or their records are copied.
#[derive(Clone, Copy, Debug)]
pub struct AgeLimits {
    /// Time for which a job is kept after its end, and a file after its upload.
    pub retention: Millis,
    /// Age of the latest copy at which the record of a kept job or file is copied again.
    pub carry: Millis,
}

/// Returns the records to append at wall-clock time `now`, for the files that `owns` accepts and
/// their jobs.
pub fn due_records(
    replayed: &State,
    now: Millis,
    ages: AgeLimits,
    owns: impl Fn(&File) -> bool,
) -> Vec<JobsRecord> {
    let is_older = |at: Millis, age: Millis| at + age < now;
    let mut expired: (Vec<Job>, Vec<File>) = Default::default();
    let mut records = Vec::new();
    for state in replayed.jobs().filter(|state| owns(&state.created.file)) {
        let ended = state.finished.as_ref().map(|finished| finished.finished_at);
        if ended.is_some_and(|at| is_older(at, ages.retention)) {
            expired.0.push(state.created.job.clone());
        } else if is_older(state.carried_at, ages.carry) {
            records.extend(carry_job(state, now));
        }
    }
    for state in replayed.files().filter(|state| owns(&state.created.file)) {
        if state.open_jobs == 0 && is_older(state.created.created_at, ages.retention) {
            expired.1.push(state.created.file.clone());
        } else if is_older(state.carried_at, ages.carry) {
            // Files precede jobs, because readers accept a job only after its file.
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

/// Appends the records that are due, for as long as the process runs.
pub(crate) async fn run(context: Shared) {
    let settings = &context.settings;
    let ages = AgeLimits {
        retention: Millis(settings.batch.retention_ms),
        carry: Millis(settings.journal.retention_ms / 2),
    };
    loop {
        tokio::time::sleep(INTERVAL).await;
        let owned = context.batch.owner.owned.lock().unwrap().clone();
        let owns = |file: &File| {
            let partition: Partition = files::partition(&context, file);
            owned.contains(&partition)
        };
        let now = context.clock.wall_time();
        let records = due_records(&context.batch.owner.directory.state(), now, ages, owns);
        append(&context, &records).await;
    }
}

async fn append(context: &Shared, records: &[JobsRecord]) {
    let stream = jobs_stream(&context.settings.environment);
    for records in records.chunks(RECORD_LIMIT) {
        let bodies = records.iter().filter_map(|record| record::encode(record).ok()).collect();
        if let Err(error) = context.journal.append(&stream, bodies).await {
            log::debug!("batch: could not append maintenance records to the jobs stream: {error}");
            return;
        }
    }
}

fn carry_file(state: &FileState, at: Millis) -> JobsRecord {
    wrap_carried(state.position, at, JobsRecord::FileCreated(state.created.clone()))
}

fn carry_job(state: &JobState, at: Millis) -> Vec<JobsRecord> {
    let created = JobsRecord::JobCreated(state.created.as_ref().clone());
    let job = state.created.job.clone();
    let cancelled = state.cancelled.then_some(JobsRecord::JobCancelled { job });
    let finished = state.finished.clone().map(JobsRecord::JobFinished);
    let records = [Some(created), cancelled, finished].into_iter().flatten();
    records.map(|record| wrap_carried(state.position, at, record)).collect()
}

/// Wraps a copy of a record with the position of the original.
fn wrap_carried(position: Position, at: Millis, record: JobsRecord) -> JobsRecord {
    JobsRecord::Carried { position, at, record: Box::new(record) }
}
