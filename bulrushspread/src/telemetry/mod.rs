//! Logs, metrics and traces of the process.

pub mod trace;

use std::{io::Write, net::SocketAddr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where logs, metrics and traces go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Filter in the syntax of env_logger, such as `info` or `bulrushspread::batch=debug`.
    pub log: String,
    /// Address of a statsd server for counters.
    #[schemars(with = "Option<String>")]
    pub statsd: Option<SocketAddr>,
    /// Base URL of an OTLP collector for traces.
    pub otlp: Option<String>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { log: "info".to_string(), statsd: None, otlp: None }
    }
}

/// Starts the log in its key=value form.
pub fn start_log(filter: &str) {
    let format = |buffer: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let time = buffer.timestamp_millis();
        let level = record.level().as_str().to_lowercase();
        writeln!(
            buffer,
            "time={time} level={level} target={} msg={:?}",
            record.target(),
            record.args().to_string()
        )
    };
    let _ = env_logger::Builder::new().parse_filters(filter).format(format).try_init();
}
