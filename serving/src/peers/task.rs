//! Sends and receives the datagrams between nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{net::UdpSocket, time::sleep};

use crate::{
    balance::Loads,
    batch::{Group, quota::Report},
    exchange::Context,
    id::{Incarnation, Vm},
    time::Millis,
};

use super::{Message, Round, State};

/// The largest datagram that is read.
const DATAGRAM_BYTES: usize = 16 << 10;
/// Suspects in one message at most; each takes some 50 bytes.
const SUSPECTS: usize = 12;
/// How often changes are looked for.
const LOOK: Millis = Millis(10);

/// What is told as soon as it changes: requests in flight, and partitions with their tokens.
type Told = (Loads, Vec<(u16, Report)>);

/// What is told to peers, and where their news go.
pub struct Sources {
    pub vm: Vm,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub state: Mutex<State>,
    pub context: Arc<Context>,
    pub group: Arc<Group>,
}

impl Sources {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn message(&self, sequence: u64, told: Told, peers: Vec<SocketAddr>, now: Millis) -> Message {
        let (loads, owned) = told;
        Message {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence,
            address: self.address,
            loads,
            ejected: self.context.balance().ejected(now),
            owned,
            peers,
            suspects: self.context.quarantine().worst(now, SUSPECTS),
            leaving: false,
        }
    }

    fn take(&self, message: Message) {
        let now = self.context.clock.now();
        if !self.state().receive(now, &message) {
            return;
        }
        let mut balance = self.context.balance();
        balance.update_loads(now, &message.vm, message.loads);
        balance.update_ejections(now, &message.vm, &message.ejected);
        drop(balance);
        self.context.quarantine().merge(now, message.suspects);
        self.group.apply_peer_reports(message.address, message.owned);
    }
}

/// Exchanges news with peers until the process ends.
pub async fn run(sources: Arc<Sources>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(receive(Arc::clone(&sources), Arc::clone(&socket)));
    let mut sequence = 0;
    let mut told = Told::default();
    loop {
        sleep(LOOK.duration()).await;
        let now = sources.context.clock.now();
        let news = (sources.context.balance().own().clone(), sources.group.reports());
        if now < sources.state().due(news != told) {
            continue;
        }
        for address in sources.state().expire(now) {
            log::info!(peer:% = address; "peer forgotten");
        }
        sequence += 1;
        told = news.clone();
        let Round { recipients, introductions } = sources.state().send(now, !news.1.is_empty());
        let message = sources.message(sequence, news, introductions, now);
        send(&socket, &message, recipients).await;
    }
}

async fn send(socket: &UdpSocket, message: &Message, recipients: Vec<SocketAddr>) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "message to peers can't be encoded");
            return;
        }
    };
    for address in recipients {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address, error:% = error; "message to a peer not sent");
        }
    }
}

async fn receive(sources: Arc<Sources>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!(error:% = error; "message from a peer not received");
                continue;
            }
        };
        match Message::decode(&buffer[..length]) {
            Ok(message) => sources.take(message),
            Err(error) => {
                log::warn!(error:% = error, bytes = length; "message from a peer can't be read")
            }
        }
    }
}
