//! The tasks of this slice: they feed its state and carry out what it decides.

use std::net::SocketAddr;

use crate::{id::Vm, node::Shared, peer::message::Message as PeerMessage};

use super::{message::Message, owner, runner};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    owner::task::start(context).await?;
    runner::task::start(context).await
}

/// Stops the slice and waits until nothing of it is in flight.
pub(crate) async fn stop(context: &Shared) {
    runner::task::stop(context).await;
    owner::task::stop(context).await;
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    context: &Shared,
    (vm, _): (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Pull(pull) => {
            let grant = owner::task::handle_pull(context, &vm, pull).await;
            return PeerMessage::Batch(Message::Grant(grant));
        }
        Message::Outcomes(outcomes) => {
            if let Err(error) = owner::task::handle_outcomes(context, &vm, outcomes).await {
                return PeerMessage::Failed(error.to_string());
            }
        }
        Message::Stop(stop) => runner::task::handle_stop(context, stop).await,
        Message::Yield(yield_to) => runner::task::handle_yield(context, &vm, yield_to),
        Message::QueryCancelled(partition, job) => {
            let ended = owner::task::is_cancelled(context, partition, &job).await;
            return PeerMessage::Batch(Message::CancelledReply(ended));
        }
        Message::QueryCounts(partition, job) => {
            let counts = owner::task::counts(context, partition, &job).await;
            return PeerMessage::Batch(Message::CountsReply(counts));
        }
        Message::Grant(_) | Message::CancelledReply(_) | Message::CountsReply(_) => {}
    }
    PeerMessage::Done
}
