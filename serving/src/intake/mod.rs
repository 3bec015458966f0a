//! Bounds on what callers and other nodes can make a node hold: connections, and the bodies of requests.
//!
//! Each machine gives a node so many bytes of memory and so many descriptors. [`Limits`] divides them among
//! the listeners. A connection takes its place when it is accepted, and a body reserves memory before its
//! bytes are kept. When a limit is reached, the connection that has made no progress for the longest time
//! is closed ([`victim`]); if all make progress, what is new is refused.

pub mod body;
mod gate;
mod limits;
pub mod victim;

pub use gate::{Connection, Gate, Reservation, TooMuch};
pub use limits::{Limits, Machine, Share};
