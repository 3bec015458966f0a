//! Messages between partition owners, batch runners and the nodes that dispatch online requests.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Deployment, Epoch, Item, Job, Model, Partition, Upstream, Workspace},
    time::Millis,
};

use super::view::Counts;

/// What nodes tell one another about batch work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Runner to partition owner: asks for items and says what it holds. Answered by `Grant`.
    Pull(Pull),
    Grant(Grant),
    /// Runner to partition owner: how items ended. Answered once the owner has taken them over.
    Outcomes(Outcomes),
    /// Partition owner to runner: these items must stop.
    Stop(Stop),
    /// Any node to a runner: online work was dispatched to an upstream of the runner.
    Yield(Yield),
    /// Any node to a partition owner: may an item of the cancelled job still start? Answered by
    /// `Ended`.
    #[serde(rename = "Cancelled")]
    QueryCancelled(Partition, Job),
    #[serde(rename = "Ended")]
    CancelledReply(bool),
    /// Any node to a partition owner: how many items have ended? Answered by `Counted`.
    #[serde(rename = "Count")]
    QueryCounts(Partition, Job),
    #[serde(rename = "Counted")]
    CountsReply(Option<Counts>),
}

/// Names one run of one item. Of an older epoch or attempt only an answer counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    #[serde(rename = "lane")]
    pub partition: Partition,
    pub epoch: Epoch,
    pub job: Job,
    pub item: Item,
    /// Counts the runs of the item, from one.
    pub attempt: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    #[serde(rename = "lanes")]
    pub partitions: Vec<Partition>,
    /// Room for more items, per deployment.
    #[serde(rename = "room")]
    pub capacity: Vec<Capacity>,
    /// What the runner holds of these partitions; the owner takes back what is missing.
    pub holding: Vec<Ticket>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    pub deployment: Deployment,
    pub models: Vec<Model>,
    pub items: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Most urgent first.
    pub work: Vec<Work>,
}

/// An item as a runner gets it.
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
    /// The model of the request, where the path is a model's.
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
    /// The upstream answered; `body` is the JSON that the result line carries.
    Answered { status: u16, body: String },
    /// The run gave no answer, and running again may help.
    Failed { reason: String },
    /// The upstream died while it ran the item.
    Crashed { reason: String },
    /// The request was sent and the outcome can't be learnt.
    Unknown { reason: String },
    /// Nothing was sent to an upstream; the item goes back unharmed.
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

/// How close online work has come to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Arrival {
    /// The sender has this many online requests in flight there. The sequence number grows with
    /// each count of the sender; datagrams may arrive out of order.
    #[serde(rename = "Here")]
    SameUpstream { sequence: u64, in_flight: u32 },
    /// Online work has reached an upstream just before this one in the common order.
    #[serde(rename = "Near")]
    PrecedingUpstream,
}
