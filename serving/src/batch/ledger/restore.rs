//! Restores a ledger from the records of its partition.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::{catalog::RouteKey, id::Job as JobId, log_store, time::Millis};

use super::{
    super::record::{self, Failure, Head, Key, Outcome, RunId},
    Ledger,
    job::{Job, Progress},
};

impl Ledger {
    /// Restores the ledger from the newest record of each key. Records that can't be decoded are
    /// logged and left out, and so are jobs whose head is incomplete.
    ///
    /// `wall` (Unix milliseconds) and `now` are the same instant on two clocks. `due_after`
    /// returns the time from the submission of a job until its results are due.
    pub fn restore(
        records: &[log_store::Record],
        wall: u64,
        now: Millis,
        due_after: impl Fn(&Head) -> Millis,
    ) -> Ledger {
        let mut heads: BTreeMap<JobId, BTreeMap<u32, Bytes>> = BTreeMap::new();
        let mut outcomes: BTreeMap<JobId, BTreeMap<u32, Outcome>> = BTreeMap::new();
        let mut progress: BTreeMap<JobId, BTreeMap<u32, Progress>> = BTreeMap::new();
        let mut failures: BTreeMap<JobId, Vec<(u32, RunId, Failure)>> = BTreeMap::new();
        let mut routes: BTreeMap<JobId, RouteKey> = BTreeMap::new();
        let mut cancelled = BTreeSet::new();
        for entry in records {
            let (Some(key), Some(value)) = (Key::decode(&entry.key), &entry.value) else {
                log::warn!(key = entry.key.as_str(); "ignored a batch record with an invalid key or without a value");
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
                        log::error!(key = entry.key.as_str(), error:% = error; "could not decode the result of an item");
                    }
                },
                Key::Progress { job, item } => match postcard::from_bytes::<Progress>(value) {
                    // Older nodes save output that no result can hold.
                    Ok(saved) if std::str::from_utf8(&saved.output).is_err() => {
                        log::warn!(key = entry.key.as_str(); "the progress of an item isn't UTF-8; the item restarts from its beginning");
                    }
                    Ok(saved) => {
                        progress.entry(job).or_default().insert(item, saved);
                    }
                    Err(error) => {
                        log::warn!(key = entry.key.as_str(), error:% = error; "could not decode the progress of an item; the item restarts from its beginning");
                    }
                },
                Key::Failure { job, item, run } => match postcard::from_bytes(value) {
                    Ok(failure) => {
                        failures.entry(job).or_default().push((item, run, failure));
                    }
                    Err(error) => {
                        log::warn!(key = entry.key.as_str(), error:% = error; "could not decode a failed run of an item; it doesn't count");
                    }
                },
                Key::Route { job } => match postcard::from_bytes(value) {
                    Ok(route) => {
                        routes.insert(job, route);
                    }
                    Err(error) => {
                        log::warn!(key = entry.key.as_str(), error:% = error; "could not decode the route of a job; it is found by the path of the submission");
                    }
                },
                Key::Cancelled { job } => {
                    cancelled.insert(job);
                }
            }
        }
        let mut ledger = Ledger::default();
        for (id, chunks) in heads {
            let head = match record::decode_head(&chunks) {
                Some(Ok(head)) => Head { route: routes.remove(&id), ..head },
                Some(Err(error)) => {
                    log::error!(job = id.0.as_str(), error:% = error; "could not decode the head of a job");
                    continue;
                }
                // The chunk that commits the job was never written, so the job was never accepted.
                None => {
                    log::warn!(job = id.0.as_str(); "ignored a job whose head is incomplete");
                    let key = |chunk: &u32| Key::Head { job: id.clone(), chunk: *chunk };
                    ledger.obsolete.extend(chunks.keys().map(|chunk| record::delete(&key(chunk))));
                    continue;
                }
            };
            let age = Millis(wall.saturating_sub(head.accepted));
            let due = now + due_after(&head) - age;
            let mut job = Job::new(head, due, chunks.len());
            job.durable = true;
            for (_, outcome) in outcomes.remove(&id).unwrap_or_default() {
                job.finish_item(outcome);
            }
            for (item, progress) in progress.remove(&id).unwrap_or_default() {
                job.restore_progress(item, progress, now);
            }
            let known = failures.remove(&id).unwrap_or_default();
            for (item, run, failure) in known {
                if !job.restore_failure(item, run, failure) {
                    let key = Key::Failure { job: id.clone(), item, run };
                    ledger.obsolete.push(record::delete(&key));
                }
            }
            job.listed = job.results.len();
            job.cancelled = cancelled.remove(&id);
            ledger.jobs.insert(id.clone(), job);
            ledger.make_ready(&id);
        }
        // Older nodes write the cancellation of a job that the log has refused.
        let of_no_job = cancelled.into_iter().map(|job| Key::Cancelled { job });
        ledger.obsolete.extend(of_no_job.map(|key| record::delete(&key)));
        ledger.obsolete.extend(routes.into_keys().map(|job| record::delete(&Key::Route { job })));
        // Nodes that don't know these records leave them behind when they remove a job.
        for (job, runs) in failures {
            let key = |(item, run, _)| Key::Failure { job: job.clone(), item, run };
            ledger.obsolete.extend(runs.into_iter().map(|run| record::delete(&key(run))));
        }
        ledger
    }
}
