//! Asynchronous operations of a partition's task: appends, look-ups and orders to runners.

use std::{collections::BTreeMap, time::Duration};

use tokio::sync::oneshot;

use crate::{
    batch::{
        files,
        ledger::Pick,
        message::{Grant, Message, Stop, Ticket, Work},
        record::{
            self, JobCreated, JobFinished, JobsRecord, PartitionRecord as Record, jobs_stream,
        },
        runner,
        view::Counts,
    },
    error::{Error, Kind, Result},
    id::{Item, Job, Stream, Vm},
    journal::record::Position,
    node::Shared,
    peer,
    time::Millis,
};

/// Pause before a failed operation is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The result of an operation.
pub(crate) enum Completion {
    /// The operation needs no follow-up.
    Done,
    /// The append of a claim or release failed. The record may still be in the log.
    AppendFailed,
    CustomIdFound {
        job: Job,
        item: Item,
        custom_id: String,
    },
    FinishFailed(Job),
    Flushed(Result<Vec<Position>>),
    /// The runner acknowledged the order to stop, or has left.
    Stopped(Job),
    Granted(Granted),
}

/// Picked items with their lines and the position of their intents.
pub(crate) struct Granted {
    /// Each pick with its `custom_id` and the work for the runner; `None` if the pick must not be
    /// granted.
    pub(crate) picks: Vec<(Pick, Option<(String, Work)>)>,
    /// The items may be sent to the runner once this record has been read back.
    pub(crate) intent: Option<Position>,
    /// Time from which the items must no longer be sent to the runner.
    pub(crate) until: Millis,
    pub(crate) reply: oneshot::Sender<Grant>,
}

/// Appends a claim or a release.
pub(crate) async fn append(context: Shared, stream: Stream, record: Record) -> Completion {
    match append_records(&context, &stream, &[record]).await {
        Ok(_) => Completion::Done,
        Err(_) => {
            tokio::time::sleep(RETRY_PAUSE).await;
            Completion::AppendFailed
        }
    }
}

/// Appends results.
pub(crate) async fn flush(context: Shared, stream: Stream, records: Vec<Record>) -> Completion {
    Completion::Flushed(append_records(&context, &stream, &records).await)
}

/// Orders a runner to stop a run. Repeats the order until the runner acknowledges it or leaves.
pub(crate) async fn stop(context: Shared, runner: Vm, ticket: Ticket) -> Completion {
    let job = ticket.job.clone();
    let stop = Stop { tickets: vec![ticket] };
    if runner == context.settings.vm {
        runner::task::handle_stop(&context, stop).await;
        return Completion::Stopped(job);
    }
    loop {
        let view = context.membership.view();
        let Some(node) = view.nodes.get(&runner) else { return Completion::Stopped(job) };
        let message = peer::Message::Batch(Message::Stop(stop.clone()));
        if context.peer.call(node.address, message).await.is_ok() {
            return Completion::Stopped(job);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Looks up the `custom_id` of an item. Falls back to the item's index if its line can't be read.
pub(crate) async fn look_up_custom_id(context: Shared, job: Job, item: Item) -> Completion {
    loop {
        let Some(created) = find_created(&context, &job) else { return Completion::Done };
        match files::read_line(&context, &created.file, item).await {
            Ok(line) => return Completion::CustomIdFound { job, item, custom_id: line.custom_id },
            Err(error) if error.kind == Kind::LogUnavailable => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                log::debug!("batch: could not read the line of item {item} of {job}: {error}");
                return Completion::CustomIdFound { job, item, custom_id: item.to_string() };
            }
        }
    }
}

/// Appends the index of the results to the partition's stream, then the end of the job to the jobs
/// stream.
pub(crate) async fn finish(
    context: Shared,
    stream: Stream,
    job: Job,
    index: Record,
    counts: Counts,
) -> Completion {
    match append_finished(&context, &stream, &job, index, counts).await {
        Ok(()) => Completion::Done,
        Err(error) => {
            log::debug!("batch: could not append the end of {job}: {error}");
            tokio::time::sleep(RETRY_PAUSE).await;
            Completion::FinishFailed(job)
        }
    }
}

async fn append_finished(
    context: &Shared,
    stream: &Stream,
    job: &Job,
    index: Record,
    counts: Counts,
) -> Result<()> {
    let positions = append_records(context, stream, &[index]).await?;
    let Some(index) = positions.first().copied() else { return Err(encode_error()) };
    let finished_at = context.clock.wall_time();
    let end = JobsRecord::JobFinished(JobFinished { job: job.clone(), counts, index, finished_at });
    let body = record::encode(&end).map_err(|_| encode_error())?;
    context.journal.append(&jobs_stream(&context.settings.environment), vec![body]).await?;
    Ok(())
}

/// Appends the intents of non-idempotent picks and loads the lines of all picks.
pub(crate) async fn grant(
    context: Shared,
    stream: Stream,
    picks: Vec<Pick>,
    until: Millis,
    reply: oneshot::Sender<Grant>,
) -> Completion {
    let intents = intents(&picks);
    let (intended, lines) =
        tokio::join!(append_records(&context, &stream, &intents), load_lines(&context, &picks));
    let (intent, lines) = match intended {
        Ok(positions) => (positions.last().copied(), lines),
        Err(_) => (None, picks.iter().map(|_| None).collect()),
    };
    let picks = picks.into_iter().zip(lines).collect();
    Completion::Granted(Granted { picks, intent, until, reply })
}

fn intents(picks: &[Pick]) -> Vec<Record> {
    let mut by_job: BTreeMap<&Job, Vec<Item>> = BTreeMap::new();
    for pick in picks.iter().filter(|pick| pick.needs_intent) {
        by_job.entry(&pick.ticket.job).or_default().push(pick.ticket.item);
    }
    let epoch = picks.first().map(|pick| pick.ticket.epoch).unwrap_or_default();
    let intent =
        |(job, items): (&Job, Vec<Item>)| Record::Intent { epoch, job: job.clone(), items };
    by_job.into_iter().map(intent).collect()
}

async fn load_lines(context: &Shared, picks: &[Pick]) -> Vec<Option<(String, Work)>> {
    let mut lines = Vec::new();
    for pick in picks {
        lines.push(load_work(context, &pick.ticket).await);
    }
    lines
}

async fn load_work(context: &Shared, ticket: &Ticket) -> Option<(String, Work)> {
    let created = find_created(context, &ticket.job)?;
    let line = files::read_line(context, &created.file, ticket.item).await.ok()?;
    let work = Work {
        ticket: ticket.clone(),
        workspace: created.workspace.clone(),
        due_in: created.due_at - context.clock.wall_time(),
        idempotent: created.idempotent,
        url: line.url,
        model: created.model.clone(),
        body: line.body.get().to_string(),
    };
    Some((line.custom_id, work))
}

fn find_created(context: &Shared, job: &Job) -> Option<std::sync::Arc<JobCreated>> {
    Some(context.batch.owner.directory.state().job(job)?.created.clone())
}

async fn append_records(
    context: &Shared,
    stream: &Stream,
    records: &[Record],
) -> Result<Vec<Position>> {
    let bodies: std::result::Result<Vec<Vec<u8>>, _> = records.iter().map(record::encode).collect();
    context.journal.append(stream, bodies.map_err(|_| encode_error())?).await
}

fn encode_error() -> Error {
    Error::new(Kind::Internal, "the record can't be encoded")
}
