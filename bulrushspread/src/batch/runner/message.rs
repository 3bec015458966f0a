//! Events that the state of the runners handles, and the actions that it returns.

use std::collections::BTreeMap;

use crate::{
    batch::message::{Capacity, RunOutcome, Ticket, Work},
    id::{Model, Upstream, Vm},
    time::Millis,
};

/// What a replica runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine, whose streams can be cancelled and resumed.
    Engine,
    /// A plain service, whose calls run to their end.
    Service,
}

/// A replica that this node is the runner of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    pub kind: Kind,
    /// The deployment or plain service.
    pub serves: String,
    /// The models of the deployment; empty for a plain service.
    pub models: Vec<Model>,
    /// Requests that the replica can run at once.
    pub slots: u32,
}

/// How an execution ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The engine's stream is complete. `created` is in seconds since the Unix epoch. `last` is the
    /// last token and its index. It is part of this event because a run that was paused between
    /// its last token and its end would request one token too many on resume.
    Finished { last: Option<(u32, String)>, reason: String, created: u64 },
    /// A plain service responded.
    Answered { status: u16, body: String },
    /// No byte was sent, or the upstream rejected the request without running it.
    NotRun { reason: String },
    /// The upstream answered with a failure, or not in time.
    Failed { reason: String },
    /// The connection or stream broke, but the upstream accepts connections. It may have crashed
    /// and be back already.
    Interrupted { reason: String },
    /// The upstream crashed: it no longer accepts connections.
    Crashed { reason: String },
    /// The item is malformed and can't be run anywhere.
    Invalid { reason: String },
}

/// Identifies one execution of a run at a replica. A run that was paused or rejected continues in
/// a new execution; events of earlier executions are ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Execution {
    pub ticket: Ticket,
    /// The number of the execution within the run, from one.
    pub number: u32,
}

impl Execution {
    /// The id of the stream at the engine, unique to this execution.
    pub fn stream_id(&self) -> String {
        let Ticket { partition, epoch, job, item, attempt } = &self.ticket;
        format!("batch-{partition}-{epoch}-{job}-{item}-{attempt}-{}", self.number)
    }
}

/// Online requests of one node at one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnlineCount {
    pub from: Vm,
    /// Increases with each count that the node sends, since counts may arrive out of order.
    pub sequence: u64,
    pub in_flight: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The set of replicas that this node is the runner of has changed to this one.
    ReplicasChanged(BTreeMap<Upstream, Spec>),
    /// A node reported how many online requests it has in flight at the replica.
    OnlineCount {
        upstream: Upstream,
        count: OnlineCount,
    },
    /// Online work has arrived at a replica shortly before this one in the fill order, in which
    /// every node sends online work to replicas, so it may arrive at this replica next.
    OnlineNearby {
        upstream: Upstream,
    },
    /// The engine's load report. `active` counts running and queued requests.
    LoadReport {
        upstream: Upstream,
        active: u32,
        slots: u32,
    },
    /// A partition owner granted items.
    Granted(Vec<Work>),
    /// A pull has ended, whether or not items were granted.
    PullEnded,
    /// An engine sent a token. `index` is its position in the whole output.
    Token {
        execution: Execution,
        index: u32,
        text: String,
    },
    Ended {
        execution: Execution,
        end: ExecutionEnd,
    },
    /// A cancelled execution no longer runs at the replica.
    Cancelled {
        upstream: Upstream,
        execution: Execution,
    },
    /// These tickets must stop and must never start again.
    Stop(Vec<Ticket>),
    /// Partition owners acknowledged the outcomes of these tickets.
    Acknowledged(Vec<Ticket>),
    Tick,
    /// The node is shutting down: nothing starts any more, and items that wait or run on engines
    /// go back to their owners.
    Drain,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the item at the replica; `text` holds the tokens received so far.
    Start { execution: Execution, upstream: Upstream, work: Work, text: Vec<String> },
    /// Cancel the execution at the replica and apply [`Event::Cancelled`] afterwards.
    Cancel { execution: Execution, upstream: Upstream },
    /// Request items from partition owners.
    Pull { capacity: Vec<Capacity>, holding: Vec<Ticket> },
    /// Report to the partition owners which of their items this node still holds.
    RenewHolding(Vec<Ticket>),
    /// Send outcomes to partition owners.
    ReportOutcomes(Vec<RunOutcome>),
    /// Notify the runners of the following replicas in the fill order that online work may arrive
    /// there next.
    NotifyFollowing { upstream: Upstream },
    /// Record the time from the arrival of online work until the last batch stream left the
    /// replica.
    RecordYield { upstream: Upstream, elapsed: Millis },
}
