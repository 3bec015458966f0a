//! The interface that other modules use to append to streams and to follow them.

use std::sync::{Arc, OnceLock};

use tokio::sync::{mpsc, oneshot};

use crate::{
    error::{Error, Kind, Result},
    id::{Offset, Stream},
    time::Millis,
};

use super::{
    appender::Failure,
    follower::Follower,
    record::{Entry, Position, decode},
    store,
    task::{Backend, Command},
};

/// Maximum number of events that are buffered for a receiver that is slower than the log.
const FOLLOW_BUFFER_EVENTS: usize = 16;

/// What the follower of a stream receives, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// Entries in stream order, without duplicates.
    Entries(Vec<Entry>),
    /// All entries before this offset, the current end of the stream, have been delivered.
    CaughtUp(Offset),
    /// Records before this offset have expired. Those not delivered yet are lost.
    Expired(Offset),
}

/// Appends to streams and follows them. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    /// Set once when the journal starts. Until then every operation fails.
    backend: Arc<OnceLock<Backend>>,
}

impl Handle {
    /// Appends records and returns their positions once they have been read back.
    ///
    /// The records are adjacent, in one append.
    ///
    /// # Errors
    ///
    /// * `LogUnavailable`: no record was or will be appended.
    /// * `Unconfirmed`: the records may be in the stream now or later.
    pub async fn append(&self, stream: &Stream, bodies: Vec<Vec<u8>>) -> Result<Vec<Position>> {
        if bodies.is_empty() {
            return Ok(Vec::new());
        }
        let backend = self.backend()?;
        let (answer, receiver) = oneshot::channel();
        let command = Command { stream: stream.clone(), bodies, answer };
        if backend.commands.send(command).await.is_err() {
            return Err(stopped());
        }
        match receiver.await {
            Ok(Ok(positions)) => Ok(positions),
            Ok(Err(Failure::Unavailable)) => Err(unavailable()),
            Ok(Err(Failure::Unconfirmed)) | Err(_) => Err(unconfirmed()),
        }
    }

    /// Delivers the entries of a stream from `from` on until the receiver is dropped.
    ///
    /// While the journal isn't running, the channel is closed at once.
    pub fn follow(&self, stream: &Stream, from: Offset) -> mpsc::Receiver<FollowEvent> {
        let (sender, receiver) = mpsc::channel(FOLLOW_BUFFER_EVENTS);
        if let Ok(backend) = self.backend() {
            let follower = Follower::new(backend.clone(), stream.clone(), from);
            tokio::spawn(follower.run(sender));
        }
        receiver
    }

    /// The time up to which a followed stream has been delivered completely: the start of the last
    /// read that reached the end of the stream.
    pub fn current_as_of(&self, stream: &Stream) -> Option<Millis> {
        self.backend().ok()?.last_complete_reads.lock().unwrap().get(stream).copied()
    }

    /// Reads the entries of the append at `offset`.
    ///
    /// Fails with `NotFound` if there is no append at `offset` or it has expired.
    pub async fn read_at(&self, stream: &Stream, offset: Offset) -> Result<Vec<Entry>> {
        let backend = self.backend()?;
        let page = backend.store.read(stream, offset, Millis(0)).await.map_err(read_error)?;
        let Some(append) = page.appends.into_iter().find(|append| append.offset == offset) else {
            return Err(Error::new(Kind::NotFound, format!("no record at offset {offset}")));
        };
        decode(offset, &append.data)
            .map_err(|error| Error::new(Kind::Internal, format!("record at {offset}: {error}")))
    }

    /// Reads the offset that the next append will get. `from` must not have expired.
    pub async fn head(&self, stream: &Stream, from: Offset) -> Result<Offset> {
        let page = self.backend()?.store.read(stream, from, Millis(0)).await;
        Ok(page.map_err(read_error)?.head)
    }

    /// Connects the handle to the running journal.
    pub(crate) fn connect(&self, backend: Backend) {
        let _ = self.backend.set(backend);
    }

    fn backend(&self) -> Result<&Backend> {
        self.backend.get().ok_or_else(stopped)
    }
}

fn stopped() -> Error {
    Error::new(Kind::LogUnavailable, "the journal is not running")
}

fn unavailable() -> Error {
    Error::new(Kind::LogUnavailable, "the log does not accept records; nothing was appended")
}

fn unconfirmed() -> Error {
    Error::new(Kind::Unconfirmed, "the log did not confirm the records; they may stand")
}

fn read_error(error: store::Error) -> Error {
    match error {
        store::Error::Expired { .. } => Error::new(Kind::NotFound, error.to_string()),
        store::Error::Refused { .. } | store::Error::Unknown { .. } => {
            Error::new(Kind::LogUnavailable, error.to_string())
        }
    }
}
