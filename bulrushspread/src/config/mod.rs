//! The environment document: pieces per team, published with compare-and-set on the log.

pub mod document;
pub mod handle;
pub mod message;
pub mod settings;
pub(crate) mod task;

pub use document::{Document, Piece};
pub use handle::{Handle, InForce};
pub use settings::Settings;
