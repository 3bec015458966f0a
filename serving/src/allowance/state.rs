//! Decides whether requests are admitted, and what to send to other nodes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{access::Member, id::Workspace, time::Millis};

use super::{
    Answer, Ask, AskId, Budget, Datagram, Kind, Limit, Settings, Verdict, bucket::Bucket,
    budget::GRANT_LIFETIME, deputy::Deputies, holder::Holder,
};

/// Delay after which an ask is sent again, because datagrams may be lost.
const REPEAT_DELAY: Millis = Millis(30);
/// How long a request waits for the owner, and then for the deputy: 100 ms together.
const OWNER_TIMEOUT: Millis = Millis(70);
const DEPUTY_TIMEOUT: Millis = Millis(30);
/// Time for which a deputy that has lent all of its reserve isn't asked again.
const RESERVE_USED: Millis = Millis(200);
/// Time for which an owner that doesn't answer isn't asked again, so that not every request waits.
const SILENCE: Millis = Millis(250);
/// Time for which a node that says that it isn't the owner isn't asked again.
const NOT_OWNED: Millis = Millis(100);
/// Time for which the answer to an ask is kept for its repetition.
const ANSWER_RETENTION: Millis = Millis(500);
/// Number of nodes that is assumed before an owner has stated it: that of the largest deployment.
/// With a smaller number, nodes that start together would together exceed the reserve.
const ASSUMED_NODES: u32 = 350;
/// Time after its start from which a node knows its peers.
const DISCOVERY_TIME: Millis = Millis(10_000);
/// Time for which the largest known number of nodes counts. Nodes that aren't heard may have a deputy
/// of their own, with the part of the reserve of the nodes that it knows.
const NODES_RETENTION: Millis = Millis(600_000);
/// Range of the times after which callers refused without the owner should come back. A new owner
/// is known within that time.
const RESERVE_RETRY: std::ops::Range<u64> = 400..1_600;
/// Time without requests after which a node forgets a workspace. Longer than a window.
const IDLE_TIME: Millis = Millis(60_000);

/// Identifies a request that waits for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Which node lends the allowance of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lender {
    /// This node, which the log has confirmed as the owner without a gap since the time given.
    Here { since: Millis },
    /// The node that receives datagrams at this address.
    Peer(SocketAddr),
    /// No owner is known, or it is this node and the log has not confirmed that recently.
    Unknown,
}

/// What a request was admitted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A grant that this node held.
    Grant,
    /// The bucket of the owner.
    Owner,
    /// The reserve of the deputy, because no owner answered.
    Reserve,
}

/// One admitted request. A request that is not sent returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    workspace: Workspace,
    pub source: Source,
    /// After this time it can't be used for another request.
    expires_at: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Admitted(Permit),
    Limited { retry_after: Millis, reason: Reason },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The workspace has used up its limit.
    Limit,
    /// No owner answered, and the reserve is used up or the deputy didn't answer.
    NoOwner,
}

/// The immediate result of [`State::take`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    Decided(Decision),
    /// A later action decides.
    Waiting(Ticket),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { to: SocketAddr, datagram: Datagram },
    Decide { ticket: Ticket, decision: Decision },
}

/// An ask whose answer may still come.
#[derive(Clone, Debug)]
struct Pending {
    ask: Ask,
    /// The node that was asked.
    lender: SocketAddr,
    sent_at: Millis,
    /// Time for which requests wait.
    timeout: Millis,
    is_repeated: bool,
    /// Requests that wait for the answer, at most `ask.count`.
    waiting: Vec<Ticket>,
    has_timed_out: bool,
}

impl Pending {
    fn limit(&self) -> Limit {
        let Ask { rate_per_s, burst, .. } = self.ask;
        Limit::new(f64::from(rate_per_s), f64::from(burst))
    }

