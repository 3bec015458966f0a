//! Settings of the batch slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::runner;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How batch work shares replicas with online work.
    pub runner: runner::Settings,
}
