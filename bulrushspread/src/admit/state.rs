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

/// A request for admission.
#[derive(Clone, Debug)]
pub struct Request {
    pub workspace: Workspace,
    /// The deployment or service that the request goes to.
    pub target: String,
    /// Tokens of the prompt plus the maximum number of generated tokens.
    pub tokens: u32,
    pub deadline: Millis,
}

/// Decision on a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Admitted(Ticket),
    /// The request waits. A later `Action` admits or refuses it.
    Queued(Ticket),
    Refused(Error),
}

/// Decision on a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Admit(Ticket),
    Refuse(Ticket, Error),
}

/// A queued or admitted request.
#[derive(Clone, Debug)]
struct Entry {
    request: Request,
    /// Time at which the request was admitted, or `None` while the request is queued.
    started_at: Option<Millis>,
}

/// Admission at one node.
pub struct State {
    settings: Settings,
    /// Live nodes, this one included.
    node_count: usize,
    accounts: BTreeMap<Workspace, Account>,
    queues: BTreeMap<String, Queue>,
    entries: BTreeMap<Ticket, Entry>,
    /// Waiting requests by deadline.
    deadlines: BTreeMap<(Millis, Ticket), ()>,
    last_ticket: u64,
}

impl State {
    pub fn new(settings: Settings) -> State {
        State {
            settings,
            node_count: 1,
            accounts: BTreeMap::new(),
            queues: BTreeMap::new(),
            entries: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            last_ticket: 0,
        }
    }

    /// Sets the number of live nodes, this one included.
    pub fn set_node_count(&mut self, count: usize) {
        self.node_count = count.max(1);
    }

    /// Admits, queues or refuses a new request. `slots` is the sum over all replicas of its target.
    pub fn admit(
        &mut self,
        now: Millis,
        request: Request,
        spec: &WorkspaceSpec,
        slots: u32,
    ) -> Decision {
        let burst = Millis(self.settings.burst_ms);
        let capacity = self.capacity(slots);
        let queue = self.queues.entry(request.target.clone()).or_default();
        queue.capacity = capacity;
        let room = queue.has_room();
        if !room && let Err(error) = check_wait(now, queue, &request, self.settings.queue) {
            return Decision::Refused(error);
        }
        let account = self
            .accounts
            .entry(request.workspace.clone())
            .or_insert_with(|| Account::new(now, spec));
        account.set_limit(spec);
        if let Err(error) = account.charge(now, self.node_count, request.tokens, burst) {
            return Decision::Refused(error);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if room {
            queue.start();
            self.entries.insert(ticket, Entry { request, started_at: Some(now) });
            return Decision::Admitted(ticket);
        }
        queue.push(ticket, &request.workspace, request.tokens);
        self.deadlines.insert((request.deadline, ticket), ());
        self.entries.insert(ticket, Entry { request, started_at: None });
        Decision::Queued(ticket)
    }

    /// Ends a running request, or removes a waiting one whose caller has disconnected.
    pub fn release(&mut self, now: Millis, ticket: Ticket, used_tokens: u32) -> Vec<Action> {
        let Some(entry) = self.entries.remove(&ticket) else { return Vec::new() };
        if let Some(account) = self.accounts.get_mut(&entry.request.workspace) {
            account.refund(entry.request.tokens.saturating_sub(used_tokens));
        }
        let Some(queue) = self.queues.get_mut(&entry.request.target) else { return Vec::new() };
        match entry.started_at {
            Some(started_at) => queue.complete(now - started_at),
            None => {
                self.deadlines.remove(&(entry.request.deadline, ticket));
                queue.remove(ticket);
            }
        }
        self.admit_waiting(now, &entry.request.target)
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(((deadline, ticket), ())) = self.deadlines.first_key_value() {
            if *deadline > now {
                break;
            }
            let ticket = *ticket;
            actions.push(Action::Refuse(ticket, deadline_unreachable(Millis(0))));
            actions.extend(self.release(now, ticket, 0));
        }
        self.accounts.retain(|_, account| !account.is_idle());
        self.queues.retain(|_, queue| !queue.is_idle() || queue.capacity > 0);
        actions
    }

    /// Starts a new period of demand. Returns the demands to report to the allocating nodes.
    pub fn take_demands(&mut self, now: Millis) -> Vec<(Workspace, Amount)> {
        let node_count = self.node_count;
        let demand = |(workspace, account): (&Workspace, &mut Account)| {
            let demand = account.take_demand(now, node_count);
            if demand.is_none() {
                account.clear_grant();
            }
            Some((workspace.clone(), demand?))
        };
        self.accounts.iter_mut().filter_map(demand).collect()
    }

    /// Applies granted shares.
    pub fn apply_grants(&mut self, now: Millis, shares: Vec<(Workspace, Amount)>) {
        let until = now + Millis(self.settings.share_expiry_ms);
        for (workspace, share) in shares {
            if let Some(account) = self.accounts.get_mut(&workspace) {
                account.set_grant(share, until);
            }
        }
    }

    /// Number of requests that wait at this node.
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Starts waiting requests for the target as far as its capacity allows.
    fn admit_waiting(&mut self, now: Millis, target: &str) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(queue) = self.queues.get_mut(target) else { return actions };
        while let Some(ticket) = queue.pop() {
            let Some(entry) = self.entries.get_mut(&ticket) else { continue };
            entry.started_at = Some(now);
            self.deadlines.remove(&(entry.request.deadline, ticket));
            actions.push(Action::Admit(ticket));
        }
        actions
    }

    /// Maximum number of concurrent requests of this node for a target, at least one.
    fn capacity(&self, slots: u32) -> u32 {
        let share = f64::from(slots) * self.settings.overcommit / self.node_count as f64;
        (share.ceil() as u32).max(1)
    }
}

/// Refuses a request if the queue is full or the estimated wait exceeds the deadline.
fn check_wait(now: Millis, queue: &Queue, request: &Request, limit: usize) -> Result<(), Error> {
    let wait = queue.estimate_wait(&request.workspace);
    if queue.len() >= limit || now + wait >= request.deadline {
        return Err(deadline_unreachable(wait));
    }
    Ok(())
}

fn deadline_unreachable(wait: Millis) -> Error {
    let message = "the request would not be answered within its deadline";
    Error::new(Kind::DeadlineUnreachable, message).after(wait)
}
