//! The tasks of the partition owner: starts a task for each partition that this node should own and
//! passes requests to it.

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

/// Time after the start of the process during which no partition is claimed, so that the
/// membership view can fill.
const START_DELAY: Millis = Millis(2_000);
/// Interval at which changes of the membership are checked.
const MEMBERS_PERIOD: Duration = Duration::from_millis(200);
/// Time limit for the release of all partitions.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
/// Prefix of the paths of plain services.
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
        log::warn!("batch: shutdown continues before all partitions are released");
    }
}

/// Grants items of partitions that this node owns. Ignores other partitions.
pub(crate) async fn handle_pull(context: &Shared, runner: &Vm, mut pull: Pull) -> Grant {
    let mut work = Vec::new();
    for partition in pull.partitions.clone() {
        let (reply, answer) = oneshot::channel();
        let partial_pull = Pull { partitions: vec![partition], ..pull.clone() };
        send(
            context,
            partition,
            Command::Pull { runner: runner.clone(), pull: partial_pull, reply },
        );
        let Ok(grant) = answer.await else { continue };
        for granted in grant.work {
            use_capacity(&mut pull, granted.model.as_ref(), &granted.url);
            work.push(granted);
        }
    }
    work.sort_by_key(|work| work.due_in);
    Grant { work }
}

/// Applies a runner's outcomes. Returns once the runner may drop them.
///
/// Fails if a partition has not accepted its outcomes; the runner then has to repeat them.
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
            anyhow::bail!("lane {partition} did not take the outcomes over");
        }
    }
    Ok(())
}

/// Whether the job is cancelled and none of its items can start or is still running. False if this
/// node does not own the partition.
pub(crate) async fn is_cancelled(context: &Shared, partition: Partition, job: &Job) -> bool {
    let (reply, answer) = oneshot::channel();
    send(context, partition, Command::Cancelled { job: job.clone(), reply });
    answer.await.unwrap_or(false)
}

/// The counts of the job, or `None` if this node does not own the partition.
pub(crate) async fn counts(context: &Shared, partition: Partition, job: &Job) -> Option<Counts> {
    let (reply, answer) = oneshot::channel();
    send(context, partition, Command::Counts { job: job.clone(), reply });
    answer.await.unwrap_or(None)
}

/// Sends an event to all partition tasks of this node.
pub(crate) fn notify_all(context: &Shared, event: &Event) {
    for partition in context.batch.owner.partitions.lock().unwrap().values() {
        let _ = partition.send(Command::Event(event.clone()));
    }
}

/// Notifies the task of the job's partition of an unfinished job.
pub(crate) fn notify_job_opened(context: &Shared, created: &JobCreated) {
    let partition = files::partition(context, &created.file);
    send(context, partition, Command::Event(Event::JobOpened(job_spec(context, created))));
}

/// The node that should own the partition. Equal on all nodes with the same view.
pub(crate) fn choose_owner(view: &View, partition: Partition) -> Option<Vm> {
    let members = view.nodes.iter().filter(|(_, node)| !node.leaving).map(|(vm, _)| vm);
    rendezvous::choose(&format!("lane-{partition}"), members).cloned()
}

fn send(context: &Shared, partition: Partition, command: Command) {
    if let Some(sender) = context.batch.owner.partitions.lock().unwrap().get(&partition) {
        let _ = sender.send(command);
    }
}

/// Subtracts a granted item from the capacity that is left for the next partitions.
fn use_capacity(pull: &mut Pull, model: Option<&crate::id::Model>, url: &str) {
    let capacity = pull.capacity.iter_mut().find(|capacity| {
        capacity.items > 0
            && match model {
                Some(model) => capacity.models.contains(model),
                None => service_name(url) == Some(&capacity.deployment.0),
            }
    });
    if let Some(capacity) = capacity {
        capacity.items -= 1;
    }
}

/// The name of the plain service in a request path.
fn service_name(url: &str) -> Option<&str> {
    url.strip_prefix(SERVICES)?.split(['/', '?']).next()
}

fn job_spec(context: &Shared, created: &JobCreated) -> JobSpec {
    let pool = match (&created.model, service_name(&created.endpoint)) {
        (Some(model), _) => Pool::Model(model.clone()),
        (None, service) => Pool::Service(service.unwrap_or_default().to_string()),
    };
    JobSpec {
        job: created.job.clone(),
        workspace: created.workspace.clone(),
        weight: find_weight(context, &created.workspace),
        pool,
        due_at: created.due_at,
        total: created.items,
        idempotent: created.idempotent,
    }
}

fn find_weight(context: &Shared, workspace: &Workspace) -> u32 {
    let current = context.config.current();
    let mut pieces = current.document.pieces.values();
    pieces.find_map(|piece| piece.workspaces.get(workspace)).map_or(1, |spec| spec.weight)
}

/// Starts the tasks of partitions that this node should own and notifies them of membership
/// changes.
async fn watch_members(context: Shared) {
    let mut notified = None;
    loop {
        tokio::time::sleep(MEMBERS_PERIOD).await;
        let ready = context.batch.owner.directory.is_complete();
        if !ready || context.clock.now() < START_DELAY {
            continue;
        }
        let view = context.membership.view();
        let changed = notified.as_ref() != Some(&view);
        for partition in (0..context.settings.batch.partitions).map(Partition) {
            watch_partition(&context, &view, partition, changed);
        }
        notified = Some(view);
    }
}

fn watch_partition(context: &Shared, view: &View, partition: Partition, changed: bool) {
    let chosen = choose_owner(view, partition);
    let is_followed = context.batch.owner.partitions.lock().unwrap().contains_key(&partition);
    if !is_followed && chosen.as_ref() != Some(&context.settings.vm) {
        return;
    }
    if !is_followed {
        start_partition(context, partition);
    }
    if changed || !is_followed {
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
        let jobs_state = context.batch.owner.directory.state();
        let open = jobs_state.jobs().filter(|job| job.finished.is_none());
        open.map(|job| job.created.clone()).collect()
    };
    for created in open {
        if files::partition(context, &created.file) == partition {
            let event = Event::JobOpened(job_spec(context, &created));
            send(context, partition, Command::Event(event));
        }
    }
    tokio::spawn(Actor::new(context.clone(), partition).run(commands));
}
