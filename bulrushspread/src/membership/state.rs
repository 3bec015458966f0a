//! Failure detection and the spread of news: SWIM with Lifeguard's local health.
//!
//! Each node probes only the nodes that it links to, so that a probe needs no new handshake.
//! The VM list names candidates; it neither removes a live node nor revives a dead one.

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
    Settings, View, links,
    members::{Effect, Members},
    message::{Beat, Claim, Mark, Message, Status, Update, Version},
    news::News,
    probing::Probing,
    upstreams::Upstreams,
    view::Node,
};

/// Time between two probes of listed nodes that are not known to be alive.
const CANDIDATE_INTERVAL: Millis = Millis(5_000);
/// The same for a node that knows no other, or has not tried all that are listed.
const EAGER_INTERVAL: Millis = Millis(200);
/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: Vm,
        message: Message,
    },
    Listed(Vec<Listed>),
    /// Somebody here sees that the upstream is leaving.
    Leaving(Upstream),
    /// How far the configuration is folded here.
    Head(Head),
    /// This node takes no new duties from now on.
    Leave,
    /// This node ends now.
    Gone,
}

/// What a node must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Sends the whole table as a request; the answer comes back as a received `Table`.
    Exchange {
        to: SocketAddr,
        table: Vec<Update>,
    },
    /// Another node says how far it has folded the configuration.
    Heard {
        vm: Vm,
        head: Head,
    },
    /// The view is another.
    Show(View),
}

