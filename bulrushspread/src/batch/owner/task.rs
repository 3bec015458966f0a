//! The tasks of the partition owner: which partitions this node follows, and how other tasks reach
//! them.

use std::{collections::BTreeMap, time::Duration};

use tokio::sync::{mpsc, oneshot};

use crate::{
    batch::{
        directory, files,
        ledger::{JobSpec, queue::Pool},
        maintenance,
        message::{Grant, Outcomes, Pull, RunOutcome},
        record::JobCreated,
        view::Counts,
    },
    id::{Incarnation, Job, Partition, Vm, Workspace},
    membership::View,
    node::Shared,
    rendezvous,
    time::Millis,
};

use super::{actor::Actor, command::Command, state::Event};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Time after the start of the process in which no partition is claimed, so that the view can fill.
const START_DELAY: Millis = Millis(2_000);
/// Time between two looks at the members.
const MEMBERS_PERIOD: Duration = Duration::from_millis(200);
/// Time that the release of all partitions may take.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
/// The first part of the path of a plain service.
const SERVICES: &str = "/services/";

/// Starts the tasks of the owner.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(directory::follow(context.clone()));
    tokio::spawn(watch_members(context.clone()));
    tokio::spawn(maintenance::run(context.clone()));
    Ok(())
}

/// Releases the partitions of this node.
pub(crate) async fn stop(context: &Shared) {
    notify_all(context, &Event::Stopping);
    let released = async {
        while !context.batch.owner.partitions.lock().unwrap().is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, released).await.is_err() {
        log::warn!("batch: not all partitions were released before the stop");
    }
}

/// Grants items of partitions that this node owns; nothing for other partitions.
pub(crate) async fn handle_pull(context: &Shared, runner: &Vm, mut pull: Pull) -> Grant {
    let mut work = Vec::new();
    for partition in pull.partitions.clone() {
        let (reply, answer) = oneshot::channel();
        let part = Pull { partitions: vec![partition], ..pull.clone() };
        send(context, partition, Command::Pull { runner: runner.clone(), pull: part, reply });
        let Ok(grant) = answer.await else { continue };
        for granted in grant.work {
            take_room(&mut pull, granted.model.as_ref(), &granted.url);
            work.push(granted);
        }
    }
    work.sort_by_key(|work| work.due_in);
    Grant { work }
}

/// Takes over outcomes of a runner. Returns once they no longer need the runner.
pub(crate) async fn handle_outcomes(
    context: &Shared,
    _runner: &Vm,
    outcomes: Outcomes,
) -> Result<()> {
    let mut by_partition: BTreeMap<Partition, Vec<RunOutcome>> = BTreeMap::new();
    for outcome in outcomes.outcomes {
        by_partition.entry(outcome.ticket.partition).or_default().push(outcome);
    }
    for (partition, outcomes) in by_partition {
        let (reply, answer) = oneshot::channel();
        send(context, partition, Command::Outcomes { outcomes, reply });
        if !answer.await.unwrap_or(false) {
            anyhow::bail!("partition {partition} did not take the outcomes over");
        }
    }
    Ok(())
}

/// Whether no item of the cancelled job starts or runs any more, as the partition's owner knows.
pub(crate) async fn is_cancelled(context: &Shared, partition: Partition, job: &Job) -> bool {
    let (reply, answer) = oneshot::channel();
    send(context, partition, Command::Cancelled { job: job.clone(), reply });
    answer.await.unwrap_or(false)
}

/// The counts of the job, if this node owns the partition.
pub(crate) async fn counts(context: &Shared, partition: Partition, job: &Job) -> Option<Counts> {
    let (reply, answer) = oneshot::channel();
    send(context, partition, Command::Counts { job: job.clone(), reply });
    answer.await.unwrap_or(None)
}

/// Tells all partitions of this node.
pub(crate) fn notify_all(context: &Shared, event: &Event) {
    for partition in context.batch.owner.partitions.lock().unwrap().values() {
        let _ = partition.send(Command::Event(event.clone()));
    }
}

