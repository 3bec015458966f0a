//! What the slices use of the journal.

use std::sync::{Arc, OnceLock};

use tokio::sync::{mpsc, oneshot};

use crate::{
    error::{Error, Kind, Result},
    id::{Offset, Stream},
    time::Millis,
};

use super::{
    appender::Refusal,
    follower::Follower,
    record::{Entry, Position, decode},
    store,
    task::{Command, Wired},
};

/// Batches that wait for a follower that is slower than the log.
const FOLLOW_BUFFER: usize = 16;

/// What a follower of a stream learns, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followed {
    /// Entries in stream order, each id once.
    Entries(Vec<Entry>),
    /// All entries before this offset have been delivered and the stream ends there for now.
    CaughtUp(Offset),
    /// Records before this offset have expired; those between were missed.
    Lost(Offset),
}

/// Appends to streams and follows them. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    /// Set once when the journal starts; until then every operation is refused.
    wired: Arc<OnceLock<Wired>>,
}

impl Handle {
    /// Appends records and returns their places once they have been read back.
    ///
    /// The records stand next to one another, in one append.
    ///
    /// * `LogUnavailable`: no record was or will be appended.
    /// * `Unconfirmed`: the records may stand in the stream now or later.
    pub async fn append(&self, stream: &Stream, bodies: Vec<Vec<u8>>) -> Result<Vec<Position>> {
        if bodies.is_empty() {
            return Ok(Vec::new());
        }
        let wired = self.wired()?;
        let (answer, answered) = oneshot::channel();
        let command = Command { stream: stream.clone(), bodies, answer };
        if wired.commands.send(command).await.is_err() {
            return Err(stopped());
        }
        match answered.await {
            Ok(Ok(positions)) => Ok(positions),
            Ok(Err(Refusal::Unavailable)) => Err(unavailable()),
            Ok(Err(Refusal::Unconfirmed)) | Err(_) => Err(unconfirmed()),
        }
    }

    /// Delivers the entries of a stream from `from` on until the receiver is dropped.
    pub fn follow(&self, stream: &Stream, from: Offset) -> mpsc::Receiver<Followed> {
        let (sender, receiver) = mpsc::channel(FOLLOW_BUFFER);
        if let Ok(wired) = self.wired() {
            let follower = Follower::new(wired.clone(), stream.clone(), from);
            tokio::spawn(follower.run(sender));
        }
        receiver
    }

    /// When the last read of a followed stream began whose end has been delivered.
    pub fn checked_at(&self, stream: &Stream) -> Option<Millis> {
        self.wired().ok()?.checked.lock().unwrap().get(stream).copied()
    }

    /// Reads the entries of one append.
    pub async fn read_at(&self, stream: &Stream, offset: Offset) -> Result<Vec<Entry>> {
        let wired = self.wired()?;
        let page = wired.store.read(stream, offset, Millis(0)).await.map_err(read_error)?;
        let Some(stored) = page.appends.into_iter().find(|stored| stored.offset == offset) else {
            return Err(Error::new(Kind::NotFound, format!("no record at offset {offset}")));
        };
        decode(offset, &stored.data)
            .map_err(|error| Error::new(Kind::Internal, format!("record at {offset}: {error}")))
    }

    /// The offset that the next append will get; `from` is any offset that is still kept.
    pub async fn head(&self, stream: &Stream, from: Offset) -> Result<Offset> {
        let page = self.wired()?.store.read(stream, from, Millis(0)).await;
        Ok(page.map_err(read_error)?.head)
    }

    /// Connects the handle to the running journal.
    pub(crate) fn wire(&self, wired: Wired) {
        let _ = self.wired.set(wired);
    }

    fn wired(&self) -> Result<&Wired> {
        self.wired.get().ok_or_else(stopped)
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
