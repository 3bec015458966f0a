//! What the task of a partition has done beside it: appends, look-ups and orders to runners.

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

/// Pause before what failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What came of it.
pub(crate) enum Completion {
    /// Nothing that the partition needs to know.
    Done,
    /// A claim or release does not stand for sure.
    NotAppended,
    Named {
        job: Job,
        item: Item,
        custom_id: String,
    },
    NotFinished(Job),
    Flushed(Result<Vec<Position>>),
    /// The runner was told or is gone.
    Stopped(Job),
    Granted(Granted),
}

/// Picks with their lines, and the place of their intents.
pub(crate) struct Granted {
    /// Each pick with its `custom_id` and the item as the runner gets it.
    pub(crate) picks: Vec<(Pick, Option<(String, Work)>)>,
    /// The items may be handed out once this record has been taken in.
    pub(crate) intent: Option<Position>,
    /// Not handed out any more from here on.
    pub(crate) until: Millis,
    pub(crate) reply: oneshot::Sender<Grant>,
}

/// Appends a claim or a release.
pub(crate) async fn append(context: Shared, stream: Stream, record: Record) -> Completion {
    match journal(&context, &stream, &[record]).await {
        Ok(_) => Completion::Done,
        Err(_) => {
            tokio::time::sleep(RETRY_PAUSE).await;
            Completion::NotAppended
        }
    }
}

/// Appends results.
pub(crate) async fn flush(context: Shared, stream: Stream, records: Vec<Record>) -> Completion {
    Completion::Flushed(journal(&context, &stream, &records).await)
}

/// Tells a runner to stop a run.
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

/// Looks up the `custom_id` of an item.
pub(crate) async fn name(context: Shared, job: Job, item: Item) -> Completion {
    loop {
        let Some(created) = created(&context, &job) else { return Completion::Done };
        match files::read_line(&context, &created.file, item).await {
            Ok(line) => return Completion::Named { job, item, custom_id: line.custom_id },
            Err(error) if error.kind == Kind::LogUnavailable => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                log::debug!("batch: {job} item {item}: {error}");
                return Completion::Named { job, item, custom_id: item.to_string() };
            }
        }
    }
}

/// Appends the index of the results and then the end of the job.
pub(crate) async fn finish(
    context: Shared,
    stream: Stream,
    job: Job,
    index: Record,
    counts: Counts,
) -> Completion {
    match append_end(&context, &stream, &job, index, counts).await {
        Ok(()) => Completion::Done,
        Err(error) => {
            log::debug!("batch: the end of {job} was not appended: {error}");
            tokio::time::sleep(RETRY_PAUSE).await;
            Completion::NotFinished(job)
        }
    }
}

async fn append_end(
    context: &Shared,
    stream: &Stream,
    job: &Job,
    index: Record,
    counts: Counts,
) -> Result<()> {
    let positions = journal(context, stream, &[index]).await?;
    let Some(index) = positions.first().copied() else { return Err(unencodable()) };
    let finished_at = context.clock.wall();
    let end = JobsRecord::JobFinished(JobFinished { job: job.clone(), counts, index, finished_at });
    let body = record::encode(&end).map_err(|_| unencodable())?;
    context.journal.append(&jobs_stream(&context.settings.environment), vec![body]).await?;
    Ok(())
}

/// Makes the intents of picks durable and loads their lines.
pub(crate) async fn grant(
    context: Shared,
    stream: Stream,
    picks: Vec<Pick>,
    until: Millis,
    reply: oneshot::Sender<Grant>,
) -> Completion {
    let intents = intents(&picks);
    let (intended, lines) =
        tokio::join!(journal(&context, &stream, &intents), load(&context, &picks));
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

async fn load(context: &Shared, picks: &[Pick]) -> Vec<Option<(String, Work)>> {
    let mut lines = Vec::new();
    for pick in picks {
        lines.push(work(context, &pick.ticket).await);
    }
    lines
}

async fn work(context: &Shared, ticket: &Ticket) -> Option<(String, Work)> {
    let created = created(context, &ticket.job)?;
    let line = files::read_line(context, &created.file, ticket.item).await.ok()?;
    let work = Work {
        ticket: ticket.clone(),
        workspace: created.workspace.clone(),
        due_in: created.due_at - context.clock.wall(),
        idempotent: created.idempotent,
        url: line.url,
        model: created.model.clone(),
        body: line.body.get().to_string(),
    };
    Some((line.custom_id, work))
}

fn created(context: &Shared, job: &Job) -> Option<std::sync::Arc<JobCreated>> {
    Some(context.batch.owner.directory.state().job(job)?.created.clone())
}

async fn journal(context: &Shared, stream: &Stream, records: &[Record]) -> Result<Vec<Position>> {
    let bodies: std::result::Result<Vec<Vec<u8>>, _> = records.iter().map(record::encode).collect();
    context.journal.append(stream, bodies.map_err(|_| unencodable())?).await
}

fn unencodable() -> Error {
    Error::new(Kind::Internal, "the record can't be encoded")
}
