//! Settings and faults of the log service.

use serde::{Deserialize, Serialize};

/// What the log service allows and how it fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Appends a second before 429.
    pub appends_per_s: f64,
    /// Age at which records expire.
    pub retain_ms: Option<u64>,
    /// Records that a stream keeps.
    pub retain_records: Option<usize>,
    pub outage: Outage,
    /// Time added to each operation.
    pub delay_ms: u64,
    /// The next appends take effect, but their answers are lost.
    pub lost_answers: u32,
    /// Share of the appends that take effect while their answers are lost.
    pub lost_probability: f64,
    /// The answers of the next appends are lost, and they take effect `late_ms` later.
    pub late_effects: u32,
    pub late_ms: u64,
    /// Seeds the draw of lost answers.
    pub seed: u64,
}

/// Whether the service answers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    #[default]
    None,
    /// Every operation is answered with 503.
    Refuse,
    /// Operations are accepted and never answered; they have no effect.
    Hang,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            appends_per_s: 400.0,
            retain_ms: None,
            retain_records: None,
            outage: Outage::None,
            delay_ms: 0,
            lost_answers: 0,
            lost_probability: 0.0,
            late_effects: 0,
            late_ms: 0,
            seed: 1,
        }
    }
}
