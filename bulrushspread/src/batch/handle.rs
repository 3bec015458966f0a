//! Interface of the batch jobs to the rest of the node.

use super::{owner, runner};

/// The partition owner and the batch runners of this node. Shared by all tasks; cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    pub owner: owner::Handle,
    pub runner: runner::Handle,
}
