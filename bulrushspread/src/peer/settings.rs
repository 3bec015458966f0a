//! Settings of the peer slice.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where the node talks to other nodes and with which keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// UDP address to listen on.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Address that other nodes use, where it differs from `listen`.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub advertise: Option<SocketAddr>,
    /// PEM file with this node's certificate.
    pub certificate: String,
    /// PEM file with the private key of the certificate.
    pub key: String,
    /// PEM file with the authorities that sign the nodes' certificates.
    pub authorities: String,
    /// Milliseconds that a request to another node may take.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    2_000
}
