//! Settings of the engine.

use serde::{Deserialize, Serialize};

/// Speed, room and behaviour of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Sequences that run at once.
    pub slots: u32,
    /// Requests that wait for a slot before 429.
    pub queue: u32,
    /// Milliseconds of one step without sequences.
    pub step_ms: f64,
    /// Milliseconds that each running sequence adds to a step.
    pub step_ms_per_sequence: f64,
    /// Milliseconds that 1000 prompt tokens add to a step.
    pub prefill_ms_per_1000_tokens: f64,
    /// Prompt tokens that one step takes in at most.
    pub prefill_tokens_per_step: u32,
    /// Blocks of prompt that the prefix cache holds.
    pub cache_blocks: usize,
    /// Milliseconds between two refreshes of the load report.
    pub report_ms: u64,
    /// Milliseconds before a cache event becomes visible.
    pub cache_event_lag_ms: u64,
    /// One in so many cache events is never published; 0 publishes all.
    pub cache_event_gap: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Milliseconds that a load order takes until the model is loaded.
    pub load_ms: u64,
    /// Models that are loaded at the start.
    pub loaded: Vec<String>,
    /// Whether generations for models that are not loaded are refused.
    pub refuses_unloaded: bool,
    /// The engine is being taken down.
    pub leaving: bool,
    /// Whether all generations are refused with 503.
    pub outage: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            slots: 16,
            queue: 1_024,
            step_ms: 10.0,
            step_ms_per_sequence: 0.4,
            prefill_ms_per_1000_tokens: 40.0,
            prefill_tokens_per_step: 4_096,
            cache_blocks: 4_096,
            report_ms: 250,
            cache_event_lag_ms: 500,
            cache_event_gap: 10,
            checks_fence: false,
            load_ms: 100,
            loaded: Vec::new(),
            refuses_unloaded: false,
            leaving: false,
            outage: false,
        }
    }
}
