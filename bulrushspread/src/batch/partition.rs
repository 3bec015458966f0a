//! The fold of a partition's stream: who owns the partition and which items have ended.

use std::collections::BTreeMap;

use crate::{
    id::{Epoch, Item, Job},
    journal::record::{Position, Writer},
};

use super::{
    items::ItemSet,
    record::{ItemResult, Offsets, PartitionRecord},
    view::Counts,
};

/// Items beyond this index are not of any job.
const ITEM_LIMIT: u32 = 1 << 20;

/// The state of a partition after a prefix of its stream. Equal for every reader of that prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The claim in force: the first of the highest epoch.
    pub claim: Option<Claim>,
    /// Jobs with records, until they are forgotten.
    pub jobs: BTreeMap<Job, Progress>,
}

/// A node's ownership of the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub epoch: Epoch,
    pub owner: Writer,
    pub released: bool,
}

/// What the partition's stream says about one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    pub cancelled: bool,
    /// Items with a terminal record. None is added after `cancelled` is set.
    pub ended: ItemSet,
    /// How many of `ended` completed; the others failed.
    pub completed: u32,
    /// Items that were about to run and must not run again.
    pub intended: ItemSet,
    /// Appends that hold terminal records of the job.
    pub offsets: Offsets,
    /// The last index of the results.
    pub index: Option<Position>,
}

impl Progress {
    /// Counts of a job of `total` items whose remaining items no longer run.
    pub fn counts(&self, total: u32) -> Counts {
        let ended = u64::from(self.ended.len());
        let completed = u64::from(self.completed);
        let total = u64::from(total);
        let cancelled = if self.cancelled { total.saturating_sub(ended) } else { 0 };
        Counts { total, completed, failed: ended - completed, cancelled }
    }
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the record was late, repeated or of a former owner.
    Ignored,
    Claimed(Claim),
    Released,
    Intended(Job, Vec<Item>),
    /// These items now have their result.
    Ended(Job, Vec<Item>),
    Cancelled(Job),
    Indexed(Job, Position),
}

impl State {
    /// Takes in the next record of the stream.
    pub fn apply(&mut self, position: Position, record: &PartitionRecord) -> Effect {
        match record {
            PartitionRecord::Claim { epoch, owner } => self.apply_claim(*epoch, owner),
            PartitionRecord::Release { epoch } => self.apply_release(*epoch),
            PartitionRecord::Cancel { job } => self.apply_cancel(job),
            PartitionRecord::Intent { epoch, job, items } if self.is_in_force(*epoch) => {
                self.apply_intent(job, items)
            }
            PartitionRecord::Results { epoch, job, results } if self.is_in_force(*epoch) => {
                self.apply_results(position, job, results)
            }
            PartitionRecord::Index { epoch, job, .. } if self.is_in_force(*epoch) => {
                self.progress(job).index = Some(position);
                Effect::Indexed(job.clone(), position)
            }
            PartitionRecord::Intent { .. }
            | PartitionRecord::Results { .. }
            | PartitionRecord::Index { .. } => Effect::Ignored,
        }
    }

    /// Drops what is known of a job that has finished.
    pub fn forget(&mut self, job: &Job) {
        self.jobs.remove(job);
    }

    /// The epoch that a new claim needs after the record at `folded`.
    ///
    /// Offsets only grow, so the epoch is higher than those of claims that have expired too.
    pub fn next_epoch(&self, folded: Option<Position>) -> Epoch {
        let after = self.claim.as_ref().map_or(1, |claim| claim.epoch.0 + 1);
        let offset = folded.map_or(0, |position| position.offset.0 + 1);
        Epoch(after.max(offset))
    }

    fn apply_claim(&mut self, epoch: Epoch, owner: &Writer) -> Effect {
        if self.claim.as_ref().is_some_and(|claim| claim.epoch >= epoch) {
            return Effect::Ignored;
        }
        let claim = Claim { epoch, owner: owner.clone(), released: false };
        self.claim = Some(claim.clone());
        Effect::Claimed(claim)
    }

    fn apply_release(&mut self, epoch: Epoch) -> Effect {
        match &mut self.claim {
            Some(claim) if claim.epoch == epoch && !claim.released => {
                claim.released = true;
                Effect::Released
            }
            _ => Effect::Ignored,
        }
    }

    fn apply_cancel(&mut self, job: &Job) -> Effect {
        let progress = self.progress(job);
        if progress.cancelled {
            return Effect::Ignored;
        }
        progress.cancelled = true;
        Effect::Cancelled(job.clone())
    }

    fn apply_intent(&mut self, job: &Job, items: &[Item]) -> Effect {
        let progress = self.progress(job);
        if progress.cancelled {
            return Effect::Ignored;
        }
        let valid = items.iter().filter(|item| item.0 < ITEM_LIMIT);
        for item in valid {
            progress.intended.insert(*item);
        }
        Effect::Intended(job.clone(), items.to_vec())
    }

    fn apply_results(&mut self, position: Position, job: &Job, results: &[ItemResult]) -> Effect {
        let progress = self.progress(job);
        if progress.cancelled {
            return Effect::Ignored;
        }
        let mut new_items = Vec::new();
        for result in results.iter().filter(|result| result.item.0 < ITEM_LIMIT) {
            if progress.ended.insert(result.item) {
                progress.completed += u32::from(result.outcome.is_success());
                new_items.push(result.item);
            }
        }
        if new_items.is_empty() {
            return Effect::Ignored;
        }
        progress.offsets.push(position.offset);
        Effect::Ended(job.clone(), new_items)
    }

    fn is_in_force(&self, epoch: Epoch) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.epoch == epoch && !claim.released)
    }

    fn progress(&mut self, job: &Job) -> &mut Progress {
        self.jobs.entry(job.clone()).or_default()
    }
}
