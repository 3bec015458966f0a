//! Figures per node at each size, and lines through them.

use std::{fmt, time::Duration};

use serde::Serialize;

use super::usage::Usage;

/// Nodes at the target size.
const TARGET_NODES: f64 = 350.0;
/// Upstreams at the target size.
const TARGET_UPSTREAMS: f64 = 600.0;

/// What one node spends at one size of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    pub nodes: usize,
    pub engines: usize,
    /// Share of one core, in per cent.
    pub cpu_percent: f64,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
    /// Bytes sent to other nodes a second.
    pub peer_bytes_per_s: f64,
    /// Appends to the log a second, over all nodes.
    pub log_appends_per_s: f64,
    /// Reads of the log a second, over all nodes.
    pub log_reads_per_s: f64,
}

impl Sample {
    pub(super) fn new(
        nodes: usize,
        engines: usize,
        span: Duration,
        before: &Usage,
        after: &Usage,
    ) -> Sample {
        let seconds = span.as_secs_f64();
        let node_seconds = seconds * nodes as f64;
        let cpu = (after.cpu - before.cpu).as_secs_f64();
        Sample {
            nodes,
            engines,
            cpu_percent: 100.0 * cpu / node_seconds,
            memory_mb: after.memory_bytes as f64 / nodes as f64 / 1e6,
            peer_bytes_per_s: (after.peer_bytes - before.peer_bytes) as f64 / node_seconds,
            log_appends_per_s: (after.log_appends - before.log_appends) as f64 / seconds,
            log_reads_per_s: (after.log_reads - before.log_reads) as f64 / seconds,
        }
    }
}

/// A line through measured points.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    /// The line's value at the target size.
    pub at_target: f64,
}

/// All samples, and per figure the lines over nodes and over engines.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub by_nodes: Vec<Sample>,
    pub by_engines: Vec<Sample>,
    pub cpu_percent_by_nodes: Line,
    pub memory_mb_by_nodes: Line,
    pub peer_bytes_per_s_by_nodes: Line,
    pub cpu_percent_by_engines: Line,
    pub memory_mb_by_engines: Line,
    pub peer_bytes_per_s_by_engines: Line,
}

impl Report {
    pub(super) fn new(by_nodes: Vec<Sample>, by_engines: Vec<Sample>) -> Report {
        let nodes = |figure: fn(&Sample) -> f64| {
            let points = by_nodes.iter().map(|sample| (sample.nodes as f64, figure(sample)));
            fit(points.collect(), TARGET_NODES)
        };
        let engines = |figure: fn(&Sample) -> f64| {
            let points = by_engines.iter().map(|sample| (sample.engines as f64, figure(sample)));
            fit(points.collect(), TARGET_UPSTREAMS)
        };
        Report {
            cpu_percent_by_nodes: nodes(|sample| sample.cpu_percent),
            memory_mb_by_nodes: nodes(|sample| sample.memory_mb),
            peer_bytes_per_s_by_nodes: nodes(|sample| sample.peer_bytes_per_s),
            cpu_percent_by_engines: engines(|sample| sample.cpu_percent),
            memory_mb_by_engines: engines(|sample| sample.memory_mb),
            peer_bytes_per_s_by_engines: engines(|sample| sample.peer_bytes_per_s),
            by_nodes,
            by_engines,
        }
    }
}

/// The line with the least squared distance to the points.
fn fit(points: Vec<(f64, f64)>, target: f64) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let common: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if spread > 0.0 { common / spread } else { 0.0 };
    let base = mean_y - slope * mean_x;
    Line { base, slope, at_target: base + slope * target }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "nodes engines  cpu %  memory MB  peer B/s  log appends/s  log reads/s")?;
        for sample in self.by_nodes.iter().chain(&self.by_engines) {
            writeln!(
                f,
                "{:5} {:7} {:6.2} {:10.1} {:9.0} {:14.1} {:12.1}",
                sample.nodes,
                sample.engines,
                sample.cpu_percent,
                sample.memory_mb,
                sample.peer_bytes_per_s,
                sample.log_appends_per_s,
                sample.log_reads_per_s,
            )?;
        }
        let lines = [
            ("cpu % by nodes", self.cpu_percent_by_nodes),
            ("memory MB by nodes", self.memory_mb_by_nodes),
            ("peer B/s by nodes", self.peer_bytes_per_s_by_nodes),
            ("cpu % by engines", self.cpu_percent_by_engines),
            ("memory MB by engines", self.memory_mb_by_engines),
            ("peer B/s by engines", self.peer_bytes_per_s_by_engines),
        ];
        for (name, line) in lines {
            writeln!(
                f,
                "{name}: {:.3} + {:.5} each; {:.2} at the target",
                line.base, line.slope, line.at_target
            )?;
        }
        Ok(())
    }
}
