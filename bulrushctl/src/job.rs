//! Submits, watches and cancels batch jobs.

use std::{collections::BTreeMap, io::Write, time::Duration};

use bulrushspread::batch::view::{Create, JobView, Status};
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};

use crate::{
    Failure, Result,
    arguments::Job,
    client::Client,
    file,
    output::{Output, table},
};

/// Time between two looks at a job that is watched.
const POLL: Duration = Duration::from_millis(500);

#[derive(Serialize, Deserialize)]
struct Jobs {
    data: Vec<JobView>,
}

pub(crate) async fn run(client: &Client, output: Output, command: Job) -> Result<()> {
    match command {
        Job::Submit { endpoint, window, idempotency_key, at_most_once, file } => {
            let input_file_id = file::upload(client, &file).await?.id;
            let create = Create {
                input_file_id,
                endpoint,
                completion_window: window,
                idempotent: !at_most_once,
                metadata: BTreeMap::new(),
            };
            let key = idempotency_key.as_deref().map(|key| ("idempotency-key", key));
            let headers: Vec<(&str, &str)> = key.into_iter().collect();
            let job: JobView = client.post("/v1/batches", &headers, &create).await?;
            output.print(&job, line)
        }
        Job::Get { job } => output.print(&get(client, &job).await?, line),
        Job::List => {
            let jobs: Jobs = client.get("/v1/batches").await?;
            output.print(&jobs, |jobs| table(&jobs.data.iter().map(row).collect::<Vec<_>>()))
        }
        Job::Cancel { job } => {
            let path = format!("/v1/batches/{job}/cancel");
            let job: JobView = client.post(&path, &[], &serde_json::json!({})).await?;
            output.print(&job, line)
        }
        Job::Watch { job } => {
            let job = watch(client, &job).await?;
            output.print(&job, line)
        }
        Job::Results { errors, job } => results(client, &job, errors).await,
    }
}

async fn get(client: &Client, job: &str) -> Result<JobView> {
    client.get(&format!("/v1/batches/{job}")).await
}

/// Shows a bar on a terminal; the final line is printed by the caller either way.
async fn watch(client: &Client, id: &str) -> Result<JobView> {
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} {msg}") {
        bar.set_style(style);
    }
    loop {
        let job = get(client, id).await?;
        let counts = job.request_counts;
        bar.set_length(counts.total);
        bar.set_position(counts.completed + counts.failed + counts.cancelled);
        bar.set_message(format!("{} failed", counts.failed));
        if matches!(job.status, Status::Completed | Status::Cancelled) {
            bar.finish_and_clear();
            return Ok(job);
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn results(client: &Client, id: &str, errors: bool) -> Result<()> {
    let job = get(client, id).await?;
    if !matches!(job.status, Status::Completed | Status::Cancelled) {
        return Err(Failure::Local(format!("job {id} has not ended yet; try `job watch {id}`")));
    }
    let file = if errors { job.error_file_id } else { job.output_file_id };
    let Some(file) = file else { return Ok(()) };
    let content = client.fetch(&format!("/v1/files/{file}/content")).await?;
    std::io::stdout().write_all(&content).map_err(|error| Failure::Local(error.to_string()))
}

fn line(job: &JobView) -> String {
    row(job).join("  ")
}

fn row(job: &JobView) -> Vec<String> {
    let status = match job.status {
        Status::InProgress => "in progress",
        Status::Cancelling => "cancelling",
        Status::Completed => "completed",
        Status::Cancelled => "cancelled",
    };
    let counts = job.request_counts;
    let (completed, failed, cancelled) = (counts.completed, counts.failed, counts.cancelled);
    let ends = format!("{completed} completed, {failed} failed, {cancelled} cancelled");
    vec![job.id.clone(), status.to_string(), format!("{ends} of {}", counts.total)]
}
