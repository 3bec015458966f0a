//! The callers' HTTP listener: OpenAI-compatible endpoints and plain services.

pub(crate) mod answer;
pub(crate) mod auth;
mod batches;
pub(crate) mod body;
pub(crate) mod completions;
pub(crate) mod directory;
mod files;
mod models;
pub(crate) mod openai;
mod services;
pub mod settings;
pub(crate) mod task;

pub use directory::Cache;
pub use settings::Settings;
pub use task::Listener;
