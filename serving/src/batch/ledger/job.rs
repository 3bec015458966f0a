//! One batch job and the state of its items.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    fleet::Software,
    id::{Job as JobId, Upstream},
    time::Millis,
};

use super::super::record::{Failure, Head, Outcome, RunId};

/// Identifies an item by its job and its index in the job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemId {
    pub job: JobId,
    pub index: u32,
}

/// Output that the runs of an unfinished item have received. The next run resumes after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The data of all events so far, joined by line feeds.
    pub output: Vec<u8>,
    /// Number of complete events with data.
    pub events: u64,
    /// Id of the last event, if events have ids.
    pub last_event: Option<u64>,
    /// What the upstream ran that sent the output. Another software can't continue it.
    pub software: Option<Software>,
}

impl Progress {
    pub fn is_empty(&self) -> bool {
        self.events == 0 && self.last_event.is_none()
    }
}

/// Processing stage of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// May start from `not_before` on, after `progress`.
    Waiting {
        progress: Progress,
        not_before: Millis,
        /// When the item began to wait.
        since: Millis,
    },
    Running,
    /// The result of the item is decided.
    Done,
}

/// State of one item.
#[derive(Clone, Debug)]
pub(super) struct TrackedItem {
    pub(super) stage: Stage,
    /// Failed runs whose records were written, and have to be deleted with the item.
    pub(super) failures: BTreeSet<RunId>,
    /// A failed run has shown that no run can succeed.
    pub(super) is_impossible: bool,
    /// A record of the item's progress was written, and has to be deleted with the item.
    pub(super) saved: bool,
    /// Upstreams whose output can't be stored, by run. Later owners begin anew.
    pub(super) unstorable: Vec<Upstream>,
}

/// A job with its results and the state of its items.
#[derive(Clone, Debug)]
pub struct Job {
    pub head: Head,
    /// Results in the order of their records.
    pub results: Vec<Outcome>,
    /// Number of durable results, the first of `results`. Only these are shown to callers.
    pub listed: usize,
    /// The job was cancelled by its caller.
    pub cancelled: bool,
    /// The job's records are durable.
    pub durable: bool,
    /// Number of records that hold the head.
    pub(super) head_chunks: u32,
    /// When the results are due, on the clock of this process.
    pub due: Millis,
    pub(super) items: Vec<TrackedItem>,
    /// Tokens of all items without a result, running ones included.
    pub waiting_tokens: u64,
    /// Memory of the items and of all results so far, in bytes.
    memory_bytes: usize,
}

impl Job {
    pub(super) fn new(head: Head, due: Millis, head_chunks: usize) -> Job {
        let tracked = TrackedItem {
            stage: Stage::Waiting {
                progress: Progress::default(),
                not_before: Millis(0),
                since: Millis(0),
            },
            failures: BTreeSet::new(),
            is_impossible: false,
            saved: false,
            unstorable: Vec::new(),
        };
        let items = vec![tracked; head.items.len()];
        let (waiting_tokens, memory_bytes) = (head.tokens(), head.memory_bytes());
        Job {
            head,
            results: Vec::new(),
            listed: 0,
            cancelled: false,
            durable: false,
            head_chunks: head_chunks as u32,
            due,
            items,
            waiting_tokens,
            memory_bytes,
        }
    }

    /// Memory that the job takes up, in bytes. Until its records are written, they take up as much again.
    pub fn memory_bytes(&self) -> usize {
        if self.durable { self.memory_bytes } else { 2 * self.memory_bytes }
    }

    /// Whether every item has a result.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.items.len()
    }

    /// Restores the progress of an item that an earlier owner has saved.
    pub(super) fn restore_progress(&mut self, item: u32, progress: Progress, now: Millis) {
        let Some(tracked) = self.items.get_mut(item as usize) else { return };
        tracked.saved = true;
        if let Stage::Waiting { progress: stored, since, .. } = &mut tracked.stage {
            (*stored, *since) = (progress, now);
        }
    }

    /// Restores a failed run of an item. Returns false if the item has a result, so that its record is
    /// no longer needed.
    pub(super) fn restore_failure(&mut self, item: u32, run: RunId, failure: Failure) -> bool {
        let Some(tracked) = self.items.get_mut(item as usize) else { return false };
        if tracked.stage == Stage::Done {
            return false;
        }
        tracked.failures.insert(run);
        tracked.is_impossible |= failure == Failure::Impossible;
        true
    }

    /// Stores the result of an item. Returns its position among the results, or `None` if there
    /// is no such item or it already has a result.
    pub(super) fn finish_item(&mut self, outcome: Outcome) -> Option<u32> {
        let index = outcome.item as usize;
        let tracked = self.items.get_mut(index)?;
        if tracked.stage == Stage::Done {
            return None;
        }
        tracked.stage = Stage::Done;
        self.waiting_tokens = self.waiting_tokens.saturating_sub(self.head.items[index].tokens);
        self.memory_bytes += outcome.output.len();
        self.results.push(outcome);
        Some(self.results.len() as u32 - 1)
    }
}
