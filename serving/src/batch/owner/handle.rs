//! How the rest of the process reaches the owner of a partition.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::{id::Job as JobId, time::Millis};

use super::super::{
    coordinator::Ask,
    quota::Verdict,
    record::{Head, Outcome},
};

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The job is durable.
    Durable,
    OverQuota,
    Invalid(String),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The job was not accepted and won't be run for this call.
    NotAccepted,
    /// The job may have been accepted.
    Unknown,
}

/// Results of a job from one position on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items of the job.
    pub total: usize,
    /// The position behind the last result of the page.
    pub next: usize,
    /// Each result with the id of its item.
    pub results: Vec<(String, Outcome)>,
}

/// What an owner knows, `None` if there is no such thing, or that it can't be sure.
pub(super) type Found<T> = Result<Option<T>, Unavailable>;

pub(super) enum Command {
    Submit {
        id: JobId,
        head: Head,
        reply: oneshot::Sender<Result<Accepted, Unavailable>>,
    },
    Read {
        id: JobId,
        after: usize,
        wait: Millis,
        reply: oneshot::Sender<Found<Page>>,
    },
    Body {
        id: JobId,
        item: String,
        reply: oneshot::Sender<Found<Bytes>>,
    },
    End {
        id: JobId,
        reply: oneshot::Sender<Found<()>>,
    },
    /// Grant a job room in a quota that this owner keeps.
    Reserve {
        ask: Ask,
        reply: oneshot::Sender<Result<Verdict, Unavailable>>,
    },
    /// Stop running, save what there is and end; the reply comes when that is durable.
    Release {
        reply: oneshot::Sender<()>,
    },
}

/// When the log last confirmed that an owner holds its partition. A later owner may have begun
/// since, so what is older says nothing of jobs and results that an owner doesn't know.
#[derive(Clone, Debug, Default)]
pub(in crate::batch) struct Verified(Arc<AtomicU64>);

impl Verified {
    pub(in crate::batch) fn set(&self, at: Millis) {
        self.0.fetch_max(at.0, Ordering::Relaxed);
    }

    pub(super) fn get(&self) -> Millis {
        Millis(self.0.load(Ordering::Relaxed))
    }
}

/// Reaches the owner of a partition at this node.
#[derive(Clone, Debug)]
pub struct Handle(pub(super) mpsc::Sender<Command>);

impl Handle {
    /// Accepts a job once. Answers when it is durable.
    pub async fn submit(&self, id: JobId, head: Head) -> Result<Accepted, Unavailable> {
        let (reply, answer) = oneshot::channel();
        if self.0.try_send(Command::Submit { id, head, reply }).is_err() {
            return Err(Unavailable::NotAccepted);
        }
        // An owner that ends drops the reply; what it was writing may be in the log.
        answer.await.unwrap_or(Err(Unavailable::Unknown))
    }

    /// Results from position `after` on; waits up to `wait` for the first of them. `Ok(None)`
    /// means that there is no such job.
    pub async fn read(
        &self,
        id: JobId,
        after: usize,
        wait: Millis,
    ) -> Result<Option<Page>, Unavailable> {
        self.ask(|reply| Command::Read { id, after, wait, reply }).await?
    }

    /// The body of an item that isn't listed, unless its job has ended.
    pub async fn body(&self, id: JobId, item: String) -> Result<Option<Bytes>, Unavailable> {
        self.ask(|reply| Command::Body { id, item, reply }).await?
    }

    /// Ends a job. Answers when that is durable; `Ok(None)` means that there is no such job.
    pub async fn end(&self, id: JobId) -> Result<Option<()>, Unavailable> {
        self.ask(|reply| Command::End { id, reply }).await?
    }

    /// Asks for room in a quota that this owner keeps.
    pub(in crate::batch) async fn reserve(&self, ask: Ask) -> Result<Verdict, Unavailable> {
        self.ask(|reply| Command::Reserve { ask, reply }).await?
    }

    /// Makes the owner save its progress and end.
    pub(in crate::batch) async fn release(&self) -> Result<(), Unavailable> {
        self.ask(|reply| Command::Release { reply }).await
    }

    async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Unavailable> {
        let (reply, answer) = oneshot::channel();
        self.0.try_send(command(reply)).map_err(|_| Unavailable::NotAccepted)?;
        answer.await.map_err(|_| Unavailable::Unknown)
    }
}
