//! Counters, gauges and latency histograms of the process, rendered for Prometheus.

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the histogram buckets for latencies, in seconds.
const LATENCY_BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Upper bounds of the histogram buckets for errors of a load, in requests.
const LOAD_ERROR_BUCKETS: [f64; 6] = [0.0, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Upper bounds of the histogram buckets for stated paces, in percent.
const PACE_BUCKETS: [f64; 6] = [50.0, 90.0, 110.0, 150.0, 200.0, 300.0];
/// Upper bounds of the histogram buckets for measured times relative to the expected ones.
const TIME_RATIO_BUCKETS: [f64; 7] = [0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 8.0];

/// Labels of a counter: what was counted, such as a route, service or call, and its outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Labels {
    pub subject: String,
    pub outcome: String,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

/// Label of a histogram by route.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct RouteLabel {
    pub route: String,
}

/// Labels of requests that have left the node's data centre.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct DepartureLabels {
    pub data_centre: String,
    pub class: String,
    pub reason: &'static str,
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// Requests from callers by route and outcome.
    pub requests: Family<Labels, Counter>,
    /// Sends to upstreams by service and outcome.
    pub sends: Family<Labels, Counter>,
    /// Failed sends by scheduling class and kind of failure.
    pub send_failures: Family<Labels, Counter>,
    /// Ejections of upstreams because of failures that other nodes report, by service.
    pub ejections: Family<Labels, Counter>,
    /// Requests that went through other nodes, by whether this node sent or took them, and outcome.
    pub forwarded: Family<Labels, Counter>,
    /// Whether this node's own path to the upstreams works: 1 or 0.
    pub uplink_up: Gauge,
    /// Requests that were refused because of their key, by where and why.
    pub access_refusals: Family<Labels, Counter>,
    /// Milliseconds since the log confirmed that the node has the newest keys; 0 without workspaces.
    pub key_age: Gauge,
    /// Calls to the log service by name and outcome.
    pub log_calls: Family<Labels, Counter>,
    /// Batch events, such as accepted jobs and finished items, by kind of object and outcome.
    pub batch_events: Family<Labels, Counter>,
    /// Decisions on requests by the limits of their workspaces, by outcome.
    pub allowance: Family<Labels, Counter>,
    /// Seconds from the arrival of a request to the first byte of its response.
    pub time_to_first_byte: Histogram,
    /// Seconds from the arrival of a request to its end.
    pub time_to_last_byte: Histogram,
    /// Seconds between two events of a stream as they came from the upstream, by route.
    pub event_pause: Family<RouteLabel, Histogram, fn() -> Histogram>,
    /// Difference between the requests that this node believed to be at an upstream when it chose it,
    /// the chosen one included, and those that the upstream states in its response.
    pub load_error: Histogram,
    /// Paces that upstreams state, in percent of the usual time that work takes.
    pub stated_pace: Histogram,
    /// Time of a whole answer relative to the one expected when the upstream was chosen, for upstreams that
    /// state their pace.
    pub time_ratio: Histogram,
    /// Requests from callers that have not ended.
    pub in_flight: Gauge,
    /// Connections and bodies that were refused, and connections that were closed to make room, by
    /// kind of listener and reason.
    pub intake: Family<Labels, Counter>,
    /// Sends to other data centres by data centre and reason.
    pub departures: Family<DepartureLabels, Counter>,
    /// Bytes of bodies that sends to other data centres carried in both directions, by data centre
    /// and reason.
    pub departure_bytes: Family<DepartureLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("bulrushspread");
        let requests = Family::default();
        registry.register("requests", "Requests of callers", requests.clone());
        let sends = Family::default();
        registry.register("sends", "Sends to upstreams", sends.clone());
        let send_failures = Family::default();
        registry.register(
            "send_failures",
            "Failed sends to upstreams by kind of failure",
            send_failures.clone(),
        );
        let ejections = Family::default();
        registry.register(
            "ejections",
            "Ejections of upstreams by the reports of other nodes",
            ejections.clone(),
        );
        let forwarded = Family::default();
        registry.register("forwarded", "Requests through other nodes", forwarded.clone());
        let uplink_up = Gauge::default();
        uplink_up.set(1);
        registry.register(
            "uplink_up",
            "Whether the node's own path to the upstreams works",
            uplink_up.clone(),
        );
        let access_refusals = Family::default();
        registry.register(
            "access_refusals",
            "Requests refused because of their key",
            access_refusals.clone(),
        );
        let key_age = Gauge::default();
        registry.register(
            "key_age_milliseconds",
            "Time since the log confirmed the keys",
            key_age.clone(),
        );
        let log_calls = Family::default();
        registry.register("log_calls", "Calls to the log service", log_calls.clone());
        let batch_events = Family::default();
        registry.register("batch_events", "Events of batch jobs", batch_events.clone());
        let allowance = Family::default();
        registry.register(
            "allowance",
            "Decisions on requests by the limits of workspaces",
            allowance.clone(),
        );
        let time_to_first_byte = Histogram::new(LATENCY_BUCKETS_S);
        registry.register(
            "first_answer_seconds",
            "Time to the first byte",
            time_to_first_byte.clone(),
        );
        let time_to_last_byte = Histogram::new(LATENCY_BUCKETS_S);
        registry.register(
            "whole_answer_seconds",
            "Time to the last byte",
            time_to_last_byte.clone(),
        );
        let event_pause = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        registry.register(
            "event_pause_seconds",
            "Time between two events of a stream",
            event_pause.clone(),
        );
        let load_error = Histogram::new(LOAD_ERROR_BUCKETS);
        registry.register(
            "load_error_requests",
            "Error of the load by which an upstream was chosen",
            load_error.clone(),
        );
        let stated_pace = Histogram::new(PACE_BUCKETS);
        registry.register("stated_pace_percent", "Paces that upstreams state", stated_pace.clone());
        let time_ratio = Histogram::new(TIME_RATIO_BUCKETS);
        registry.register(
            "answer_time_ratio",
            "Time of an answer relative to the expected time",
            time_ratio.clone(),
        );
        let in_flight = Gauge::default();
        registry.register("in_flight", "Requests in flight", in_flight.clone());
        let intake = Family::default();
        registry.register(
            "intake",
            "Connections refused or closed to stay within the limits of the machine",
            intake.clone(),
        );
        let departures = Family::default();
        registry.register(
            "departures",
            "Sends to upstreams in other data centres",
            departures.clone(),
        );
        let departure_bytes = Family::default();
        registry.register(
            "departure_bytes",
            "Bytes of bodies to and from upstreams in other data centres",
            departure_bytes.clone(),
        );
        Metrics {
            registry,
            requests,
            sends,
            send_failures,
            ejections,
            forwarded,
            uplink_up,
            access_refusals,
            key_age,
            log_calls,
            batch_events,
            allowance,
            time_to_first_byte,
            time_to_last_byte,
            event_pause,
            load_error,
            stated_pace,
            time_ratio,
            in_flight,
            intake,
            departures,
            departure_bytes,
        }
    }
}

impl Metrics {
    /// Increments the counter of `family` with these labels.
    pub fn count(&self, family: &Family<Labels, Counter>, subject: &str, outcome: &str) {
        let labels = Labels { subject: subject.to_string(), outcome: outcome.to_string() };
        family.get_or_create(&labels).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
