//! Settings of the batch runners.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How batch work shares replicas with online work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Batch work does not run on replicas that online work uses or is about to use.
    #[default]
    Managed,
    /// Batch work is sent like online work and never yields.
    Unmanaged,
}

/// How much batch work runs on a replica, and when it yields to online work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    pub policy: Policy,
    /// Maximum number of batch streams on one replica.
    pub streams: u32,
    /// Maximum number of batch streams on one replica that wait for their first token.
    pub prefills: u32,
    /// Number of replicas after the last one in online use that are kept free of batch work.
    pub margin: u32,
    /// Milliseconds for which a replica is kept free of batch work after the last arrival of
    /// online work.
    pub hold_ms: u64,
    /// Milliseconds up to which `hold_ms` grows while online work keeps arriving at a replica that
    /// runs batch work.
    pub hold_limit_ms: u64,
    /// Items per replica that a runner requests in addition to its free streams.
    pub ahead: u32,
    /// Milliseconds for which one item may run, pauses excluded.
    pub item_ms: u64,
    /// Milliseconds after which a waiting item goes back to its partition's owner.
    pub pause_ms: u64,
    /// Milliseconds between two requests for items while none are granted.
    pub pull_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            policy: Policy::Managed,
            streams: 16,
            prefills: 1,
            margin: 2,
            hold_ms: 500,
            hold_limit_ms: 2_000,
            ahead: 2,
            item_ms: 120_000,
            pause_ms: 30_000,
            pull_ms: 200,
        }
    }
}
