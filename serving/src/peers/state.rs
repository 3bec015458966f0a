//! Known peers of a node, and the schedule and recipients of its gossip messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    collector::DataCentreDigest,
    id::{Incarnation, Vm},
    time::Millis,
};

use super::{Message, Settings};

/// Number of collectors of a data centre; the loss of one costs nothing.
const COLLECTOR_COUNT: usize = 2;
/// Number of places by which the first recipient moves from one message to the next. It shares no factor
/// with most numbers of peers, so that each peer is among the first ones soon.
const RECIPIENT_STRIDE: usize = 97;

#[derive(Clone, Debug)]
struct Peer {
    /// VM, incarnation and sequence number of the latest message; `None` before the first one.
    latest: Option<(Vm, Incarnation, u64)>,
    /// When the latest message arrived.
    last_message_at: Option<Millis>,
    /// When this node received a message from the peer or, in a large fleet, when another peer
    /// introduced it.
    last_seen: Millis,
    /// Whether the peer owned partitions as of its latest message.
    is_owner: bool,
    /// Data centre of the peer, by its own messages or by introductions.
    data_centre: Option<DataCentreDigest>,
}

impl Peer {
    /// A peer of which only the address is known.
    fn discovered(now: Millis) -> Peer {
        Peer {
            latest: None,
            last_message_at: None,
            last_seen: now,
            is_owner: false,
            data_centre: None,
        }
    }
}

/// Recipients of one message, and the peer addresses that it carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    pub recipients: Vec<SocketAddr>,
    pub introductions: Vec<SocketAddr>,
    /// Data centres of `introductions`, in their order.
    pub data_centres: Vec<DataCentreDigest>,
}

/// The peers of a node and the state of its gossip schedule.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    own_address: SocketAddr,
    own_data_centre: DataCentreDigest,
    peers: BTreeMap<SocketAddr, Peer>,
    /// When the last message was sent.
    last_sent: Option<Millis>,
    /// Round-robin position in the list of peers to introduce.
    next_introduction: usize,
    /// When the last message of any peer arrived.
    last_received: Option<Millis>,
    /// When this node, as an owner of partitions, last sent a message to all peers of a large
    /// fleet.
    last_announced: Option<Millis>,
    /// Peers that the group names as owners of partitions. Their own messages may not have arrived
    /// yet, or from before they owned any.
    named_owners: BTreeSet<SocketAddr>,
    /// Position of the first recipient of the next message among those that own no partitions.
    next_first: usize,
}

impl State {
    pub fn new(
        settings: Settings,
        own_address: SocketAddr,
        own_data_centre: DataCentreDigest,
    ) -> State {
        State {
            settings,
            own_address,
            own_data_centre,
            peers: BTreeMap::new(),
            last_sent: None,
            next_introduction: 0,
            last_received: None,
            last_announced: None,
            named_owners: BTreeSet::new(),
            next_first: 0,
        }
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Whether there are too many peers to send each message to all of them.
    fn is_large(&self) -> bool {
        self.peers.len() > self.settings.mesh
    }

    /// Whether this node, if it owns partitions, has to send a message to all peers of a large
    /// fleet.
    fn is_announcement_due(&self, now: Millis, is_owner: bool) -> bool {
        let next = self.last_announced.map(|at| at + Millis(self.settings.announce_ms));
        is_owner && self.is_large() && next.is_none_or(|next| next <= now)
    }

    /// Returns the recipients of the next message.
    ///
    /// In a small fleet, and for an announcement, these are all peers. In a large fleet they are
    /// the owners of partitions, which need the loads of all nodes, and the peers that follow this
    /// node by 1, 2, 4, … places in the order of addresses, through which gossip reaches the whole
    /// fleet in a few rounds.
    ///
    /// The owners come first. The others begin with a different one each time, because a link that is
    /// full drops the last ones.
    fn recipients(&self, is_announcement: bool) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.addresses().collect();
        let is_owner = |(address, peer): &(&SocketAddr, &Peer)| {
            peer.is_owner || self.named_owners.contains(address)
        };
        let owners: BTreeSet<SocketAddr> =
            self.peers.iter().filter(is_owner).map(|(address, _)| *address).collect();
        let mut others = BTreeSet::new();
        if is_announcement || !self.is_large() {
            others.extend(all.iter().copied());
        } else {
            let next = all.partition_point(|address| *address < self.own_address);
            let mut step = 1;
            while step <= all.len() {
                others.insert(all[(next + step - 1) % all.len()]);
                step *= 2;
            }
        }
        let mut others: Vec<SocketAddr> = others.difference(&owners).copied().collect();
        if !others.is_empty() {
            let first = self.next_first % others.len();
            others.rotate_left(first);
        }
        owners.into_iter().chain(others).collect()
    }

    /// Returns up to `max_count` peers for the next message to introduce. Only peers from which
    /// this node itself recently received a message qualify; otherwise nodes would keep introducing
    /// a stopped peer to each other forever.
    fn introductions(&mut self, now: Millis, max_count: usize) -> Vec<SocketAddr> {
        let expiry = Millis(self.settings.expiry_ms);
        let is_recent = |peer: &Peer| peer.last_message_at.is_some_and(|at| now - at < expiry);
        let recent = self.peers.iter().filter(|(_, peer)| is_recent(peer));
        let recent: Vec<SocketAddr> = recent.map(|(address, _)| *address).collect();
        let count = max_count.min(recent.len());
        self.next_introduction = self.next_introduction.wrapping_add(count);
        (0..count).map(|index| recent[(self.next_introduction + index) % recent.len()]).collect()
    }

