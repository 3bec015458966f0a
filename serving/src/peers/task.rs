//! Sends and receives gossip datagrams.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::{net::UdpSocket, time::sleep};

use crate::{
    balance::{Loads, pace::Origin},
    batch::{Group, quota::Report},
    collector::DataCentreDigest,
    exchange::Context,
    forward::Offer,
    id::{Incarnation, Vm},
    time::Millis,
    uplink::Health,
};

use super::{Message, Round, State};

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Limit of suspects in one message; each takes some 50 bytes.
const MAX_SUSPECTS: usize = 12;
/// Bytes that are sent at once. A message to all peers of a large fleet is longer than a link of 30 Mbit/s
/// queues, and what doesn't fit is dropped.
const MAX_BURST_BYTES: usize = 16 << 10;
/// Pause after that many bytes, which such a link sends in less time.
const BURST_PAUSE: Millis = Millis(10);
/// Interval at which the state of this node is checked for changes.
const POLL_INTERVAL: Millis = Millis(10);

/// In-flight requests, and owned partitions with their queued tokens. A change of these brings the
/// next gossip round forward.
type Update = (Loads, Vec<(u16, Report)>);

/// Builds the gossip messages of this node and applies those of its peers.
pub struct Gossip {
    pub vm: Vm,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    /// Address at which this node takes requests to forward.
    pub forward_address: SocketAddr,
    pub data_centre: DataCentreDigest,
    /// Set while the node stops: it takes no more requests to forward.
    pub is_stopping: Arc<AtomicBool>,
    pub state: Mutex<State>,
    pub context: Arc<Context>,
    pub group: Arc<Group>,
}

impl Gossip {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn build_message(
        &self,
        sequence: u64,
        update: Update,
        round: Round,
        now: Millis,
        last_sent_at: Millis,
    ) -> Message {
        let Round { recipients, introductions, data_centres } = round;
        let (loads, owned) = update;
        let (health, can_forward) = {
            let uplink = self.context.uplink();
            (uplink.health(), uplink.can_forward(now))
        };
        let (ejected, limits, paces) = {
            let mut balance = self.context.balance();
            let paces = balance.pace_reports(now, last_sent_at, Origin::Own);
            (balance.own_ejections(now), balance.own_limits(now), paces)
        };
        // Failures that may be those of the node's own path say nothing of upstreams.
        let ejected = if health == Health::Up { ejected } else { Vec::new() };
        let can_forward = can_forward && !self.is_stopping.load(Ordering::Relaxed);
        Message {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence,
            address: self.address,
            loads,
            ejected,
            owned,
            peers: introductions,
            suspects: self.context.quarantine().most_crashes(now, MAX_SUSPECTS),
            leaving: false,
            news: self.context.origins.state().take_news(now, &recipients),
            parts: self.context.parts().take_report(now),
            limits,
            data_centre: self.data_centre,
            data_centres,
            offer: Some(Offer { address: self.forward_address, can_forward }),
            forwarders: self.context.forwarders.state().notices(now, &mut rand::rng()),
            paces,
        }
    }

    fn handle_message(&self, message: Message) {
        let now = self.context.clock.now();
        // News stays true however late it arrives.
        self.context.origins.state().merge(now, message.news.clone());
        if !self.state().handle_message(now, &message) {
            return;
        }
        {
            let mut forwarders = self.context.forwarders.state();
            forwarders.merge(now, self.forward_address, &message.forwarders);
            if let Some(offer) = message.offer {
                forwarders.record_offer(now, offer, message.data_centre);
            }
        }
        {
            let mut balance = self.context.balance();
            balance.update_loads(now, &message.vm, message.loads);
            balance.update_paces(now, Origin::Node, &message.paces);
        }
        self.context.merge_ejections(now, &message.vm, &message.ejected);
        self.context.quarantine().merge(now, message.suspects);
        self.context.merge_parts(now, message.parts);
        self.context.merge_limits(now, &message.vm, message.incarnation, message.limits);
        self.group.apply_peer_reports(message.address, message.owned);
    }
}

/// Exchanges gossip with the peers; does not return.
pub async fn run(gossip: Arc<Gossip>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(receive(Arc::clone(&gossip), Arc::clone(&socket)));
    let mut sequence = 0;
    let mut last_update = Update::default();
    let mut last_sent_at = Millis(0);
    loop {
        sleep(POLL_INTERVAL.duration()).await;
        let now = gossip.context.clock.now();
        let update = (gossip.context.balance().own_loads().clone(), gossip.group.reports());
        let has_changed = update != last_update || gossip.context.parts().has_updates();
        if now < gossip.state().next_round_at(has_changed) {
            continue;
        }
        for address in gossip.state().expire(now) {
            log::info!(peer:% = address; "peer removed: no message before expiry");
        }
        sequence += 1;
        last_update = update.clone();
        let round = gossip.state().start_round(now, !update.1.is_empty());
        let recipients = round.recipients.clone();
        let message = gossip.build_message(sequence, update, round, now, last_sent_at);
        last_sent_at = now;
        send(&socket, &message, recipients).await;
    }
}

async fn send(socket: &UdpSocket, message: &Message, recipients: Vec<SocketAddr>) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "failed to encode gossip message");
            return;
        }
    };
    let mut sent_bytes = 0;
    for address in recipients {
        if sent_bytes >= MAX_BURST_BYTES {
            sleep(BURST_PAUSE.duration()).await;
            sent_bytes = 0;
        }
        sent_bytes += bytes.len();
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address, error:% = error; "failed to send gossip message to peer");
        }
    }
}

async fn receive(gossip: Arc<Gossip>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(error:% = error; "failed to receive gossip message");
                continue;
            }
        };
        match Message::decode(&buffer[..length]) {
            Ok(message) => gossip.handle_message(message),
            Err(error) => {
                log::warn!(error:% = error, bytes = length; "failed to decode gossip message")
            }
        }
    }
}
