//! Rebuilds a ledger from the records of its partition.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::{id::Job as JobId, log_store, time::Millis};

use super::{
    super::record::{self, Head, Key, Outcome},
    Ledger,
    job::{Job, Progress},
};

impl Ledger {
    /// Rebuilds the ledger from the newest records of its partition. `wall` and `now` are the
    /// same instant; `due_after` gives the time for the results of a head.
    pub fn restore(
        records: &[log_store::Record],
        wall: u64,
        now: Millis,
        due_after: impl Fn(&Head) -> Millis,
    ) -> Ledger {
        let mut heads: BTreeMap<JobId, BTreeMap<u32, Bytes>> = BTreeMap::new();
        let mut outcomes: BTreeMap<JobId, BTreeMap<u32, Outcome>> = BTreeMap::new();
        let mut progress: BTreeMap<JobId, BTreeMap<u32, Progress>> = BTreeMap::new();
        let mut ended = BTreeSet::new();
        for entry in records {
            let (Some(key), Some(value)) = (Key::decode(&entry.key), &entry.value) else {
                log::warn!(key = entry.key.as_str(); "batch record can't be read");
                continue;
            };
            match key {
                Key::Head { job, chunk } => {
                    heads.entry(job).or_default().insert(chunk, value.clone());
                }
                Key::Outcome { job, position } => match postcard::from_bytes(value) {
                    Ok(outcome) => {
                        outcomes.entry(job).or_default().insert(position, outcome);
                    }
                    Err(error) => {
                        log::error!(key = entry.key.as_str(), error:% = error; "result can't be read");
                    }
                },
                Key::Progress { job, item } => match postcard::from_bytes(value) {
                    Ok(saved) => {
                        progress.entry(job).or_default().insert(item, saved);
                    }
                    Err(error) => {
                        log::warn!(key = entry.key.as_str(), error:% = error; "progress can't be read; the item starts anew");
                    }
                },
                Key::Ended { job } => {
                    ended.insert(job);
                }
            }
        }
        let mut ledger = Ledger::default();
        for (id, chunks) in heads {
            let head = match record::join_head(&chunks) {
                Some(Ok(head)) => head,
                Some(Err(error)) => {
                    log::error!(job = id.0.as_str(), error:% = error; "job can't be read");
                    continue;
                }
                None => {
                    log::error!(job = id.0.as_str(); "job lacks a part of its head");
                    continue;
                }
            };
            let age = Millis(wall.saturating_sub(head.accepted));
            let due = now + due_after(&head) - age;
            let mut job = Job::new(head, due, chunks.len());
            job.durable = true;
            for (_, outcome) in outcomes.remove(&id).unwrap_or_default() {
                job.finish(outcome);
            }
            for (item, progress) in progress.remove(&id).unwrap_or_default() {
                job.resume(item, progress);
            }
            job.listed = job.results.len();
            job.ended = ended.contains(&id);
            ledger.jobs.insert(id.clone(), job);
            ledger.make_ready(&id);
        }
        ledger
    }
}
