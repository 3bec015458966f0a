//! Sends requests to upstreams through other nodes while this node's own path to them is down.
//!
//! A forwarder sends a request once, to the upstream that its sender chose, and passes the response on
//! unchanged. All decisions stay with the sender: the choice of upstreams, retries, the counting of
//! loads, and what its caller gets. A forwarder never uses another forwarder.
//!
//! * `state` knows which nodes can forward, from gossip, and chooses among them.
//! * `message` holds what nodes tell each other, in gossip and in headers.
//! * `client` sends through a forwarder, and `server` is the forwarder.

mod client;
mod message;
mod server;
mod state;

pub use client::Forwarders;
pub(crate) use client::{ask, send};
pub use message::{Notice, Offer, Outcome};
pub use server::{Chunks, handle};
pub use state::{Choice, State};
