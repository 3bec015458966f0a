//! The tasks of this slice: they feed its state and carry out what it decides.

use std::net::SocketAddr;

use crate::{id::Vm, node::Shared, peer::message::Message as PeerMessage};

use super::message::Message;

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of the slice.
pub(crate) async fn start(_context: &Shared) -> Result<()> {
    Ok(())
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    _context: &Shared,
    _from: (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {}
}
