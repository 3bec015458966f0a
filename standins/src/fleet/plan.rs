//! What a fleet consists of.

use std::collections::BTreeMap;

use bulrushspread::{
    config::{
        Piece,
        document::{DeploymentSpec, ServiceSpec, WorkspaceSpec},
    },
    id::{DataCentre, Deployment, Model, Service, Workspace},
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::{engine, log_service, plain, vm_list};

use super::Program;

/// The environment of the fleet's nodes.
pub const ENVIRONMENT: &str = "trial";
/// The deployment that the fleet's engines serve.
pub const DEPLOYMENT: &str = "svetovalec";
/// The model of that deployment.
pub const MODEL: &str = "svetovalec";
/// The plain service that the fleet's other upstreams serve.
pub const SERVICE: &str = "skladisce";
/// The workspace whose key the fleet's callers use.
pub const WORKSPACE: &str = "zadruga";
/// The key of the fleet's callers.
pub const CALLER_KEY: &str = "caller-key";
/// The token of the fleet's operators.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Processes to start and their settings.
#[derive(Clone, Debug)]
pub struct Plan {
    pub program: Program,
    pub nodes: usize,
    pub engines: usize,
    pub plains: usize,
    /// Nodes and upstreams are spread over these in turn.
    pub data_centres: Vec<DataCentre>,
    pub log: log_service::Settings,
    pub vm_list: vm_list::Settings,
    pub engine: engine::Settings,
    pub plain: plain::Settings,
    pub proxied: Proxied,
    /// Sections laid over each node's settings, such as `{"journal": {…}}`.
    pub node: Value,
    /// The piece that the fleet publishes first.
    pub piece: Piece,
}

/// Where fault proxies stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proxied {
    /// Between each node and the log, one proxy a node.
    pub log: bool,
    /// Before each node's peer address.
    pub peers: bool,
    /// Before each upstream.
    pub upstreams: bool,
}

impl Plan {
    /// Three nodes, two engines and one plain service.
    pub fn new(program: Program) -> Plan {
        Plan {
            program,
            nodes: 3,
            engines: 2,
            plains: 1,
            data_centres: ["ljubljana-a", "celje-b", "kranj-c"].map(DataCentre::from).to_vec(),
            log: log_service::Settings::default(),
            vm_list: vm_list::Settings::default(),
            engine: engine::Settings {
                loaded: vec![MODEL.to_string()],
                ..engine::Settings::default()
            },
            plain: plain::Settings::default(),
            proxied: Proxied::default(),
            node: json!({}),
            piece: piece(),
        }
    }

    pub(crate) fn data_centre(&self, index: usize) -> DataCentre {
        self.data_centres[index % self.data_centres.len()].clone()
    }
}

/// A piece with one deployment, one plain service and one workspace with wide limits.
fn piece() -> Piece {
    let deployment = DeploymentSpec {
        models: vec![Model::from(MODEL)],
        slots: 16,
        checks_fence: false,
        batch: true,
    };
    let service = ServiceSpec {
        idempotent_methods: ["GET", "HEAD", "PUT"].map(str::to_string).to_vec(),
        timeout_ms: 5_000,
        slots: 64,
    };
    let workspace = WorkspaceSpec {
        key_digests: vec![digest(CALLER_KEY)],
        requests_per_s: 10_000.0,
        tokens_per_s: 10_000_000.0,
        concurrency: 10_000,
        weight: 1,
    };
    Piece {
        deployments: BTreeMap::from([(Deployment::from(DEPLOYMENT), deployment)]),
        services: BTreeMap::from([(Service::from(SERVICE), service)]),
        workspaces: BTreeMap::from([(Workspace::from(WORKSPACE), workspace)]),
    }
}

/// The SHA-256 digest of a key or token, in hexadecimal.
pub fn digest(secret: &str) -> String {
    hex::encode(Sha256::digest(secret))
}
