//! The environment document: pieces per team, published with compare-and-set on the log.

pub mod document;
pub mod message;
pub mod settings;

pub use document::{Document, Piece};
pub use settings::Settings;
