//! The peers that a node knows, and when it tells them something.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    id::{Incarnation, Vm},
    time::Millis,
};

use super::{Message, Settings};

#[derive(Clone, Debug)]
struct Peer {
    /// Unknown until its first message.
    identity: Option<(Vm, Incarnation, u64)>,
    /// When its last message came.
    heard: Option<Millis>,
    /// When it was heard, here or by a peer that introduced it.
    alive: Millis,
    /// Whether it owned partitions when it told last.
    is_owner: bool,
}

impl Peer {
    fn unheard(now: Millis) -> Peer {
        Peer { identity: None, heard: None, alive: now, is_owner: false }
    }
}

/// To whom a message goes, and which peers it names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    pub recipients: Vec<SocketAddr>,
    pub introductions: Vec<SocketAddr>,
}

/// What a node knows of its peers.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    own: SocketAddr,
    peers: BTreeMap<SocketAddr, Peer>,
    /// When the last message was sent.
    last_sent: Option<Millis>,
    /// Which peers are introduced next.
    turn: usize,
    /// When the last message of any peer came.
    received: Option<Millis>,
    /// When this node, as an owner of partitions, told all peers last.
    announced: Option<Millis>,
}

impl State {
    pub fn new(settings: Settings, own: SocketAddr) -> State {
        State {
            settings,
            own,
            peers: BTreeMap::new(),
            last_sent: None,
            turn: 0,
            received: None,
            announced: None,
        }
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Whether there are too many peers to tell each of them everything.
    fn is_large(&self) -> bool {
        self.peers.len() > self.settings.mesh
    }

    /// Whether this node, which owns partitions, is to tell all peers of a large fleet.
    fn is_announcing(&self, now: Millis, is_owner: bool) -> bool {
        let announced = self.announced.map(|at| at + Millis(self.settings.announce_ms));
        is_owner && self.is_large() && announced.is_none_or(|next| next <= now)
    }

    /// Where the next message goes: to all peers of a small fleet. In a large one to the owners of
    /// partitions, which need the loads of all nodes, and to peers 1, 2, 4, … places on in the
    /// order of addresses, by which news reach everybody in a few rounds. An owner tells everybody
    /// from time to time.
    fn recipients(&self, is_announcing: bool) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.addresses().collect();
        if is_announcing || !self.is_large() {
            return all;
        }
        let owners = self.peers.iter().filter(|(_, peer)| peer.is_owner);
        let mut recipients: BTreeSet<SocketAddr> = owners.map(|(address, _)| *address).collect();
        let next = all.partition_point(|address| *address < self.own);
        let mut step = 1;
        while step <= all.len() {
            recipients.insert(all[(next + step - 1) % all.len()]);
            step *= 2;
        }
        recipients.into_iter().collect()
    }

    /// Peers that the next message introduces: only those that were heard of late, so that one
    /// that has ended isn't passed on for ever.
    fn introductions(&mut self, now: Millis, most: usize) -> Vec<SocketAddr> {
        let expiry = Millis(self.settings.expiry_ms);
        let is_alive = |peer: &Peer| peer.heard.is_some_and(|heard| now - heard < expiry);
        let alive = self.peers.iter().filter(|(_, peer)| is_alive(peer));
        let alive: Vec<SocketAddr> = alive.map(|(address, _)| *address).collect();
        let count = most.min(alive.len());
        self.turn = self.turn.wrapping_add(count);
        (0..count).map(|index| alive[(self.turn + index) % alive.len()]).collect()
    }

    /// A message is being sent.
    pub fn send(&mut self, now: Millis, is_owner: bool) -> Round {
        self.last_sent = Some(now);
        let is_announcing = self.is_announcing(now, is_owner);
        let most = match is_announcing {
            true => self.settings.announced,
            false => self.settings.introductions,
        };
        if is_announcing {
            self.announced = Some(now);
        }
        let introductions = self.introductions(now, most);
        Round { recipients: self.recipients(is_announcing), introductions }
    }

    /// Another node may be at this address. In a large fleet, where most peers aren't heard here,
    /// it counts as alive while others say so.
    pub fn discover(&mut self, now: Millis, address: SocketAddr) {
        if address == self.own {
            return;
        }
        let is_large = self.is_large();
        let peer = self.peers.entry(address).or_insert(Peer::unheard(now));
        if is_large {
            peer.alive = now;
        }
    }

    /// A message has come. Tells whether it is news; a late one isn't.
    pub fn receive(&mut self, now: Millis, message: &Message) -> bool {
        if message.address == self.own {
            return false;
        }
        let peer = self.peers.entry(message.address).or_insert(Peer::unheard(now));
        let order = (message.incarnation, message.sequence);
        let is_late = peer
            .identity
            .as_ref()
            .is_some_and(|(_, incarnation, sequence)| (*incarnation, *sequence) >= order);
        if is_late {
            return false;
        }
        peer.identity = Some((message.vm.clone(), message.incarnation, message.sequence));
        peer.heard = Some(now);
        peer.alive = now;
        peer.is_owner = !message.owned.is_empty();
        self.received = Some(now);
        for address in &message.peers {
            self.discover(now, *address);
        }
        if message.leaving {
            self.peers.remove(&message.address);
        }
        true
    }

    /// How long no message has been received. `None` while none ever was.
    pub fn silence(&self, now: Millis) -> Option<Millis> {
        self.received.map(|received| now - received)
    }

    /// Forgets peers that have been silent for too long.
    pub fn expire(&mut self, now: Millis) -> Vec<SocketAddr> {
        let expiry = Millis(self.settings.expiry_ms);
        let silent: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, peer)| now - peer.alive >= expiry)
            .map(|(address, _)| *address)
            .collect();
        for address in &silent {
            self.peers.remove(address);
        }
        silent
    }

    /// When the next message is due, if what is told has changed or not.
    pub fn due(&self, is_changed: bool) -> Millis {
        let Some(sent) = self.last_sent else { return Millis(0) };
        if self.is_large() {
            return sent + Millis(self.settings.large_ms);
        }
        let per_peer = self.settings.change_per_peer_ms * self.peers.len() as u64;
        let change = self.settings.change_ms + per_peer;
        let interval = match is_changed {
            true => change.min(self.settings.heartbeat_ms),
            false => self.settings.heartbeat_ms,
        };
        sent + Millis(interval)
    }
}
