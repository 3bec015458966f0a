//! Which models, adapters, versions and roles the engines of a deployment have loaded.

pub mod settings;

pub use settings::Settings;
