//! What a trial measured.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest time that a histogram tells apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times of one kind.
#[derive(Clone, Debug)]
pub(super) struct Times(Histogram<u64>);

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    pub count: u64,
}

impl Default for Times {
    fn default() -> Times {
        let bounded = Histogram::new_with_max(LONGEST_US, SIGNIFICANT_DIGITS);
        Times(bounded.expect("the bounds of the histogram are valid"))
    }
}

impl Times {
    pub(super) fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    pub(super) fn merge(&mut self, other: &Times) {
        self.0.add(&other.0).expect("all histograms have the same bounds");
    }

    pub(super) fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99), count: self.0.len() }
    }
}

/// What one trial measured.
#[derive(Clone, Debug, Default)]
pub(super) struct Figures {
    /// From the caller's request to its first token.
    pub(super) ttft: Times,
    /// Between two tokens of one answer.
    pub(super) itl: Times,
    /// From the arrival of online work at a runner until batch work was off the replica.
    pub(super) yields: Times,
    /// Online requests that got no whole answer.
    pub(super) online_failures: u64,
    pub(super) online_tokens_per_s: f64,
    pub(super) batch_tokens_per_s: f64,
    pub(super) batch_items_per_s: f64,
    /// Items that ended in a failure.
    pub(super) batch_failures: u64,
}
