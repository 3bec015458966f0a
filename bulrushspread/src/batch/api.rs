//! What callers can do with files and batch jobs, at any node.

use bytes::Bytes;
use futures_util::stream::BoxStream;

use crate::{
    error::{Error, Kind, Result},
    id::{File, Job, Workspace},
    node::Shared,
};

use super::view::{Create, FileView, JobView};

/// A body that arrives or leaves piece by piece.
pub type Pieces = BoxStream<'static, Result<Bytes>>;

/// Stores a file of items, one JSON object a line, in bounded memory.
pub async fn upload(
    _context: &Shared,
    _workspace: &Workspace,
    _filename: &str,
    _pieces: Pieces,
) -> Result<FileView> {
    Err(unbuilt())
}

/// Creates a job. The same `key` with the same content gives the same job.
pub async fn create(
    _context: &Shared,
    _workspace: &Workspace,
    _key: Option<&str>,
    _create: Create,
) -> Result<JobView> {
    Err(unbuilt())
}

/// The job as this node knows it, asking the lane's owner for counts where it can.
pub async fn get(_context: &Shared, _workspace: &Workspace, _job: &Job) -> Result<JobView> {
    Err(unbuilt())
}

/// Jobs of the workspace, newest first, from after `after` on.
pub async fn list(
    _context: &Shared,
    _workspace: &Workspace,
    _after: Option<&Job>,
    _limit: usize,
) -> Result<Vec<JobView>> {
    Err(unbuilt())
}

/// Cancels a job. When this returns, no further item starts.
pub async fn cancel(_context: &Shared, _workspace: &Workspace, _job: &Job) -> Result<JobView> {
    Err(unbuilt())
}

/// A file's description.
pub async fn file(_context: &Shared, _workspace: &Workspace, _file: &File) -> Result<FileView> {
    Err(unbuilt())
}

/// A file's content: the uploaded lines, or one line a result.
pub async fn content(_context: &Shared, _workspace: &Workspace, _file: &File) -> Result<Pieces> {
    Err(unbuilt())
}

fn unbuilt() -> Error {
    Error::new(Kind::Internal, "batch jobs are not available yet")
}
