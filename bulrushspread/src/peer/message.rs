//! The one enum of everything that nodes say to each other: a variant per slice.

use serde::{Deserialize, Serialize};

use crate::{
    admit, attempt, batch, config,
    id::{Incarnation, Vm},
    membership, route,
};

/// A datagram, a request or a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Admit(admit::message::Message),
    Attempt(attempt::message::Message),
    Batch(batch::message::Message),
    Config(config::message::Message),
    Membership(membership::message::Message),
    Route(route::message::Message),
    /// The answer to a request that has nothing to say back.
    Done,
    /// The receiver could not serve the request.
    Failed(String),
}

/// What travels on the wire: the message and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Vm,
    pub incarnation: Incarnation,
    pub message: Message,
}