/// What one node believes of the others.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) own: Claim,
    pub(super) head: Head,
    pub(super) members: Members,
    upstreams: Upstreams,
    /// The nodes that the VM list shows, with what it says of them.
    pub(super) listed: BTreeMap<Vm, (SocketAddr, Phase)>,
    pub(super) news: News,
    pub(super) probing: Probing,
    /// The linked nodes in order of their distance on the ring.
    pub(super) links: Vec<Vm>,
    pub(super) turn: usize,
    pub(super) candidate: Option<Vm>,
    /// Listed nodes that were probed as candidates at least once.
    pub(super) tried: BTreeSet<Vm>,
    pub(super) digest: u64,
    next_probe: Millis,
    next_candidate: Millis,
    /// When whole tables may be exchanged next; zero until the first exchange.
    pub(super) next_table: Millis,
    /// Since when a digest of another node has differed.
    pub(super) differs_since: Option<Millis>,
    /// The view may have changed since it was last shown.
    stale: bool,
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
            Claim { vm, address, data_centre, version, status: Status::Alive, leaving: false };
        State {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            own,
            head: Head::default(),
            members: Members::default(),
            upstreams: Upstreams::default(),
            listed: BTreeMap::new(),
            news: News::default(),
            probing: Probing::default(),
            links: Vec::new(),
            turn: 0,
            candidate: None,
            tried: BTreeSet::new(),
            digest: 0,
            next_probe: Millis(0),
            next_candidate: Millis(0),
            next_table: Millis(0),
            differs_since: None,
            stale: true,
            actions: Vec::new(),
        }
    }

    /// Takes in an event and returns what is to be done.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::Listed(listed) => self.list(now, &listed),
            Event::Leaving(upstream) => self.mark(now, &upstream, None),
            Event::Head(head) => self.head = head,
            Event::Leave if !self.own.leaving => {
                self.own.leaving = true;
                self.reassert(self.own.version);
            }
            Event::Leave => {}
            Event::Gone => self.end(now),
        }
        self.show();
        mem::take(&mut self.actions)
    }

    /// Everything that this node knows.
    pub fn table(&self, now: Millis) -> Vec<Update> {
        let claims = self.members.claims().chain([&self.own]).cloned().map(Update::Node);
        claims.chain(self.upstreams.updates(now)).collect()
    }

    /// Live nodes, this one included, and upstreams.
    pub fn view(&self) -> View {
        let node = |claim: &Claim| {
            let listed = self.listed.get(&claim.vm).is_some_and(|it| it.1 == Phase::Leaving);
            let node = Node {
                address: claim.address,
                data_centre: claim.data_centre.clone(),
                incarnation: claim.version.incarnation,
                leaving: claim.leaving || listed,
            };
            (claim.vm.clone(), node)
        };
        let nodes = self.members.live().chain([&self.own]).map(node).collect();
        View { nodes, upstreams: self.upstreams.view() }
    }

    fn tick(&mut self, now: Millis) {
        for outcome in self.probing.expire(now, Millis(self.settings.timeout_ms)) {
            self.settle(now, outcome);
        }
        for claim in self.members.expire(now, &self.own.vm) {
            self.news.node(claim);
            self.stale = true;
        }
        self.stale |= self.upstreams.expire(now);
        if now >= self.next_probe {
            self.next_probe = now + Millis(self.settings.probe_ms);
            self.probe_next(now);
        }
        if now >= self.next_candidate {
            let eager = self.members.live().next().is_none() || self.has_untried();
            let interval = if eager { EAGER_INTERVAL } else { CANDIDATE_INTERVAL };
            self.next_candidate = now + interval;
            self.probe_candidate(now);
        }
        self.push(now);
    }

    fn receive(&mut self, now: Millis, from: Vm, message: Message) {
        match message {
            Message::Probe(beat) => {
                let sequence = beat.sequence;
                let to = beat.claim.address;
                self.take_beat(now, from.clone(), beat);
                let answer = Message::Ack(self.beat(now, sequence, &from));
                self.actions.push(Action::Send { to, message: answer });
            }
            Message::Ack(beat) => {
                let answered = self.probing.ack(beat.sequence, &beat.claim.vm);
                self.take_beat(now, from, beat);
                if let Some(outcome) = answered {
                    self.settle(now, outcome);
                }
            }
            Message::Ask { sequence, target } => self.probe_for(now, from, sequence, &target),
            Message::Nack { sequence } => self.probing.nack(sequence),
            Message::News(updates) | Message::Table(updates) => self.take_all(now, updates),
        }
    }

    fn take_beat(&mut self, now: Millis, from: Vm, beat: Beat) {
        self.take_claim(now, beat.claim);
        self.take_all(now, beat.news);
        self.compare(now, &from, beat.digest);
        self.actions.push(Action::Heard { vm: from, head: beat.head });
    }

    fn take_all(&mut self, now: Millis, updates: Vec<Update>) {
        for update in updates {
            match update {
                Update::Node(claim) => self.take_claim(now, claim),
                Update::Upstream(Mark { upstream, remaining }) => {
                    self.mark(now, &upstream, Some(remaining));
                }
            }
        }
    }

    pub(super) fn take_claim(&mut self, now: Millis, claim: Claim) {
        if claim.vm == self.own.vm {
            return self.hear_of_self(claim);
        }
        let suspicion = Millis(self.settings.suspicion_ms);
        match self.members.take(now, claim.clone(), suspicion) {
            Effect::Nothing => {}
            Effect::News => self.news.node(claim),
            Effect::Changed => {
                self.news.node(claim);
                self.stale = true;
            }
        }
    }

    /// Refutes what others wrongly say of this node.
    fn hear_of_self(&mut self, claim: Claim) {
        let doubt = claim.status != Status::Alive && claim.version >= self.own.version;
        if doubt {
            self.probing.doubted();
        }
        if doubt || claim.version > self.own.version {
            self.reassert(claim.version);
        }
    }

    fn reassert(&mut self, above: Version) {
        let above = above.max(self.own.version);
        self.own.version = Version { refutation: above.refutation + 1, ..above };
        self.news.node(self.own.clone());
        self.stale = true;
    }

    fn mark(&mut self, now: Millis, upstream: &Upstream, remaining: Option<Millis>) {
        let end = match remaining {
            Some(remaining) => self.upstreams.mark(now, upstream, remaining),
            None => self.upstreams.mark_now(now, upstream),
        };
        if let Some(end) = end {
            self.news.upstream(upstream.clone(), end);
            self.stale = true;
        }
    }

    fn list(&mut self, now: Millis, listed: &[Listed]) {
        if listed.is_empty() {
            return;
        }
        let entries = listed.iter().filter(|entry| entry.role == Role::Entry);
        self.listed =
            entries.map(|entry| (entry.vm.clone(), (entry.address, entry.phase))).collect();
        self.tried.retain(|vm| self.listed.contains_key(vm));
        for upstream in self.upstreams.list(now, listed) {
            self.mark(now, &upstream, None);
        }
        self.stale = true;
    }

    fn end(&mut self, now: Millis) {
        self.own.leaving = true;
        self.own.status = Status::Dead { by: self.own.vm.clone() };
        self.reassert(self.own.version);
        self.push(now);
    }

    /// Sends fresh updates to the linked nodes at once.
    fn push(&mut self, now: Millis) {
        for updates in self.news.push(now) {
            for vm in &self.links {
                let Some(claim) = self.members.get_live(vm) else { continue };
                let message = Message::News(updates.clone());
                self.actions.push(Action::Send { to: claim.address, message });
            }
        }
    }

    fn show(&mut self) {
        if !mem::take(&mut self.stale) {
            return;
        }
        let live = self.members.live().map(|claim| &claim.vm).chain([&self.own.vm]);
        self.links = links::links(&self.own.vm, live);
        self.digest = self.members.digest(&self.own);
        self.actions.push(Action::Show(self.view()));
    }
}
