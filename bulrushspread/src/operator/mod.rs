//! The operators' HTTP listener.

pub mod settings;
pub(crate) mod task;

pub use settings::Settings;
