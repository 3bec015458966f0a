//! What the nodes of a fleet have used since they started.

use std::{fs, time::Duration};

use anyhow::Context;
use bulrushspread::operator::view::Health;

use crate::{
    client::Call,
    fleet::{Fleet, Node},
};

use super::Result;

/// Clock ticks of the kernel in one second, as `/proc` counts them.
const TICKS_PER_S: u64 = 100;
/// Fields of `/proc/{pid}/stat` behind the process name, up to the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Totals over all nodes, and what the log has served.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    pub(super) cpu: Duration,
    pub(super) memory_bytes: u64,
    pub(super) peer_bytes: u64,
    pub(super) log_appends: u64,
    pub(super) log_reads: u64,
}

/// Reads the usage of all nodes.
pub(super) async fn read(fleet: &Fleet) -> Result<Usage> {
    let mut usage = Usage {
        log_appends: fleet.log.count("/counts/appends").await?,
        log_reads: fleet.log.count("/counts/reads").await?,
        ..Usage::default()
    };
    for node in &fleet.nodes {
        let health = health(fleet, node).await?;
        usage.peer_bytes += health.peer_sent_bytes;
        usage.cpu += cpu(node.process.id())?;
        usage.memory_bytes += memory(node.process.id())?;
    }
    Ok(usage)
}

async fn health(fleet: &Fleet, node: &Node) -> Result<Health> {
    node.operate(&fleet.client, Call::get("/v1/health")).await?.success()?.json()
}

fn cpu(process: i32) -> Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = stat.rsplit_once(") ").context("no process name in the stat file")?;
    let times = fields.split(' ').skip(FIELDS_BEFORE_USER_TIME).take(2);
    let ticks: u64 = times.map(|ticks| ticks.parse().unwrap_or(0)).sum();
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_S))
}

fn memory(process: i32) -> Result<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()).context("no VmRSS")?;
    Ok(kilobytes.parse::<u64>()? * 1024)
}
