//! Messages between partition owners, batch runners and the nodes that dispatch online requests.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Deployment, Epoch, Item, Job, Model, Partition, Upstream, Workspace},
    time::Millis,
};

use super::view::Counts;

/// A message about batch work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Runner to partition owner: requests items and lists the runs that the runner holds. Answered
    /// with `Grant`.
    Pull(Pull),
    Grant(Grant),
    /// Runner to partition owner: how runs ended. Acknowledged once the runner may drop them.
    Outcomes(Outcomes),
    /// Partition owner to runner: order to stop these runs.
    Stop(Stop),
    /// Any node to a runner: online requests were dispatched to an upstream of the runner, or close
    /// to one.
    Yield(Yield),
    /// Any node to a partition owner: asks whether the job is cancelled and none of its items can
    /// start or is still running. Answered with `CancelledReply`.
    #[serde(rename = "Cancelled")]
    QueryCancelled(Partition, Job),
    #[serde(rename = "Ended")]
    CancelledReply(bool),
    /// Any node to a partition owner: asks for the counts of a job. Answered with `CountsReply`.
    #[serde(rename = "Count")]
    QueryCounts(Partition, Job),
    #[serde(rename = "Counted")]
    CountsReply(Option<Counts>),
}

/// Identifies one run of one item. Of a run of an older epoch or attempt only a response counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    #[serde(rename = "lane")]
    pub partition: Partition,
    pub epoch: Epoch,
    pub job: Job,
    pub item: Item,
    /// Number of the run among the runs of the item, from one.
    pub attempt: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    #[serde(rename = "lanes")]
    pub partitions: Vec<Partition>,
    /// Capacity for more items, per deployment or plain service.
    #[serde(rename = "room")]
    pub capacity: Vec<Capacity>,
    /// The runs of these partitions that the runner holds. The owner queues the items of missing
    /// runs again.
    pub holding: Vec<Ticket>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// The deployment, or the name of the plain service.
    pub deployment: Deployment,
    pub models: Vec<Model>,
    pub items: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Most urgent first.
    pub work: Vec<Work>,
}

/// An item granted to a runner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    pub ticket: Ticket,
    pub workspace: Workspace,
    /// Time left until the job is due.
    pub due_in: Millis,
    /// False for items whose calls must not be repeated.
    pub idempotent: bool,
    /// The path of the request, such as `/v1/chat/completions` or `/services/{service}/{path}`.
    pub url: String,
    /// The model of the request, if the path is that of a model API.
    pub model: Option<Model>,
    /// The JSON body of the request.
    pub body: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    pub outcomes: Vec<RunOutcome>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunOutcome {
    pub ticket: Ticket,
    pub end: RunEnd,
}

/// How one run of an item ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The upstream responded. `body` is the JSON for the result line.
    Answered { status: u16, body: String },
    /// The upstream answered with a failure, or not in time; a retry may succeed.
    Failed { reason: String },
    /// The upstream crashed while it ran the item.
    Crashed { reason: String },
    /// The request was sent and its outcome is unknown.
    Unknown { reason: String },
    /// No upstream made progress with the item; the run does not count as an attempt.
    Returned,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    pub tickets: Vec<Ticket>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Yield {
    pub upstream: Upstream,
    pub arrival: Arrival,
}

/// The upstream that received online requests, relative to an upstream of the runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Arrival {
    /// The runner's upstream itself: the sender has this many online requests in flight on it.
    /// `sequence` grows with each count of the sender, because datagrams may arrive out of order.
    #[serde(rename = "Here")]
    SameUpstream { sequence: u64, in_flight: u32 },
    /// The upstream just before the runner's one in the order of upstreams that all nodes share.
    #[serde(rename = "Near")]
    PrecedingUpstream,
}
