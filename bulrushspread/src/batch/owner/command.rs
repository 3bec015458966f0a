//! Commands to the task of a partition.

use tokio::sync::oneshot;

use crate::{
    batch::{
        message::{Grant, Pull, RunOutcome},
        view::Counts,
    },
    id::{Job, Vm},
};

use super::state::Event;

/// A request or an event for one partition.
#[derive(Debug)]
pub(crate) enum Command {
    Pull {
        runner: Vm,
        pull: Pull,
        reply: oneshot::Sender<Grant>,
    },
    /// Answered with false if this node does not own the partition or the log does not acknowledge
    /// the results in time.
    Outcomes {
        outcomes: Vec<RunOutcome>,
        reply: oneshot::Sender<bool>,
    },
    /// Asks whether the job is cancelled and none of its items can start or is still running.
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
