//! One job and where its items stand.

use serde::{Deserialize, Serialize};

use crate::{id::Job as JobId, time::Millis};

use super::super::record::{Head, Outcome};

/// Names an item of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemId {
    pub job: JobId,
    pub index: u32,
}

/// What is left of an item between two runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The data of the events so far, joined by line feeds.
    pub output: Vec<u8>,
    /// Whole events received.
    pub events: u64,
    /// The number of the last one.
    pub last_event: Option<u64>,
}

/// Where an item stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Waiting {
        progress: Progress,
        not_before: Millis,
    },
    Running,
    /// Its result has been decided.
    Done,
}

#[derive(Clone, Debug)]
pub(super) struct Tracked {
    pub(super) stage: Stage,
    /// Answers of 500 so far.
    pub(super) failures: u32,
    /// A record of its progress is in the log.
    pub(super) saved: bool,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    pub head: Head,
    /// Results in the order of their records; those beyond `listed` aren't durable yet.
    pub results: Vec<Outcome>,
    pub listed: usize,
    /// The caller has ended the job.
    pub ended: bool,
    /// The job's records are durable.
    pub durable: bool,
    /// Records that hold the head.
    pub(super) chunks: u32,
    /// When its results are due, on the clock of this process.
    pub due: Millis,
    pub(super) items: Vec<Tracked>,
    /// Tokens of items without a result.
    pub waiting_tokens: u64,
}

impl Job {
    pub(super) fn new(head: Head, due: Millis, chunks: usize) -> Job {
        let tracked = Tracked {
            stage: Stage::Waiting { progress: Progress::default(), not_before: Millis(0) },
            failures: 0,
            saved: false,
        };
        let items = vec![tracked; head.items.len()];
        let waiting_tokens = head.items.iter().map(|item| item.tokens).sum();
        Job {
            head,
            results: Vec::new(),
            listed: 0,
            ended: false,
            durable: false,
            chunks: chunks as u32,
            due,
            items,
            waiting_tokens,
        }
    }

    /// Whether nothing is left to do.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.items.len()
    }

    /// An item goes on behind what an earlier owner has saved.
    pub(super) fn resume(&mut self, item: u32, progress: Progress) {
        let Some(tracked) = self.items.get_mut(item as usize) else { return };
        tracked.saved = true;
        if let Stage::Waiting { progress: held, .. } = &mut tracked.stage {
            *held = progress;
        }
    }

    pub(super) fn finish(&mut self, outcome: Outcome) -> Option<u32> {
        let index = outcome.item as usize;
        let tracked = self.items.get_mut(index)?;
        if tracked.stage == Stage::Done {
            return None;
        }
        tracked.stage = Stage::Done;
        self.waiting_tokens -= self.head.items[index].tokens;
        self.results.push(outcome);
        Some(self.results.len() as u32 - 1)
    }
}
