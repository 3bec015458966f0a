//! The state of the `jobs` stream: files, jobs and the idempotency keys of callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    id::{File, Job, Workspace},
    journal::record::Position,
    time::Millis,
};

use super::record::{FileCreated, JobCreated, JobFinished, JobsRecord};

/// All files and jobs of an environment after a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    files: BTreeMap<File, FileState>,
    jobs: BTreeMap<Job, JobState>,
    /// The job that holds each idempotency key: the one whose record comes first in the stream.
    keys: BTreeMap<Workspace, BTreeMap<String, Job>>,
    /// Jobs of each workspace in the order of their creation.
    order: BTreeMap<Workspace, BTreeSet<(Position, Job)>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileState {
    /// Position of the original record, before any copy.
    pub position: Position,
    /// Wall-clock time at which the record, or its latest copy, was written.
    pub carried_at: Millis,
    pub created: FileCreated,
    /// Number of jobs of the file that have not finished. The file does not expire while there are
    /// any.
    pub open_jobs: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobState {
    /// Position of the original record, before any copy. Of jobs with the same key, the one with
    /// the lowest position holds it.
    pub position: Position,
    /// Wall-clock time at which the record, or its latest copy, was written.
    pub carried_at: Millis,
    pub created: Arc<JobCreated>,
    pub cancelled: bool,
    /// Set once and never changed afterwards.
    pub finished: Option<JobFinished>,
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The record changed nothing: it is a copy, its key is held by an earlier job, or the job or
    /// file that it names is unknown, unusable or already in this state.
    Ignored,
    FileAdded(File),
    JobAdded(Job),
    /// The job `by` took the idempotency key of the job `dropped`, because the record of `by` comes
    /// first in the stream; `dropped` was removed.
    JobReplaced {
        by: Job,
        dropped: Job,
    },
    Cancelled(Job),
    Finished(Job),
    Expired,
}

impl State {
    /// Applies the next record of the stream. A carried record counts at its original position.
    pub fn apply(&mut self, position: Position, record: &JobsRecord) -> Effect {
        match record {
            JobsRecord::Carried { position, at, record } => {
                self.apply_at(*position, Some(*at), record)
            }
            record => self.apply_at(position, None, record),
        }
    }

    pub fn file(&self, file: &File) -> Option<&FileState> {
        self.files.get(file)
    }

    pub fn job(&self, job: &Job) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// The job of the workspace that holds the idempotency key.
    pub fn find_by_key(&self, workspace: &Workspace, key: &str) -> Option<&JobState> {
        self.jobs.get(self.keys.get(workspace)?.get(key)?)
    }

    /// Jobs of the workspace, the newest first.
    pub fn newest_first(&self, workspace: &Workspace) -> impl Iterator<Item = &JobState> {
        let order = self.order.get(workspace).into_iter().flatten().rev();
        order.filter_map(|(_, job)| self.jobs.get(job))
    }

    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    pub fn files(&self) -> impl Iterator<Item = &FileState> {
        self.files.values()
    }

    fn apply_at(&mut self, position: Position, at: Option<Millis>, record: &JobsRecord) -> Effect {
        match record {
            JobsRecord::FileCreated(created) => self.apply_file_created(position, at, created),
            JobsRecord::JobCreated(created) => self.apply_job_created(position, at, created),
            JobsRecord::JobCancelled { job } => self.apply_cancelled(job),
            JobsRecord::JobFinished(finished) => self.apply_finished(finished),
            JobsRecord::Expired { jobs, files } => self.apply_expired(jobs, files),
            JobsRecord::Carried { .. } => Effect::Ignored,
        }
    }

    fn apply_file_created(
        &mut self,
        position: Position,
        at: Option<Millis>,
        file: &FileCreated,
    ) -> Effect {
        if let Some(state) = self.files.get_mut(&file.file) {
            state.carried_at = state.carried_at.max(at.unwrap_or_default());
            return Effect::Ignored;
        }
        let created = file.clone();
        let carried_at = at.unwrap_or(file.created_at);
        let state = FileState { position, carried_at, created, open_jobs: 0 };
        self.files.insert(file.file.clone(), state);
        Effect::FileAdded(file.file.clone())
    }

    fn apply_job_created(
        &mut self,
        position: Position,
        at: Option<Millis>,
        job: &JobCreated,
    ) -> Effect {
        if let Some(state) = self.jobs.get_mut(&job.job) {
            state.carried_at = state.carried_at.max(at.unwrap_or_default());
            return Effect::Ignored;
        }
        if !self.is_accepted(job) {
            return Effect::Ignored;
        }
        let holder =
            self.find_key_holder(job).map(|state| (state.position, state.created.job.clone()));
        let effect = match holder {
            Some((first, _)) if first < position => return Effect::Ignored,
            Some((_, dropped)) => {
                self.remove(&dropped);
                Effect::JobReplaced { by: job.job.clone(), dropped }
            }
            None => Effect::JobAdded(job.job.clone()),
        };
        self.insert(position, at.unwrap_or(job.created_at), job);
        effect
    }

    /// Whether the job's file exists in its workspace and has no fault.
    fn is_accepted(&self, job: &JobCreated) -> bool {
        let Some(file) = self.files.get(&job.file) else { return false };
        file.created.workspace == job.workspace && file.created.fault.is_none()
    }

    fn find_key_holder(&self, job: &JobCreated) -> Option<&JobState> {
        self.find_by_key(&job.workspace, job.key.as_ref()?)
    }

    fn insert(&mut self, position: Position, carried_at: Millis, job: &JobCreated) {
        let (id, workspace) = (job.job.clone(), job.workspace.clone());
        if let Some(key) = &job.key {
            self.keys.entry(workspace.clone()).or_default().insert(key.clone(), id.clone());
        }
        self.order.entry(workspace).or_default().insert((position, id.clone()));
        if let Some(file) = self.files.get_mut(&job.file) {
            file.open_jobs += 1;
        }
        let created = Arc::new(job.clone());
        let state = JobState { position, carried_at, created, cancelled: false, finished: None };
        self.jobs.insert(id, state);
    }

    fn remove(&mut self, job: &Job) {
        let Some(state) = self.jobs.remove(job) else { return };
        let created = state.created;
        if state.finished.is_none() {
            self.release_file(&created.file);
        }
        if let Some(order) = self.order.get_mut(&created.workspace) {
            order.remove(&(state.position, job.clone()));
        }
        let keys = self.keys.get_mut(&created.workspace);
        if let (Some(keys), Some(key)) = (keys, &created.key)
            && keys.get(key) == Some(job)
        {
            keys.remove(key);
        }
    }

    fn apply_cancelled(&mut self, job: &Job) -> Effect {
        match self.jobs.get_mut(job) {
            Some(state) if !state.cancelled && state.finished.is_none() => {
                state.cancelled = true;
                Effect::Cancelled(job.clone())
            }
            _ => Effect::Ignored,
        }
    }

    fn apply_finished(&mut self, finished: &JobFinished) -> Effect {
        match self.jobs.get_mut(&finished.job) {
            Some(state) if state.finished.is_none() => {
                state.finished = Some(finished.clone());
                let file = state.created.file.clone();
                self.release_file(&file);
                Effect::Finished(finished.job.clone())
            }
            _ => Effect::Ignored,
        }
    }

    /// Removes expired jobs and files, but neither unfinished jobs nor files that such jobs use.
    fn apply_expired(&mut self, jobs: &[Job], files: &[File]) -> Effect {
        for job in jobs {
            if self.jobs.get(job).is_some_and(|state| state.finished.is_some()) {
                self.remove(job);
            }
        }
        for file in files {
            if self.files.get(file).is_some_and(|state| state.open_jobs == 0) {
                self.files.remove(file);
            }
        }
        Effect::Expired
    }

    fn release_file(&mut self, file: &File) {
        if let Some(file) = self.files.get_mut(file) {
            file.open_jobs -= 1;
        }
    }
}
