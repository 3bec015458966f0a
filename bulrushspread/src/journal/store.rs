//! The interface to the log service.

use std::sync::Arc;

use async_trait::async_trait;

use crate::{
    id::{Offset, Stream},
    time::Millis,
};

pub type Result<T> = std::result::Result<T, Error>;

/// A log service that is shared between tasks.
pub type SharedStore = Arc<dyn Store>;

/// Why an operation on the log failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service refused the operation; it had no effect.
    #[error("the log refused the operation: {message}")]
    Refused { message: String, retry_after: Option<Millis> },
    /// No response arrived. An append may have taken effect or may still do so.
    #[error("the outcome of the operation is unknown: {message}")]
    Unknown { message: String },
    /// The offset is before `first`, the first record that the service still keeps.
    #[error("records before offset {first} have expired")]
    Expired { first: Offset },
}

/// One append as the service stored it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    pub offset: Offset,
    pub data: Vec<u8>,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The first offset that the service still keeps.
    pub first: Offset,
    /// The offset that the next append will get.
    pub head: Offset,
    /// Appends in order of offset, without gaps, from the requested offset on.
    pub appends: Vec<Append>,
}

/// The append-only log service of the platform.
#[async_trait]
pub trait Store: Send + Sync {
    /// Appends `data` as one record and returns its offset.
    async fn append(&self, stream: &Stream, data: Vec<u8>) -> Result<Offset>;

    /// Reads from `from` on. Waits up to `wait` for a first record if there is none yet.
    ///
    /// Fails with [`Error::Expired`] if the service no longer keeps the record at `from`.
    async fn read(&self, stream: &Stream, from: Offset, wait: Millis) -> Result<Page>;
}
