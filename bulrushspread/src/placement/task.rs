//! The placement tasks.

use crate::node::Shared;

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the placement tasks. There are none yet.
pub(crate) async fn start(_context: &Shared) -> Result<()> {
    Ok(())
}
