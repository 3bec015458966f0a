//! Tells the other nodes which requests crash upstreams.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{node::Shared, peer::message::Message as PeerMessage};

use super::{message::Message, quarantine::Suspect};

/// Suspects that one datagram carries.
const SUSPECTS_PER_DATAGRAM: usize = 6;
/// Time between two exchanges of everything known with a node drawn at random.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(2_000);

/// Tells all nodes what has changed.
pub(super) fn tell(context: &Shared, news: Vec<Suspect>) {
    if news.is_empty() {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        for address in others(&context) {
            send(&context, address, &news).await;
        }
    });
}

/// Tells what datagrams may have lost, now and then.
pub(super) async fn exchange(context: Shared) {
    let mut ticks = tokio::time::interval(EXCHANGE_PERIOD);
    let mut rng = SmallRng::seed_from_u64(context.incarnation.0);
    loop {
        ticks.tick().await;
        let all = context.attempt.node().quarantine.suspects(context.clock.now());
        let others = others(&context);
        if all.is_empty() || others.is_empty() {
            continue;
        }
        let chosen = others[rng.random_range(0..others.len())];
        send(&context, chosen, &all).await;
    }
}

async fn send(context: &Shared, address: SocketAddr, suspects: &[Suspect]) {
    for part in suspects.chunks(SUSPECTS_PER_DATAGRAM) {
        let message = PeerMessage::Attempt(Message::Suspects(part.to_vec()));
        if let Err(error) = context.peer.send(address, message).await {
            log::debug!("attempt: suspects were not sent to {address}: {error}");
        }
    }
}

fn others(context: &Shared) -> Vec<SocketAddr> {
    let view = context.membership.view();
    let others = view.nodes.iter().filter(|(vm, _)| **vm != context.settings.vm);
    others.map(|(_, node)| node.address).collect()
}
