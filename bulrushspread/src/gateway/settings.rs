//! Settings of the gateway slice.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The callers' listener and its bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// TCP address to listen on.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Bytes that the body of one request may have, files excepted.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Milliseconds within which the body of one request must arrive, files excepted.
    #[serde(default = "default_body_timeout_ms")]
    pub body_timeout_ms: u64,
    /// Milliseconds that a request may take when the caller names no deadline.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Milliseconds between refusing new requests and closing the listener at a planned stop.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: u64,
}

fn default_body_bytes() -> usize {
    1 << 20
}

fn default_body_timeout_ms() -> u64 {
    10_000
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_drain_notice_ms() -> u64 {
    500
}
