//! What the engine did, for checks.

use std::collections::BTreeMap;

use serde::Serialize;

/// Runs of one stream, or of all streams of one name.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Run {
    /// Times that the stream entered the running batch.
    pub(crate) started: u32,
    /// Times that the stream ended by itself.
    pub(crate) finished: u32,
    pub(crate) cancelled: u32,
    pub(crate) tokens: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) streams: BTreeMap<String, Run>,
    pub(crate) names: BTreeMap<String, Run>,
    pub(crate) requests: u64,
    pub(crate) refused: u64,
    pub(crate) tokens: u64,
    pub(crate) steps: u64,
    pub(crate) peak_active: u32,
}

impl Counts {
    /// Changes the counts of a stream and of its name.
    pub(crate) fn change(&mut self, stream: &str, name: &str, change: impl Fn(&mut Run)) {
        change(self.streams.entry(stream.to_string()).or_default());
        change(self.names.entry(name.to_string()).or_default());
    }
}
