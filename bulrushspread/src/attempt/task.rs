//! Background tasks and the handler of messages from other nodes.

use std::net::SocketAddr;

use crate::{id::Vm, node::Shared, peer::message::Message as PeerMessage};

use super::{gossip, intents, message::Message};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the background tasks.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(gossip::run_anti_entropy(context.clone()));
    intents::start(context);
    Ok(())
}

/// Handles a message of another node and returns the response.
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
        Message::GetIncarnation => {
            let incarnation = context.incarnation;
            return PeerMessage::Attempt(Message::CurrentIncarnation { incarnation });
        }
        Message::Reserve(ticket) => {
            let decision = context.attempt.reservations.reserve(context.clock.now(), ticket);
            return PeerMessage::Attempt(Message::Reservation(decision));
        }
        Message::Release(ticket) => context.attempt.reservations.release(&ticket),
        Message::CurrentIncarnation { .. } | Message::Reservation(_) => {}
    }
    PeerMessage::Done
}
