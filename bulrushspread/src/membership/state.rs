//! The membership state machine: SWIM with Lifeguard's local health score.
//!
//! Each node probes only its neighbours, so that a probe needs no new handshake. The VM list
//! supplies candidates; it neither removes a live node nor revives a dead one.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddr,
};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    config::message::Head,
    id::{DataCentre, Upstream, Vm},
    time::Millis,
    vms::{Listed, Phase, Role},
};

use super::{
    Settings, View,
    gossip::Queue,
    members::{Effect, Members},
    message::{Mark, Member, Message, Payload, Status, Update, Version},
    overlay,
    probes::Probes,
    upstreams::Upstreams,
    view::Node,
};

/// Time between two probes of candidates, which are listed nodes not known to be alive.
const CANDIDATE_INTERVAL: Millis = Millis(5_000);
/// Candidate interval of a node that knows no live node or has not yet probed every candidate.
const BOOTSTRAP_INTERVAL: Millis = Millis(200);

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: Vm,
        message: Message,
    },
    Listed(Vec<Listed>),
    /// This node observed that the upstream is leaving.
    UpstreamLeaving(Upstream),
    /// The configuration offset up to which this node has replayed.
    Head(Head),
    /// This node accepts no new work from now on.
    Drain,
    /// This node shuts down.
    Stop,
}

/// An output of the state machine, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Sends full state as a request; the response is to be applied as a received `Table`.
    Exchange {
        to: SocketAddr,
        table: Vec<Update>,
    },
    /// Another node reported the configuration offset up to which it has replayed.
    PeerHead {
        vm: Vm,
        head: Head,
    },
    /// The view changed.
    Publish(View),
}

/// The membership as one node knows it.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) own: Member,
    pub(super) head: Head,
    pub(super) members: Members,
    upstreams: Upstreams,
    /// Nodes in the latest VM list.
    pub(super) listed: BTreeMap<Vm, (SocketAddr, Phase)>,
    pub(super) gossip: Queue,
    pub(super) probes: Probes,
    /// The neighbours in order of their distance on the ring.
    pub(super) neighbours: Vec<Vm>,
    /// Number of probes that were sent to neighbours so far.
    pub(super) probe_turn: usize,
    /// The candidate that was probed last.
    pub(super) last_candidate: Option<Vm>,
    /// Listed nodes that were probed as candidates at least once.
    pub(super) probed_candidates: BTreeSet<Vm>,
    pub(super) digest: u64,
    next_probe: Millis,
    next_candidate: Millis,
    /// Earliest time of the next exchange of full state; zero until the first exchange.
    pub(super) next_sync: Millis,
    /// Since when digests of other nodes have differed from this node's.
    pub(super) digest_differs_since: Option<Millis>,
    /// The view may have changed since it was last published.
    view_changed: bool,
    pub(super) actions: Vec<Action>,
}

impl State {
    pub fn new(
        vm: Vm,
        address: SocketAddr,
        data_centre: DataCentre,
        version: Version,
        settings: Settings,
        seed: u64,
    ) -> State {
        let own =
            Member { vm, address, data_centre, version, status: Status::Alive, leaving: false };
        State {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            own,
            head: Head::default(),
            members: Members::default(),
            upstreams: Upstreams::default(),
            listed: BTreeMap::new(),
            gossip: Queue::default(),
            probes: Probes::default(),
            neighbours: Vec::new(),
            probe_turn: 0,
            last_candidate: None,
            probed_candidates: BTreeSet::new(),
            digest: 0,
            next_probe: Millis(0),
            next_candidate: Millis(0),
            next_sync: Millis(0),
            digest_differs_since: None,
            view_changed: true,
            actions: Vec::new(),
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.handle_message(now, from, message),
            Event::Listed(listed) => self.handle_vm_list(now, &listed),
            Event::UpstreamLeaving(upstream) => self.mark_leaving(now, &upstream, None),
            Event::Head(head) => self.head = head,
            Event::Drain if !self.own.leaving => {
                self.own.leaving = true;
                self.raise_version(self.own.version);
            }
            Event::Drain => {}
            Event::Stop => self.shut_down(now),
        }
        self.publish();
        mem::take(&mut self.actions)
    }

    /// The full state as updates, for an exchange with another node.
    pub fn table(&self, now: Millis) -> Vec<Update> {
        let members = self.members.iter().chain([&self.own]).cloned().map(Update::Node);
        members.chain(self.upstreams.updates(now)).collect()
    }

    /// The live nodes, including this one, and the upstreams.
    pub fn view(&self) -> View {
        let node = |member: &Member| {
            let listed_leaving =
                self.listed.get(&member.vm).is_some_and(|entry| entry.1 == Phase::Leaving);
            let node = Node {
                address: member.address,
                data_centre: member.data_centre.clone(),
                incarnation: member.version.incarnation,
                leaving: member.leaving || listed_leaving,
            };
            (member.vm.clone(), node)
        };
        let nodes = self.members.live().chain([&self.own]).map(node).collect();
        View { nodes, upstreams: self.upstreams.view() }
    }

