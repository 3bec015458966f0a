//! Asks the owners of partitions for items and tells them how items ended.

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

/// Owners that granted nothing lately which one pull asks.
const COLD_OWNERS: usize = 4;
/// Time for which an owner that granted items is asked first.
const GRANTING_TTL: Millis = Millis(5_000);
/// Time that an owner may take to grant items.
const PULL_TIMEOUT: Millis = Millis(500);

/// Asks owners, one after the other, until the room is filled.
pub(crate) async fn pull(context: Shared, mut room: Vec<Capacity>, holding: Vec<Ticket>) {
    for owner in turn(&context) {
        if room.is_empty() {
            break;
        }
        let held = holding.iter().filter(|ticket| owner.partitions.contains(&ticket.partition));
        let pull = Pull {
            partitions: owner.partitions.clone(),
            capacity: room.clone(),
            holding: held.cloned().collect(),
        };
        let work = ask(&context, &owner, pull).await;
        if work.is_empty() {
            continue;
        }
        let now = context.clock.now();
        context.batch.runner.edge.granting.lock().unwrap().insert(owner.vm.clone(), now);
        fill(&mut room, &work);
        task::feed(&context, Event::Granted(work));
    }
    task::feed(&context, Event::Pulled);
}

/// Tells the owners of partitions what this node holds of theirs.
pub(crate) async fn hold(context: Shared, holding: Vec<Ticket>) {
    for owner in owners(&context).iter().cloned() {
        let held = holding.iter().filter(|ticket| owner.partitions.contains(&ticket.partition));
        let holding: Vec<Ticket> = held.cloned().collect();
        if holding.is_empty() {
            continue;
        }
        let pull = Pull { partitions: owner.partitions.clone(), capacity: Vec::new(), holding };
        let context = context.clone();
        tokio::spawn(async move { ask(&context, &owner, pull).await });
    }
}

/// Tells the owners how items ended.
pub(crate) async fn tell(context: Shared, outcomes: Vec<RunOutcome>) {
    let mut by_partition: BTreeMap<Partition, Vec<RunOutcome>> = BTreeMap::new();
    for outcome in outcomes {
        by_partition.entry(outcome.ticket.partition).or_default().push(outcome);
    }
    for (partition, outcomes) in by_partition {
        tokio::spawn(tell_partition(context.clone(), partition, outcomes));
    }
}

async fn tell_partition(context: Shared, partition: Partition, outcomes: Vec<RunOutcome>) {
    let tickets = outcomes.iter().map(|outcome| outcome.ticket.clone()).collect();
    if let Err(error) = take_over(&context, partition, Outcomes { outcomes }).await {
        log::debug!("batch runner: partition {partition} did not take outcomes over: {error:#}");
        return;
    }
    task::feed(&context, Event::TakenOver(tickets));
    context.batch.runner.edge.changed.notify_waiters();
}

async fn take_over(
    context: &Shared,
    partition: Partition,
    outcomes: Outcomes,
) -> anyhow::Result<()> {
    let owners = owners(context);
    let owner = owners.iter().find(|owner| owner.partitions.contains(&partition));
    let Some(owner) = owner else { anyhow::bail!("no node owns the partition") };
    let me = &context.settings.vm;
    if owner.vm == *me {
        return owner::task::handle_outcomes(context, me, outcomes).await;
    }
    let message = peer::Message::Batch(Message::Outcomes(outcomes));
    match context.peer.call(owner.address, message).await? {
        peer::Message::Done => Ok(()),
        other => anyhow::bail!("unexpected answer {other:?}"),
    }
}

async fn ask(context: &Shared, owner: &Owner, pull: Pull) -> Vec<Work> {
    let me = &context.settings.vm;
    if owner.vm == *me {
        return owner::task::handle_pull(context, me, pull).await.work;
    }
    let message = peer::Message::Batch(Message::Pull(pull));
    let answer = context.peer.call(owner.address, message);
    match tokio::time::timeout(PULL_TIMEOUT.duration(), answer).await {
        Ok(Ok(peer::Message::Batch(Message::Grant(Grant { work })))) => work,
        Ok(Ok(_)) | Ok(Err(_)) | Err(_) => Vec::new(),
    }
}

/// The owners to ask now: those that granted lately first, then a few others in turn.
fn turn(context: &Shared) -> Vec<Owner> {
    let edge = &context.batch.runner.edge;
    let now = context.clock.now();
    let mut granting = edge.granting.lock().unwrap();
    granting.retain(|_, at| now - *at < GRANTING_TTL);
    let mut owners = owners(context).to_vec();
    if owners.is_empty() {
        return owners;
    }
    let pulls = edge.pulls.fetch_add(1, Ordering::Relaxed) as usize;
    let first = pulls * COLD_OWNERS % owners.len();
    owners.rotate_left(first);
    let (hot, cold): (Vec<Owner>, Vec<Owner>) =
        owners.into_iter().partition(|owner| granting.contains_key(&owner.vm));
    hot.into_iter().chain(cold.into_iter().take(COLD_OWNERS)).collect()
}

fn owners(context: &Shared) -> Arc<[Owner]> {
    context.batch.runner.edge.fleet.lock().unwrap().owners.clone()
}

/// Takes granted items off the room. Each is counted once, where its model fits.
fn fill(room: &mut Vec<Capacity>, work: &[Work]) {
    for work in work {
        let fits = |room: &&mut Capacity| {
            room.items > 0
                && match &work.model {
                    Some(model) => room.models.contains(model),
                    None => schedule::service(&work.url) == Some(&room.deployment.0),
                }
        };
        if let Some(room) = room.iter_mut().find(fits) {
            room.items -= 1;
        }
    }
    room.retain(|room| room.items > 0);
}