    /// Starts a gossip round at `now` and returns what to send to whom. `is_owner` says whether
    /// this node owns partitions.
    pub fn start_round(&mut self, now: Millis, is_owner: bool) -> Round {
        self.last_sent = Some(now);
        self.next_first = self.next_first.wrapping_add(RECIPIENT_STRIDE);
        let is_announcement = self.is_announcement_due(now, is_owner);
        let max_introductions = match is_announcement {
            true => self.settings.announced,
            false => self.settings.introductions,
        };
        if is_announcement {
            self.last_announced = Some(now);
        }
        let introductions = self.introductions(now, max_introductions);
        let data_centre =
            |address: &SocketAddr| self.peers[address].data_centre.unwrap_or_default();
        let data_centres = introductions.iter().map(data_centre).collect();
        Round { recipients: self.recipients(is_announcement), introductions, data_centres }
    }

    /// Adds the node at `address` as a peer. In a large fleet, where a node receives messages from
    /// only some of its peers, this also postpones the expiry of a peer that is already known.
    pub fn discover(&mut self, now: Millis, address: SocketAddr) {
        if address == self.own_address {
            return;
        }
        let is_large = self.is_large();
        let peer = self.peers.entry(address).or_insert(Peer::discovered(now));
        if is_large {
            peer.last_seen = now;
        }
    }

    /// Records which nodes the group names as owners of partitions, in place of those that it named
    /// before.
    pub fn name_owners(&mut self, now: Millis, owners: BTreeSet<SocketAddr>) {
        for address in &owners {
            self.discover(now, *address);
        }
        self.named_owners = owners;
    }

    /// Updates the peers from a message. Returns `false`, without any change, for messages of this
    /// node itself and for those that are not newer than the latest one of their sender.
    pub fn handle_message(&mut self, now: Millis, message: &Message) -> bool {
        if message.address == self.own_address {
            return false;
        }
        let peer = self.peers.entry(message.address).or_insert(Peer::discovered(now));
        let version = (message.incarnation, message.sequence);
        let is_outdated = peer
            .latest
            .as_ref()
            .is_some_and(|(_, incarnation, sequence)| (*incarnation, *sequence) >= version);
        if is_outdated {
            return false;
        }
        peer.latest = Some((message.vm.clone(), message.incarnation, message.sequence));
        peer.last_message_at = Some(now);
        peer.last_seen = now;
        peer.is_owner = !message.owned.is_empty();
        // Messages of older nodes name none.
        if message.data_centre != DataCentreDigest::default() {
            peer.data_centre = Some(message.data_centre);
        }
        self.last_received = Some(now);
        let named = |digest: &DataCentreDigest| {
            Some(*digest).filter(|digest| *digest != DataCentreDigest::default())
        };
        let data_centres = message.data_centres.iter().map(named).chain(std::iter::repeat(None));
        for (address, data_centre) in message.peers.iter().zip(data_centres) {
            self.discover(now, *address);
            if let Some(peer) = self.peers.get_mut(address) {
                peer.data_centre = peer.data_centre.or(data_centre);
            }
        }
        if message.leaving {
            self.peers.remove(&message.address);
        }
        true
    }

    /// The collectors of this node's data centre, which may include this node, and the one of each
    /// other data centre to which this node sends its sum if it is a collector. None in a small fleet,
    /// where gossip reaches all peers.
    ///
    /// Collectors of the same rank exchange their sums. If one is lost, the others of its rank know
    /// fewer nodes, and members use the sums of the next rank.
    pub fn collectors(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        if !self.is_large() {
            return (Vec::new(), Vec::new());
        }
        let mut data_centres: BTreeMap<DataCentreDigest, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        let known =
            self.peers.iter().filter_map(|(address, peer)| Some((peer.data_centre?, *address)));
        for (data_centre, address) in known.chain([(self.own_data_centre, self.own_address)]) {
            let draw = xxh3_64(address.to_string().as_bytes());
            data_centres.entry(data_centre).or_default().push((draw, address));
        }
        for candidates in data_centres.values_mut() {
            candidates.sort();
            candidates.truncate(COLLECTOR_COUNT);
        }
        let own = data_centres.remove(&self.own_data_centre).unwrap_or_default();
        let rank = own.iter().position(|(_, address)| *address == self.own_address).unwrap_or(0);
        let same_rank = |candidates: &Vec<(u64, SocketAddr)>| {
            candidates.get(rank).or(candidates.last()).map(|(_, address)| *address)
        };
        let others = data_centres.values().filter_map(same_rank).collect();
        (own.into_iter().map(|(_, address)| address).collect(), others)
    }

    /// Time since the last message from any peer; `None` before the first message.
    pub fn time_since_last_message(&self, now: Millis) -> Option<Millis> {
        self.last_received.map(|at| now - at)
    }

    /// Removes and returns the peers that have not been seen for `expiry_ms`.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddr> {
        let expiry = Millis(self.settings.expiry_ms);
        let expired: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| now - peer.last_seen >= expiry)
            .map(|(address, _)| *address)
            .collect();
        for address in &expired {
            self.peers.remove(address);
        }
        expired
    }

    /// When the next round is due. `has_changed` says whether the loads or the owned partitions
    /// have changed since the last round.
    pub fn next_round_at(&self, has_changed: bool) -> Millis {
        let Some(last_sent) = self.last_sent else { return Millis(0) };
        if self.is_large() {
            return last_sent + Millis(self.settings.large_ms);
        }
        let per_peer = self.settings.change_per_peer_ms * self.peers.len() as u64;
        let change_interval = self.settings.change_ms + per_peer;
        let interval = match has_changed {
            true => change_interval.min(self.settings.heartbeat_ms),
            false => self.settings.heartbeat_ms,
        };
        last_sent + Millis(interval)
    }
}
