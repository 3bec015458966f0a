//! Spreads the requests that crash upstreams to the other nodes.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::task::JoinHandle;

use crate::{node::Shared, peer::message::Message as PeerMessage, time::Millis};

use super::{message::Message, quarantine::Suspect};

/// Maximum number of suspects in one datagram.
const SUSPECTS_PER_DATAGRAM: usize = 6;
/// Time between two transfers of all suspects to a random node.
const ANTI_ENTROPY_PERIOD: Duration = Duration::from_millis(2_000);
/// Maximum time for which a response is held back until all nodes have confirmed a report. Enough
/// for a handshake and a request between distant data centres. Nodes that are unreachable for
/// longer leave the view.
const CONFIRMATION_TIMEOUT: Millis = Millis(500);

/// A report of changed suspects to all other nodes. It continues when dropped.
pub(super) struct Report(JoinHandle<()>);

impl Report {
    /// Starts a report to all nodes at once, so that an unreachable one doesn't delay the others.
    pub(super) fn start(context: &Shared, updates: Vec<Suspect>) -> Report {
        let context = context.clone();
        Report(tokio::spawn(async move {
            let peers = peer_addresses(&context);
            join_all(peers.into_iter().map(|address| call(&context, address, &updates))).await;
        }))
    }

    /// Waits until each node has confirmed the report or failed to, for at most `limit` and
    /// `CONFIRMATION_TIMEOUT`.
    pub(super) async fn wait(self, limit: Millis) {
        let timeout = limit.min(CONFIRMATION_TIMEOUT);
        if tokio::time::timeout(timeout.duration(), self.0).await.is_err() {
            log::debug!("attempt: not all nodes confirmed a report of suspects in {timeout}");
        }
    }
}

/// Sends all suspects to a random node periodically, because nodes may be unreachable during a
/// report.
pub(super) async fn run_anti_entropy(context: Shared) {
    let mut ticks = tokio::time::interval(ANTI_ENTROPY_PERIOD);
    let mut rng = SmallRng::seed_from_u64(context.incarnation.0);
    loop {
        ticks.tick().await;
        let all = context.attempt.node().quarantine.suspects(context.clock.now());
        let peers = peer_addresses(&context);
        if all.is_empty() || peers.is_empty() {
            continue;
        }
        let chosen = peers[rng.random_range(0..peers.len())];
        send(&context, chosen, &all).await;
    }
}

async fn call(context: &Shared, address: SocketAddr, suspects: &[Suspect]) {
    let message = PeerMessage::Attempt(Message::Suspects(suspects.to_vec()));
    if let Err(error) = context.peer.call(address, message).await {
        log::debug!("attempt: {address} did not confirm a report of suspects: {error}");
    }
}

async fn send(context: &Shared, address: SocketAddr, suspects: &[Suspect]) {
    for chunk in suspects.chunks(SUSPECTS_PER_DATAGRAM) {
        let message = PeerMessage::Attempt(Message::Suspects(chunk.to_vec()));
        if let Err(error) = context.peer.send(address, message).await {
            log::debug!("attempt: suspects were not sent to {address}: {error}");
        }
    }
}

/// Addresses of the other nodes in the view.
fn peer_addresses(context: &Shared) -> Vec<SocketAddr> {
    let view = context.membership.view();
    let peers = view.nodes.iter().filter(|(vm, _)| **vm != context.settings.vm);
    peers.map(|(_, node)| node.address).collect()
}
