//! Batch jobs: input files, partitions with their owners, runners and results.

pub mod api;
pub mod directory;
pub mod files;
pub mod handle;
pub mod items;
pub mod jobs;
pub mod ledger;
pub mod maintenance;
pub mod message;
pub mod owner;
pub mod partition;
pub(crate) mod present;
pub mod record;
pub(crate) mod results;
pub mod retention;
pub mod runner;
pub mod settings;
pub(crate) mod task;
pub mod upload;
pub mod view;

pub use handle::Handle;
pub use settings::Settings;
