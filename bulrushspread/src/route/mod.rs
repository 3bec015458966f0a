//! Choice of the upstream that serves a request.

pub mod handle;
pub mod message;
pub mod settings;
pub(crate) mod task;

pub use handle::Handle;
pub use settings::Settings;
