//! Sending a request to upstreams: retries, deadlines, resumed streams, quarantine, intents.

pub mod message;
pub mod settings;

pub use settings::Settings;
