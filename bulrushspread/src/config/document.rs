//! The environment document and its pieces, as operators write them.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::{Deployment, Model, Service, Team, Workspace};

/// The configuration of one environment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub pieces: BTreeMap<Team, Piece>,
}

/// The configuration of one team. Names are unique across all pieces of the document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Piece {
    pub deployments: BTreeMap<Deployment, DeploymentSpec>,
    pub services: BTreeMap<Service, ServiceSpec>,
    pub workspaces: BTreeMap<Workspace, WorkspaceSpec>,
}

/// A group of model engines. Its upstreams are the listed VMs that serve its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSpec {
    /// The models that the deployment serves.
    pub models: Vec<Model>,
    /// Sequences that one engine runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the engines refuse orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether batch items may run on the engines.
    #[serde(default = "default_batch")]
    pub batch: bool,
}

/// A plain service. Its upstreams are the listed VMs that serve its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Methods whose calls may be retried.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<String>,
    /// Milliseconds that one call may take.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Requests that one upstream handles concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// A customer's workspace and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// SHA-256 digests of the callers' keys, in hexadecimal.
    pub key_digests: Vec<String>,
    /// Online requests a second, over all nodes.
    pub requests_per_s: f64,
    /// Tokens a second, over all nodes.
    pub tokens_per_s: f64,
    /// Online requests in flight, over all nodes.
    pub concurrency: u32,
    /// Share of batch capacity relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_slots() -> u32 {
    16
}

fn default_timeout_ms() -> u64 {
    10_000
}

fn default_weight() -> u32 {
    1
}

fn default_batch() -> bool {
    true
}

fn default_idempotent_methods() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"].map(str::to_string).to_vec()
}
