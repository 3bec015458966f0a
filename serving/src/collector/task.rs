//! Sends and receives the datagrams between nodes and collectors.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Once, PoisonError},
};

use tokio::{net::UdpSocket, time::sleep};

use crate::{
    balance::pace::{self, Origin},
    peers::Gossip,
    time::Millis,
};

use super::{Collector, Datagram, Envelope, Member, Version, interval_after, state::INTERVAL};

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// The tasks of a node as a member and, if other nodes select it, as a collector.
pub struct Tasks {
    gossip: Arc<Gossip>,
    /// Address of this node for these datagrams.
    address: SocketAddr,
    /// Converts the gossip address of a node to its address for these datagrams.
    convert_address: fn(SocketAddr) -> SocketAddr,
    state: Mutex<State>,
}

struct State {
    member: Member,
    collector: Collector,
    /// When the collector sends its sums next.
    next_sums_at: Millis,
    /// When the collector sent its sums last.
    sums_sent_at: Millis,
    /// When the member last looked for paces to report.
    paces_sent_at: Millis,
}

impl Tasks {
    pub fn new(gossip: Arc<Gossip>, convert_address: fn(SocketAddr) -> SocketAddr) -> Tasks {
        let state = Mutex::new(State {
            member: Member::new(gossip.incarnation),
            collector: Collector::default(),
            next_sums_at: Millis(0),
            sums_sent_at: Millis(0),
            paces_sent_at: Millis(0),
        });
        let address = convert_address(gossip.address);
        Tasks { gossip, address, convert_address, state }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.gossip.context.clock.now()
    }

    /// The datagrams that are due, with their recipients.
    fn take_datagrams(&self) -> Vec<(SocketAddr, Envelope)> {
        let now = self.now();
        let (mut own, mut others) = self.gossip.state().collectors();
        for address in own.iter_mut().chain(&mut others) {
            *address = (self.convert_address)(*address);
        }
        let mut datagrams = Vec::new();
        let mut locked = self.lock();
        let State { member, collector, next_sums_at, sums_sent_at, paces_sent_at } = &mut *locked;
        collector.expire(now);
        let since = std::mem::replace(paces_sent_at, now);
        let (loads, paces) = {
            let balance = self.gossip.context.balance();
            (balance.own_loads().clone(), balance.pace_reports(now, since, Origin::Own))
        };
        let report = match paces.is_empty() {
            true => member.report(now, &loads),
            false => Some(member.report_now(now, &loads)),
        };
        if let Some((version, loads)) = report.filter(|_| !own.is_empty()) {
            for address in own {
                if address == self.address {
                    collector.record_member(now, address, version, loads.clone());
                    continue;
                }
                let datagram = Datagram::Member { version, loads: loads.clone() };
                datagrams.push((address, Envelope { datagram, paces: paces.clone() }));
            }
        }
        if !collector.has_members() || now < *next_sums_at {
            return datagrams;
        }
        let members: Vec<(SocketAddr, Version)> = collector.members().collect();
        let version = member.next_version();
        let member_sum = collector.member_sum();
        let sum = collector.fleet_sum(self.gossip.data_centre);
        let bytes = (members.len() + others.len()) * sum.encoded_len();
        let Some(interval) = interval_after(bytes) else {
            static TOO_LARGE: Once = Once::new();
            TOO_LARGE.call_once(|| {
                log::warn!(members = members.len(), upstreams = sum.loads.len(), bytes = bytes; "loads of the fleet not sent: too many for the members");
            });
            return datagrams;
        };
        *next_sums_at = now + interval;
        let since = std::mem::replace(sums_sent_at, now);
        drop(locked);
        let paces_up_to =
            |farthest: Origin| self.gossip.context.balance().pace_reports(now, since, farthest);
        let paces = paces_up_to(Origin::Node);
        for address in others {
            let (data_centre, sum) = (self.gossip.data_centre, member_sum.clone());
            let datagram = Datagram::DataCentre { version, data_centre, sum };
            datagrams.push((address, Envelope { datagram, paces: paces.clone() }));
        }
        let paces = paces_up_to(Origin::Fleet);
        for (address, included) in members {
            let datagram = Datagram::Fleet { version, included, sum: sum.clone() };
            if address == self.address {
                self.handle(address, datagram, &[]);
                continue;
            }
            datagrams.push((address, Envelope { datagram, paces: paces.clone() }));
        }
        datagrams
    }

    fn handle(&self, from: SocketAddr, datagram: Datagram, paces: &[pace::Report]) {
        let now = self.now();
        self.gossip.context.balance().update_paces(now, datagram.pace_origin(), paces);
        let mut locked = self.lock();
        let State { member, collector, .. } = &mut *locked;
        match datagram {
            Datagram::Member { version, loads } => {
                collector.record_member(now, from, version, loads);
            }
            Datagram::DataCentre { version, data_centre, sum } => {
                collector.record_data_centre(now, from, version, data_centre, sum);
            }
            Datagram::Fleet { version, included, sum } => {
                if let Some(loads) = member.apply(now, from, version, included, sum) {
                    drop(locked);
                    self.gossip.context.balance().update_fleet_loads(now, loads);
                }
            }
        }
    }
}

/// Exchanges datagrams with collectors and members; does not return.
pub async fn run(tasks: Arc<Tasks>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(receive(Arc::clone(&tasks), Arc::clone(&socket)));
    loop {
        sleep(INTERVAL.duration()).await;
        for (address, envelope) in tasks.take_datagrams() {
            let bytes = match envelope.encode() {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::error!(error:% = error; "failed to encode loads");
                    continue;
                }
            };
            if let Err(error) = socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, error:% = error; "failed to send loads to peer");
            }
        }
    }
}

async fn receive(tasks: Arc<Tasks>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "failed to receive loads");
                continue;
            }
        };
        match Envelope::decode(&buffer[..length]) {
            Ok(envelope) => tasks.handle(from, envelope.datagram, &envelope.paces),
            Err(error) => {
                log::warn!(peer:% = from, error:% = error, bytes = length; "failed to decode loads")
            }
        }
    }
}
