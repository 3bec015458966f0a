//! The tasks of this slice: they feed the reader and carry the document between nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    id::{Offset, Stream, Vm},
    journal::Followed,
    membership::overlay,
    node::Shared,
    peer::message::Message as PeerMessage,
    rendezvous,
    time::Millis,
};

use super::{
    InForce,
    message::{Head, Message},
    reader::Event,
    record::{Checkpoint, Operation},
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Time that a node behind gives its own reading of the log before it pulls from a peer.
const PULL_DELAY: Duration = Duration::from_millis(250);
/// Time between two attempts to follow the stream.
const FOLLOW_RETRY: Duration = Duration::from_millis(500);

/// The stream that carries the documents of all environments.
pub(super) fn stream() -> Stream {
    Stream::from("config")
}

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(follow(context.clone()));
    tokio::spawn(spread(context.clone()));
    tokio::spawn(carry_forward(context.clone()));
    Ok(())
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    context: &Shared,
    (from, _): (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Head(head) => heard(context, &from, head),
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

/// Takes note of another node's head and pulls from it when this node stays behind.
pub(crate) fn heard(context: &Shared, vm: &Vm, head: Head) {
    let own = context.config.head();
    if head.next == own.next && head.digest != own.digest {
        log::error!("config: {vm} holds another document at offset {}", head.next);
    }
    let view = context.membership.view();
    let Some(from) = view.nodes.get(vm).map(|node| node.address) else { return };
    if head.next <= own.next || !context.config.begin_pull() {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        tokio::time::sleep(PULL_DELAY).await;
        if context.config.head().next < head.next
            && let Err(error) = pull(&context, from).await
        {
            log::debug!("config: can't pull from {from}: {error:#}");
        }
        context.config.end_pull();
    });
}

async fn pull(context: &Shared, from: SocketAddr) -> Result<()> {
    let have = context.config.head().next;
    let request = PeerMessage::Config(Message::Pull { have });
    if let PeerMessage::Config(Message::State(state)) = context.peer.call(from, request).await? {
        apply(context, Event::Adopt(*state));
    }
    Ok(())
}

async fn follow(context: Shared) {
    loop {
        let from = context.config.head().next;
        let mut followed = context.journal.follow(&stream(), from);
        while let Some(followed) = followed.recv().await {
            apply(&context, event(followed));
        }
        tokio::time::sleep(FOLLOW_RETRY).await;
    }
}

fn event(followed: Followed) -> Event {
    match followed {
        Followed::Entries(entries) => Event::Entries(entries),
        Followed::CaughtUp(offset) => Event::CaughtUp(offset),
        Followed::Lost(first) => Event::Lost(first),
    }
}

/// Feeds the reader and puts in force what came of it.
fn apply(context: &Shared, event: Event) {
    let mut reader = context.config.reader();
    if !reader.apply(event) {
        return;
    }
    let next = reader.state().next;
    let document = reader.document(&context.settings.environment);
    let digest = u64::from_str_radix(&reader.state().digest()[..16], 16).unwrap_or_default();
    context.config.put_head(Head { next, digest });
    context.config.put(InForce { offset: next, document });
}

/// Sends this node's head to the linked nodes at once when it changes. It rides on the probes of
/// the membership too, so that a lost message delays nobody for long.
async fn spread(context: Shared) {
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
            log::debug!("config: can't reach {address}: {error:#}");
        }
    });
}

/// Writes the state to the stream again before the log drops the records that it came from.
async fn carry_forward(context: Shared) {
    let interval = Millis(context.settings.config.checkpoint_ms.max(1));
    let mut seen: Option<Offset> = None;
    let mut since = context.clock.now();
    loop {
        tokio::time::sleep(interval.duration() / 4).await;
        let latest = context.config.reader().checkpoint();
        if latest != seen {
            seen = latest;
            since = context.clock.now();
        }
        let due = context.clock.now() - since >= interval;
        if due && writes_checkpoints(&context) {
            checkpoint(&context).await;
        }
    }
}

fn writes_checkpoints(context: &Shared) -> bool {
    let view = context.membership.view();
    let writer = rendezvous::choose("config checkpoint", view.nodes.keys());
    writer == Some(&context.settings.vm)
}

async fn checkpoint(context: &Shared) {
    let state = {
        let reader = context.config.reader();
        if !reader.caught_up() || reader.state().environments.is_empty() {
            return;
        }
        reader.state().clone()
    };
    let Ok(body) = Operation::Checkpoint(Checkpoint { state }).encode() else { return };
    if let Err(error) = context.journal.append(&stream(), vec![body]).await {
        log::debug!("config: no checkpoint was confirmed: {error}");
    }
}

/// How far each live node has folded the stream, as far as it answers.
pub(crate) async fn heads(context: &Shared) -> Vec<(Vm, Option<Offset>)> {
    let view = context.membership.view();
    let asks = view.nodes.iter().map(|(vm, node)| {
        let context: Arc<_> = context.clone();
        let (vm, address) = (vm.clone(), node.address);
        async move {
            if vm == context.settings.vm {
                return (vm, Some(context.config.head().next));
            }
            let ask = PeerMessage::Config(Message::Ask);
            match context.peer.call(address, ask).await {
                Ok(PeerMessage::Config(Message::Head(head))) => (vm, Some(head.next)),
                _ => (vm, None),
            }
        }
    });
    futures_util::future::join_all(asks).await
}