    /// When the ask has to be repeated, given up or forgotten.
    fn due_at(&self) -> Millis {
        match (self.is_repeated, self.has_timed_out) {
            (_, true) => self.sent_at + GRANT_LIFETIME,
            (false, false) => self.sent_at + REPEAT_DELAY.min(self.timeout),
            (true, false) => self.sent_at + self.timeout,
        }
    }
}

/// The largest number of nodes that was known recently.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: u32,
    at: Millis,
}

impl Count {
    fn record(&mut self, now: Millis, value: u32) {
        if value >= self.value || now - self.at >= NODES_RETENTION {
            *self = Count { value, at: now };
        }
    }
}

/// The allowance at one node: what it lends and what it has borrowed.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    started_at: Millis,
    rng: SmallRng,
    deputies: Deputies,
    own_address: SocketAddr,
    /// Limits of the current configuration.
    limits: BTreeMap<Workspace, Limit>,
    buckets: BTreeMap<Workspace, Bucket>,
    /// Recent answers, for repeated asks.
    answers: BTreeMap<(SocketAddr, AskId), (Millis, Answer)>,
    holders: BTreeMap<Workspace, Holder>,
    pending: BTreeMap<AskId, Pending>,
    /// Nodes that have not answered, with the time until which they aren't asked.
    silent: BTreeMap<SocketAddr, Millis>,
    next_ask: u64,
    next_ticket: u64,
    /// Nodes that this one knows, itself included.
    known: Count,
    /// Nodes as stated by owners. `None` until an owner has stated them or this node was one.
    stated: Option<Count>,
}

impl State {
    /// `own_address` is where this node receives datagrams.
    pub fn new(settings: Settings, now: Millis, own_address: SocketAddr, seed: u64) -> State {
        let mut rng = SmallRng::seed_from_u64(seed);
        State {
            settings,
            started_at: now,
            deputies: Deputies::new(now, own_address),
            own_address,
            limits: BTreeMap::new(),
            buckets: BTreeMap::new(),
            answers: BTreeMap::new(),
            holders: BTreeMap::new(),
            pending: BTreeMap::new(),
            silent: BTreeMap::new(),
            next_ask: rng.random(),
            next_ticket: 0,
            known: Count { value: 1, at: now },
            stated: None,
            rng,
        }
    }

