//! The jobs of one partition: what was accepted, what may run, what is listed.
//!
//! A job or result exists for callers once its record is durable. The owner of the partition
//! confirms each write; results of a job are listed in the order of their records.

mod job;
mod restore;

use std::collections::{BTreeMap, BTreeSet};

use crate::{catalog::Catalog, id::Job as JobId, log_store, time::Millis};

use super::record::{self, Head, Key, Outcome, State};

use job::{Stage, Tracked};

pub use job::{ItemId, Job, Progress};

/// Added to the time after which an item may be abandoned, for clocks that differ.
const ABANDON_MARGIN: Millis = Millis(5_000);

/// Why the items of a job are given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hopeless {
    RouteGone,
    TimeUp,
}

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Complete,
    /// The run made room or was cut off; it goes on behind its last event.
    Interrupted,
    /// The upstream answered 500.
    Failed,
    /// The upstream says that the item can never be done.
    Impossible,
}

/// The jobs of one partition.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    jobs: BTreeMap<JobId, Job>,
    /// Items that may run, by due time.
    ready: BTreeSet<(Millis, ItemId)>,
}

impl Ledger {
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Adds a job that isn't known. Its records are to be made durable, then `confirm_job` is
    /// due, else `withdraw`.
    pub fn submit(
        &mut self,
        id: &JobId,
        head: Head,
        due: Millis,
        record_bytes: usize,
    ) -> record::Result<Vec<log_store::Record>> {
        let records = record::head(id, &head, record_bytes)?;
        self.jobs.insert(id.clone(), Job::new(head, due, records.len()));
        Ok(records)
    }

