//! Settings of the configuration.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How the configuration is checkpointed and confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Milliseconds after which the whole document is written to the log again. Must be well
    /// below the time that the log keeps records.
    pub checkpoint_ms: u64,
    /// Milliseconds that an operator's change may take until it is confirmed.
    pub confirm_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { checkpoint_ms: 60_000, confirm_ms: 5_000 }
    }
}