    fn tick(&mut self, now: Millis) {
        for outcome in self.probes.expire(now, Millis(self.settings.timeout_ms)) {
            self.handle_outcome(now, outcome);
        }
        for member in self.members.expire(now, &self.own.vm) {
            self.gossip.enqueue_node(member);
            self.view_changed = true;
        }
        self.view_changed |= self.upstreams.expire(now);
        if now >= self.next_probe {
            self.next_probe = now + Millis(self.settings.probe_ms);
            self.probe_next(now);
        }
        if now >= self.next_candidate {
            let bootstrapping =
                self.members.live().next().is_none() || self.has_unprobed_candidate();
            let interval = if bootstrapping { BOOTSTRAP_INTERVAL } else { CANDIDATE_INTERVAL };
            self.next_candidate = now + interval;
            self.probe_candidate(now);
        }
        self.push_updates(now);
    }

    fn handle_message(&mut self, now: Millis, from: Vm, message: Message) {
        match message {
            Message::Probe(payload) => {
                let sequence = payload.sequence;
                let to = payload.member.address;
                self.apply_payload(now, from.clone(), payload);
                let ack = Message::Ack(self.build_payload(now, sequence, &from));
                self.actions.push(Action::Send { to, message: ack });
            }
            Message::Ack(payload) => {
                let outcome = self.probes.handle_ack(payload.sequence, &payload.member.vm);
                self.apply_payload(now, from, payload);
                if let Some(outcome) = outcome {
                    self.handle_outcome(now, outcome);
                }
            }
            Message::IndirectProbe { sequence, target } => {
                self.relay_probe(now, from, sequence, &target)
            }
            Message::Nack { sequence } => self.probes.handle_nack(sequence),
            Message::Updates(updates) | Message::Table(updates) => self.apply_updates(now, updates),
        }
    }

    fn apply_payload(&mut self, now: Millis, from: Vm, payload: Payload) {
        self.apply_member(now, payload.member);
        self.apply_updates(now, payload.updates);
        self.compare_digest(now, &from, payload.digest);
        self.actions.push(Action::PeerHead { vm: from, head: payload.head });
    }

    fn apply_updates(&mut self, now: Millis, updates: Vec<Update>) {
        for update in updates {
            match update {
                Update::Node(member) => self.apply_member(now, member),
                Update::Upstream(Mark { upstream, remaining }) => {
                    self.mark_leaving(now, &upstream, Some(remaining));
                }
            }
        }
    }

    pub(super) fn apply_member(&mut self, now: Millis, member: Member) {
        if member.vm == self.own.vm {
            return self.refute(member);
        }
        let suspicion = Millis(self.settings.suspicion_ms);
        match self.members.apply(now, member.clone(), suspicion) {
            Effect::Ignored => {}
            Effect::Gossip => self.gossip.enqueue_node(member),
            Effect::Changed => {
                self.gossip.enqueue_node(member);
                self.view_changed = true;
            }
        }
    }

    /// Refutes wrong updates on this node.
    fn refute(&mut self, member: Member) {
        let refutable = member.status != Status::Alive && member.version >= self.own.version;
        if refutable {
            self.probes.worsen_health();
        }
        if refutable || member.version > self.own.version {
            self.raise_version(member.version);
        }
    }

    fn raise_version(&mut self, above: Version) {
        let above = above.max(self.own.version);
        self.own.version = Version { refutation: above.refutation + 1, ..above };
        self.gossip.enqueue_node(self.own.clone());
        self.view_changed = true;
    }

    fn mark_leaving(&mut self, now: Millis, upstream: &Upstream, remaining: Option<Millis>) {
        let expiry = match remaining {
            Some(remaining) => self.upstreams.mark(now, upstream, remaining),
            None => self.upstreams.mark_observed(now, upstream),
        };
        if let Some(expiry) = expiry {
            self.gossip.enqueue_upstream(upstream.clone(), expiry);
            self.view_changed = true;
        }
    }

    fn handle_vm_list(&mut self, now: Millis, listed: &[Listed]) {
        if listed.is_empty() {
            return;
        }
        let entries = listed.iter().filter(|entry| entry.role == Role::Entry);
        self.listed =
            entries.map(|entry| (entry.vm.clone(), (entry.address, entry.phase))).collect();
        self.probed_candidates.retain(|vm| self.listed.contains_key(vm));
        for upstream in self.upstreams.update_listed(now, listed) {
            self.mark_leaving(now, &upstream, None);
        }
        self.view_changed = true;
    }

    fn shut_down(&mut self, now: Millis) {
        self.own.leaving = true;
        self.own.status = Status::Dead { by: self.own.vm.clone() };
        self.raise_version(self.own.version);
        self.push_updates(now);
    }

    /// Sends updates that were not pushed yet to the neighbours.
    fn push_updates(&mut self, now: Millis) {
        for updates in self.gossip.take_unpushed(now) {
            for vm in &self.neighbours {
                let Some(member) = self.members.get_live(vm) else { continue };
                let message = Message::Updates(updates.clone());
                self.actions.push(Action::Send { to: member.address, message });
            }
        }
    }

    fn publish(&mut self) {
        if !mem::take(&mut self.view_changed) {
            return;
        }
        let live = self.members.live().map(|member| &member.vm).chain([&self.own.vm]);
        self.neighbours = overlay::neighbours(&self.own.vm, live);
        self.digest = self.members.digest(&self.own);
        self.actions.push(Action::Publish(self.view()));
    }
}
