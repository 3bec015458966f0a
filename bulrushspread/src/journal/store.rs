//! The trait through which the process reaches the log service.

use std::sync::Arc;

use async_trait::async_trait;

use crate::{
    id::{Offset, Stream},
    time::Millis,
};

pub type Result<T> = std::result::Result<T, Error>;

/// A log service shared by the slices.
pub type Shared = Arc<dyn Store>;

/// Why an operation on the log gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service refused the operation; it had no effect.
    #[error("the log refused the operation: {message}")]
    Refused { message: String, retry_after: Option<Millis> },
    /// No answer arrived; an append may or may not have taken effect.
    #[error("the outcome of the operation is unknown: {message}")]
    Unknown { message: String },
    /// The offset is before the first record that the service still keeps.
    #[error("records before offset {first} have expired")]
    Expired { first: Offset },
}

/// One append as the service stored it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    pub offset: Offset,
    pub data: Vec<u8>,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The first offset that the service still keeps.
    pub first: Offset,
    /// The offset that the next append will get.
    pub head: Offset,
    /// Appends in order of offset, without gaps, from the offset asked for.
    pub appends: Vec<Stored>,
}

/// The append-only log service of the platform.
#[async_trait]
pub trait Store: Send + Sync {
    /// Appends `data` as one record and returns its offset.
    async fn append(&self, stream: &Stream, data: Vec<u8>) -> Result<Offset>;

    /// Reads from `from` on. Waits up to `wait` for a first record when there is none yet.
    async fn read(&self, stream: &Stream, from: Offset, wait: Millis) -> Result<Page>;
}
