//! Checks the path to the upstreams by new connections.

use std::{net::SocketAddr, sync::Arc};

use rand::RngExt;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    balance::Pick,
    exchange::Context,
    forward::{self, Outcome},
    id::Upstream,
    time::Millis,
};

use super::{Change, Health, Sign};

/// Number of upstreams that a check tries besides the one that failed.
const CHECKED_UPSTREAMS: usize = 3;
/// Number of upstreams that each probe tries while the path is down.
const PROBED_UPSTREAMS: usize = 2;
/// Interval between two probes while the path is down.
const PROBE_INTERVAL: Millis = Millis(250);
/// Maximum random addition to that interval, so that nodes that lost their paths together don't
/// probe together.
const PROBE_JITTER: Millis = Millis(100);

/// Interval at which the end of a check is awaited.
const SETTLE_INTERVAL: Millis = Millis(10);

/// Why the connection of a request to an upstream broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The upstream's process has ended, or its host is unreachable.
    UpstreamDown,
    /// The upstream is alive, or only the path to it is known to have failed.
    NotUpstream,
}

/// Checks the path in the background if a sign at `pick` calls for it.
pub(crate) fn check_path(context: &Arc<Context>, pick: &Pick, sign: Sign) {
    let now = context.clock.now();
    if !context.uplink().record_sign(now, sign) {
        return;
    }
    let (context, upstream, address) = (Arc::clone(context), pick.upstream.clone(), pick.address);
    tokio::spawn(async move {
        let mut targets = other_upstreams(&context, &upstream, CHECKED_UPSTREAMS);
        if sign != Sign::ConnectFailed || targets.is_empty() {
            targets.push(address);
        }
        let has_reached_any = reaches_any(&context, targets).await;
        record_check(&context, has_reached_any);
    });
}

/// Finds out whether the upstream of `pick` is down, after a connection to it broke. Another node is
/// asked if this one can't reach it.
pub(crate) async fn examine(context: &Arc<Context>, pick: &Pick) -> Verdict {
    if context.pool.is_reachable(pick.address).await {
        return Verdict::NotUpstream;
    }
    let is_only_upstream = other_upstreams(context, &pick.upstream, 1).is_empty();
    let has_path = is_only_upstream || settled_health(context).await == Health::Up;
    match forward::ask(context, &pick.upstream).await {
        Some(Outcome::Unreachable) => Verdict::UpstreamDown,
        Some(Outcome::Reachable) => Verdict::NotUpstream,
        Some(Outcome::Refused | Outcome::Leaving | Outcome::Replaced | Outcome::Broken) | None => {
            match has_path {
                true => Verdict::UpstreamDown,
                false => Verdict::NotUpstream,
            }
        }
    }
}

/// The health of the path after the check in progress.
pub(crate) async fn settled_health(context: &Arc<Context>) -> Health {
    loop {
        let health = context.uplink().health();
        if health != Health::Suspect {
            return health;
        }
        sleep(SETTLE_INTERVAL.duration()).await;
    }
}

fn record_check(context: &Arc<Context>, has_reached_any: bool) {
    let now = context.clock.now();
    let change = context.uplink().record_check(now, has_reached_any);
    if change.is_some() {
        // Ejections from while the path was suspect or down say nothing of the upstreams.
        context.balance().clear_own_ejections();
    }
    match change {
        Some(Change::Lost) => {
            context.metrics.uplink_up.set(0);
            log::warn!(tried = CHECKED_UPSTREAMS, forwarders = context.forwarders.count(now); "path to upstreams lost: none of several can be reached; requests go through other nodes");
            tokio::spawn(probe(Arc::clone(context)));
        }
        Some(Change::Regained(after)) => {
            context.metrics.uplink_up.set(1);
            log::info!(ms = after.0; "path to upstreams regained");
        }
        None => {}
    }
}

/// Probes upstreams until one is reached.
async fn probe(context: Arc<Context>) {
    loop {
        let jitter = rand::rng().random_range(0..=PROBE_JITTER.0);
        sleep((PROBE_INTERVAL + Millis(jitter)).duration()).await;
        let targets = other_upstreams(&context, &Upstream::default(), PROBED_UPSTREAMS);
        if reaches_any(&context, targets).await {
            record_check(&context, true);
            return;
        }
    }
}

/// Addresses of up to `count` random upstreams without `excluded`.
fn other_upstreams(context: &Context, excluded: &Upstream, count: usize) -> Vec<SocketAddr> {
    let fleet = context.fleet();
    let entries = fleet.entries().iter().filter(|(upstream, _)| *upstream != excluded);
    let addresses: Vec<SocketAddr> = entries.map(|(_, entry)| entry.address).collect();
    let drawn =
        rand::seq::index::sample(&mut rand::rng(), addresses.len(), count.min(addresses.len()));
    drawn.into_iter().map(|position| addresses[position]).collect()
}

/// Whether a connection to one of `targets` can be established. Those that are still being
/// established by then are given up.
async fn reaches_any(context: &Arc<Context>, targets: Vec<SocketAddr>) -> bool {
    let mut connecting = JoinSet::new();
    for address in targets {
        let pool = Arc::clone(&context.pool);
        connecting.spawn(async move { pool.is_reachable(address).await });
    }
    while let Some(result) = connecting.join_next().await {
        if matches!(result, Ok(true)) {
            return true;
        }
    }
    false
}
