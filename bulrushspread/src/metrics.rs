//! Counters and gauges, through cadence.

use std::{net::UdpSocket, sync::Arc};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

pub type Result<T> = anyhow::Result<T>;

/// The prefix of every metric.
const PREFIX: &str = "bulrushspread";

/// A handle that all slices share.
pub type Metrics = Arc<StatsdClient>;

/// Sends metrics to `target` (`address:port` of a statsd server), or nowhere.
pub fn connect(target: Option<&str>) -> Result<Metrics> {
    let Some(target) = target else {
        return Ok(Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(target, socket)?);
    Ok(Arc::new(StatsdClient::from_sink(PREFIX, sink)))
}
