//! Measures what batch work gets out of a fleet and what it costs online callers.
//!
//! * `workload` draws the online arrivals and the batch items from a seed.
//! * `policy` lists the ways to share a fleet, each with the settings of its knob.
//! * `trial` runs one policy on a fleet of real processes.
//! * `figures` holds what a trial measured.
//! * `report` compares the trials with online work alone and batch work alone.
//! * `plot` draws harm against batch share.

mod figures;
mod plot;
mod policy;
mod report;
mod trial;
mod workload;
mod yields;

use std::{path::PathBuf, time::Duration};

use crate::fleet::Program;

pub use report::Report;

pub type Result<T> = anyhow::Result<T>;

/// What to run.
#[derive(Clone, Debug)]
pub struct Harm {
    pub program: Program,
    pub seed: u64,
    /// How long each trial is measured.
    pub span: Duration,
    pub nodes: usize,
    pub replicas: usize,
    /// Online requests a second in a burst.
    pub burst_rate: f64,
    /// Where the plot goes.
    pub plot: Option<PathBuf>,
    /// Policies to run beside the two reference trials; all where empty.
    pub only: Vec<String>,
}

/// Runs every policy on the same arrivals, one after the other.
pub async fn harm(options: Harm) -> Result<Report> {
    let workload = workload::Workload::new(options.seed, options.span, options.burst_rate);
    let online = trial::run(&options, &workload, policy::Policy::OnlineAlone).await?;
    let batch = trial::run(&options, &workload, policy::Policy::BatchAlone).await?;
    let mut report = Report::new(&options, &online, &batch);
    for policy in policy::all(options.replicas) {
        if !options.only.is_empty() && !options.only.iter().any(|name| name == policy.name()) {
            continue;
        }
        let figures = trial::run(&options, &workload, policy.clone()).await?;
        report.add(&policy, &figures);
    }
    if let Some(path) = &options.plot {
        plot::draw(&report, path)?;
    }
    Ok(report)
}
