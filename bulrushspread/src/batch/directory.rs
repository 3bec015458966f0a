//! This node's copy of the jobs stream, kept up to date by a follower.

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

/// Time that a record of this node may take to come back through the follower.
const FOLD_TIMEOUT: Millis = Millis(3_000);

/// Files and jobs of the environment. Shared by all tasks of the node.
pub struct Directory {
    fold: Mutex<State>,
    /// All records before this offset have been folded.
    folded: watch::Sender<Offset>,
    /// The end of the stream has been reached once.
    complete: watch::Sender<bool>,
}

impl Default for Directory {
    fn default() -> Directory {
        Directory {
            fold: Mutex::default(),
            folded: watch::channel(Offset::default()).0,
            complete: watch::channel(false).0,
        }
    }
}

impl Directory {
    /// The fold as it is now. Held only for short look-ups.
    pub(crate) fn fold(&self) -> MutexGuard<'_, State> {
        self.fold.lock().unwrap()
    }

    /// Whether all records that stood at the start have been folded.
    pub(crate) fn is_complete(&self) -> bool {
        *self.complete.borrow()
    }

    /// Waits until the record at `position` has been folded.
    pub(crate) async fn wait_for(&self, position: Position) -> Result<()> {
        self.wait_until(|folded| folded > position.offset).await
    }

    async fn wait_until(&self, reached: impl Fn(Offset) -> bool) -> Result<()> {
        let mut folded = self.folded.subscribe();
        let reached = folded.wait_for(|folded| reached(*folded));
        match tokio::time::timeout(FOLD_TIMEOUT.duration(), reached).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                Err(Error::new(Kind::Unconfirmed, "the record was not read back in time"))
            }
        }
    }

    /// Refuses to answer from a copy that is not complete yet.
    pub(crate) fn check(&self) -> Result<()> {
        if self.is_complete() {
            return Ok(());
        }
        Err(Error::new(Kind::LogUnavailable, "the jobs have not been read yet"))
    }
}

/// Waits until all records that stand in the stream now have been folded.
pub(crate) async fn catch_up(context: &Shared) -> Result<()> {
    let directory = &context.batch.owner.directory;
    let folded = *directory.folded.borrow();
    let stream = jobs_stream(&context.settings.environment);
    let head = context.journal.head(&stream, folded).await?;
    directory.wait_until(|folded| folded >= head).await
}

/// Follows the jobs stream for as long as the process runs.
pub(crate) async fn follow(context: Shared) {
    let stream = jobs_stream(&context.settings.environment);
    let mut followed = context.journal.follow(&stream, Offset::default());
    let directory = &context.batch.owner.directory;
    while let Some(news) = followed.recv().await {
        match news {
            FollowEvent::Entries(entries) => entries.iter().for_each(|entry| take(&context, entry)),
            FollowEvent::CaughtUp(offset) => {
                directory.folded.send_replace(offset);
                directory.complete.send_replace(true);
            }
            FollowEvent::Expired(first) => log::debug!("batch: jobs before {first} have expired"),
        }
    }
}

fn take(context: &Shared, entry: &Entry) {
    let directory = &context.batch.owner.directory;
    match record::decode::<JobsRecord>(&entry.record.body) {
        Ok(record) => {
            let effect = directory.fold().apply(entry.position, &record);
            tell_partitions(context, effect);
        }
        Err(error) => {
            let _ = context.metrics.incr("batch.jobs.unreadable");
            log::debug!("batch: jobs at {}: {error}", entry.position.offset);
        }
    }
}

fn tell_partitions(context: &Shared, effect: Effect) {
    match effect {
        Effect::JobAdded(job) => open(context, &job),
        Effect::JobReplaced { by, dropped } => {
            // Both jobs are of one workspace but may be of different partitions.
            task::notify_all(context, &Event::JobClosed(dropped));
            open(context, &by);
        }
        Effect::Finished(job) => task::notify_all(context, &Event::JobClosed(job)),
        Effect::Ignored | Effect::FileAdded(_) | Effect::Cancelled(_) | Effect::Expired => {}
    }
}

fn open(context: &Shared, job: &Job) {
    let created = context.batch.owner.directory.fold().job(job).map(|job| job.created.clone());
    if let Some(created) = created {
        task::notify_job_opened(context, &created);
    }
}
