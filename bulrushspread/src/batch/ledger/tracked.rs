//! An unfinished job in the ledger and the state of each of its items.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    batch::{items::ItemSet, message::Ticket},
    id::{Item, Job, Vm, Workspace},
    time::Millis,
};

use super::queue::{Entry, Pool};

/// The properties of a job that scheduling depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    pub job: Job,
    pub workspace: Workspace,
    /// The weight of the workspace in fair sharing.
    pub weight: u32,
    pub pool: Pool,
    /// Wall-clock deadline. Only used to order jobs.
    pub due_at: Millis,
    pub total: u32,
    pub idempotent: bool,
}

impl JobSpec {
    /// The job's entry in the queue.
    pub fn entry(&self) -> Entry {
        Entry { due_at: self.due_at, job: self.job.clone() }
    }
}

/// A granted run of an item that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub runner: Vm,
    pub ticket: Ticket,
    pub granted_at: Millis,
}

/// Counts of an item's runs so far, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All runs, including returned ones. The attempt number of the latest ticket.
    pub runs: u32,
    pub failures: u32,
    pub crashes: u32,
    pub losses: u32,
}

/// An unfinished job.
///
/// Each item is in exactly one state: not yet started (from `cursor` on), `requeued`, `delayed`
/// until a retry or as an orphan, `running`, `unconfirmed` or `ended`.
#[derive(Clone, Debug)]
pub struct TrackedJob {
    pub spec: JobSpec,
    /// Items whose result has been read back from the log.
    pub ended: ItemSet,
    /// Items with a durable intent record, which only non-idempotent jobs have.
    pub intended: ItemSet,
    /// Items whose result has not been read back from the log, with its size in bytes.
    pub unconfirmed: BTreeMap<Item, usize>,
    pub running: BTreeMap<Item, Run>,
    /// Items to run again without delay.
    pub requeued: BTreeSet<Item>,
    /// Items that must not run until a retry or orphan timer of the ledger fires.
    pub delayed: BTreeSet<Item>,
    pub tallies: BTreeMap<Item, Tally>,
    /// Index of the first item that has not been considered yet.
    cursor: u32,
}

impl TrackedJob {
    pub fn new(spec: JobSpec, ended: ItemSet, intended: ItemSet) -> TrackedJob {
        TrackedJob {
            spec,
            ended,
            intended,
            unconfirmed: BTreeMap::new(),
            running: BTreeMap::new(),
            requeued: BTreeSet::new(),
            delayed: BTreeSet::new(),
            tallies: BTreeMap::new(),
            cursor: 0,
        }
    }

    /// Removes and returns the next item to run.
    pub fn pop_next(&mut self) -> Option<Item> {
        while let Some(item) = self.requeued.pop_first() {
            if self.is_ready(item) {
                return Some(item);
            }
        }
        while self.cursor < self.spec.total {
            let item = Item(self.cursor);
            self.cursor += 1;
            if self.is_ready(item) && !self.intended.contains(item) {
                return Some(item);
            }
        }
        None
    }

    /// Whether the item exists and has no outcome. It may be running.
    pub fn is_open(&self, item: Item) -> bool {
        item.0 < self.spec.total
            && !self.ended.contains(item)
            && !self.unconfirmed.contains_key(&item)
    }

    /// Whether the item may be started now.
    fn is_ready(&self, item: Item) -> bool {
        self.is_open(item) && !self.running.contains_key(&item) && !self.delayed.contains(&item)
    }

    /// Whether items of the job may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.spec.idempotent
    }

    /// Items with an intent that have no outcome and no known run: they may have run.
    pub fn orphans(&self) -> Vec<Item> {
        let open = |item: &Item| self.is_open(*item) && !self.running.contains_key(item);
        self.intended.iter().filter(open).collect()
    }
}
