//! Peer messages of the attempt slice.

use serde::{Deserialize, Serialize};

/// What nodes tell one another in this slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {}
