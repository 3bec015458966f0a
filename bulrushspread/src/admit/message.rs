//! Messages between nodes about the sharing of workspace limits.

use serde::{Deserialize, Serialize};

use crate::id::Workspace;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Demands of a node, sent to the node that allocates the limits of these workspaces. The
    /// response is `Shares`.
    Demands(Vec<(Workspace, Amount)>),
    /// Shares that the receiver may use.
    Shares(Vec<(Workspace, Amount)>),
}

/// One value per limit of a workspace: a demand, a share or the limit itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    pub requests_per_s: f32,
    pub tokens_per_s: f32,
    pub concurrency: f32,
}

impl Amount {
    /// Multiplies each value by `factor`.
    pub fn scaled(self, factor: f32) -> Amount {
        Amount {
            requests_per_s: self.requests_per_s * factor,
            tokens_per_s: self.tokens_per_s * factor,
            concurrency: self.concurrency * factor,
        }
    }

    /// Whether any value is above that of `other`.
    pub fn exceeds(self, other: Amount) -> bool {
        self.requests_per_s > other.requests_per_s
            || self.tokens_per_s > other.tokens_per_s
            || self.concurrency > other.concurrency
    }
}
