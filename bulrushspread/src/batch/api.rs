//! Operations on files and batch jobs that callers can request at any node.

use bytes::Bytes;
use futures_util::{StreamExt, stream::BoxStream};
use sha2::{Digest, Sha256};

use crate::{
    error::{Error, Kind, Result},
    id::{File, Job, Partition, Workspace},
    journal::record::Position,
    node::Shared,
    peer,
    time::Millis,
};

use super::{
    directory, files,
    jobs::{FileState, JobState},
    message::Message,
    owner::task as owner,
    present::{file_view, job_view, parse_results_file, recorded_counts, results_view},
    record::{
        self, FileCreated, FilesRecord, JobCreated, JobsRecord, Offsets, PartitionRecord as Record,
        files_stream, jobs_stream, partition_stream,
    },
    results,
    retention::{self, Durations},
    upload::{Chunk, Chunker, Summary},
    view::{Counts, Create, FileView, JobView},
};

/// The body of a request or response as a stream of buffers.
pub type ByteStream = BoxStream<'static, Result<Bytes>>;

/// Maximum time that a cancel waits until no item can start any more.
const CANCEL_TIMEOUT: Millis = Millis(8_000);
/// Time between two checks whether the cancel has taken effect.
const CANCEL_POLL_INTERVAL: Millis = Millis(50);
/// The longest completion window of a job: 30 days.
const WINDOW_LIMIT: Millis = Millis(30 * 86_400_000);

/// Stores a file of items, one JSON object per line, in bounded memory.
pub async fn upload(
    context: &Shared,
    workspace: &Workspace,
    filename: &str,
    mut pieces: ByteStream,
) -> Result<FileView> {
    let file = File(format!("file-{}", uuid::Uuid::new_v4().simple()));
    let mut chunker = Chunker::new(context.settings.batch.clone());
    let mut index = (Offsets::default(), Vec::new());
    while let Some(piece) = pieces.next().await {
        for chunk in chunker.push(&piece?) {
            store_chunk(context, &file, chunk, &mut index).await?;
        }
    }
    let (chunks, summary) = chunker.finish();
    for chunk in chunks {
        store_chunk(context, &file, chunk, &mut index).await?;
    }
    let (offsets, lines) = index;
    let index = append_file_record(
        context,
        &file,
        FilesRecord::Index { file: file.clone(), offsets, lines },
    );
    let created = file_created(context, &file, workspace, filename, summary, index.await?);
    append_job_record(context, &JobsRecord::FileCreated(created.clone())).await?;
    Ok(file_view(&created))
}

/// Creates a job. Repeating a request with the same `key` returns the job that it created first.
/// Fails with [`Kind::Conflict`] if the key was used for a different request.
pub async fn create(
    context: &Shared,
    workspace: &Workspace,
    key: Option<&str>,
    create: Create,
) -> Result<JobView> {
    let directory = &context.batch.owner.directory;
    directory.check_complete()?;
    let window = parse_window(&create.completion_window)?;
    let file = find_file(context, workspace, &File(create.input_file_id.clone())).await?;
    check_file(&file, &create)?;
    let digest = request_digest(&file.created, &create);
    if let Some(earlier) = key.and_then(|key| find_job_by_key(context, workspace, key)) {
        return check_same_request(&earlier, &digest);
    }
    retention::check(Durations {
        window,
        file_age: context.clock.wall_time() - file.created.created_at,
        results: Millis(context.settings.batch.retention_ms),
        log: Millis(context.settings.journal.retention_ms),
    })?;
    let created = job_created(context, workspace, key, create, window, digest.clone(), &file);
    let job = created.job.clone();
    append_job_record(context, &JobsRecord::JobCreated(created)).await?;
    let accepted = match key {
        Some(key) => find_job_by_key(context, workspace, key),
        None => directory.state().job(&job).cloned(),
    };
    let accepted = accepted.ok_or_else(|| Error::new(Kind::NotFound, "the input file is gone"))?;
    check_same_request(&accepted, &digest)
}

