//! Starts and stops the tasks of batch processing and dispatches its messages.

use std::net::SocketAddr;

use crate::{id::Vm, node::Shared, peer::message::Message as PeerMessage};

use super::{message::Message, owner, runner};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of batch processing.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    owner::task::start(context).await?;
    runner::task::start(context).await
}

/// Stops the runner and the partition owner, and waits until nothing is in flight.
pub(crate) async fn stop(context: &Shared) {
    runner::task::stop(context).await;
    owner::task::stop(context).await;
}

/// Handles a message of another node and returns the reply.
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
        Message::Yield(notice) => runner::task::handle_yield(context, &vm, notice),
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
