//! The tasks of the lane owner: claims, journalling of outcomes, grants.

use crate::{
    batch::message::{Grant, Outcomes, Pull},
    id::Vm,
    node::Shared,
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of the owner.
pub(crate) async fn start(_context: &Shared) -> Result<()> {
    Ok(())
}

/// Releases the lanes of this node.
pub(crate) async fn stop(_context: &Shared) {}

/// Grants items of lanes that this node owns; nothing for other lanes.
pub(crate) async fn pull(_context: &Shared, _runner: &Vm, _pull: Pull) -> Grant {
    Grant { work: Vec::new() }
}

/// Takes over outcomes of a runner. Returns once they no longer need the runner.
pub(crate) async fn outcomes(_context: &Shared, _runner: &Vm, _outcomes: Outcomes) -> Result<()> {
    Ok(())
}
