//! Client of the partition owners: requests items, renews held ones and reports outcomes.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
};

use crate::{
    batch::{
        message::{Capacity, Grant, Message, Outcomes, Pull, RunOutcome, Ticket, Work},
        owner,
    },
    id::Partition,
    node::Shared,
    peer,
    time::Millis,
};

use super::{fleet::Owner, message::Event, schedule, task};

/// Number of owners without recent grants that one pull contacts.
const COLD_OWNERS: usize = 4;
/// Time for which an owner that granted items is contacted before the others.
const GRANTING_TTL: Millis = Millis(5_000);
/// Timeout of a pull from one owner.
const PULL_TIMEOUT: Millis = Millis(500);

/// Requests items from owners, one after the other, until the capacity is used up.
pub(crate) async fn pull(context: Shared, mut capacity: Vec<Capacity>, holding: Vec<Ticket>) {
    for owner in pull_order(&context) {
        if capacity.is_empty() {
            break;
        }
        let held = holding.iter().filter(|ticket| owner.partitions.contains(&ticket.partition));
        let pull = Pull {
            partitions: owner.partitions.clone(),
            capacity: capacity.clone(),
            holding: held.cloned().collect(),
        };
        let work = send_pull(&context, &owner, pull).await;
        if work.is_empty() {
            continue;
        }
        let now = context.clock.now();
        context.batch.runner.inner.granting.lock().unwrap().insert(owner.vm.clone(), now);
        deduct(&mut capacity, &work);
        task::apply(&context, Event::Granted(work));
    }
    task::apply(&context, Event::PullEnded);
}

/// Reports to the partition owners which of their items this node still holds.
pub(crate) async fn renew_holding(context: Shared, holding: Vec<Ticket>) {
    for owner in owners(&context).iter().cloned() {
        let held = holding.iter().filter(|ticket| owner.partitions.contains(&ticket.partition));
        let holding: Vec<Ticket> = held.cloned().collect();
        if holding.is_empty() {
            continue;
        }
        let pull = Pull { partitions: owner.partitions.clone(), capacity: Vec::new(), holding };
        let context = context.clone();
        tokio::spawn(async move { send_pull(&context, &owner, pull).await });
    }
}

/// Sends outcomes to the owners of their partitions.
pub(crate) async fn report_outcomes(context: Shared, outcomes: Vec<RunOutcome>) {
    let mut by_partition: BTreeMap<Partition, Vec<RunOutcome>> = BTreeMap::new();
    for outcome in outcomes {
        by_partition.entry(outcome.ticket.partition).or_default().push(outcome);
    }
    for (partition, outcomes) in by_partition {
        tokio::spawn(report_partition_outcomes(context.clone(), partition, outcomes));
    }
}

async fn report_partition_outcomes(
    context: Shared,
    partition: Partition,
    outcomes: Vec<RunOutcome>,
) {
    let tickets = outcomes.iter().map(|outcome| outcome.ticket.clone()).collect();
    if let Err(error) = send_outcomes(&context, partition, Outcomes { outcomes }).await {
        log::debug!(
            "batch runner: outcomes were not acknowledged by partition {partition}: {error:#}"
        );
        return;
    }
    task::apply(&context, Event::Acknowledged(tickets));
    context.batch.runner.inner.changed.notify_waiters();
}

async fn send_outcomes(
    context: &Shared,
    partition: Partition,
    outcomes: Outcomes,
) -> anyhow::Result<()> {
    let owners = owners(context);
    let owner = owners.iter().find(|owner| owner.partitions.contains(&partition));
    let Some(owner) = owner else { anyhow::bail!("no node owns the partition") };
    let own_vm = &context.settings.vm;
    if owner.vm == *own_vm {
        return owner::task::handle_outcomes(context, own_vm, outcomes).await;
    }
    let message = peer::Message::Batch(Message::Outcomes(outcomes));
    match context.peer.call(owner.address, message).await? {
        peer::Message::Done => Ok(()),
        other => anyhow::bail!("unexpected answer {other:?}"),
    }
}

async fn send_pull(context: &Shared, owner: &Owner, pull: Pull) -> Vec<Work> {
    let own_vm = &context.settings.vm;
    if owner.vm == *own_vm {
        return owner::task::handle_pull(context, own_vm, pull).await.work;
    }
    let message = peer::Message::Batch(Message::Pull(pull));
    let answer = context.peer.call(owner.address, message);
    match tokio::time::timeout(PULL_TIMEOUT.duration(), answer).await {
        Ok(Ok(peer::Message::Batch(Message::Grant(Grant { work })))) => work,
        Ok(Ok(_)) | Ok(Err(_)) | Err(_) => Vec::new(),
    }
}

/// The owners to contact in this pull: all that granted items recently, then a few of the others
/// in rotation.
fn pull_order(context: &Shared) -> Vec<Owner> {
    let inner = &context.batch.runner.inner;
    let now = context.clock.now();
    let mut granting = inner.granting.lock().unwrap();
    granting.retain(|_, at| now - *at < GRANTING_TTL);
    let mut owners = owners(context).to_vec();
    if owners.is_empty() {
        return owners;
    }
    let pulls = inner.pulls.fetch_add(1, Ordering::Relaxed) as usize;
    let first = pulls * COLD_OWNERS % owners.len();
    owners.rotate_left(first);
    let (hot, cold): (Vec<Owner>, Vec<Owner>) =
        owners.into_iter().partition(|owner| granting.contains_key(&owner.vm));
    hot.into_iter().chain(cold.into_iter().take(COLD_OWNERS)).collect()
}

fn owners(context: &Shared) -> Arc<[Owner]> {
    context.batch.runner.inner.fleet.lock().unwrap().owners.clone()
}

/// Deducts granted items from the capacity. Each is deducted once, where its model fits.
fn deduct(capacity: &mut Vec<Capacity>, work: &[Work]) {
    for work in work {
        let fits = |capacity: &&mut Capacity| {
            capacity.items > 0
                && match &work.model {
                    Some(model) => capacity.models.contains(model),
                    None => schedule::service_name(&work.url) == Some(&capacity.deployment.0),
                }
        };
        if let Some(capacity) = capacity.iter_mut().find(fits) {
            capacity.items -= 1;
        }
    }
    capacity.retain(|capacity| capacity.items > 0);
}
