//! Peer messages of the configuration slice.

use serde::{Deserialize, Serialize};

/// What nodes tell one another about configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {}
