//! Settings of the batch runners.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How batch work shares replicas with online work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Batch work keeps off replicas that online work uses or is about to use.
    #[default]
    Managed,
    /// Batch work is sent like online work and never yields.
    Unmanaged,
}

/// How much batch work a replica gets, and when it must go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    pub policy: Policy,
    /// Batch streams that one replica runs at once.
    pub streams: u32,
    /// Batch streams of one replica that may wait for their first token at once.
    pub prefills: u32,
    /// Replicas behind the last one in online use that stay free of batch work.
    pub margin: u32,
    /// Milliseconds that a replica stays free of batch work after online work has left it.
    pub hold_ms: u64,
    /// Milliseconds up to which the hold grows while online work keeps meeting batch work.
    pub hold_limit_ms: u64,
    /// Items that a runner takes ahead of free streams, per replica.
    pub ahead: u32,
    /// Milliseconds that one item may run, pauses excluded.
    pub item_ms: u64,
    /// Milliseconds after which a paused item goes back to its partition's owner.
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
