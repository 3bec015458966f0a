//! The platform's VM list: which VMs exist, where they are, and which are leaving. It lags.

pub mod http;

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, Vm};

pub type Result<T> = anyhow::Result<T>;
pub type Shared = Arc<dyn List>;

/// What a VM is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum Role {
    /// Runs this daemon; `address` is its peer address.
    Entry,
    /// Runs a replica of the deployment or plain service named `serves`.
    Upstream { serves: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Live,
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    pub vm: Vm,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub phase: Phase,
    #[serde(flatten)]
    pub role: Role,
}

/// The VM list of the platform.
#[async_trait]
pub trait List: Send + Sync {
    async fn list(&self) -> Result<Vec<Listed>>;
}
