//! One item that a runner holds, from its grant until its end is taken over.

use crate::{
    batch::message::{RunEnd, Work},
    id::Upstream,
    time::Millis,
};

use super::message::Start;

/// An item and how far it has come.
#[derive(Clone, Debug)]
pub struct Run {
    pub work: Work,
    pub due: Millis,
    /// The deployment or plain service that runs the item.
    pub serves: String,
    /// The tokens so far. The next token has this length as its index.
    pub text: Vec<String>,
    pub phase: Phase,
    /// Starts so far.
    pub starts: u32,
    /// Time spent running in earlier starts.
    pub ran: Millis,
    /// The item was running on an upstream that died with others beside it.
    pub suspect: bool,
    /// The position of the current start.
    pub from: usize,
    /// Starts that the upstream did not run.
    pub refusals: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    Waiting {
        since: Millis,
        /// Not started again before this time.
        not_before: Millis,
    },
    Running {
        upstream: Upstream,
        since: Millis,
    },
    /// Ended; the owner has not taken it over yet.
    Ended {
        end: RunEnd,
        /// When the owner was last told, unless it refused.
        told: Option<Millis>,
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
            starts: 0,
            ran: Millis(0),
            suspect: false,
            from: 0,
            refusals: 0,
        }
    }

    /// The current start.
    pub fn start(&self) -> Start {
        Start { ticket: self.work.ticket.clone(), number: self.starts }
    }

    /// Where the run is running.
    pub fn upstream(&self) -> Option<&Upstream> {
        match &self.phase {
            Phase::Running { upstream, .. } => Some(upstream),
            Phase::Waiting { .. } | Phase::Ended { .. } => None,
        }
    }

    /// Stops counting running time and waits for the next start.
    pub fn pause(&mut self, now: Millis, wait: Millis) {
        if let Phase::Running { since, .. } = self.phase {
            self.ran = self.ran + (now - since);
        }
        self.phase = Phase::Waiting { since: now, not_before: now + wait };
    }

    pub fn end(&mut self, end: RunEnd) {
        self.phase = Phase::Ended { end, told: None };
    }

    /// Time spent running in all.
    pub fn running_time(&self, now: Millis) -> Millis {
        match self.phase {
            Phase::Running { since, .. } => self.ran + (now - since),
            Phase::Waiting { .. } | Phase::Ended { .. } => self.ran,
        }
    }
}
