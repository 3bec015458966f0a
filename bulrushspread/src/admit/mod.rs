//! Limits per workspace and the fair queue in front of online requests.

pub mod handle;
pub mod message;
pub mod settings;
pub(crate) mod task;

pub use handle::Handle;
pub use settings::Settings;
