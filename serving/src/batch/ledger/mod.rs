//! In-memory state of the batch jobs of one partition; does no I/O.
//!
//! Methods that change a job return the records to append to the log. Callers of the API see a job
//! or a result only after the owner of the partition has confirmed that its record is durable.
//! Results of a job are listed in the order of their records.

mod job;
mod restore;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    catalog::Catalog,
    id::{Job as JobId, Upstream, Workspace},
    log_store,
    time::Millis,
};

use super::record::{self, Failure, Head, Key, Outcome, RunId, State};

use job::{Stage, TrackedItem};

pub use job::{ItemId, Job, Progress};

/// Added to a route's `abandon_after`, because the clocks of nodes differ.
const ABANDON_MARGIN: Millis = Millis(5_000);

/// Why the unfinished items of a job are abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// The configuration no longer contains the route of the job.
    RouteGone,
    /// The job is older than its route allows.
    TimeUp,
}

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Complete,
    /// The run was paused or the connection broke. The next run resumes after the last event.
    Interrupted,
    /// The upstream answered 500.
    Failed,
    /// The upstream answered 422 or the item is no valid HTTP request; a retry can't succeed.
    Impossible,
    /// The upstream sent output that no record can hold. Another one may send other output.
    Unstorable(Upstream),
}

impl RunEnd {
    pub fn name(&self) -> &'static str {
        match self {
            RunEnd::Complete => "complete",
            RunEnd::Interrupted => "interrupted",
            RunEnd::Failed => "failed",
            RunEnd::Impossible => "impossible",
            RunEnd::Unstorable(_) => "unstorable",
        }
    }
}

/// The jobs of one partition and the state of their items.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    jobs: BTreeMap<JobId, Job>,
    /// Waiting items of durable jobs that aren't cancelled, by due time. Items that wait for a
    /// retry are included.
    ready: BTreeSet<(Millis, ItemId)>,
    /// Epoch of the owner of the partition, which identifies its failed runs.
    epoch: u64,
    /// Number of failed runs of this owner.
    failed_runs: u32,
    /// Records that are no longer needed, as found when the ledger was restored.
    obsolete: Vec<log_store::Record>,
}

/// What to write after a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunRecords {
    /// The item's result, if the run decided it.
    pub result: Vec<log_store::Record>,
    /// The failed run, of which later owners must know. Not to be written together with a result, but
    /// in place of one that can't be written. Until it is written, and confirmed with
    /// [`Ledger::confirm_failure`], the item doesn't start again.
    pub failure: Option<log_store::Record>,
}

