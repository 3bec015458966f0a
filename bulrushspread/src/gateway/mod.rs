//! The callers' HTTP listener: OpenAI-compatible endpoints and plain services.

pub mod settings;

pub use settings::Settings;
