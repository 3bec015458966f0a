//! What the operators' listener takes and says, in JSON.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    config::{Document, Piece, record::Change},
    id::{DataCentre, Environment, Incarnation, Offset, Team, Upstream, Vm},
};

/// The document of an environment as this node has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct EnvironmentView {
    pub environment: Environment,
    /// The version of the document; the `base` of a promotion to this environment.
    pub version: u64,
    /// All records of the configuration stream before this offset are in force here.
    pub offset: Offset,
    pub document: Document,
    /// Deleted pieces are listed too, without a digest.
    pub pieces: BTreeMap<Team, PieceView>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PieceView {
    /// The `base` of the next change of the piece.
    pub version: u64,
    pub author: String,
    pub digest: String,
    /// False where this node can't parse the piece and keeps the last content that it could.
    pub readable: bool,
}

/// A new content for the piece of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// The version of the piece that this one replaces; null where there never was one.
    #[serde(default)]
    pub base: Option<u64>,
    #[serde(default)]
    pub author: Option<String>,
    pub piece: Piece,
}

/// A promotion to the environment in the path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Promote {
    pub from: Environment,
    /// The version of the document of `from`. Refused where it is no longer the current one.
    pub version: u64,
    /// The version of the document that is replaced; null where there never was one.
    #[serde(default)]
    pub base: Option<u64>,
    #[serde(default)]
    pub author: Option<String>,
}

/// A change that is in force on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Published {
    /// The new version of the piece, or of the document for a promotion.
    pub version: u64,
    /// Nodes that report this offset or a higher one have the change in force.
    pub offset: Offset,
}

/// The latest changes of an environment, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct History {
    pub changes: Vec<Change>,
}

/// Which nodes have folded the stream how far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct InForce {
    /// The offset of the node that answers.
    pub offset: Offset,
    /// The offset of each live node; null where it gave no answer.
    pub nodes: BTreeMap<Vm, Option<Offset>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Health {
    /// `starting`, `serving` or `draining`.
    pub phase: String,
    pub vm: Vm,
    /// The offset up to which the configuration is in force.
    pub config_offset: Offset,
    /// The node has read the configuration stream to its end since it started.
    pub config_caught_up: bool,
    /// Bytes sent to other nodes since the start.
    pub peer_sent_bytes: u64,
    /// Bytes received from other nodes since the start.
    pub peer_received_bytes: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Members {
    pub members: Vec<Member>,
}

/// A node of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Member {
    pub vm: Vm,
    pub address: String,
    pub data_centre: DataCentre,
    pub incarnation: Incarnation,
    pub leaving: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Upstreams {
    pub upstreams: Vec<UpstreamView>,
}

/// A replica of a deployment or of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct UpstreamView {
    pub upstream: Upstream,
    pub serves: String,
    pub address: String,
    pub data_centre: DataCentre,
    pub leaving: bool,
}
