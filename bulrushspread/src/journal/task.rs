//! The tasks of this slice.

use crate::node::Shared;

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of the slice.
pub(crate) async fn start(_context: &Shared) -> Result<()> {
    Ok(())
}
