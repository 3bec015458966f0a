//! Batch jobs: their lanes, ledgers, runners and results.

pub mod api;
pub mod handle;
pub mod items;
pub mod jobs;
pub mod lane;
pub mod ledger;
pub mod message;
pub mod owner;
pub mod record;
pub mod runner;
pub mod settings;
pub(crate) mod task;
pub mod view;

pub use handle::Handle;
pub use settings::Settings;
