//! The tasks of the configuration: they feed the reader, exchange heads and states with other nodes
//! and write checkpoints.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    id::{Offset, Stream, Vm},
    journal::FollowEvent,
    membership::overlay,
    node::Shared,
    peer::message::Message as PeerMessage,
    rendezvous,
    time::Millis,
};

use super::{
    Snapshot,
    message::{Head, Message},
    reader::Event,
    record::{Checkpoint, Operation},
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Time that a node has to read new records from the log itself before it pulls from a peer.
const PULL_DELAY: Duration = Duration::from_millis(250);
/// Delay before the stream is followed again after the follower ended.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The stream of the configuration records of all environments.
pub(super) fn stream() -> Stream {
    Stream::from("config")
}

/// Starts the tasks of the configuration.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(follow(context.clone()));
    tokio::spawn(broadcast_head(context.clone()));
    tokio::spawn(write_checkpoints(context.clone()));
    Ok(())
}

/// Handles a message of another node and returns the response.
pub(crate) async fn handle_message(
    context: &Shared,
    (from, _): (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Head(head) => handle_head(context, &from, head),
        Message::Ask => return PeerMessage::Config(Message::Head(context.config.head())),
        Message::Pull { have } => {
            let state = context.config.reader().state().clone();
            if state.next > have {
                return PeerMessage::Config(Message::State(Box::new(state)));
            }
        }
        Message::State(_) => {}
    }
    PeerMessage::Done
}

/// Compares another node's head with this node's and pulls the state from that node if this node
/// is still behind after `PULL_DELAY`.
pub(crate) fn handle_head(context: &Shared, vm: &Vm, head: Head) {
    let own = context.config.head();
    if head.next == own.next && head.digest != own.digest {
        log::error!("config: {vm} has a different state at offset {}", head.next);
    }
    let view = context.membership.view();
    let Some(from) = view.nodes.get(vm).map(|node| node.address) else { return };
    if head.next <= own.next || !context.config.try_begin_pull() {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        tokio::time::sleep(PULL_DELAY).await;
        if context.config.head().next < head.next
            && let Err(error) = pull(&context, from).await
        {
            log::debug!("config: pulling the state from {from} failed: {error:#}");
        }
        context.config.end_pull();
    });
}

async fn pull(context: &Shared, from: SocketAddr) -> Result<()> {
    let have = context.config.head().next;
    let request = PeerMessage::Config(Message::Pull { have });
    if let PeerMessage::Config(Message::State(state)) = context.peer.call(from, request).await? {
        apply(context, Event::Snapshot(*state));
    }
    Ok(())
}

async fn follow(context: Shared) {
    loop {
        let from = context.config.head().next;
        let mut followed = context.journal.follow(&stream(), from);
        while let Some(followed) = followed.recv().await {
            apply(&context, to_event(followed));
        }
        tokio::time::sleep(FOLLOW_RETRY_DELAY).await;
    }
}

fn to_event(followed: FollowEvent) -> Event {
    match followed {
        FollowEvent::Entries(entries) => Event::Entries(entries),
        FollowEvent::CaughtUp(offset) => Event::CaughtUp(offset),
        FollowEvent::Expired(first) => Event::Expired(first),
    }
}

/// Applies an event to the reader and puts the resulting document in force.
fn apply(context: &Shared, event: Event) {
    let mut reader = context.config.reader();
    if !reader.apply(event) {
        return;
    }
    let next = reader.state().next;
    let document = reader.document(&context.settings.environment);
    let digest = u64::from_str_radix(&reader.state().digest()[..16], 16).unwrap_or_default();
    context.config.set_head(Head { next, digest });
    context.config.update(Snapshot { offset: next, document });
}

/// Sends this node's head to the linked nodes when it changes. The probes of the membership carry
/// the head too, which bounds the delay after a lost message.
async fn broadcast_head(context: Shared) {
    let mut changes = context.config.watch();
    while changes.changed().await.is_ok() {
        let head = context.config.head();
        for (_, address) in overlay::neighbour_addresses(&context) {
            send_head(context.clone(), address, head);
        }
    }
}

fn send_head(context: Shared, address: SocketAddr, head: Head) {
    tokio::spawn(async move {
        let message = PeerMessage::Config(Message::Head(head));
        if let Err(error) = context.peer.send(address, message).await {
            log::debug!("config: sending the head to {address} failed: {error:#}");
        }
    });
}

/// Writes checkpoints to the stream, so that the state outlives the records that produced it.
async fn write_checkpoints(context: Shared) {
    let interval = Millis(context.settings.config.checkpoint_ms.max(1));
    let mut previous: Option<Offset> = None;
    let mut since = context.clock.now();
    loop {
        tokio::time::sleep(interval.duration() / 4).await;
        let latest = context.config.reader().latest_checkpoint();
        if latest != previous {
            previous = latest;
            since = context.clock.now();
        }
        let due = context.clock.now() - since >= interval;
        if due && is_checkpoint_writer(&context) {
            write_checkpoint(&context).await;
        }
    }
}

/// Whether this node is the one that writes checkpoints.
fn is_checkpoint_writer(context: &Shared) -> bool {
    let view = context.membership.view();
    let writer = rendezvous::choose("config checkpoint", view.nodes.keys());
    writer == Some(&context.settings.vm)
}

async fn write_checkpoint(context: &Shared) {
    let state = {
        let reader = context.config.reader();
        if !reader.is_caught_up() || reader.state().environments.is_empty() {
            return;
        }
        reader.state().clone()
    };
    let Ok(body) = Operation::Checkpoint(Checkpoint { state }).encode() else { return };
    if let Err(error) = context.journal.append(&stream(), vec![body]).await {
        log::debug!("config: writing a checkpoint failed: {error}");
    }
}

/// Requests the position in the stream of each live node; `None` for a node that doesn't respond.
pub(crate) async fn collect_heads(context: &Shared) -> Vec<(Vm, Option<Offset>)> {
    let view = context.membership.view();
    let requests = view.nodes.iter().map(|(vm, node)| {
        let context: Arc<_> = context.clone();
        let (vm, address) = (vm.clone(), node.address);
        async move {
            if vm == context.settings.vm {
                return (vm, Some(context.config.head().next));
            }
            let request = PeerMessage::Config(Message::Ask);
            match context.peer.call(address, request).await {
                Ok(PeerMessage::Config(Message::Head(head))) => (vm, Some(head.next)),
                _ => (vm, None),
            }
        }
    });
    futures_util::future::join_all(requests).await
}