/// Returns a job. The counts of an unfinished job come from its partition's owner; if that is not
/// reachable, only the total is known.
pub async fn get(context: &Shared, workspace: &Workspace, job: &Job) -> Result<JobView> {
    let state = find_job(context, workspace, job).await?;
    let counts = match &state.finished {
        Some(finished) => finished.counts,
        None => query_counts(context, &state).await,
    };
    Ok(job_view(&state, counts))
}

/// Lists at most `limit` jobs of the workspace, newest first, starting after the job `after`.
pub async fn list(
    context: &Shared,
    workspace: &Workspace,
    after: Option<&Job>,
    limit: usize,
) -> Result<Vec<JobView>> {
    context.batch.owner.directory.check_complete()?;
    let state = context.batch.owner.directory.state();
    let newest = state
        .newest_first(workspace)
        .skip_while(|state| after.is_some_and(|after| state.created.job != *after));
    let page = newest.skip(usize::from(after.is_some())).take(limit);
    Ok(page.map(|state| job_view(state, recorded_counts(state))).collect())
}

/// Cancels a job. Once this returns successfully, no further item starts. Fails with
/// [`Kind::InProgress`] if the owner does not confirm that within [`CANCEL_TIMEOUT`]; the cancel is
/// durable by then.
pub async fn cancel(context: &Shared, workspace: &Workspace, job: &Job) -> Result<JobView> {
    let state = find_job(context, workspace, job).await?;
    if state.finished.is_some() {
        return get(context, workspace, job).await;
    }
    let partition = files::partition(context, &state.created.file);
    if !state.cancelled {
        let stream = partition_stream(&context.settings.environment, partition);
        let record = encode(&Record::Cancel { job: job.clone() })?;
        context.journal.append(&stream, vec![record]).await?;
        append_job_record(context, &JobsRecord::JobCancelled { job: job.clone() }).await?;
    }
    let until = context.clock.now() + CANCEL_TIMEOUT;
    while context.clock.now() < until {
        if find_job(context, workspace, job).await?.finished.is_some()
            || query_cancelled(context, partition, job).await
        {
            return get(context, workspace, job).await;
        }
        tokio::time::sleep(CANCEL_POLL_INTERVAL.duration()).await;
    }
    Err(Error::new(Kind::InProgress, "the cancel stands, but items may still start for a while"))
}

/// Describes an input file or a results file.
pub async fn get_file(context: &Shared, workspace: &Workspace, file: &File) -> Result<FileView> {
    if let Some((job, part)) = parse_results_file(file) {
        let state = find_job(context, workspace, &job).await?;
        return results_view(file, &state, part);
    }
    Ok(file_view(&find_file(context, workspace, file).await?.created))
}

/// Streams the content of a file: the uploaded lines, or one line per result.
pub async fn read_content(
    context: &Shared,
    workspace: &Workspace,
    file: &File,
) -> Result<ByteStream> {
    if let Some((job, part)) = parse_results_file(file) {
        let state = find_job(context, workspace, &job).await?;
        let partition = files::partition(context, &state.created.file);
        let Some(finished) = &state.finished else {
            return Err(Error::new(Kind::NotFound, "the job has not ended"));
        };
        return results::stream_lines(context, partition, finished, part).await;
    }
    let created = find_file(context, workspace, file).await?.created;
    let index = files::read_index(context, &created.file).await?;
    let reader = (context.clone(), created.file, index, 0);
    let pieces = futures_util::stream::unfold(reader, |(context, file, index, next)| async move {
        let (_, offset) = *index.chunks.get(next)?;
        let chunk = files::read_chunk(&context, &file, offset).await;
        let following = if chunk.is_ok() { next + 1 } else { usize::MAX };
        let piece = chunk.map(|chunk| Bytes::copy_from_slice(&chunk));
        Some((piece, (context, file, index, following)))
    });
    Ok(pieces.boxed())
}

