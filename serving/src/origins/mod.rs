//! Which software began each stream, so that a stream is resumed only there.
//!
//! A node announces the software of the streams that it sends with its gossip, so that the other
//! nodes know it when the node is gone. A node that doesn't know it asks the others.
//!
//! The announcement precedes the first event, so the software may still change. Before a request that
//! was announced moves to another version, every node that may hold the announcement confirms that
//! it has dropped it.
//!
//! * `state` holds what is known and what to announce.
//! * `lifetime` says how long ago a stream can have begun that is still resumed.
//! * `message` are the questions that nodes ask each other, and the replies.
//! * `task` asks and replies.

mod lifetime;
mod message;
mod state;
mod task;

pub use lifetime::Lifetimes;
pub use message::{Datagram, Result};
pub use state::{Announcement, Digest, News, Origin, State, Withdrawal};
pub use task::{Origins, run};
