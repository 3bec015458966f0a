//! What other slices use of this one.

use super::{owner, runner};

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {
    pub owner: owner::Handle,
    pub runner: runner::Handle,
}
