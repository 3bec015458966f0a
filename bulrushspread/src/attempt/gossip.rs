//! Spreads the requests that crash upstreams to the other nodes.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{node::Shared, peer::message::Message as PeerMessage};

use super::{message::Message, quarantine::Suspect};

/// Maximum number of suspects in one datagram.
const SUSPECTS_PER_DATAGRAM: usize = 6;
/// Time between two transfers of all suspects to a random node.
const ANTI_ENTROPY_PERIOD: Duration = Duration::from_millis(2_000);

/// Sends changed suspects to all other nodes.
pub(super) fn broadcast(context: &Shared, updates: Vec<Suspect>) {
    if updates.is_empty() {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        for address in peer_addresses(&context) {
            send(&context, address, &updates).await;
        }
    });
}

/// Sends all suspects to a random node periodically, because datagrams of `broadcast` may be lost.
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
