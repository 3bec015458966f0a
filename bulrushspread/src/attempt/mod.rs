//! Sending a request to upstreams: retries, deadlines, resumed streams, quarantine, intents.

pub mod handle;
pub mod message;
pub mod settings;
pub(crate) mod task;

pub use handle::Handle;
pub use settings::Settings;