impl Ledger {
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter()
    }

    /// Adds a job and returns the records of each append that writes it. The id must not be in the
    /// ledger yet. The caller makes the appends in order, then calls `confirm_job`, or `withdraw` if
    /// the log has refused one of them.
    ///
    /// # Errors
    ///
    /// Fails if `head` can't be encoded; the ledger is then unchanged.
    pub fn submit(
        &mut self,
        id: &JobId,
        head: Head,
        due: Millis,
        limits: record::Limits,
    ) -> record::Result<Vec<Vec<log_store::Record>>> {
        let appends = record::encode_submission(id, &head, limits)?;
        let records = appends.iter().map(Vec::len).sum::<usize>();
        let chunks = records - usize::from(head.route.is_some());
        self.jobs.insert(id.clone(), Job::new(head, due, chunks));
        Ok(appends)
    }

    /// Tokens that wait for a workspace, or for callers without one, on the routes that `is_counted`
    /// accepts the heads of.
    pub fn waiting_tokens(
        &self,
        workspace: Option<&Workspace>,
        is_counted: impl Fn(&Head) -> bool,
    ) -> u64 {
        let is_counted = |job: &&Job| {
            !job.cancelled && job.head.workspace.as_ref() == workspace && is_counted(&job.head)
        };
        let tokens = self.jobs.values().filter(is_counted).map(|job| job.waiting_tokens);
        tokens.fold(0, u64::saturating_add)
    }

    /// Memory that all jobs take up, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.jobs.values().map(Job::memory_bytes).sum()
    }

    /// Marks a job as durable and makes its items ready to run.
    pub fn confirm_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.durable = true;
        }
        self.make_ready(id);
    }

    /// Removes a job whose last append was not made and won't be. Has no effect on a durable job.
    pub fn withdraw(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|job| !job.durable) {
            self.jobs.remove(id);
        }
    }

    /// Lists the next result of a job, which is durable now.
    pub fn confirm_result(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.listed += 1;
        }
    }

    /// Cancels a job: none of its items starts from now on, and ends of running ones are ignored.
    /// Returns the record of the cancellation, or `None` if there is no such job.
    pub fn cancel(&mut self, id: &JobId) -> Option<log_store::Record> {
        let job = self.jobs.get_mut(id)?;
        job.cancelled = true;
        self.ready.retain(|(_, item)| item.job != *id);
        Some(record::put(&Key::Cancelled { job: id.clone() }, vec![1]))
    }

    /// Sets the epoch of the owner that runs the items. No other owner has the same one.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// Takes the records that delete what is no longer needed.
    pub fn take_obsolete(&mut self) -> Vec<log_store::Record> {
        std::mem::take(&mut self.obsolete)
    }

    /// Lets an item start again whose failed run is durable.
    pub fn confirm_failure(&mut self, item: &ItemId) {
        let Some(job) = self.jobs.get(&item.job).filter(|job| !job.cancelled) else { return };
        if matches!(job.items[item.index as usize].stage, Stage::Waiting { .. }) {
            self.ready.insert((job.due, item.clone()));
        }
    }

    /// Dead-letters the items of which earlier owners had seen enough failed runs. `max_failures`
    /// returns the limit of a job, or `None` if it is unknown. Returns the records of each item
    /// separately.
    pub fn give_up_failed(
        &mut self,
        max_failures: impl Fn(&Head) -> Option<u32>,
    ) -> Vec<(JobId, Vec<log_store::Record>)> {
        let mut given_up = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| !job.cancelled) {
            let has_failed = |tracked: &TrackedItem| {
                let is_waiting = matches!(tracked.stage, Stage::Waiting { .. });
                let limit = max_failures(&job.head).map(|limit| limit.max(1) as usize);
                let is_over = limit.is_some_and(|limit| tracked.failures.len() >= limit);
                is_waiting && (tracked.is_impossible || is_over)
            };
            let failed = (0u32..).zip(&job.items).filter(|(_, tracked)| has_failed(tracked));
            given_up.extend(failed.map(|(index, _)| ItemId { job: id.clone(), index }));
        }
        let mut give_up = |item: ItemId| {
            if let Some(job) = self.jobs.get(&item.job) {
                self.ready.remove(&(job.due, item.clone()));
            }
            let outcome =
                Outcome { item: item.index, state: State::DeadLettered, output: String::new() };
            let records = self.finish_item(&item.job, outcome);
            (item.job, records)
        };
        given_up.into_iter().map(&mut give_up).collect()
    }

    /// Items that may start at `now`, by due time. Failed items are left out until their retry
    /// delay is over.
    pub fn runnable(&self, now: Millis) -> impl Iterator<Item = &ItemId> {
        self.ready.iter().map(|(_, item)| item).filter(move |item| {
            let stage = &self.jobs[&item.job].items[item.index as usize].stage;
            matches!(stage, Stage::Waiting { not_before, .. } if *not_before <= now)
        })
    }

    /// Events that earlier runs of a waiting item have received; 0 for items that don't wait.
    pub fn received_events(&self, item: &ItemId) -> u64 {
        let job = self.jobs.get(&item.job);
        match job.map(|job| &job.items[item.index as usize].stage) {
            Some(Stage::Waiting { progress, .. }) => progress.events,
            Some(Stage::Running | Stage::Done) | None => 0,
        }
    }

    /// The progress of a waiting item and the time for which the item has waited; `None` for items
    /// that don't wait.
    pub fn waiting_progress(&self, now: Millis, item: &ItemId) -> Option<(&Progress, Millis)> {
        match &self.jobs.get(&item.job)?.items[item.index as usize].stage {
            Stage::Waiting { progress, since, .. } => Some((progress, now - *since)),
            Stage::Running | Stage::Done => None,
        }
    }

    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// When the results of an item's job are due, on the clock of this process.
    pub fn due(&self, item: &ItemId) -> Millis {
        self.jobs.get(&item.job).map_or(Millis(u64::MAX), |job| job.due)
    }

    /// Marks an item as running. Returns the progress of earlier runs, from which to resume.
    pub fn start(&mut self, item: &ItemId) -> Progress {
        let Some(job) = self.jobs.get_mut(&item.job) else { return Progress::default() };
        self.ready.remove(&(job.due, item.clone()));
        let stage = std::mem::replace(&mut job.items[item.index as usize].stage, Stage::Running);
        match stage {
            Stage::Waiting { progress, .. } => progress,
            Stage::Running | Stage::Done => Progress::default(),
        }
    }

    /// Returns a record of an unfinished item's progress, from which a later owner resumes. `None`
    /// if there is nothing to save: no event yet, a decided result, or a cancelled job.
    pub fn save_progress(
        &mut self,
        item: &ItemId,
        progress: &Progress,
    ) -> Option<log_store::Record> {
        let job = self.jobs.get_mut(&item.job).filter(|job| !job.cancelled)?;
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
                log::error!(job = item.job.0.as_str(), error:% = error; "could not encode the progress of an item");
                None
            }
        }
    }

    /// Returns the record that deletes the saved progress of an item, if there is any.
    pub fn delete_progress(&mut self, item: &ItemId) -> Option<log_store::Record> {
        let tracked = &mut self.jobs.get_mut(&item.job)?.items[item.index as usize];
        let key = Key::Progress { job: item.job.clone(), item: item.index };
        std::mem::take(&mut tracked.saved).then(|| record::delete(&key))
    }

    /// Returns the records of the progress of all waiting items, for the next owner.
    pub fn save_all_progress(&mut self) -> Vec<log_store::Record> {
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
        waiting.iter().filter_map(|(item, progress)| self.save_progress(item, progress)).collect()
    }

    /// Upstreams whose output for an item can't be stored.
    pub fn unstorable_at(&self, item: &ItemId) -> BTreeSet<Upstream> {
        let tracked = self.jobs.get(&item.job).map(|job| &job.items[item.index as usize]);
        tracked.map(|tracked| tracked.unstorable.iter().cloned().collect()).unwrap_or_default()
    }

    /// Applies the end of a run. The run decides the item's result on success, if the item is
    /// impossible, and on failure number `max_failures`. After an earlier failure the item waits for
    /// `retry_delay`, and until the failure is durable. Runs whose output can't be stored count
    /// separately, and are not recorded.
    pub fn finish_run(
        &mut self,
        now: Millis,
        item: &ItemId,
        end: &RunEnd,
        progress: Progress,
        max_failures: u32,
        retry_delay: Millis,
    ) -> RunRecords {
        let Some(job) = self.jobs.get_mut(&item.job) else { return RunRecords::default() };
        let tracked = &mut job.items[item.index as usize];
        if tracked.stage == Stage::Done {
            return RunRecords::default();
        }
        let run = RunId { epoch: self.epoch, number: self.failed_runs };
        let (state, progress, not_before) = match end {
            RunEnd::Complete => (Some(State::Succeeded), progress, now),
            RunEnd::Impossible => (Some(State::DeadLettered), Progress::default(), now),
            RunEnd::Failed => {
                let is_last = tracked.failures.len() + 1 >= max_failures.max(1) as usize;
                (is_last.then_some(State::DeadLettered), Progress::default(), now + retry_delay)
            }
            RunEnd::Interrupted => (None, progress, now),
            RunEnd::Unstorable(upstream) => {
                tracked.unstorable.push(upstream.clone());
                let is_last = tracked.unstorable.len() >= max_failures.max(1) as usize;
                (is_last.then_some(State::DeadLettered), progress, now + retry_delay)
            }
        };
        if job.cancelled {
            tracked.stage = Stage::Waiting { progress, not_before, since: now };
            return RunRecords::default();
        }
        let failure = match end {
            RunEnd::Failed => Some(Failure::Failed),
            RunEnd::Impossible => Some(Failure::Impossible),
            RunEnd::Complete | RunEnd::Interrupted | RunEnd::Unstorable(_) => None,
        };
        let failure = failure.and_then(|failure| {
            self.failed_runs += 1;
            let encoded = record::encode_failure(&item.job, item.index, run, failure);
            encoded
                .inspect_err(|error| log::error!(job = item.job.0.as_str(), error:% = error; "could not encode a failed run of an item"))
                .ok()
        });
        let Some(state) = state else {
            tracked.stage = Stage::Waiting { progress, not_before, since: now };
            if failure.is_some() {
                tracked.failures.insert(run);
            } else {
                self.ready.insert((job.due, item.clone()));
            }
            return RunRecords { result: Vec::new(), failure };
        };
        let output = match state {
            // Runs and restored progress hold UTF-8 only.
            State::Succeeded => String::from_utf8_lossy(&progress.output).into_owned(),
            State::DeadLettered => String::new(),
        };
        let result = self.finish_item(&item.job, Outcome { item: item.index, state, output });
        RunRecords { result, failure }
    }

    /// Dead-letters an item whose result at `position` can't be written. Returns the record of the new
    /// result; `None` if the item was dead-lettered already.
    pub fn replace_result(&mut self, id: &JobId, position: u32) -> Option<log_store::Record> {
        let outcome = self.jobs.get_mut(id)?.results.get_mut(position as usize)?;
        if outcome.state == State::DeadLettered {
            return None;
        }
        (outcome.state, outcome.output) = (State::DeadLettered, String::new());
        let record = record::encode_outcome(id, position, outcome);
        let log_error = |error: &_| log::error!(job = id.0.as_str(), error:% = error; "could not encode the result of an item");
        record.inspect_err(log_error).ok()
    }

    /// Jobs whose unfinished items are to be abandoned; `wall` is in Unix milliseconds. A route
    /// counts as gone only if it is missing from a newer configuration than the one under which
    /// the job was accepted, because the configuration of this node may still be an older one.
    pub fn find_abandoned(&self, catalog: &Catalog, wall: u64) -> Vec<(JobId, AbandonReason)> {
        let reason = |job: &Job| {
            let Some(route) = job.head.find_route(catalog) else {
                return (catalog.version > job.head.config).then_some(AbandonReason::RouteGone);
            };
            let limit = route.abandon_after;
            let is_over = limit.0 > 0 && wall > job.head.accepted + (limit + ABANDON_MARGIN).0;
            is_over.then_some(AbandonReason::TimeUp)
        };
        let open = |job: &&Job| job.durable && !job.cancelled && !job.is_complete();
        let jobs = self.jobs.iter().filter(|(_, job)| open(job));
        jobs.filter_map(|(id, job)| Some((id.clone(), reason(job)?))).collect()
    }

    /// Abandons the waiting items of a job; running ones are left alone. Returns the records of
    /// each item separately.
    pub fn abandon(&mut self, id: &JobId) -> Vec<Vec<log_store::Record>> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let waiting = |tracked: &TrackedItem| matches!(tracked.stage, Stage::Waiting { .. });
        let items: Vec<u32> = (0u32..)
            .zip(&job.items)
            .filter(|(_, tracked)| waiting(tracked))
            .map(|(index, _)| index)
            .collect();
        self.ready.retain(|(_, item)| item.job != *id);
        let outcome = |item| Outcome { item, state: State::DeadLettered, output: String::new() };
        items.into_iter().map(|item| self.finish_item(id, outcome(item))).collect()
    }

    /// Removes jobs that were accepted before `before` (Unix milliseconds) and are cancelled, or
    /// complete with all results listed. Returns the records that delete the keys of each job
    /// separately.
    pub fn remove_expired(&mut self, before: u64) -> Vec<Vec<log_store::Record>> {
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                let over = job.cancelled || job.is_complete() && job.listed == job.results.len();
                job.durable && over && job.head.accepted < before
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut removed = Vec::new();
        for id in expired {
            let Some(job) = self.jobs.remove(&id) else { continue };
            let mut records = Vec::new();
            for position in 0..job.results.len() as u32 {
                records.push(record::delete(&Key::Outcome { job: id.clone(), position }));
            }
            for (item, tracked) in (0u32..).zip(&job.items) {
                if tracked.saved {
                    records.push(record::delete(&Key::Progress { job: id.clone(), item }));
                }
                records.extend(delete_failures(&id, item, &tracked.failures));
            }
            if job.cancelled {
                records.push(record::delete(&Key::Cancelled { job: id.clone() }));
            }
            if job.head.route.is_some() {
                records.push(record::delete(&Key::Route { job: id.clone() }));
            }
            // The head is deleted last: a restored ledger ignores results without a head.
            records.extend(delete_head(&id, job.head_chunks));
            removed.push(records);
        }
        removed
    }

    /// Stores the result of an item. Returns its record, then those that delete its progress and its
    /// failed runs.
    fn finish_item(&mut self, id: &JobId, outcome: Outcome) -> Vec<log_store::Record> {
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let item = outcome.item;
        let Some(position) = job.finish_item(outcome) else { return Vec::new() };
        let mut records = match record::encode_outcome(
            id,
            position,
            &job.results[position as usize],
        ) {
            Ok(record) => vec![record],
            Err(error) => {
                log::error!(job = id.0.as_str(), error:% = error; "could not encode the result of an item");
                Vec::new()
            }
        };
        if std::mem::take(&mut job.items[item as usize].saved) {
            records.push(record::delete(&Key::Progress { job: id.clone(), item }));
        }
        let failures = std::mem::take(&mut job.items[item as usize].failures);
        records.extend(delete_failures(id, item, &failures));
        records
    }

    fn make_ready(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.cancelled {
            return;
        }
        for (index, tracked) in (0u32..).zip(&job.items) {
            if matches!(tracked.stage, Stage::Waiting { .. }) {
                self.ready.insert((job.due, ItemId { job: id.clone(), index }));
            }
        }
    }
}

/// The records that delete the head of a job.
fn delete_head(job: &JobId, chunks: u32) -> Vec<log_store::Record> {
    let key = |chunk| Key::Head { job: job.clone(), chunk };
    (0..chunks).rev().map(|chunk| record::delete(&key(chunk))).collect()
}

/// The records that delete failed runs of an item.
fn delete_failures(job: &JobId, item: u32, failures: &BTreeSet<RunId>) -> Vec<log_store::Record> {
    let key = |run: &RunId| Key::Failure { job: job.clone(), item, run: *run };
    failures.iter().map(|run| record::delete(&key(run))).collect()
}
