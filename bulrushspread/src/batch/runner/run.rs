//! One item that a runner holds, from its grant until the partition owner acknowledges its outcome.

use crate::{
    batch::message::{RunEnd, Work},
    id::Upstream,
    time::Millis,
};

use super::message::Execution;

/// An item and its progress.
#[derive(Clone, Debug)]
pub struct Run {
    pub work: Work,
    pub due: Millis,
    /// The deployment or plain service that runs the item.
    pub serves: String,
    /// The tokens received so far. The length is the index of the next token.
    pub text: Vec<String>,
    pub phase: Phase,
    /// Number of executions so far, which is also the number of the current one.
    pub execution_count: u32,
    /// Time spent running in earlier executions.
    pub run_time: Millis,
    /// The item was one of several on an upstream that crashed, so it may have caused the crash.
    pub suspect: bool,
    /// Number of tokens that the run already had when the current execution started.
    pub resumed_from: usize,
    /// Number of executions that the upstream rejected, or whose connection broke before a token.
    pub fruitless: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    Waiting {
        since: Millis,
        /// Earliest time of the next execution.
        not_before: Millis,
    },
    Running {
        upstream: Upstream,
        since: Millis,
    },
    /// Ended, but the owner has not acknowledged the outcome yet.
    Ended {
        end: RunEnd,
        /// When the outcome was last sent to the owner, if it was.
        last_reported: Option<Millis>,
    },
}

impl Run {
    pub fn new(now: Millis, work: Work, serves: String) -> Run {
        Run {
            due: now + work.due_in,
            work,
            serves,
            text: Vec::new(),
            phase: Phase::Waiting { since: now, not_before: now },
            execution_count: 0,
            run_time: Millis(0),
            suspect: false,
            resumed_from: 0,
            fruitless: 0,
        }
    }

    /// The current or, while waiting, the last execution.
    pub fn execution(&self) -> Execution {
        Execution { ticket: self.work.ticket.clone(), number: self.execution_count }
    }

    /// The replica that runs the item now.
    pub fn upstream(&self) -> Option<&Upstream> {
        match &self.phase {
            Phase::Running { upstream, .. } => Some(upstream),
            Phase::Waiting { .. } | Phase::Ended { .. } => None,
        }
    }

    /// Stops counting running time. The next execution starts after `delay` at the earliest.
    pub fn pause(&mut self, now: Millis, delay: Millis) {
        if let Phase::Running { since, .. } = self.phase {
            self.run_time = self.run_time + (now - since);
        }
        self.phase = Phase::Waiting { since: now, not_before: now + delay };
    }

    pub fn end(&mut self, end: RunEnd) {
        self.phase = Phase::Ended { end, last_reported: None };
    }

    /// Total time spent running over all executions, pauses excluded.
    pub fn running_time(&self, now: Millis) -> Millis {
        match self.phase {
            Phase::Running { since, .. } => self.run_time + (now - since),
            Phase::Waiting { .. } | Phase::Ended { .. } => self.run_time,
        }
    }
}
