//! Results that have not been read back from the partition's stream yet.

use std::collections::BTreeMap;

use crate::{
    batch::record::{ItemResult, Outcome, PartitionRecord as Record},
    id::{Epoch, Item, Job},
};

/// Outcomes to append to the log. Bounded because the ledger grants nothing while too many wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// Never holds an empty map.
    results: BTreeMap<Job, BTreeMap<Item, ItemResult>>,
    /// Outcomes of items whose `custom_id` is being looked up.
    without_custom_id: BTreeMap<(Job, Item), Outcome>,
    /// The `custom_id` of granted items.
    custom_ids: BTreeMap<(Job, Item), String>,
}

impl Outbox {
    /// Adds an outcome. Returns false if the item's `custom_id` must be looked up first.
    pub(super) fn add(&mut self, job: &Job, item: Item, outcome: Outcome) -> bool {
        let key = (job.clone(), item);
        let Some(custom_id) = self.custom_ids.remove(&key) else {
            self.without_custom_id.insert(key, outcome);
            return false;
        };
        self.insert_result(key.0, ItemResult { item, custom_id, outcome });
        true
    }

    /// Sets an item's `custom_id`.
    pub(super) fn set_custom_id(&mut self, job: Job, item: Item, custom_id: String) {
        match self.without_custom_id.remove(&(job.clone(), item)) {
            Some(outcome) => self.insert_result(job, ItemResult { item, custom_id, outcome }),
            None => {
                self.custom_ids.insert((job, item), custom_id);
            }
        }
    }

    /// Removes items whose results the stream now holds.
    pub(super) fn remove(&mut self, job: &Job, items: &[Item]) {
        for item in items {
            self.custom_ids.remove(&(job.clone(), *item));
            self.without_custom_id.remove(&(job.clone(), *item));
        }
        let Some(results) = self.results.get_mut(job) else { return };
        for item in items {
            results.remove(item);
        }
        if results.is_empty() {
            self.results.remove(job);
        }
    }

    /// Removes all items of a job whose further results are ignored.
    pub(super) fn drop_job(&mut self, job: &Job) {
        let keys = (job.clone(), Item(0))..=(job.clone(), Item(u32::MAX));
        let without_custom_id: Vec<_> =
            self.without_custom_id.range(keys.clone()).map(|(key, _)| key.clone()).collect();
        let custom_ids: Vec<_> = self.custom_ids.range(keys).map(|(key, _)| key.clone()).collect();
        without_custom_id.iter().for_each(|key| drop(self.without_custom_id.remove(key)));
        custom_ids.iter().for_each(|key| drop(self.custom_ids.remove(key)));
        self.results.remove(job);
    }

    /// Whether there is no outcome to append.
    pub(super) fn is_empty(&self) -> bool {
        self.results.is_empty() && self.without_custom_id.is_empty()
    }

    /// Whether the item's outcome has not been read back yet.
    pub(super) fn contains(&self, job: &Job, item: Item) -> bool {
        let has_result = self.results.get(job).is_some_and(|results| results.contains_key(&item));
        has_result || self.without_custom_id.contains_key(&(job.clone(), item))
    }

    /// The results to append next, one record per job, up to about `limit_bytes`. They stay in the
    /// outbox until they have been read back.
    pub(super) fn next_results(&self, epoch: Epoch, limit_bytes: usize) -> Vec<Record> {
        let mut bytes = 0;
        let mut records = Vec::new();
        for (job, waiting) in &self.results {
            if bytes >= limit_bytes {
                break;
            }
            let mut results = Vec::new();
            for result in waiting.values() {
                if bytes >= limit_bytes {
                    break;
                }
                bytes += result.outcome.bytes() + result.custom_id.len();
                results.push(result.clone());
            }
            records.push(Record::Results { epoch, job: job.clone(), results });
        }
        records
    }

    fn insert_result(&mut self, job: Job, result: ItemResult) {
        self.results.entry(job).or_default().insert(result.item, result);
    }
}
