//! The tasks of this slice: they feed its state and carry out what it decides.

use std::net::SocketAddr;

use crate::{id::Vm, node::Shared, peer::message::Message as PeerMessage};

use super::{intents, message::Message, spread};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(spread::exchange(context.clone()));
    intents::start(context);
    Ok(())
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    context: &Shared,
    _from: (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Suspects(suspects) => {
            let now = context.clock.now();
            context.attempt.node().quarantine.merge(now, suspects);
        }
        Message::Ask => {
            let incarnation = context.incarnation;
            return PeerMessage::Attempt(Message::Runs { incarnation });
        }
        Message::Reserve(ticket) => {
            let verdict = context.attempt.apart.reserve(context.clock.now(), ticket);
            return PeerMessage::Attempt(Message::Reservation(verdict));
        }
        Message::Release(ticket) => context.attempt.apart.release(&ticket),
        Message::Runs { .. } | Message::Reservation(_) => {}
    }
    PeerMessage::Done
}
