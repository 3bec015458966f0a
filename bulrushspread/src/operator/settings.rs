//! Settings of the operator slice.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The operators' listener and who may use it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// TCP address to listen on.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// SHA-256 digests of the operators' tokens, in hexadecimal.
    pub token_digests: Vec<String>,
}
