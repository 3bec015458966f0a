//! Decides whether a request is admitted, waits or is refused.

use std::collections::BTreeMap;

use crate::{
    config::document::WorkspaceSpec,
    error::{Error, Kind},
    id::Workspace,
    time::Millis,
};

use super::{
    Settings,
    account::Account,
    message::Amount,
    queue::{Queue, Ticket},
};

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub workspace: Workspace,
    /// The deployment or service that the request goes to.
    pub serves: String,
    /// Tokens of the prompt and the most that may be generated.
    pub tokens: u32,
    pub deadline: Millis,
}

/// What becomes of a request that has just come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Admitted(Ticket),
    /// The request waits; an `Action` will name its ticket.
    Queued(Ticket),
    Refused(Error),
}

/// What becomes of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Admit(Ticket),
    Refuse(Ticket, Error),
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
struct Entry {
    ask: Ask,
    /// Since when it runs.
    started: Option<Millis>,
}

/// Admission at one node.
pub struct State {
    settings: Settings,
    /// Live nodes, this one included.
    nodes: usize,
    accounts: BTreeMap<Workspace, Account>,
    queues: BTreeMap<String, Queue>,
    entries: BTreeMap<Ticket, Entry>,
    /// Waiting requests by deadline.
    deadlines: BTreeMap<(Millis, Ticket), ()>,
    next: u64,
}

impl State {
    pub fn new(settings: Settings) -> State {
        State {
            settings,
            nodes: 1,
            accounts: BTreeMap::new(),
            queues: BTreeMap::new(),
            entries: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            next: 0,
        }
    }

    /// Takes over the number of live nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// A request has come. `slots` are those of all replicas that can serve it.
    pub fn enter(&mut self, now: Millis, ask: Ask, spec: &WorkspaceSpec, slots: u32) -> Decision {
        let burst = Millis(self.settings.burst_ms);
        let capacity = self.capacity(slots);
        let queue = self.queues.entry(ask.serves.clone()).or_default();
        queue.capacity = capacity;
        let room = queue.has_room();
        if !room && let Err(error) = may_wait(now, queue, &ask, self.settings.queue) {
            return Decision::Refused(error);
        }
        let account =
            self.accounts.entry(ask.workspace.clone()).or_insert_with(|| Account::new(now, spec));
        account.update(spec);
        if let Err(error) = account.take(now, self.nodes, ask.tokens, burst) {
            return Decision::Refused(error);
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        if room {
            queue.start();
            self.entries.insert(ticket, Entry { ask, started: Some(now) });
            return Decision::Admitted(ticket);
        }
        queue.push(ticket, &ask.workspace, ask.tokens);
        self.deadlines.insert((ask.deadline, ticket), ());
        self.entries.insert(ticket, Entry { ask, started: None });
        Decision::Queued(ticket)
    }

    /// A request has ended, or its caller has left while it waited.
    pub fn leave(&mut self, now: Millis, ticket: Ticket, used_tokens: u32) -> Vec<Action> {
        let Some(entry) = self.entries.remove(&ticket) else { return Vec::new() };
        if let Some(account) = self.accounts.get_mut(&entry.ask.workspace) {
            account.give_back(entry.ask.tokens.saturating_sub(used_tokens));
        }
        let Some(queue) = self.queues.get_mut(&entry.ask.serves) else { return Vec::new() };
        match entry.started {
            Some(started) => queue.end(now - started),
            None => {
                self.deadlines.remove(&(entry.ask.deadline, ticket));
                queue.remove(ticket);
            }
        }
        self.admit(now, &entry.ask.serves)
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(((deadline, ticket), ())) = self.deadlines.first_key_value() {
            if *deadline > now {
                break;
            }
            let ticket = *ticket;
            actions.push(Action::Refuse(ticket, unreachable(Millis(0))));
            actions.extend(self.leave(now, ticket, 0));
        }
        self.accounts.retain(|_, account| !account.is_idle());
        self.queues.retain(|_, queue| !queue.is_idle() || queue.capacity > 0);
        actions
    }

    /// The demands that have to be told to the nodes that divide the limits.
    pub fn demands(&mut self, now: Millis) -> Vec<(Workspace, Amount)> {
        let nodes = self.nodes;
        let demand = |(workspace, account): (&Workspace, &mut Account)| {
            let demand = account.demand(now, nodes);
            if demand.is_none() {
                account.rest();
            }
            Some((workspace.clone(), demand?))
        };
        self.accounts.iter_mut().filter_map(demand).collect()
    }

    /// Takes over shares that were granted.
    pub fn grant(&mut self, now: Millis, shares: Vec<(Workspace, Amount)>) {
        let until = now + Millis(self.settings.share_expiry_ms);
        for (workspace, share) in shares {
            if let Some(account) = self.accounts.get_mut(&workspace) {
                account.grant(share, until);
            }
        }
    }

    /// Requests that wait at this node.
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    fn admit(&mut self, now: Millis, serves: &str) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(queue) = self.queues.get_mut(serves) else { return actions };
        while let Some(ticket) = queue.pop() {
            let Some(entry) = self.entries.get_mut(&ticket) else { continue };
            entry.started = Some(now);
            self.deadlines.remove(&(entry.ask.deadline, ticket));
            actions.push(Action::Admit(ticket));
        }
        actions
    }

    /// Requests that this node sends at once. Never less than the slots of a small fleet allow.
    fn capacity(&self, slots: u32) -> u32 {
        let share = f64::from(slots) * self.settings.overcommit / self.nodes as f64;
        (share.ceil() as u32).max(1)
    }
}

fn may_wait(now: Millis, queue: &Queue, ask: &Ask, limit: usize) -> Result<(), Error> {
    let wait = queue.wait(&ask.workspace);
    if queue.len() >= limit || now + wait >= ask.deadline {
        return Err(unreachable(wait));
    }
    Ok(())
}

fn unreachable(wait: Millis) -> Error {
    let message = "the request would not be answered within its deadline";
    Error::new(Kind::DeadlineUnreachable, message).after(wait)
}