/// Tells the job's partition of an unfinished job.
pub(crate) fn notify_job_opened(context: &Shared, created: &JobCreated) {
    let partition = files::partition(context, &created.file);
    send(context, partition, Command::Event(Event::JobOpened(spec(context, created))));
}

/// The node that should own the partition, as every node with the same view sees it.
pub(crate) fn choose_owner(view: &View, partition: Partition) -> Option<Vm> {
    let members = view.nodes.iter().filter(|(_, node)| !node.leaving).map(|(vm, _)| vm);
    rendezvous::choose(&format!("lane-{partition}"), members).cloned()
}

fn send(context: &Shared, partition: Partition, command: Command) {
    if let Some(sender) = context.batch.owner.partitions.lock().unwrap().get(&partition) {
        let _ = sender.send(command);
    }
}

/// Takes a granted item off the room that is left for the next partitions.
fn take_room(pull: &mut Pull, model: Option<&crate::id::Model>, url: &str) {
    let room = pull.capacity.iter_mut().find(|room| {
        room.items > 0
            && match model {
                Some(model) => room.models.contains(model),
                None => service(url) == Some(&room.deployment.0),
            }
    });
    if let Some(room) = room {
        room.items -= 1;
    }
}

/// The name in the path of a plain service.
fn service(url: &str) -> Option<&str> {
    url.strip_prefix(SERVICES)?.split(['/', '?']).next()
}

fn spec(context: &Shared, created: &JobCreated) -> JobSpec {
    let pool = match (&created.model, service(&created.endpoint)) {
        (Some(model), _) => Pool::Model(model.clone()),
        (None, service) => Pool::Service(service.unwrap_or_default().to_string()),
    };
    JobSpec {
        job: created.job.clone(),
        workspace: created.workspace.clone(),
        weight: weight(context, &created.workspace),
        pool,
        due_at: created.due_at,
        total: created.items,
        idempotent: created.idempotent,
    }
}

fn weight(context: &Shared, workspace: &Workspace) -> u32 {
    let current = context.config.current();
    let mut pieces = current.document.pieces.values();
    pieces.find_map(|piece| piece.workspaces.get(workspace)).map_or(1, |spec| spec.weight)
}

/// Starts the tasks of partitions that this node should own and tells them of the members.
async fn watch_members(context: Shared) {
    let mut told = None;
    loop {
        tokio::time::sleep(MEMBERS_PERIOD).await;
        let ready = context.batch.owner.directory.is_complete();
        if !ready || context.clock.now() < START_DELAY {
            continue;
        }
        let view = context.membership.view();
        let changed = told.as_ref() != Some(&view);
        for partition in (0..context.settings.batch.partitions).map(Partition) {
            watch_partition(&context, &view, partition, changed);
        }
        told = Some(view);
    }
}

fn watch_partition(context: &Shared, view: &View, partition: Partition, changed: bool) {
    let chosen = choose_owner(view, partition);
    let followed = context.batch.owner.partitions.lock().unwrap().contains_key(&partition);
    if !followed && chosen.as_ref() != Some(&context.settings.vm) {
        return;
    }
    if !followed {
        start_partition(context, partition);
    }
    if changed || !followed {
        let live = view.nodes.iter().map(|(vm, node)| (vm.clone(), node.incarnation));
        let live: BTreeMap<Vm, Incarnation> = live.collect();
        send(context, partition, Command::Event(Event::Members { chosen, live }));
    }
}

fn start_partition(context: &Shared, partition: Partition) {
    if *context.phase.borrow() == crate::node::Phase::Draining {
        return;
    }
    let (sender, commands) = mpsc::unbounded_channel();
    context.batch.owner.partitions.lock().unwrap().insert(partition, sender);
    let open: Vec<_> = {
        let fold = context.batch.owner.directory.state();
        let open = fold.jobs().filter(|job| job.finished.is_none());
        open.map(|job| job.created.clone()).collect()
    };
    for created in open {
        if files::partition(context, &created.file) == partition {
            let event = Event::JobOpened(spec(context, &created));
            send(context, partition, Command::Event(event));
        }
    }
    tokio::spawn(Actor::new(context.clone(), partition).run(commands));
}
