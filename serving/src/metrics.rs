//! Counters and latency histograms of the process, as text for a collector.

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0];

/// How a request or call ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Labels {
    pub subject: String,
    pub outcome: String,
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// Requests of callers by route and outcome.
    pub requests: Family<Labels, Counter>,
    /// Sends to upstreams by service and outcome.
    pub sends: Family<Labels, Counter>,
    /// Calls to the log service by call and outcome.
    pub calls: Family<Labels, Counter>,
    /// Batch events, such as accepted jobs and finished items.
    pub batch: Family<Labels, Counter>,
    /// Seconds from a request's arrival to its first answer byte.
    pub first_answer: Histogram,
    /// Seconds from a request's arrival to its end.
    pub whole_answer: Histogram,
    pub in_flight: Gauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("bulrushspread");
        let requests = Family::default();
        registry.register("requests", "Requests of callers", requests.clone());
        let sends = Family::default();
        registry.register("sends", "Sends to upstreams", sends.clone());
        let calls = Family::default();
        registry.register("log_calls", "Calls to the log service", calls.clone());
        let batch = Family::default();
        registry.register("batch_events", "Events of batch jobs", batch.clone());
        let first_answer = Histogram::new(LATENCY_BUCKETS);
        registry.register("first_answer_seconds", "Time to the first byte", first_answer.clone());
        let whole_answer = Histogram::new(LATENCY_BUCKETS);
        registry.register("whole_answer_seconds", "Time to the last byte", whole_answer.clone());
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests in flight", in_flight.clone());
        Metrics { registry, requests, sends, calls, batch, first_answer, whole_answer, in_flight }
    }
}

impl Metrics {
    /// Counts one event.
    pub fn count(&self, family: &Family<Labels, Counter>, subject: &str, outcome: &str) {
        let labels = Labels { subject: subject.to_string(), outcome: outcome.to_string() };
        family.get_or_create(&labels).inc();
    }

    /// All metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
