//! What the tasks of the node ask of the task of a partition.

use tokio::sync::oneshot;

use crate::{
    batch::{
        message::{Grant, Pull, RunOutcome},
        view::Counts,
    },
    id::{Job, Vm},
};

use super::state::Event;

/// A question or an event for one partition.
#[derive(Debug)]
pub(crate) enum Command {
    Pull {
        runner: Vm,
        pull: Pull,
        reply: oneshot::Sender<Grant>,
    },
    /// Answered with false where this node does not own the partition or the log does not confirm.
    Outcomes {
        outcomes: Vec<RunOutcome>,
        reply: oneshot::Sender<bool>,
    },
    /// Whether no item of the cancelled job starts or runs any more.
    Cancelled {
        job: Job,
        reply: oneshot::Sender<bool>,
    },
    Counts {
        job: Job,
        reply: oneshot::Sender<Option<Counts>>,
    },
    Event(Event),
}
