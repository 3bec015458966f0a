//! The settings file of the daemon: one JSON document, checked before anything starts.

use std::{fs, net::SocketAddr, path::Path};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    admit, attempt, batch, config, gateway,
    id::{DataCentre, Environment, Vm},
    journal, membership, operator, peer, placement, route, telemetry,
};

pub type Result<T> = std::result::Result<T, Error>;

/// What is wrong with a settings file and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct Error {
    /// The path of the key, such as `peer.listen`.
    pub path: String,
    /// What is wrong and what would be valid.
    pub message: String,
}

/// All settings of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM that this node runs on.
    pub vm: Vm,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The environment whose document this node serves.
    pub environment: Environment,
    /// Base URLs of the platform's services.
    pub platform: Platform,
    /// The callers' listener.
    pub gateway: gateway::Settings,
    /// The operators' listener.
    pub operator: operator::Settings,
    /// Talk between nodes.
    pub peer: peer::Settings,
    #[serde(default)]
    pub admit: admit::Settings,
    #[serde(default)]
    pub attempt: attempt::Settings,
    #[serde(default)]
    pub batch: batch::Settings,
    #[serde(default)]
    pub config: config::Settings,
    #[serde(default)]
    pub journal: journal::Settings,
    #[serde(default)]
    pub membership: membership::Settings,
    #[serde(default)]
    pub placement: placement::Settings,
    #[serde(default)]
    pub route: route::Settings,
    #[serde(default)]
    pub telemetry: telemetry::Settings,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    #[schemars(with = "String")]
    pub log: SocketAddr,
    #[schemars(with = "String")]
    pub vm_list: SocketAddr,
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub weight_store: Option<SocketAddr>,
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = fs::read_to_string(path).map_err(|error| Error {
            path: path.display().to_string(),
            message: format!("can't be read: {error}"),
        })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let settings: Settings =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| Error {
                path: error.path().to_string(),
                message: error.inner().to_string(),
            })?;
        settings.check()?;
        Ok(settings)
    }

    /// Refuses values that parse but can't work together.
    fn check(&self) -> Result<()> {
        Ok(())
    }
}
