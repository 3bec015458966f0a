//! The records of the placement stream.

use serde::{Deserialize, Serialize};

use crate::{
    id::{Deployment, Epoch, Incarnation, Vm},
    time::Millis,
};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// One incarnation of a node, which can own deployments.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    pub vm: Vm,
    pub incarnation: Incarnation,
}

/// A record of the placement stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Claims a deployment. The first claim of an epoch in stream order wins.
    Claim(Ownership),
    /// Renews the lease of the owner. Ignored unless the latest claim has the same epoch and owner.
    Renew(Ownership),
}

/// The owner of a deployment in an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    pub deployment: Deployment,
    pub epoch: Epoch,
    pub owner: Owner,
    /// The owner's clock just before the append. Not comparable with clocks of other nodes.
    #[serde(rename = "began")]
    pub append_started: Millis,
}

impl Record {
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }
}

pub fn decode(body: &[u8]) -> Result<Record> {
    postcard::from_bytes(body)
}
