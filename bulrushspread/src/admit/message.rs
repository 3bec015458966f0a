//! Peer messages of the admit slice.

use serde::{Deserialize, Serialize};

use crate::id::Workspace;

/// What nodes tell one another in this slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To the node that divides the limits of these workspaces. Answered by `Shares`.
    Demands(Vec<(Workspace, Amount)>),
    Shares(Vec<(Workspace, Amount)>),
}

/// An amount of each limit: what a node wants, or what it may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    pub requests_per_s: f32,
    pub tokens_per_s: f32,
    pub concurrency: f32,
}

impl Amount {
    /// The amount times a factor.
    pub fn scaled(self, factor: f32) -> Amount {
        Amount {
            requests_per_s: self.requests_per_s * factor,
            tokens_per_s: self.tokens_per_s * factor,
            concurrency: self.concurrency * factor,
        }
    }

    /// Whether any part of the amount is above the same part of `other`.
    pub fn exceeds(self, other: Amount) -> bool {
        self.requests_per_s > other.requests_per_s
            || self.tokens_per_s > other.tokens_per_s
            || self.concurrency > other.concurrency
    }
}
