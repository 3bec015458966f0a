//! The tasks of the batch runners.

use crate::{
    batch::message::{Stop, Yield},
    id::Vm,
    node::Shared,
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of the runners.
pub(crate) async fn start(_context: &Shared) -> Result<()> {
    Ok(())
}

/// Gives back what the runners of this node hold.
pub(crate) async fn stop(_context: &Shared) {}

/// Ends items that must stop. Returns once none of them runs.
pub(crate) async fn stop_items(_context: &Shared, _stop: Stop) {}

/// Makes room on an upstream for online work that another node has dispatched.
pub(crate) fn make_room(_context: &Shared, _from: &Vm, _yield_to: Yield) {}
