//! What goes into the state of the runners and what comes out.

use std::collections::BTreeMap;

use crate::{
    batch::message::{Capacity, RunOutcome, Ticket, Work},
    id::{Model, Upstream, Vm},
    time::Millis,
};

/// The kind of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model engine, whose streams can be cancelled and resumed.
    Engine,
    /// A plain service, whose calls run to their end.
    Service,
}

/// A replica that this node is the runner of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    pub target: Target,
    /// The deployment or plain service.
    pub serves: String,
    /// The models of the deployment; empty for a plain service.
    pub models: Vec<Model>,
    /// Requests that the replica runs at once.
    pub slots: u32,
}

/// Why a run came to an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The stream of an engine is whole. `created` counts seconds since the Unix epoch. The last
    /// token comes with the end: a run that is paused between the two would ask for one more.
    Finished { last: Option<(u32, String)>, reason: String, created: u64 },
    /// A plain service answered.
    Answered { status: u16, body: String },
    /// No byte was sent, or the upstream refused without running the request.
    NotRun { reason: String },
    /// The run broke off while the upstream stayed up.
    Broken { reason: String },
    /// The upstream died.
    Died { reason: String },
    /// The item itself can't be run.
    Invalid { reason: String },
}

/// Names one start of a run. Events of earlier starts are void.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    pub ticket: Ticket,
    /// Counts the starts of the run, from one.
    pub number: u32,
}

impl Start {
    /// The id of the stream at the engine.
    pub fn stream(&self) -> String {
        let Ticket { partition, epoch, job, item, attempt } = &self.ticket;
        format!("batch-{partition}-{epoch}-{job}-{item}-{attempt}-{}", self.number)
    }
}

/// Online requests of one node at one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    pub from: Vm,
    /// Grows with each count that the node sends. Counts may arrive out of order.
    pub sequence: u64,
    pub in_flight: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The replicas that this node is now the runner of.
    Replicas(BTreeMap<Upstream, Spec>),
    /// A node says how many online requests it has at the replica.
    Online {
        upstream: Upstream,
        count: Count,
    },
    /// Online work has reached a replica just before this one in the common order.
    Near {
        upstream: Upstream,
    },
    /// The engine's own count of running and waiting requests.
    Load {
        upstream: Upstream,
        active: u32,
        slots: u32,
    },
    /// A partition's owner has granted items.
    Granted(Vec<Work>),
    /// A pull has ended, with or without items.
    Pulled,
    /// An engine sent a token.
    Token {
        start: Start,
        index: u32,
        text: String,
    },
    Ended {
        start: Start,
        fate: Fate,
    },
    /// A cancelled stream no longer runs at the engine.
    Vacated {
        upstream: Upstream,
        start: Start,
    },
    /// These items must stop and never start again.
    Stop(Vec<Ticket>),
    /// Owners have taken over how these runs ended.
    TakenOver(Vec<Ticket>),
    Tick,
    /// The node leaves: everything goes back.
    Drain,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the item at the replica; `text` holds the tokens so far.
    Start { start: Start, upstream: Upstream, work: Work, text: Vec<String> },
    /// End the stream at the engine and say `Vacated`.
    Cancel { start: Start, upstream: Upstream },
    /// Ask the owners of partitions for items.
    Pull { room: Vec<Capacity>, holding: Vec<Ticket> },
    /// Tell the owners of partitions what this node holds of theirs.
    Hold(Vec<Ticket>),
    /// Tell the partitions' owners how runs ended.
    Tell(Vec<RunOutcome>),
    /// Tell the runners of the next replicas in the common order that online work is near.
    Warn { upstream: Upstream },
    /// Online work has the replica to itself, this long after it arrived.
    Cleared { upstream: Upstream, after: Millis },
}
