//! The configuration of an environment: a document with one piece per team, published to the log
//! with compare-and-set.
//!
//! * `record` defines the records of the stream and `state` applies them in order.
//! * `reader` replays the stream on one node: gaps, checkpoints and states of peers.
//! * `check` validates a piece before it is published.
//! * `publish` appends an operator's change to the log and returns the decision on it.

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
pub use handle::{Handle, Snapshot};
pub use reader::Reader;
pub use record::Record;
pub use settings::Settings;
pub use state::State;