    /// The record of a job is durable.
    pub fn confirm_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.durable = true;
        }
        self.make_ready(id);
    }

    /// The record of a job was not written and won't be.
    pub fn withdraw(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|job| !job.durable) {
            self.jobs.remove(id);
        }
    }

    /// The next result of a job is durable.
    pub fn confirm_result(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.listed += 1;
        }
    }

    /// The caller ends a job: nothing of it runs from now on. `None` if there is no such job.
    pub fn end(&mut self, id: &JobId) -> Option<log_store::Record> {
        let job = self.jobs.get_mut(id)?;
        job.ended = true;
        self.ready.retain(|(_, item)| item.job != *id);
        Some(record::put(&Key::Ended { job: id.clone() }, vec![1]))
    }

    /// Items that may run now, the one that is due first in front.
    pub fn runnable(&self, now: Millis) -> impl Iterator<Item = &ItemId> {
        self.ready.iter().map(|(_, item)| item).filter(move |item| {
            let stage = &self.jobs[&item.job].items[item.index as usize].stage;
            matches!(stage, Stage::Waiting { not_before, .. } if *not_before <= now)
        })
    }

    /// Events that earlier runs of a waiting item have left.
    pub fn events(&self, item: &ItemId) -> u64 {
        let job = self.jobs.get(&item.job);
        match job.map(|job| &job.items[item.index as usize].stage) {
            Some(Stage::Waiting { progress, .. }) => progress.events,
            Some(Stage::Running | Stage::Done) | None => 0,
        }
    }

    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    pub fn due(&self, item: &ItemId) -> Millis {
        self.jobs.get(&item.job).map_or(Millis(u64::MAX), |job| job.due)
    }

    /// An item is started. Returns what earlier runs have left.
    pub fn start(&mut self, item: &ItemId) -> Progress {
        let Some(job) = self.jobs.get_mut(&item.job) else { return Progress::default() };
        self.ready.remove(&(job.due, item.clone()));
        let stage = std::mem::replace(&mut job.items[item.index as usize].stage, Stage::Running);
        match stage {
            Stage::Waiting { progress, .. } => progress,
            Stage::Running | Stage::Done => Progress::default(),
        }
    }

    /// A run has got so far. Returns the record by which a later owner goes on from there.
    pub fn save(&mut self, item: &ItemId, progress: &Progress) -> Option<log_store::Record> {
        let job = self.jobs.get_mut(&item.job).filter(|job| !job.ended)?;
        let tracked = job.items.get_mut(item.index as usize)?;
        if tracked.stage == Stage::Done || progress.events == 0 {
            return None;
        }
        let key = Key::Progress { job: item.job.clone(), item: item.index };
        match postcard::to_stdvec(progress) {
            Ok(value) => {
                tracked.saved = true;
                Some(record::put(&key, value))
            }
            Err(error) => {
                log::error!(job = item.job.0.as_str(), error:% = error; "progress can't be encoded");
                None
            }
        }
    }

    /// Records of all that unfinished items have got so far, for the next owner.
    pub fn save_all(&mut self) -> Vec<log_store::Record> {
        let mut waiting = Vec::new();
        for (id, job) in &self.jobs {
            for (index, tracked) in (0u32..).zip(&job.items) {
                if let Stage::Waiting { progress, .. } = &tracked.stage
                    && progress.events > 0
                {
                    waiting.push((ItemId { job: id.clone(), index }, progress.clone()));
                }
            }
        }
        waiting.iter().filter_map(|(item, progress)| self.save(item, progress)).collect()
    }

    /// A run has ended. Returns the records of the item's result, if this decides it.
    pub fn ran(
        &mut self,
        now: Millis,
        item: &ItemId,
        end: &RunEnd,
        progress: Progress,
        max_failures: u32,
        retry: Millis,
    ) -> Vec<log_store::Record> {
        let Some(job) = self.jobs.get_mut(&item.job) else { return Vec::new() };
        let tracked = &mut job.items[item.index as usize];
        if tracked.stage == Stage::Done {
            return Vec::new();
        }
        let (state, progress, not_before) = match end {
            RunEnd::Complete => (Some(State::Succeeded), progress, now),
            RunEnd::Impossible => (Some(State::DeadLettered), Progress::default(), now),
            RunEnd::Failed => {
                tracked.failures += 1;
                let is_last = tracked.failures >= max_failures.max(1);
                (is_last.then_some(State::DeadLettered), Progress::default(), now + retry)
            }
            RunEnd::Interrupted => (None, progress, now),
        };
        if job.ended {
            tracked.stage = Stage::Waiting { progress, not_before };
            return Vec::new();
        }
        let Some(state) = state else {
            tracked.stage = Stage::Waiting { progress, not_before };
            self.ready.insert((job.due, item.clone()));
            return Vec::new();
        };
        let output = match state {
            State::Succeeded => String::from_utf8_lossy(&progress.output).into_owned(),
            State::DeadLettered => String::new(),
        };
        self.finish(&item.job, Outcome { item: item.index, state, output })
    }

    /// Jobs whose unfinished items are to be given up. A route counts as gone only in a newer
    /// configuration than the one under which the job was accepted: a node may lag behind.
    pub fn hopeless(&self, catalog: &Catalog, wall: u64) -> Vec<(JobId, Hopeless)> {
        let reason = |job: &Job| {
            let Some(route) = catalog.find(&job.head.host, &job.head.path) else {
                return (catalog.version > job.head.config).then_some(Hopeless::RouteGone);
            };
            let limit = route.abandon_after;
            let is_over = limit.0 > 0 && wall > job.head.accepted + (limit + ABANDON_MARGIN).0;
            is_over.then_some(Hopeless::TimeUp)
        };
        let open = |job: &&Job| job.durable && !job.ended && !job.is_complete();
        let jobs = self.jobs.iter().filter(|(_, job)| open(job));
        jobs.filter_map(|(id, job)| Some((id.clone(), reason(job)?))).collect()
    }

    /// Gives up the items of a job whose time or route has ended; the records of each by itself.
    /// Running ones are left alone.
    pub fn abandon(&mut self, id: &JobId) -> Vec<Vec<log_store::Record>> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let waiting = |tracked: &Tracked| matches!(tracked.stage, Stage::Waiting { .. });
        let items: Vec<u32> = (0u32..)
            .zip(&job.items)
            .filter(|(_, tracked)| waiting(tracked))
            .map(|(index, _)| index)
            .collect();
        self.ready.retain(|(_, item)| item.job != *id);
        let outcome = |item| Outcome { item, state: State::DeadLettered, output: String::new() };
        items.into_iter().map(|item| self.finish(id, outcome(item))).collect()
    }

    /// Drops jobs that were accepted before `before` (Unix milliseconds) and have ended or are
    /// complete. Returns the records that drop their keys.
    pub fn forget(&mut self, before: u64) -> Vec<log_store::Record> {
        let old: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                let over = job.ended || job.is_complete() && job.listed == job.results.len();
                job.durable && over && job.head.accepted < before
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut records = Vec::new();
        for id in old {
            let Some(job) = self.jobs.remove(&id) else { continue };
            for position in 0..job.results.len() as u32 {
                records.push(record::drop_key(&Key::Outcome { job: id.clone(), position }));
            }
            for (item, tracked) in (0u32..).zip(&job.items) {
                if tracked.saved {
                    records.push(record::drop_key(&Key::Progress { job: id.clone(), item }));
                }
            }
            if job.ended {
                records.push(record::drop_key(&Key::Ended { job: id.clone() }));
            }
            // The head goes last: without it, left-over results are not read.
            for chunk in (0..job.chunks).rev() {
                records.push(record::drop_key(&Key::Head { job: id.clone(), chunk }));
            }
        }
        records
    }

    /// Decides an item's result. The first record holds it.
    fn finish(&mut self, id: &JobId, outcome: Outcome) -> Vec<log_store::Record> {
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let item = outcome.item;
        let Some(position) = job.finish(outcome) else { return Vec::new() };
        let mut records = match record::outcome(id, position, &job.results[position as usize]) {
            Ok(record) => vec![record],
            Err(error) => {
                log::error!(job = id.0.as_str(), error:% = error; "result can't be encoded");
                Vec::new()
            }
        };
        if std::mem::take(&mut job.items[item as usize].saved) {
            records.push(record::drop_key(&Key::Progress { job: id.clone(), item }));
        }
        records
    }

    fn make_ready(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.ended {
            return;
        }
        for (index, tracked) in (0u32..).zip(&job.items) {
            if matches!(tracked.stage, Stage::Waiting { .. }) {
                self.ready.insert((job.due, ItemId { job: id.clone(), index }));
            }
        }
    }
}
