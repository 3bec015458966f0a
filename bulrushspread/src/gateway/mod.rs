//! The callers' HTTP listener: OpenAI-compatible endpoints and plain services.

pub mod settings;
pub(crate) mod task;

pub use settings::Settings;