    /// Applies the limits of a configuration. They take effect on what is lent from now on.
    pub fn set_limits<'a>(&mut self, members: impl Iterator<Item = &'a Arc<Member>>) {
        let entry = |member: &Arc<Member>| (member.workspace.clone(), Limit::from(&**member));
        self.limits = members.map(entry).collect();
        self.deputies.set_workspaces(self.limits.keys());
        let limits = &self.limits;
        self.buckets.retain(|workspace, _| limits.contains_key(workspace));
    }

    /// Sets the addresses of the other nodes that this one knows.
    pub fn set_peers(&mut self, now: Millis, peers: impl Iterator<Item = SocketAddr>) {
        self.deputies.set_peers(now, peers);
        self.known.record(now, self.deputies.node_count());
    }

    /// The number of nodes that this node states to others; 0 while it may not know all.
    fn nodes_to_state(&self, now: Millis) -> u32 {
        match now - self.started_at < DISCOVERY_TIME {
            true => 0,
            false => self.known.value,
        }
    }

    /// The number of nodes among which the reserve is divided.
    fn nodes(&self) -> u32 {
        let stated = self.stated.map_or(ASSUMED_NODES, |stated| stated.value);
        stated.max(self.known.value).max(1)
    }

    fn record_stated(&mut self, now: Millis, nodes: u32) {
        if nodes > 0 {
            let stated = self.stated.get_or_insert_default();
            stated.record(now, nodes);
        }
    }

    /// Decides on a request, or makes it wait for the owner.
    pub fn take(&mut self, now: Millis, member: &Member, lender: Lender) -> (Taken, Vec<Action>) {
        let workspace = &member.workspace;
        let holder = self.holders.entry(workspace.clone()).or_default();
        holder.observe(now);
        if let Some(expires_at) = holder.take_grant(now) {
            let source = Source::Grant;
            let permit = Permit { workspace: workspace.clone(), source, expires_at };
            return (Taken::Decided(Decision::Admitted(permit)), Vec::new());
        }
        let limit = Limit::from(member);
        let owner = match lender {
            Lender::Here { since } => {
                let decision = self.take_here(now, workspace, limit, since);
                return (Taken::Decided(decision), Vec::new());
            }
            Lender::Peer(_) if holder.is_refused(now) => {
                let decision = self.limited(now, workspace, limit);
                return (Taken::Decided(decision), Vec::new());
            }
            Lender::Peer(owner) if now >= holder.not_owned_until => Some(owner),
            Lender::Peer(_) | Lender::Unknown => None,
        };
        match owner.filter(|owner| !self.is_silent(now, *owner)) {
            Some(owner) => {
                let (ticket, actions) = self.wait(now, workspace, limit, owner);
                (Taken::Waiting(ticket), actions)
            }
            None => self.take_without_owner(now, workspace, limit),
        }
    }

    fn is_silent(&self, now: Millis, node: SocketAddr) -> bool {
        self.silent.get(&node).is_some_and(|until| now < *until)
    }

    /// Returns a permit whose request was not sent.
    pub fn restore(&mut self, now: Millis, permit: Permit) {
        if permit.expires_at > now {
            let holder = self.holders.entry(permit.workspace).or_default();
            holder.add_grant(1, permit.expires_at);
        }
    }

    /// Demand of a workspace relative to its limit over all nodes, as far as this node knows.
    pub fn usage(&self, workspace: &Workspace) -> f64 {
        self.holders.get(workspace).map_or(0.0, |holder| holder.usage)
    }

    /// Answers the ask of the node at `sender`.
    pub fn answer(&mut self, now: Millis, sender: SocketAddr, ask: &Ask, lender: Lender) -> Answer {
        if let Some((_, answer)) = self.answers.get(&(sender, ask.id)) {
            return answer.clone();
        }
        let nodes = self.nodes_to_state(now);
        let asked = Limit::new(f64::from(ask.rate_per_s), f64::from(ask.burst));
        let limit = self.limits.get(&ask.workspace).copied().unwrap_or(asked);
        let (verdict, usage) = match (ask.kind, lender) {
            (Kind::Bucket, Lender::Here { since }) => {
                let wanted = (ask.count, ask.requests);
                let (lent, usage) = self.lend(now, &ask.workspace, limit, since, wanted);
                let refuse = |retry_after| Verdict::Full { retry_after };
                (lent.map_or_else(refuse, Verdict::Lent), usage)
            }
            (Kind::Bucket, _) => (Verdict::NotOwner, 0.0),
            (Kind::Reserve, _) => (self.lend_reserve(now, &ask.workspace, limit), 0.0),
        };
        let answer = Answer { id: ask.id, nodes, usage: usage as f32, verdict };
        // A node that may lend a moment later answers a repeated ask anew.
        if verdict == Verdict::NotOwner {
            return answer;
        }
        self.answers.insert((sender, ask.id), (now, answer.clone()));
        answer
    }

    /// Applies an answer to an ask of this node. An answer that comes again changes nothing.
    pub fn apply(&mut self, now: Millis, answer: &Answer) -> Vec<Action> {
        let Some(pending) = self.pending.remove(&answer.id) else { return Vec::new() };
        self.silent.remove(&pending.lender);
        let workspace = &pending.ask.workspace;
        let limit = pending.limit();
        let holder = self.holders.entry(workspace.clone()).or_default();
        holder.open_ask = holder.open_ask.filter(|open| *open != answer.id);
        // A peer may send any number; `max` returns the other one if it is none.
        let usage = f64::from(answer.usage).max(0.0);
        let is_limited = match answer.verdict {
            Verdict::Lent(count) if pending.ask.kind == Kind::Reserve => {
                holder.add_grant(count, pending.sent_at + GRANT_LIFETIME);
                false
            }
            _ if pending.ask.kind == Kind::Reserve => {
                holder.reserve_used_until = now + RESERVE_USED;
                false
            }
            Verdict::Lent(count) => {
                holder.add_grant(count, pending.sent_at + GRANT_LIFETIME);
                holder.usage = usage;
                true
            }
            Verdict::Full { retry_after } => {
                holder.refuse(now, retry_after);
                holder.usage = usage;
                true
            }
            Verdict::NotOwner => {
                holder.not_owned_until = now + NOT_OWNED;
                false
            }
        };
        if is_limited {
            self.record_stated(now, answer.nodes);
        }
        let mut actions = Vec::new();
        for ticket in pending.waiting {
            let source = match pending.ask.kind {
                Kind::Bucket => Source::Owner,
                Kind::Reserve => Source::Reserve,
            };
            match self.take_granted(now, workspace, source) {
                Some(permit) => {
                    let decision = Decision::Admitted(permit);
                    actions.push(Action::Decide { ticket, decision });
                }
                None if is_limited => {
                    let decision = self.limited(now, workspace, limit);
                    actions.push(Action::Decide { ticket, decision });
                }
                None => {
                    let is_last = pending.ask.kind == Kind::Reserve;
                    self.decide_without_owner(now, workspace, limit, ticket, is_last, &mut actions);
                }
            }
        }
        actions
    }

    /// Repeats and gives up asks. Must be called at [`State::due_at`].
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let due: Vec<AskId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.due_at() <= now)
            .map(|(id, _)| *id)
            .collect();
        let mut actions = Vec::new();
        for id in due {
            self.advance(now, id, &mut actions);
        }
        actions
    }

    /// When [`State::tick`] has to be called next.
    pub fn due_at(&self) -> Option<Millis> {
        self.pending.values().map(Pending::due_at).min()
    }

    /// Forgets what no longer counts and logs the end of refusals. Called about once a second.
    pub fn clean_up(&mut self, now: Millis) {
        self.answers.retain(|_, (at, _)| now - *at < ANSWER_RETENTION);
        self.silent.retain(|_, until| *until > now);
        for (workspace, holder) in &mut self.holders {
            let (limited, on_reserve) = holder.end_episodes(now);
            if let Some(refused) = limited {
                log::info!(workspace = workspace.0.as_str(), refused = refused; "the workspace is below its limit again");
            }
            if let Some(requests) = on_reserve {
                log::info!(workspace = workspace.0.as_str(), requests = requests; "the owner of the workspace's limit answers again");
            }
        }
        self.holders.retain(|_, holder| !holder.is_idle(now, IDLE_TIME));
    }

    /// Takes a request from the bucket of this node as the owner.
    fn take_here(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limit: Limit,
        since: Millis,
    ) -> Decision {
        self.record_stated(now, self.nodes_to_state(now));
        let limit = self.limits.get(workspace).copied().unwrap_or(limit);
        let holder = self.holders.entry(workspace.clone()).or_default();
        let requests = holder.take_unreported();
        let (lent, usage) = self.lend(now, workspace, limit, since, (1, requests));
        let holder = self.holders.entry(workspace.clone()).or_default();
        holder.usage = usage;
        match lent {
            Ok(_) => {
                let expires_at = now + GRANT_LIFETIME;
                let (workspace, source) = (workspace.clone(), Source::Owner);
                Decision::Admitted(Permit { workspace, source, expires_at })
            }
            Err(retry_after) => {
                holder.refuse(now, retry_after);
                self.limited(now, workspace, limit)
            }
        }
    }

    /// Lends up to `count` requests of a workspace to a node that got `requests`, and returns its usage as well.
    fn lend(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limit: Limit,
        since: Millis,
        (count, requests): (u32, u32),
    ) -> (std::result::Result<u32, Millis>, f64) {
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(|| Bucket::new(since));
        if bucket.opened_at != since {
            *bucket = Bucket::new(since);
        }
        let budget = Budget::new(limit, &self.settings);
        let lent = bucket.lend(now, &budget, count, requests);
        (lent, bucket.usage(limit))
    }

    /// Makes a request wait for an ask to the owner, and sends one if none has room.
    fn wait(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limit: Limit,
        owner: SocketAddr,
    ) -> (Ticket, Vec<Action>) {
        let ticket = self.new_ticket();
        let holder = self.holders.entry(workspace.clone()).or_default();
        if let Some(open) = holder.open_ask.and_then(|id| self.pending.get_mut(&id))
            && open.lender == owner
            && (open.waiting.len() as u64) < u64::from(open.ask.count)
        {
            open.waiting.push(ticket);
            return (ticket, Vec::new());
        }
        let count = holder.count_to_ask();
        let (id, action) =
            self.send_ask(now, workspace, limit, (Kind::Bucket, owner), count, ticket);
        self.holders.entry(workspace.clone()).or_default().open_ask = Some(id);
        (ticket, vec![action])
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Asks a node for `count` requests, for which a request waits.
    fn send_ask(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limit: Limit,
        (kind, lender): (Kind, SocketAddr),
        count: u32,
        ticket: Ticket,
    ) -> (AskId, Action) {
        let id = AskId(self.next_ask);
        self.next_ask = self.next_ask.wrapping_add(1);
        let holder = self.holders.entry(workspace.clone()).or_default();
        let (requests, timeout) = match kind {
            Kind::Bucket => (holder.take_unreported(), OWNER_TIMEOUT),
            Kind::Reserve => (0, DEPUTY_TIMEOUT),
        };
        let ask = Ask {
            id,
            workspace: workspace.clone(),
            kind,
            count,
            requests,
            rate_per_s: limit.rate_per_s as f32,
            burst: limit.burst as f32,
        };
        let datagram = Datagram::Ask(ask.clone());
        let pending = Pending {
            ask,
            lender,
            sent_at: now,
            timeout,
            is_repeated: false,
            waiting: vec![ticket],
            has_timed_out: false,
        };
        self.pending.insert(id, pending);
        (id, Action::Send { to: lender, datagram })
    }

    /// Takes a request from the grants, one of which has just come from `source`.
    fn take_granted(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        source: Source,
    ) -> Option<Permit> {
        let holder = self.holders.entry(workspace.clone()).or_default();
        let expires_at = holder.take_grant(now)?;
        Some(Permit { workspace: workspace.clone(), source, expires_at })
    }

    /// Repeats, gives up or forgets an ask that is due.
    fn advance(&mut self, now: Millis, id: AskId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if pending.has_timed_out {
            self.pending.remove(&id);
            return;
        }
        if now - pending.sent_at < pending.timeout {
            pending.is_repeated = true;
            let datagram = Datagram::Ask(pending.ask.clone());
            actions.push(Action::Send { to: pending.lender, datagram });
            return;
        }
        // A late answer may still lend what further requests can use.
        pending.has_timed_out = true;
        let (workspace, limit) = (pending.ask.workspace.clone(), pending.limit());
        let is_last = pending.ask.kind == Kind::Reserve;
        self.silent.insert(pending.lender, now + SILENCE);
        let waiting = std::mem::take(&mut pending.waiting);
        let holder = self.holders.entry(workspace.clone()).or_default();
        holder.open_ask = holder.open_ask.filter(|open| *open != id);
        for ticket in waiting {
            match self.take_granted(now, &workspace, Source::Grant) {
                Some(permit) => {
                    let decision = Decision::Admitted(permit);
                    actions.push(Action::Decide { ticket, decision });
                }
                None => {
                    self.decide_without_owner(now, &workspace, limit, ticket, is_last, actions);
                }
            }
        }
    }

    /// Decides on a new request without the owner.
    fn take_without_owner(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limit: Limit,
    ) -> (Taken, Vec<Action>) {
        let ticket = self.new_ticket();
        let mut actions = Vec::new();
        self.decide_without_owner(now, workspace, limit, ticket, false, &mut actions);
        match actions.pop() {
            Some(Action::Decide { decision, .. }) => (Taken::Decided(decision), actions),
            action => (Taken::Waiting(ticket), action.into_iter().collect()),
        }
    }

    /// Decides on a request without the owner, by the reserve if this node is the deputy, or asks
    /// the deputy. Refuses it if the deputy `has_been_asked`.
    fn decide_without_owner(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        limit: Limit,
        ticket: Ticket,
        has_been_asked: bool,
        actions: &mut Vec<Action>,
    ) {
        let holder = self.holders.entry(workspace.clone()).or_default();
        if holder.record_on_reserve(now) {
            log::warn!(workspace = workspace.0.as_str(); "no owner of the workspace's limit answers; requests are admitted from the reserve");
        }
        let is_used_up = now < holder.reserve_used_until;
        let deputy = self.deputies.find(workspace).address;
        if deputy == self.own_address {
            if let Verdict::Lent(_) = self.lend_reserve(now, workspace, limit) {
                let expires_at = now + GRANT_LIFETIME;
                let (workspace, source) = (workspace.clone(), Source::Reserve);
                let decision = Decision::Admitted(Permit { workspace, source, expires_at });
                return actions.push(Action::Decide { ticket, decision });
            }
        } else if !has_been_asked && !is_used_up && !self.is_silent(now, deputy) {
            let (_, action) =
                self.send_ask(now, workspace, limit, (Kind::Reserve, deputy), 1, ticket);
            return actions.push(action);
        }
        let retry_after = Millis(self.rng.random_range(RESERVE_RETRY));
        let decision = Decision::Limited { retry_after, reason: Reason::NoOwner };
        actions.push(Action::Decide { ticket, decision });
    }

    /// Lends one request from the reserve, if this node is the deputy of the workspace.
    ///
    /// In each period the deputy holds half of the reserve, because the time in which requests of a
    /// window can be lent overlaps two periods. Nodes that know others only may have a deputy of
    /// their own: each has the part of the nodes that it knows. A new deputy has less, because the
    /// one before may have lent in the same window.
    fn lend_reserve(&mut self, now: Millis, workspace: &Workspace, limit: Limit) -> Verdict {
        let deputy = self.deputies.find(workspace);
        if deputy.address != self.own_address {
            return Verdict::NotOwner;
        }
        let period = Millis((self.settings.window_s * 1_000.0).ceil() as u64) + GRANT_LIFETIME;
        let known = f64::from(self.deputies.node_count()) / f64::from(self.nodes());
        let age = (now - deputy.since).0 as f64 / period.0 as f64;
        let reserve = Budget::new(limit, &self.settings).reserve;
        let part = reserve / 2.0 * known.min(1.0) * age.min(1.0);
        let holder = self.holders.entry(workspace.clone()).or_default();
        match holder.take_reserve(now, period, part, &mut self.rng) {
            true => Verdict::Lent(1),
            false => Verdict::Full { retry_after: RESERVE_USED },
        }
    }

    fn limited(&mut self, now: Millis, workspace: &Workspace, limit: Limit) -> Decision {
        let holder = self.holders.entry(workspace.clone()).or_default();
        if holder.record_limited(now) {
            log::info!(workspace = workspace.0.as_str(), rate = limit.rate_per_s, burst = limit.burst, usage = holder.usage; "the workspace has used up its limit; requests are refused");
        }
        let retry_after = holder.retry_after(now, limit);
        Decision::Limited { retry_after, reason: Reason::Limit }
    }
}
