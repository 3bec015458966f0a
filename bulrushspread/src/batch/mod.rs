//! Batch jobs: their lanes, ledgers, runners and results.

pub mod message;
pub mod settings;

pub use settings::Settings;
