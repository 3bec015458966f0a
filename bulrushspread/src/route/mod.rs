//! Choice of the upstream that serves a request.

pub mod message;
pub mod settings;

pub use settings::Settings;
