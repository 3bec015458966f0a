//! The peers that a node knows, and when it tells them something.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    id::{Incarnation, Vm},
    time::Millis,
};

use super::{Message, Settings};

#[derive(Clone, Debug)]
struct Peer {
    /// Unknown until its first message.
    identity: Option<(Vm, Incarnation, u64)>,
    received: Millis,
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
}

impl State {
    pub fn new(settings: Settings, own: SocketAddr) -> State {
        State { settings, own, peers: BTreeMap::new(), last_sent: None, turn: 0, received: None }
    }

    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Another node may be at this address.
    pub fn discover(&mut self, now: Millis, address: SocketAddr) {
        if address != self.own {
            self.peers.entry(address).or_insert(Peer { identity: None, received: now });
        }
    }

    /// A message has come. Tells whether it is news; a late one isn't.
    pub fn receive(&mut self, now: Millis, message: &Message) -> bool {
        if message.address == self.own {
            return false;
        }
        let peer =
            self.peers.entry(message.address).or_insert(Peer { identity: None, received: now });
        let order = (message.incarnation, message.sequence);
        let is_late = peer
            .identity
            .as_ref()
            .is_some_and(|(_, incarnation, sequence)| (*incarnation, *sequence) >= order);
        if is_late {
            return false;
        }
        peer.identity = Some((message.vm.clone(), message.incarnation, message.sequence));
        peer.received = now;
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
            .filter(|(_, peer)| now - peer.received >= expiry)
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
        let per_peer = self.settings.change_per_peer_ms * self.peers.len() as u64;
        let change = self.settings.change_ms + per_peer;
        let interval = match is_changed {
            true => change.min(self.settings.heartbeat_ms),
            false => self.settings.heartbeat_ms,
        };
        sent + Millis(interval)
    }

    /// A message is being sent. Returns the peers that it introduces.
    pub fn introductions(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.last_sent = Some(now);
        let known = self.peers.iter().filter(|(_, peer)| peer.identity.is_some());
        let known: Vec<SocketAddr> = known.map(|(address, _)| *address).collect();
        let count = self.settings.introductions.min(known.len());
        self.turn = self.turn.wrapping_add(count);
        (0..count).map(|index| known[(self.turn + index) % known.len()]).collect()
    }
}
