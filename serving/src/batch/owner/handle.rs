//! Handle through which other tasks of the process call the owner of a partition.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use crate::{id::Job as JobId, time::Millis};

use super::super::{
    coordinator::Reservation,
    quota::Decision,
    record::{Head, Outcome},
};

/// The answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is durable.
    Durable,
    /// The token quota of the job's route is too low for the job and the waiting jobs together.
    OverQuota,
    /// The job can't be encoded, with the reason.
    Invalid(String),
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The call had no effect and won't have any.
    NotAccepted,
    /// The call may have taken effect or still take effect.
    Unknown,
}

/// Consecutive results of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Number of items of the job.
    pub total: usize,
    /// Position from which to read the next page.
    pub next: usize,
    /// Results with the ids of their items.
    pub results: Vec<(String, Outcome)>,
}

/// Result of a lookup: `Ok(None)` if there is no such job or item, `Err` if a later owner may
/// have it.
pub(super) type Lookup<T> = Result<Option<T>, Unavailable>;

pub(super) enum Command {
    Submit {
        id: JobId,
        head: Head,
        reply: oneshot::Sender<Result<Admission, Unavailable>>,
    },
    Read {
        id: JobId,
        after: usize,
        wait: Millis,
        reply: oneshot::Sender<Lookup<Page>>,
    },
    Body {
        id: JobId,
        item: String,
        reply: oneshot::Sender<Lookup<Bytes>>,
    },
    Cancel {
        id: JobId,
        reply: oneshot::Sender<Lookup<()>>,
    },
    /// Decide on a reservation in a quota that this owner coordinates.
    Reserve {
        reservation: Reservation,
        reply: oneshot::Sender<Result<Decision, Unavailable>>,
    },
    /// Append a proof of ownership if the tenure still needs one.
    Prove,
    /// Pause all runs, save their progress and stop; answered when the progress is durable.
    Release {
        reply: oneshot::Sender<()>,
    },
}

/// Calls the owner of a partition at this node.
#[derive(Clone, Debug)]
pub struct Handle(pub(super) mpsc::Sender<Command>);

impl Handle {
    /// Submits a job and waits until it is durable. Submitting the same id again has no effect.
    ///
    /// # Errors
    ///
    /// `Unavailable::NotAccepted` if the job was not accepted and won't be for this call,
    /// `Unavailable::Unknown` if it may have been.
    pub async fn submit(&self, id: JobId, head: Head) -> Result<Admission, Unavailable> {
        let (reply, answer) = oneshot::channel();
        if self.0.try_send(Command::Submit { id, head, reply }).is_err() {
            return Err(Unavailable::NotAccepted);
        }
        // An owner that stops drops the reply; an append in progress may still reach the log.
        answer.await.unwrap_or(Err(Unavailable::Unknown))
    }

    /// Reads the results from position `after` on; waits up to `wait` for the first of them.
    /// `Ok(None)` means that there is no such job.
    ///
    /// # Errors
    ///
    /// Fails if the owner doesn't answer, or if it has no result to return and a later owner may
    /// have one.
    pub async fn read(
        &self,
        id: JobId,
        after: usize,
        wait: Millis,
    ) -> Result<Option<Page>, Unavailable> {
        self.call(|reply| Command::Read { id, after, wait, reply }).await?
    }

    /// Reads the request body of an item. `Ok(None)` means that there is no such item or that its
    /// job was cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the owner doesn't answer, or if a later owner may have the item.
    pub async fn body(&self, id: JobId, item: String) -> Result<Option<Bytes>, Unavailable> {
        self.call(|reply| Command::Body { id, item, reply }).await?
    }

    /// Cancels a job and waits until that is durable. `Ok(None)` means that there is no such job.
    ///
    /// # Errors
    ///
    /// `Unavailable::NotAccepted` if the owner's queue is full or a later owner may have the job;
    /// `Unavailable::Unknown` if the job may have been cancelled.
    pub async fn cancel(&self, id: JobId) -> Result<Option<()>, Unavailable> {
        self.call(|reply| Command::Cancel { id, reply }).await?
    }

    /// Requests a reservation in a quota that this owner coordinates.
    pub(in crate::batch) async fn reserve(
        &self,
        reservation: Reservation,
    ) -> Result<Decision, Unavailable> {
        self.call(|reply| Command::Reserve { reservation, reply }).await?
    }

    /// Makes the owner prove its ownership without waiting for its next event.
    pub(in crate::batch) fn prove(&self) {
        // With a full queue the owner has events enough.
        let _ = self.0.try_send(Command::Prove);
    }

    /// Makes the owner save the progress of its items and stop.
    pub(in crate::batch) async fn release(&self) -> Result<(), Unavailable> {
        self.call(|reply| Command::Release { reply }).await
    }

    /// Sends a command to the owner and waits for the reply.
    async fn call<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Unavailable> {
        let (reply, answer) = oneshot::channel();
        self.0.try_send(command(reply)).map_err(|_| Unavailable::NotAccepted)?;
        answer.await.map_err(|_| Unavailable::Unknown)
    }
}
