//! A bounded queue that is fair across workspaces: start-time fair queueing over the requests' cost.

use std::collections::BTreeMap;

use crate::{id::Workspace, time::Millis};

/// Weight of the newest sample in the mean time that a request holds its place.
const HOLD_WEIGHT: f64 = 0.05;
/// The mean before the first sample.
const FIRST_HOLD: Millis = Millis(200);

/// Names a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The place of a waiting request: the virtual time at which it starts, then its ticket.
type Place = (u64, Ticket);

/// Requests in front of one deployment or service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Requests that may run at once. Those above it wait.
    pub capacity: u32,
    running: u32,
    waiting: BTreeMap<Place, Workspace>,
    places: BTreeMap<Ticket, Place>,
    flows: BTreeMap<Workspace, Flow>,
    /// The virtual time: the start of the request that began last. Never goes back.
    clock: u64,
    hold_ms: Option<f64>,
}

/// One workspace in the queue.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// The virtual time at which its last request ends.
    finish: u64,
    waiting: usize,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.is_empty()
    }

    /// Whether a request may start at once.
    pub fn has_room(&self) -> bool {
        self.running < self.capacity.max(1) && self.is_empty()
    }

    /// Starts a request at once.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// The time that a new request of the workspace would wait.
    pub fn wait(&self, workspace: &Workspace) -> Millis {
        let own = self.flows.get(workspace).map_or(0, |flow| flow.waiting);
        let flows = self.flows.len() + usize::from(own == 0);
        let ahead = ((own + 1) * flows).min(self.waiting.len() + 1);
        let hold = self.hold_ms.unwrap_or(FIRST_HOLD.0 as f64);
        Millis((ahead as f64 * hold / f64::from(self.capacity.max(1))) as u64)
    }

    /// Puts a request at its fair place.
    pub fn push(&mut self, ticket: Ticket, workspace: &Workspace, cost: u32) {
        let flow = self.flows.entry(workspace.clone()).or_default();
        let start = flow.finish.max(self.clock);
        flow.finish = start + u64::from(cost.max(1));
        flow.waiting += 1;
        let place = (start, ticket);
        self.waiting.insert(place, workspace.clone());
        self.places.insert(ticket, place);
    }

    /// Starts the next request where there is room.
    pub fn pop(&mut self) -> Option<Ticket> {
        if self.running >= self.capacity.max(1) {
            return None;
        }
        let ((start, ticket), workspace) = self.waiting.pop_first()?;
        self.places.remove(&ticket);
        self.clock = self.clock.max(start);
        self.forget(&workspace);
        self.running += 1;
        Some(ticket)
    }

    /// Takes a waiting request out. Returns whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.places.remove(&ticket) else { return false };
        if let Some(workspace) = self.waiting.remove(&place) {
            self.forget(&workspace);
        }
        true
    }

    /// A running request has ended after holding its place for `held`.
    pub fn end(&mut self, held: Millis) {
        self.running = self.running.saturating_sub(1);
        let sample = held.0 as f64;
        let mean = self.hold_ms.unwrap_or(sample);
        self.hold_ms = Some(mean + HOLD_WEIGHT * (sample - mean));
    }

    fn forget(&mut self, workspace: &Workspace) {
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        flow.waiting -= 1;
        if flow.waiting == 0 {
            self.flows.remove(workspace);
        }
    }
}
