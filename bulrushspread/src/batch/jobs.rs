//! The fold of the `jobs` stream: files, jobs and the keys that callers gave them.

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

/// All files and jobs of an environment as of one place in the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    files: BTreeMap<File, FileState>,
    jobs: BTreeMap<Job, JobState>,
    /// The job that holds a key: the one whose record stands first in the stream.
    keys: BTreeMap<Workspace, BTreeMap<String, Job>>,
    /// Jobs of a workspace in the order of their creation.
    order: BTreeMap<Workspace, BTreeSet<(Position, Job)>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileState {
    /// Where the record first stood.
    pub position: Position,
    /// When the last copy of the record was written. Wall clock.
    pub carried_at: Millis,
    pub created: FileCreated,
    /// Jobs of the file that have not finished. The file does not expire while there are any.
    pub open_jobs: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobState {
    /// Where the record first stood. Decides between jobs of the same key.
    pub position: Position,
    /// When the last copy of the record was written. Wall clock.
    pub carried_at: Millis,
    pub created: Arc<JobCreated>,
    pub cancelled: bool,
    /// Set once and never changed.
    pub finished: Option<JobFinished>,
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the record was repeated, came second for its key or names nothing known.
    Ignored,
    FileAdded(File),
    JobAdded(Job),
    /// The second job gave its key up to the first.
    JobReplaced {
        by: Job,
        dropped: Job,
    },
    Cancelled(Job),
    Finished(Job),
    Expired,
}

impl State {
    /// Takes in the next record of the stream.
    pub fn apply(&mut self, position: Position, record: &JobsRecord) -> Effect {
        match record {
            JobsRecord::Carried { position, at, record } => self.fold(*position, Some(*at), record),
            record => self.fold(position, None, record),
        }
    }

    pub fn file(&self, file: &File) -> Option<&FileState> {
        self.files.get(file)
    }

    pub fn job(&self, job: &Job) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// The job of the workspace that holds `key`.
    pub fn by_key(&self, workspace: &Workspace, key: &str) -> Option<&JobState> {
        self.jobs.get(self.keys.get(workspace)?.get(key)?)
    }

    /// Jobs of the workspace, the newest first.
    pub fn newest(&self, workspace: &Workspace) -> impl Iterator<Item = &JobState> {
        let order = self.order.get(workspace).into_iter().flatten().rev();
        order.filter_map(|(_, job)| self.jobs.get(job))
    }

    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    pub fn files(&self) -> impl Iterator<Item = &FileState> {
        self.files.values()
    }

    fn fold(&mut self, position: Position, at: Option<Millis>, record: &JobsRecord) -> Effect {
        match record {
            JobsRecord::FileCreated(created) => self.add_file(position, at, created),
            JobsRecord::JobCreated(created) => self.add_job(position, at, created),
            JobsRecord::JobCancelled { job } => self.cancel(job),
            JobsRecord::JobFinished(finished) => self.finish(finished),
            JobsRecord::Expired { jobs, files } => self.expire(jobs, files),
            JobsRecord::Carried { .. } => Effect::Ignored,
        }
    }

    fn add_file(&mut self, position: Position, at: Option<Millis>, file: &FileCreated) -> Effect {
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

    fn add_job(&mut self, position: Position, at: Option<Millis>, job: &JobCreated) -> Effect {
        if let Some(state) = self.jobs.get_mut(&job.job) {
            state.carried_at = state.carried_at.max(at.unwrap_or_default());
            return Effect::Ignored;
        }
        if !self.accepts(job) {
            return Effect::Ignored;
        }
        let holder = self.holder(job).map(|state| (state.position, state.created.job.clone()));
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

    /// A job needs a faultless file of its own workspace.
    fn accepts(&self, job: &JobCreated) -> bool {
        let Some(file) = self.files.get(&job.file) else { return false };
        file.created.workspace == job.workspace && file.created.fault.is_none()
    }

    fn holder(&self, job: &JobCreated) -> Option<&JobState> {
        self.by_key(&job.workspace, job.key.as_ref()?)
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
            self.close(&created.file);
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

    fn cancel(&mut self, job: &Job) -> Effect {
        match self.jobs.get_mut(job) {
            Some(state) if !state.cancelled && state.finished.is_none() => {
                state.cancelled = true;
                Effect::Cancelled(job.clone())
            }
            _ => Effect::Ignored,
        }
    }

    fn finish(&mut self, finished: &JobFinished) -> Effect {
        match self.jobs.get_mut(&finished.job) {
            Some(state) if state.finished.is_none() => {
                state.finished = Some(finished.clone());
                let file = state.created.file.clone();
                self.close(&file);
                Effect::Finished(finished.job.clone())
            }
            _ => Effect::Ignored,
        }
    }

    /// A job that has not finished never expires.
    fn expire(&mut self, jobs: &[Job], files: &[File]) -> Effect {
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

    fn close(&mut self, file: &File) {
        if let Some(file) = self.files.get_mut(file) {
            file.open_jobs -= 1;
        }
    }
}
