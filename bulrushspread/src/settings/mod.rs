//! The settings file of the daemon: one JSON document, checked before anything starts.

mod check;
mod table;

use std::{fmt, fs, net::SocketAddr, path::Path};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    admit, attempt, batch, config, gateway,
    id::{DataCentre, Environment, Vm},
    journal, membership, operator, peer, placement,
    problem::Problem,
    route, telemetry,
};

pub type Result<T> = std::result::Result<T, Error>;

/// All that is wrong with a settings file. Never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    pub problems: Vec<Problem>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.problems.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl Error {
    fn one(path: impl ToString, message: String) -> Error {
        Error { problems: vec![Problem { path: path.to_string(), message }] }
    }
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
    /// Address of the log service.
    #[schemars(with = "String")]
    pub log: SocketAddr,
    /// Address of the VM list.
    #[schemars(with = "String")]
    pub vm_list: SocketAddr,
    /// Address of the weight store.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub weight_store: Option<SocketAddr>,
}

impl Settings {
    /// Reads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = fs::read_to_string(path)
            .map_err(|error| Error::one(path.display(), format!("can't be read: {error}")))?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| Error::one(error.path(), with_example(error.inner())))?;
        let problems = check::check(&settings);
        if !problems.is_empty() {
            return Err(Error { problems });
        }
        Ok(settings)
    }

    /// The JSON Schema of the settings file.
    pub fn schema() -> schemars::schema::RootSchema {
        schemars::schema_for!(Settings)
    }

    /// A Markdown table of all settings with their defaults.
    pub fn table() -> String {
        table::table(&serde_json::to_value(Settings::schema()).unwrap_or_default())
    }
}

/// The parser's message, with an example where it names no valid form.
fn with_example(error: &serde_json::Error) -> String {
    let message = error.to_string();
    if message.contains("socket address") {
        return format!("{message}; use an IP address and a port, such as 10.0.0.1:8080");
    }
    message
}
