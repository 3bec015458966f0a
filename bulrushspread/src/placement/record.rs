//! The records of the placement stream.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Deployment, Epoch, Incarnation, Vm},
    time::Millis,
};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// One run of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    pub vm: Vm,
    pub incarnation: Incarnation,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Takes over a deployment. The first claim of an epoch in stream order wins.
    Claim(Term),
    /// Extends the lease of the owner. Void unless the claim of its epoch is the latest.
    Renew(Term),
}

/// Who holds a deployment in which epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    pub deployment: Deployment,
    pub epoch: Epoch,
    pub owner: Owner,
    /// The owner's own clock before it began to append. Means nothing to others.
    pub began: Millis,
}

impl Record {
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }
}

pub fn decode(body: &[u8]) -> Result<Record> {
    postcard::from_bytes(body)
}