async fn store_chunk(
    context: &Shared,
    file: &File,
    chunk: Chunk,
    index: &mut (Offsets, Vec<u32>),
) -> Result<()> {
    let lines = chunk.lines;
    let record = FilesRecord::Chunk { file: file.clone(), data: chunk.data };
    let position = append_file_record(context, file, record).await?;
    index.0.push(position.offset);
    index.1.push(lines);
    Ok(())
}

/// Appends to the files stream. Such a record has no effect until the file's `FileCreated` record
/// is written, so an unconfirmed append is reported as one that can safely be repeated.
async fn append_file_record(
    context: &Shared,
    file: &File,
    record: FilesRecord,
) -> Result<Position> {
    let stream = files_stream(&context.settings.environment, files::partition(context, file));
    let appended = context.journal.append(&stream, vec![encode(&record)?]).await;
    let positions = appended.map_err(|error| match error.kind {
        Kind::Unconfirmed => Error { kind: Kind::LogUnavailable, ..error },
        _ => error,
    })?;
    positions.first().copied().ok_or_else(|| Error::new(Kind::Internal, "no position"))
}

/// Appends to the jobs stream and waits until this node has applied the record.
async fn append_job_record(context: &Shared, record: &JobsRecord) -> Result<()> {
    let stream = jobs_stream(&context.settings.environment);
    let positions = context.journal.append(&stream, vec![encode(record)?]).await?;
    for position in positions {
        context.batch.owner.directory.wait_for(position).await?;
    }
    Ok(())
}

