//! The batch runner of a replica: the only node that puts batch work there.

pub mod handle;
pub(crate) mod task;

pub use handle::Handle;
