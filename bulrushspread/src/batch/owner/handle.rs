//! What other slices use of the lane owner.

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {}
