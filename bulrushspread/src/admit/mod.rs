//! Limits per workspace and the fair queue in front of online requests.

pub mod message;
pub mod settings;

pub use settings::Settings;
