//! Results that have not been read back from the partition's stream.

use std::collections::BTreeMap;

use crate::{
    batch::record::{ItemResult, Outcome, PartitionRecord as Record},
    id::{Epoch, Item, Job},
};

/// Outcomes on their way into the log. Bounded by what the ledger lets end.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// Never holds an empty map.
    results: BTreeMap<Job, BTreeMap<Item, ItemResult>>,
    /// Outcomes whose `custom_id` has been asked for.
    unnamed: BTreeMap<(Job, Item), Outcome>,
    /// `custom_id` of items that run.
    names: BTreeMap<(Job, Item), String>,
}

impl Outbox {
    /// Adds an outcome. False if the item's `custom_id` has to be looked up first.
    pub(super) fn add(&mut self, job: &Job, item: Item, outcome: Outcome) -> bool {
        let key = (job.clone(), item);
        let Some(custom_id) = self.names.remove(&key) else {
            self.unnamed.insert(key, outcome);
            return false;
        };
        self.put(key.0, ItemResult { item, custom_id, outcome });
        true
    }

    /// Notes an item's `custom_id`.
    pub(super) fn name(&mut self, job: Job, item: Item, custom_id: String) {
        match self.unnamed.remove(&(job.clone(), item)) {
            Some(outcome) => self.put(job, ItemResult { item, custom_id, outcome }),
            None => {
                self.names.insert((job, item), custom_id);
            }
        }
    }

    /// Drops what the stream now holds.
    pub(super) fn remove(&mut self, job: &Job, items: &[Item]) {
        for item in items {
            self.names.remove(&(job.clone(), *item));
            self.unnamed.remove(&(job.clone(), *item));
        }
        let Some(results) = self.results.get_mut(job) else { return };
        for item in items {
            results.remove(item);
        }
        if results.is_empty() {
            self.results.remove(job);
        }
    }

    /// Drops all of a job whose further results don't count.
    pub(super) fn drop_job(&mut self, job: &Job) {
        let all = (job.clone(), Item(0))..=(job.clone(), Item(u32::MAX));
        let unnamed: Vec<_> = self.unnamed.range(all.clone()).map(|(key, _)| key.clone()).collect();
        let names: Vec<_> = self.names.range(all).map(|(key, _)| key.clone()).collect();
        unnamed.iter().for_each(|key| drop(self.unnamed.remove(key)));
        names.iter().for_each(|key| drop(self.names.remove(key)));
        self.results.remove(job);
    }

    /// Whether no outcome waits.
    pub(super) fn is_empty(&self) -> bool {
        self.results.is_empty() && self.unnamed.is_empty()
    }

    /// Whether the item's outcome waits.
    pub(super) fn contains(&self, job: &Job, item: Item) -> bool {
        let waits = self.results.get(job).is_some_and(|results| results.contains_key(&item));
        waits || self.unnamed.contains_key(&(job.clone(), item))
    }

    /// Results to append next, one record a job, up to about `limit_bytes`.
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

    fn put(&mut self, job: Job, result: ItemResult) {
        self.results.entry(job).or_default().insert(result.item, result);
    }
}