fn encode<T: serde::Serialize>(record: &T) -> Result<Vec<u8>> {
    record::encode(record).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

fn file_created(
    context: &Shared,
    file: &File,
    workspace: &Workspace,
    filename: &str,
    summary: Summary,
    index: Position,
) -> FileCreated {
    FileCreated {
        file: file.clone(),
        workspace: workspace.clone(),
        filename: filename.to_string(),
        bytes: summary.bytes,
        items: summary.items,
        created_at: context.clock.wall_time(),
        digest: summary.digest,
        fault: summary.fault,
        url: summary.url,
        model: summary.model,
        index,
    }
}

fn job_created(
    context: &Shared,
    workspace: &Workspace,
    key: Option<&str>,
    create: Create,
    window: Millis,
    digest: String,
    file: &FileState,
) -> JobCreated {
    let created_at = context.clock.wall_time();
    JobCreated {
        job: Job(format!("batch-{}", uuid::Uuid::new_v4().simple())),
        workspace: workspace.clone(),
        key: key.map(str::to_string),
        digest,
        file: file.created.file.clone(),
        items: file.created.items,
        endpoint: create.endpoint,
        model: file.created.model.clone(),
        completion_window: create.completion_window,
        idempotent: create.idempotent,
        metadata: create.metadata,
        created_at,
        due_at: created_at + window,
    }
}

fn check_file(file: &FileState, create: &Create) -> Result<()> {
    if let Some(fault) = &file.created.fault {
        return Err(Error::new(Kind::BadRequest, fault.clone()));
    }
    match &file.created.url {
        Some(url) if *url == create.endpoint => Ok(()),
        url => {
            let url = url.as_deref().unwrap_or_default();
            let message = format!("endpoint is {:?} but the items call {url:?}", create.endpoint);
            Err(Error::new(Kind::BadRequest, message))
        }
    }
}

/// Digest over everything that makes two requests equal: the file's content and all parameters.
fn request_digest(file: &FileCreated, create: &Create) -> String {
    let request = (
        &file.digest,
        &create.endpoint,
        &create.completion_window,
        create.idempotent,
        &create.metadata,
    );
    hex::encode(Sha256::digest(serde_json::to_vec(&request).unwrap_or_default()))
}

fn check_same_request(state: &JobState, digest: &str) -> Result<JobView> {
    if state.created.digest != digest {
        let message = "the Idempotency-Key was used for a job with other content";
        return Err(Error::new(Kind::Conflict, message));
    }
    Ok(job_view(state, recorded_counts(state)))
}

fn find_job_by_key(context: &Shared, workspace: &Workspace, key: &str) -> Option<JobState> {
    context.batch.owner.directory.state().find_by_key(workspace, key).cloned()
}

/// Finds the file, which may have been uploaded through another node a moment ago.
async fn find_file(context: &Shared, workspace: &Workspace, file: &File) -> Result<FileState> {
    let lookup = || {
        let state = context.batch.owner.directory.state().file(file).cloned();
        state.filter(|state| state.created.workspace == *workspace)
    };
    find_or_catch_up(context, lookup, || format!("no file {file}")).await
}

/// Finds the job, which may have been created through another node a moment ago.
async fn find_job(context: &Shared, workspace: &Workspace, job: &Job) -> Result<JobState> {
    let lookup = || {
        let state = context.batch.owner.directory.state().job(job).cloned();
        state.filter(|state| state.created.workspace == *workspace)
    };
    find_or_catch_up(context, lookup, || format!("no job {job}")).await
}

/// Looks up in the directory. If nothing is found, catches up with the jobs stream and tries once
/// more.
async fn find_or_catch_up<T>(
    context: &Shared,
    lookup: impl Fn() -> Option<T>,
    not_found: impl Fn() -> String,
) -> Result<T> {
    if let Some(found) = lookup() {
        return Ok(found);
    }
    context.batch.owner.directory.check_complete()?;
    directory::catch_up(context).await?;
    lookup().ok_or_else(|| Error::new(Kind::NotFound, not_found()))
}

/// Sends a query to the node that should own the partition. Returns nothing if it fails.
async fn query_owner(context: &Shared, partition: Partition, message: Message) -> Option<Message> {
    let view = context.membership.view();
    let owner = owner::choose_owner(&view, partition)?;
    let address = view.nodes.get(&owner)?.address;
    match context.peer.call(address, peer::Message::Batch(message)).await {
        Ok(peer::Message::Batch(answer)) => Some(answer),
        Ok(_) | Err(_) => None,
    }
}

async fn query_counts(context: &Shared, state: &JobState) -> Counts {
    let partition = files::partition(context, &state.created.file);
    let job = &state.created.job;
    if let Some(counts) = owner::counts(context, partition, job).await {
        return counts;
    }
    match query_owner(context, partition, Message::QueryCounts(partition, job.clone())).await {
        Some(Message::CountsReply(Some(counts))) => counts,
        _ => recorded_counts(state),
    }
}

async fn query_cancelled(context: &Shared, partition: Partition, job: &Job) -> bool {
    if owner::is_cancelled(context, partition, job).await {
        return true;
    }
    let answer =
        query_owner(context, partition, Message::QueryCancelled(partition, job.clone())).await;
    matches!(answer, Some(Message::CancelledReply(true)))
}

/// Parses a completion window such as `24h`, `90m` or `30s`.
fn parse_window(text: &str) -> Result<Millis> {
    let invalid = || {
        let message = format!("completion_window {text:?} is not like 24h, 90m or 30s");
        Error::new(Kind::BadRequest, message)
    };
    let unit = match text.chars().last() {
        Some('s') => 1_000,
        Some('m') => 60_000,
        Some('h') => 3_600_000,
        Some('d') => 86_400_000,
        _ => return Err(invalid()),
    };
    let count: u64 = text[..text.len() - 1].parse().map_err(|_| invalid())?;
    let window = Millis(count.saturating_mul(unit));
    if window == Millis(0) || window > WINDOW_LIMIT {
        return Err(invalid());
    }
    Ok(window)
}
