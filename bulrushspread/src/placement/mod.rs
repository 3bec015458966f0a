//! Which models, adapters, versions and roles the engines of a deployment have loaded.

pub mod settings;
pub(crate) mod task;

pub use settings::Settings;
