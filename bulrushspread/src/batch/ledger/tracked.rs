//! One unfinished job in the ledger: where each of its items stands.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    batch::{items::ItemSet, message::Ticket},
    id::{Item, Job, Vm, Workspace},
    time::Millis,
};

use super::queue::{Entry, Pool};

/// What the ledger needs to know of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    pub job: Job,
    pub workspace: Workspace,
    /// The workspace's share relative to others.
    pub weight: u32,
    pub pool: Pool,
    /// Wall clock. Only its order counts.
    pub due_at: Millis,
    pub total: u32,
    pub idempotent: bool,
}

impl JobSpec {
    /// The job's place in the queue.
    pub fn entry(&self) -> Entry {
        Entry { due_at: self.due_at, job: self.job.clone() }
    }
}

/// A run of an item that has been granted and has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub runner: Vm,
    pub ticket: Ticket,
    pub granted_at: Millis,
}

/// How the runs of an item went so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Numbers the tickets; runs that ended without harm count as well.
    pub runs: u32,
    pub failures: u32,
    pub crashes: u32,
    pub losses: u32,
}

/// Each item is in exactly one state: not yet started (from `cursor` on), `again`, waiting for a
/// retry, `running`, `ending`, orphaned or `ended`.
#[derive(Clone, Debug)]
pub struct Tracked {
    pub spec: JobSpec,
    /// Items with a terminal record that has been read back.
    pub ended: ItemSet,
    /// Items of a non-idempotent job with a durable intent.
    pub intended: ItemSet,
    /// Items whose terminal record has not been read back, and its bytes.
    pub ending: BTreeMap<Item, usize>,
    pub running: BTreeMap<Item, Run>,
    /// Items to run again at once.
    pub again: BTreeSet<Item>,
    /// Items that are neither pending nor running, until a timer of the ledger ends.
    pub waiting: BTreeSet<Item>,
    pub tallies: BTreeMap<Item, Tally>,
    /// Items before this one have been looked at.
    cursor: u32,
}

impl Tracked {
    pub fn new(spec: JobSpec, ended: ItemSet, intended: ItemSet) -> Tracked {
        Tracked {
            spec,
            ended,
            intended,
            ending: BTreeMap::new(),
            running: BTreeMap::new(),
            again: BTreeSet::new(),
            waiting: BTreeSet::new(),
            tallies: BTreeMap::new(),
            cursor: 0,
        }
    }

    /// Takes the next item to run.
    pub fn take(&mut self) -> Option<Item> {
        while let Some(item) = self.again.pop_first() {
            if self.is_free(item) {
                return Some(item);
            }
        }
        while self.cursor < self.spec.total {
            let item = Item(self.cursor);
            self.cursor += 1;
            if self.is_free(item) && !self.intended.contains(item) {
                return Some(item);
            }
        }
        None
    }

    /// Whether the item neither runs nor has an outcome.
    pub fn is_open(&self, item: Item) -> bool {
        item.0 < self.spec.total && !self.ended.contains(item) && !self.ending.contains_key(&item)
    }

    /// Whether a run of the item may be started.
    fn is_free(&self, item: Item) -> bool {
        self.is_open(item) && !self.running.contains_key(&item) && !self.waiting.contains(&item)
    }

    /// Whether a second run of the item does no harm.
    pub fn may_repeat(&self) -> bool {
        self.spec.idempotent
    }

    /// The items that may have run and have no outcome.
    pub fn orphans(&self) -> Vec<Item> {
        let open = |item: &Item| self.is_open(*item) && !self.running.contains_key(item);
        self.intended.iter().filter(open).collect()
    }
}
