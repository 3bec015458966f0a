//! Settings of the membership slice.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How nodes learn of each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds between two reads of the VM list.
    pub list_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { list_ms: 500 }
    }
}
