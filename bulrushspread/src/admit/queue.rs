//! A queue with start-time fair queueing across workspaces, by the cost of the requests.

use std::collections::BTreeMap;

use crate::{id::Workspace, time::Millis};

/// Weight of the latest sample in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Service time that is assumed before the first sample.
const INITIAL_SERVICE_TIME: Millis = Millis(200);

/// Identifies an admitted or waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Sort key of a waiting request: its virtual start time, then its ticket.
type SortKey = (u64, Ticket);

/// Requests for one deployment or service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Maximum number of concurrent requests. Further requests wait.
    pub capacity: u32,
    running: u32,
    waiting: BTreeMap<SortKey, Workspace>,
    keys: BTreeMap<Ticket, SortKey>,
    flows: BTreeMap<Workspace, Flow>,
    /// Current virtual time: the latest virtual start time of a started request. Never decreases.
    virtual_time: u64,
    /// Mean time from the start of a request to its end.
    service_time_ms: Option<f64>,
}

/// Waiting requests of one workspace.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Virtual finish time of its last request.
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

    /// Whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.is_empty()
    }

    /// Whether a request may start without waiting.
    pub fn has_room(&self) -> bool {
        self.running < self.capacity.max(1) && self.is_empty()
    }

    /// Starts a request that did not wait.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// Estimated waiting time of a new request of the workspace.
    pub fn estimate_wait(&self, workspace: &Workspace) -> Millis {
        let own = self.flows.get(workspace).map_or(0, |flow| flow.waiting);
        let flows = self.flows.len() + usize::from(own == 0);
        let ahead = ((own + 1) * flows).min(self.waiting.len() + 1);
        let service_time = self.service_time_ms.unwrap_or(INITIAL_SERVICE_TIME.0 as f64);
        Millis((ahead as f64 * service_time / f64::from(self.capacity.max(1))) as u64)
    }

    /// Adds a request, and its cost to the virtual finish time of its workspace.
    pub fn push(&mut self, ticket: Ticket, workspace: &Workspace, cost: u32) {
        let flow = self.flows.entry(workspace.clone()).or_default();
        let start = flow.finish.max(self.virtual_time);
        flow.finish = start + u64::from(cost.max(1));
        flow.waiting += 1;
        let key = (start, ticket);
        self.waiting.insert(key, workspace.clone());
        self.keys.insert(ticket, key);
    }

    /// Starts the next request if the capacity allows it.
    pub fn pop(&mut self) -> Option<Ticket> {
        if self.running >= self.capacity.max(1) {
            return None;
        }
        let ((start, ticket), workspace) = self.waiting.pop_first()?;
        self.keys.remove(&ticket);
        self.virtual_time = self.virtual_time.max(start);
        self.remove_from_flow(&workspace);
        self.running += 1;
        Some(ticket)
    }

    /// Removes a waiting request. Returns whether it was waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(key) = self.keys.remove(&ticket) else { return false };
        if let Some(workspace) = self.waiting.remove(&key) {
            self.remove_from_flow(&workspace);
        }
        true
    }

    /// Ends a running request that took `elapsed`.
    pub fn complete(&mut self, elapsed: Millis) {
        self.running = self.running.saturating_sub(1);
        let sample = elapsed.0 as f64;
        let mean = self.service_time_ms.unwrap_or(sample);
        self.service_time_ms = Some(mean + SERVICE_TIME_WEIGHT * (sample - mean));
    }

    /// Counts one waiting request less, and removes the flow of a workspace without any.
    fn remove_from_flow(&mut self, workspace: &Workspace) {
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        flow.waiting -= 1;
        if flow.waiting == 0 {
            self.flows.remove(workspace);
        }
    }
}
