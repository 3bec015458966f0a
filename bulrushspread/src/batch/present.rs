//! Converts files and jobs to their representation in the OpenAI API.

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

/// Prefix of the id of an output file, before the id of the job.
const OUTPUT_PREFIX: &str = "output-";
/// Prefix of the id of an error file, before the id of the job.
const ERRORS_PREFIX: &str = "errors-";

/// The counts in the jobs stream: final ones of a finished job, otherwise only the total.
pub(crate) fn recorded_counts(state: &JobState) -> Counts {
    let total = u64::from(state.created.items);
    let unknown = Counts { total, ..Counts::default() };
    state.finished.as_ref().map_or(unknown, |finished| finished.counts)
}

/// The representation of a job.
pub(crate) fn job_view(state: &JobState, counts: Counts) -> JobView {
    let created = &state.created;
    let results = |prefix: &str, count: u64| {
        (state.finished.is_some() && count > 0).then(|| format!("{prefix}{}", created.job))
    };
    JobView {
        id: created.job.to_string(),
        object: "batch".to_string(),
        endpoint: created.endpoint.clone(),
        input_file_id: created.file.to_string(),
        completion_window: created.completion_window.clone(),
        status: status(state),
        output_file_id: results(OUTPUT_PREFIX, counts.completed),
        error_file_id: results(ERRORS_PREFIX, counts.failed),
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

/// The representation of an input file.
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

/// The representation of a results file. Its size is not known in advance and given as zero.
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

/// Parses the id of a results file into its job and the part of the results.
pub(crate) fn parse_results_file(file: &File) -> Option<(Job, Part)> {
    let output = file.0.strip_prefix(OUTPUT_PREFIX).map(|job| (Job::from(job), Part::Output));
    output.or_else(|| Some((Job::from(file.0.strip_prefix(ERRORS_PREFIX)?), Part::Errors)))
}

fn seconds(wall: Millis) -> u64 {
    wall.0 / 1_000
}
