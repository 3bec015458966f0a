//! What the slices use of the journal.

use tokio::sync::mpsc;

use crate::{
    error::{Error, Kind, Result},
    id::{Offset, Stream},
};

use super::record::{Entry, Position};

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
pub struct Handle {}

impl Handle {
    /// Appends records and returns their places once they have been read back.
    ///
    /// * `LogUnavailable`: no record was or will be appended.
    /// * `Unconfirmed`: the records may stand in the stream now or later.
    pub async fn append(&self, _stream: &Stream, _bodies: Vec<Vec<u8>>) -> Result<Vec<Position>> {
        Err(Error::new(Kind::LogUnavailable, "the journal is not running"))
    }

    /// Delivers the entries of a stream from `from` on until the receiver is dropped.
    pub fn follow(&self, _stream: &Stream, _from: Offset) -> mpsc::Receiver<Followed> {
        mpsc::channel(1).1
    }

    /// Reads the entries of one append.
    pub async fn read_at(&self, _stream: &Stream, _offset: Offset) -> Result<Vec<Entry>> {
        Err(Error::new(Kind::LogUnavailable, "the journal is not running"))
    }
}
