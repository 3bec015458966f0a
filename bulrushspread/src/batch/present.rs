//! Files and jobs in the shape of the OpenAI API.

use crate::{
    error::{Error, Kind, Result},
    id::{File, Job},
    time::Millis,
};

use super::{
    jobs::JobState,
    record::FileCreated,
    results::Part,
    view::{Counts, FileView, JobView, Status},
};

/// What the ids of files of results begin with.
const OUTPUT: &str = "output-";
const ERRORS: &str = "errors-";

/// The counts as the jobs stream has them.
pub(crate) fn known_counts(state: &JobState) -> Counts {
    let total = u64::from(state.created.items);
    let unknown = Counts { total, ..Counts::default() };
    state.finished.as_ref().map_or(unknown, |finished| finished.counts)
}

/// The job as its callers see it.
pub(crate) fn job_view(state: &JobState, counts: Counts) -> JobView {
    let created = &state.created;
    let results = |prefix: &str, any: u64| {
        (state.finished.is_some() && any > 0).then(|| format!("{prefix}{}", created.job))
    };
    JobView {
        id: created.job.to_string(),
        object: "batch".to_string(),
        endpoint: created.endpoint.clone(),
        input_file_id: created.file.to_string(),
        completion_window: created.completion_window.clone(),
        status: status(state),
        output_file_id: results(OUTPUT, counts.completed),
        error_file_id: results(ERRORS, counts.failed),
        created_at: seconds(created.created_at),
        expires_at: seconds(created.due_at),
        request_counts: counts,
        metadata: created.metadata.clone(),
    }
}

fn status(state: &JobState) -> Status {
    match &state.finished {
        Some(finished) if finished.counts.cancelled > 0 => Status::Cancelled,
        Some(_) => Status::Completed,
        None if state.cancelled => Status::Cancelling,
        None => Status::InProgress,
    }
}

/// An input file as its callers see it.
pub(crate) fn file_view(created: &FileCreated) -> FileView {
    FileView {
        id: created.file.to_string(),
        object: "file".to_string(),
        bytes: created.bytes,
        created_at: seconds(created.created_at),
        filename: created.filename.clone(),
        purpose: "batch".to_string(),
    }
}

/// A file of results as its callers see it.
pub(crate) fn results_view(file: &File, state: &JobState, part: Part) -> Result<FileView> {
    let Some(finished) = &state.finished else {
        return Err(Error::new(Kind::NotFound, "the job has not ended"));
    };
    let name = match part {
        Part::Output => "output",
        Part::Errors => "errors",
    };
    Ok(FileView {
        id: file.to_string(),
        object: "file".to_string(),
        bytes: 0,
        created_at: seconds(finished.finished_at),
        filename: format!("{}-{name}.jsonl", finished.job),
        purpose: "batch_output".to_string(),
    })
}

/// The job and the part of its results that a file's id names.
pub(crate) fn parse_results(file: &File) -> Option<(Job, Part)> {
    let output = file.0.strip_prefix(OUTPUT).map(|job| (Job::from(job), Part::Output));
    output.or_else(|| Some((Job::from(file.0.strip_prefix(ERRORS)?), Part::Errors)))
}

fn seconds(wall: Millis) -> u64 {
    wall.0 / 1_000
}
