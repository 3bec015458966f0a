//! Measures what membership costs one node at several sizes of the fleet.
//!
//! All states run in one thread with simulated time and links of a few milliseconds; the first
//! node's messages are counted and its decisions timed. One node fails in each minute of the
//! counted time. Prints one JSON line per size and start. Bytes include the estimated overhead
//! of QUIC, UDP and IP.

use std::{
    collections::BTreeMap,
    fs,
    hint::black_box,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushspread::{
    id::{DataCentre, Incarnation, Vm},
    membership::{
        Settings, State,
        message::{Message, Version},
        state::{Action, Event},
    },
    peer,
    peer::message::Envelope,
    time::Millis,
    vms::{Listed, Phase, Role},
};
use serde_json::json;

/// Sizes of the fleet.
const SIZES: [usize; 3] = [12, 100, 350];
/// Start of the counted time: while updates of the simultaneous start are still gossiped, and long
/// after it.
const STARTS_MS: [u64; 2] = [20_000, 400_000];
/// Simulated time for which messages are counted after each start.
const MEASURED_MS: u64 = 120_000;
const TICK_MS: u64 = 50;
const LINK_MS: u64 = 3;
const DEATH_INTERVAL_MS: u64 = 60_000;
/// Bytes of a datagram's headers: QUIC short header, tag and frame, UDP and IP.
const HEADER_BYTES: usize = 60;
/// Bytes of the packet that acknowledges a datagram.
const ACKNOWLEDGEMENT_BYTES: usize = 62;
/// Clones of a state whose memory is measured together.
const CLONES: usize = 500;
/// Clones made before, which use up the memory that the process holds free.
const CLONES_BEFORE: usize = 3_000;
const PAGE_BYTES: usize = 4_096;

fn main() {
    for nodes in SIZES {
        let mut fleet = Fleet::new(nodes);
        for start in STARTS_MS {
            fleet.run(start - fleet.now);
            println!("{}", measure(nodes, &mut fleet));
        }
    }
}

fn measure(nodes: usize, fleet: &mut Fleet) -> serde_json::Value {
    fleet.cost = Cost::default();
    let start = fleet.now;
    while fleet.now < start + MEASURED_MS {
        fleet.run(DEATH_INTERVAL_MS);
        let last = fleet.states.keys().next_back().copied();
        last.and_then(|address| fleet.states.remove(&address));
    }
    let seconds = (fleet.now - start) as f64 / 1_000.0;
    let first = &fleet.states[&address(0)];
    let per_second = |bytes: usize| (bytes as f64 / seconds).round();
    json!({
        "nodes": nodes,
        "from_s": start / 1_000,
        "seen": first.view().nodes.len(),
        "messages_sent_per_s": fleet.cost.sent as f64 / seconds,
        "bytes_sent_per_s": per_second(fleet.cost.sent_bytes),
        "bytes_received_per_s": per_second(fleet.cost.received_bytes),
        "cpu_us_per_s": fleet.cost.time.as_micros() as f64 / seconds,
        "state_bytes": state_bytes(first),
    })
}

/// What the first node sends, receives and computes.
#[derive(Default)]
struct Cost {
    sent: usize,
    sent_bytes: usize,
    received_bytes: usize,
    time: Duration,
}

struct Fleet {
    now: u64,
    states: BTreeMap<SocketAddr, State>,
    due: BTreeMap<(u64, u64), (SocketAddr, Event)>,
    sequence: u64,
    cost: Cost,
}

impl Fleet {
    fn new(nodes: usize) -> Fleet {
        let states = (0..nodes).map(|index| (address(index), state(index))).collect();
        let mut fleet =
            Fleet { now: 0, states, due: BTreeMap::new(), sequence: 0, cost: Cost::default() };
        let listed: Vec<Listed> = (0..nodes).map(entry).collect();
        for to in fleet.addresses() {
            fleet.feed(to, Event::Listed(listed.clone()));
        }
        fleet
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.states.keys().copied().collect()
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            for to in self.addresses() {
                self.feed(to, Event::Tick);
            }
            self.now += TICK_MS;
            while let Some(due) = self.due.first_entry().filter(|due| due.key().0 <= self.now) {
                let (to, event) = due.remove();
                self.feed(to, event);
            }
        }
    }

    fn feed(&mut self, to: SocketAddr, event: Event) {
        let Some(state) = self.states.get_mut(&to) else { return };
        let start = Instant::now();
        let actions = state.apply(Millis(self.now), event);
        let spent = start.elapsed();
        if to == address(0) {
            self.cost.time += spent;
        }
        for action in actions {
            match action {
                Action::Send { to: peer, message } => self.send(to, peer, message),
                Action::Exchange { to: peer, table } => {
                    let answer = self.states.get(&peer).map(|it| it.table(Millis(self.now)));
                    self.send(to, peer, Message::Table(table));
                    answer.into_iter().for_each(|it| self.send(peer, to, Message::Table(it)));
                }
                Action::PeerHead { .. } | Action::Publish(_) => {}
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let vm = vm(from);
        if from == address(0) || to == address(0) {
            let message = peer::Message::Membership(message.clone());
            let incarnation = Incarnation(u64::from(u32::MAX));
            let envelope = Envelope { from: vm.clone(), incarnation, message };
            let encoded = postcard::to_stdvec(&envelope).expect("messages encode");
            self.count(from == address(0), encoded.len() + HEADER_BYTES);
        }
        self.sequence += 1;
        let event = Event::Received { from: vm, message };
        self.due.insert((self.now + LINK_MS, self.sequence), (to, event));
    }

    fn count(&mut self, sent: bool, bytes: usize) {
        if sent {
            self.cost.sent += 1;
            self.cost.sent_bytes += bytes;
            self.cost.received_bytes += ACKNOWLEDGEMENT_BYTES;
        } else {
            self.cost.received_bytes += bytes;
            self.cost.sent_bytes += ACKNOWLEDGEMENT_BYTES;
        }
    }
}

/// The memory of one state, from the growth of the process by many clones.
fn state_bytes(state: &State) -> usize {
    let filling: Vec<State> = (0..CLONES_BEFORE).map(|_| state.clone()).collect();
    let before = resident_bytes();
    let clones: Vec<State> = (0..CLONES).map(|_| state.clone()).collect();
    let after = resident_bytes();
    black_box((filling, clones));
    after.saturating_sub(before) / CLONES
}

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 4_000))
}

fn vm(address: SocketAddr) -> Vm {
    Vm(format!("entry-{}", address.ip()))
}

fn data_centre(index: usize) -> DataCentre {
    DataCentre(format!("pl-central-{}", index % 12))
}

fn state(index: usize) -> State {
    let version = Version { incarnation: Incarnation(u64::from(u32::MAX)), refutation: 0 };
    let (at, settings) = (address(index), Settings::default());
    State::new(vm(at), at, data_centre(index), version, settings, index as u64)
}

fn entry(index: usize) -> Listed {
    let (address, data_centre) = (address(index), data_centre(index));
    let (phase, role) = (Phase::Live, Role::Entry);
    Listed { vm: vm(address), address, data_centre, phase, role }
}
