//! The environment document: pieces per team, published with compare-and-set on the log.
//!
//! * `record` holds the records of the stream and `state` their fold.
//! * `reader` is one node's reading: gaps, checkpoints, documents of peers.
//! * `check` holds the rules that a piece must keep before it is published.
//! * `publish` carries an operator's change to the log and returns its verdict.

pub mod check;
pub mod document;
pub mod handle;
pub mod message;
pub(crate) mod publish;
pub mod reader;
pub mod record;
pub mod settings;
pub mod state;
pub(crate) mod task;

pub use document::{Document, Piece};
pub use handle::{Handle, InForce};
pub use reader::Reader;
pub use record::Record;
pub use settings::Settings;
pub use state::State;
