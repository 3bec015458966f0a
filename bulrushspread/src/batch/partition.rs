//! The state of a partition, replayed from its stream: its owner and the items that have ended.

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

/// Item indexes from this one on are ignored: no job has that many items.
const ITEM_LIMIT: u32 = 1 << 20;

/// The state of a partition after the records of its stream up to some position.
///
/// All readers that applied the same records have equal states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The claim in force: the first of the highest epoch.
    pub claim: Option<Claim>,
    /// Jobs with records in the stream, until [`State::remove_job`].
    pub jobs: BTreeMap<Job, Progress>,
}

/// A node's ownership of the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub epoch: Epoch,
    pub owner: Writer,
    pub released: bool,
}

/// The progress of one job according to the partition's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    pub cancelled: bool,
    /// Items with a terminal result. No item is added once `cancelled` is set.
    pub ended: ItemSet,
    /// Number of items in `ended` that completed; the others failed.
    pub completed: u32,
    /// Items with an intent record: they may have run and must not run again.
    pub intended: ItemSet,
    /// Offsets of the appends that hold results of the job.
    pub offsets: Offsets,
    /// Position of the latest index of the results.
    pub index: Option<Position>,
}

impl Progress {
    /// Final counts of a job of `total` items: items without a result count as cancelled if the job
    /// was cancelled.
    pub fn counts(&self, total: u32) -> Counts {
        let ended = u64::from(self.ended.len());
        let completed = u64::from(self.completed);
        let total = u64::from(total);
        let cancelled = if self.cancelled { total.saturating_sub(ended) } else { 0 };
        Counts { total, completed, failed: ended - completed, cancelled }
    }
}

/// The change that a record made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The record changed nothing: it is late, repeated or written by a former owner.
    Ignored,
    Claimed(Claim),
    Released,
    Intended(Job, Vec<Item>),
    /// These items got their result with this record.
    Ended(Job, Vec<Item>),
    Cancelled(Job),
    Indexed(Job, Position),
}

impl State {
    /// Applies the next record of the stream.
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

    /// Removes the progress of a job that has finished.
    pub fn remove_job(&mut self, job: &Job) {
        self.jobs.remove(job);
    }

    /// The epoch for a new claim, where `applied_to` is the position of the last applied record.
    ///
    /// The epoch is also higher than the offset of that record. Offsets only grow, so it exceeds
    /// the epochs of claims that have already expired from the log.
    pub fn next_epoch(&self, applied_to: Option<Position>) -> Epoch {
        let after = self.claim.as_ref().map_or(1, |claim| claim.epoch.0 + 1);
        let offset = applied_to.map_or(0, |position| position.offset.0 + 1);
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
