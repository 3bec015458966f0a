//! Peer messages of the route slice.

use serde::{Deserialize, Serialize};

/// What nodes tell one another in this slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {}
