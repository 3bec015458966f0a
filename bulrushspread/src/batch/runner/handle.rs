//! What other slices use of the batch runners.

use crate::{id::Upstream, node::Shared};

/// Shared by all tasks of the node. Cheap to clone.
#[derive(Clone, Default)]
pub struct Handle {}

impl Handle {
    /// This node has dispatched an online request to `upstream` and now has `in_flight` there.
    pub fn dispatched(&self, _context: &Shared, _upstream: &Upstream, _in_flight: u32) {}

    /// An online request at `upstream` has ended and `in_flight` of this node are left there.
    pub fn finished(&self, _context: &Shared, _upstream: &Upstream, _in_flight: u32) {}
}
