//! Measures what one idle node spends on control at several sizes of the fleet.
//!
//! * `usage` reads what a process and a node have used so far.
//! * `report` fits a line through the sizes and extends it to the target size.

mod report;
mod usage;

use std::time::Duration;

use tokio::time::sleep;

use crate::fleet::{Fleet, Plan, Program};

pub use report::{Report, Sample};

pub type Result<T> = anyhow::Result<T>;

/// Time that a fleet gets to become quiet.
const SETTLE: Duration = Duration::from_secs(8);

/// Which fleets to measure.
#[derive(Clone, Debug)]
pub struct Options {
    pub program: Program,
    /// Numbers of nodes, each measured with `upstreams` upstreams.
    pub nodes: Vec<usize>,
    /// Numbers of engines, each measured with the first number of nodes.
    pub engines: Vec<usize>,
    /// How long each fleet is measured.
    pub span: Duration,
}

/// Measures every size, one after the other.
pub async fn measure(options: Options) -> Result<Report> {
    let mut by_nodes = Vec::new();
    let mut by_engines = Vec::new();
    let engines = options.engines.first().copied().unwrap_or(2);
    let nodes = options.nodes.first().copied().unwrap_or(3);
    for count in &options.nodes {
        by_nodes.push(sample(&options, *count, engines).await?);
    }
    for count in &options.engines {
        by_engines.push(sample(&options, nodes, *count).await?);
    }
    Ok(Report::new(by_nodes, by_engines))
}

async fn sample(options: &Options, nodes: usize, engines: usize) -> Result<Sample> {
    let plan = Plan { nodes, engines, plains: 0, ..Plan::new(options.program.clone()) };
    let fleet = Fleet::start(plan).await?;
    sleep(SETTLE).await;
    let before = usage::read(&fleet).await?;
    sleep(options.span).await;
    let after = usage::read(&fleet).await?;
    Ok(Sample::new(nodes, engines, options.span, &before, &after))
}
