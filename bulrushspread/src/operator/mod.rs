//! The operators' HTTP listener.

pub mod settings;

pub use settings::Settings;
