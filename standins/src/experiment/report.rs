//! Compares policies with online work alone and batch work alone.

use std::fmt;

use serde::Serialize;

use super::{
    Harm,
    figures::{Figures, Percentiles},
    policy::Policy,
};

/// All trials of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub seconds: u64,
    pub nodes: usize,
    pub replicas: usize,
    /// Online requests a second in a burst.
    pub burst_rate: f64,
    pub trials: Vec<Row>,
}

/// One trial.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub policy: &'static str,
    pub knob: String,
    pub online_ttft_ms: Percentiles,
    pub online_itl_ms: Percentiles,
    /// Time to the first token against online work alone, at the 99th percentile.
    pub harm_ratio: f64,
    /// The same at the median.
    pub harm_ratio_p50: f64,
    pub batch_items_per_s: f64,
    pub batch_tokens_per_s: f64,
    pub online_tokens_per_s: f64,
    /// Batch tokens against batch work alone less online work alone.
    pub batch_share_of_idle: f64,
    pub yield_ms: Percentiles,
    pub online_failures: u64,
    pub batch_failures: u64,
}

impl Report {
    pub(super) fn new(options: &Harm, online: &Figures, batch: &Figures) -> Report {
        let mut report = Report {
            seed: options.seed,
            seconds: options.span.as_secs(),
            nodes: options.nodes,
            replicas: options.replicas,
            burst_rate: options.burst_rate,
            trials: Vec::new(),
        };
        report.trials.push(row(&Policy::OnlineAlone, online));
        report.trials.push(row(&Policy::BatchAlone, batch));
        let trials = report.trials.clone();
        for trial in &mut report.trials {
            relate(trial, &trials);
        }
        report
    }

    pub(super) fn add(&mut self, policy: &Policy, figures: &Figures) {
        let mut row = row(policy, figures);
        relate(&mut row, &self.trials);
        self.trials.push(row);
    }
}

fn row(policy: &Policy, figures: &Figures) -> Row {
    Row {
        policy: policy.name(),
        knob: policy.knob(),
        online_ttft_ms: figures.ttft.percentiles(),
        online_itl_ms: figures.itl.percentiles(),
        harm_ratio: 0.0,
        harm_ratio_p50: 0.0,
        batch_items_per_s: figures.batch_items_per_s,
        batch_tokens_per_s: figures.batch_tokens_per_s,
        online_tokens_per_s: figures.online_tokens_per_s,
        batch_share_of_idle: 0.0,
        yield_ms: figures.yields.percentiles(),
        online_failures: figures.online_failures,
        batch_failures: figures.batch_failures,
    }
}

/// Works out the ratios against the two reference trials.
fn relate(row: &mut Row, trials: &[Row]) {
    let [online, batch, ..] = trials else { return };
    row.harm_ratio = row.online_ttft_ms.p99 / online.online_ttft_ms.p99;
    row.harm_ratio_p50 = row.online_ttft_ms.p50 / online.online_ttft_ms.p50;
    let idle = batch.batch_tokens_per_s - online.online_tokens_per_s;
    row.batch_share_of_idle = row.batch_tokens_per_s / idle;
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {} s a trial, {} nodes, {} replicas, {} requests/s in bursts",
            self.seed, self.seconds, self.nodes, self.replicas, self.burst_rate
        )?;
        writeln!(
            f,
            "{:<13} {:>6} {:>6} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>9} {:>5}  knob",
            "policy",
            "harm99",
            "harm50",
            "ttft50",
            "ttft95",
            "ttft99",
            "itl99",
            "items/s",
            "share",
            "yield99",
            "lost"
        )?;
        for row in &self.trials {
            writeln!(
                f,
                "{:<13} {:>6.3} {:>6.3} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>8.1} {:>6.3} {:>9.1} \
                 {:>5}  {}",
                row.policy,
                row.harm_ratio,
                row.harm_ratio_p50,
                row.online_ttft_ms.p50,
                row.online_ttft_ms.p95,
                row.online_ttft_ms.p99,
                row.online_itl_ms.p99,
                row.batch_items_per_s,
                row.batch_share_of_idle,
                row.yield_ms.p99,
                row.online_failures + row.batch_failures,
                row.knob
            )?;
        }
        Ok(())
    }
}
