//! This node's replica of the state of the jobs stream, kept up to date by following the stream.

use std::sync::{Mutex, MutexGuard};

use cadence::CountedExt;
use tokio::sync::watch;

use crate::{
    error::{Error, Kind, Result},
    id::{Job, Offset},
    journal::{Entry, FollowEvent, record::Position},
    node::Shared,
    time::Millis,
};

use super::{
    jobs::{Effect, State},
    owner::{Event, task},
    record::{self, JobsRecord, jobs_stream},
};

/// Maximum time to wait until records in the stream have been read and applied.
const APPLY_TIMEOUT: Millis = Millis(3_000);

/// Files and jobs of the environment. Shared by all tasks of the node.
pub struct Directory {
    state: Mutex<State>,
    /// All records before this offset have been applied.
    applied: watch::Sender<Offset>,
    /// Whether the end of the stream has been reached once.
    complete: watch::Sender<bool>,
}

impl Default for Directory {
    fn default() -> Directory {
        Directory {
            state: Mutex::default(),
            applied: watch::channel(Offset::default()).0,
            complete: watch::channel(false).0,
        }
    }
}

impl Directory {
    /// Locks the current state. The guard must be held only for short lookups.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Whether all records that the stream contained at startup have been applied.
    pub(crate) fn is_complete(&self) -> bool {
        *self.complete.borrow()
    }

    /// Waits until the record at `position` has been applied. Fails with [`Kind::Unconfirmed`]
    /// after [`APPLY_TIMEOUT`].
    pub(crate) async fn wait_for(&self, position: Position) -> Result<()> {
        self.wait_until(|applied| applied > position.offset).await
    }

    async fn wait_until(&self, reached: impl Fn(Offset) -> bool) -> Result<()> {
        let mut applied = self.applied.subscribe();
        let reached = applied.wait_for(|applied| reached(*applied));
        match tokio::time::timeout(APPLY_TIMEOUT.duration(), reached).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                Err(Error::new(Kind::Unconfirmed, "the record was not read back in time"))
            }
        }
    }

    /// Fails with [`Kind::LogUnavailable`] until the state is complete.
    pub(crate) fn check_complete(&self) -> Result<()> {
        if self.is_complete() {
            return Ok(());
        }
        Err(Error::new(Kind::LogUnavailable, "the jobs have not been read yet"))
    }
}

/// Waits until all records that the stream contains now have been applied.
pub(crate) async fn catch_up(context: &Shared) -> Result<()> {
    let directory = &context.batch.owner.directory;
    let applied = *directory.applied.borrow();
    let stream = jobs_stream(&context.settings.environment);
    let head = context.journal.head(&stream, applied).await?;
    directory.wait_until(|applied| applied >= head).await
}

/// Follows the jobs stream for as long as the process runs.
pub(crate) async fn follow(context: Shared) {
    let stream = jobs_stream(&context.settings.environment);
    let mut follower = context.journal.follow(&stream, Offset::default());
    let directory = &context.batch.owner.directory;
    while let Some(event) = follower.recv().await {
        match event {
            FollowEvent::Entries(entries) => {
                entries.iter().for_each(|entry| apply_entry(&context, entry))
            }
            FollowEvent::CaughtUp(offset) => {
                directory.applied.send_replace(offset);
                directory.complete.send_replace(true);
            }
            FollowEvent::Expired(first) => log::debug!("batch: jobs before {first} have expired"),
        }
    }
}

fn apply_entry(context: &Shared, entry: &Entry) {
    let directory = &context.batch.owner.directory;
    match record::decode::<JobsRecord>(&entry.record.body) {
        Ok(record) => {
            let effect = directory.state().apply(entry.position, &record);
            notify_partitions(context, effect);
        }
        Err(error) => {
            let _ = context.metrics.incr("batch.jobs.unreadable");
            log::debug!(
                "batch: jobs stream: undecodable record at offset {}: {error}",
                entry.position.offset
            );
        }
    }
}

fn notify_partitions(context: &Shared, effect: Effect) {
    match effect {
        Effect::JobAdded(job) => notify_job_opened(context, &job),
        Effect::JobReplaced { by, dropped } => {
            // Both jobs belong to one workspace, but may be in different partitions.
            task::notify_all(context, &Event::JobClosed(dropped));
            notify_job_opened(context, &by);
        }
        Effect::Finished(job) => task::notify_all(context, &Event::JobClosed(job)),
        Effect::Ignored | Effect::FileAdded(_) | Effect::Cancelled(_) | Effect::Expired => {}
    }
}

fn notify_job_opened(context: &Shared, job: &Job) {
    let created = context.batch.owner.directory.state().job(job).map(|job| job.created.clone());
    if let Some(created) = created {
        task::notify_job_opened(context, &created);
    }
}
