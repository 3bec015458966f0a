//! Tasks that apply membership views, poll replicas for their load and gossip the reports.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    id::{Service, Upstream, Vm},
    membership::View,
    node::Shared,
    peer::message::Message as PeerMessage,
    rendezvous,
    upstream::Delivery,
};

use super::{Load, message::Message};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Load reports per datagram.
const LOADS_PER_DATAGRAM: usize = 8;
/// Bytes of a datagram in addition to its reports.
const DATAGRAM_OVERHEAD_BYTES: usize = 60;

/// Starts the tasks of the routing module.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(follow_view(context.clone()));
    tokio::spawn(poll_loads(context.clone()));
    Ok(())
}

/// Handles a message from another node and returns the response to it.
pub(crate) async fn serve(
    context: &Shared,
    _from: (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Loads(loads) => context.route.state().apply_loads(context.clock.now(), &loads),
    }
    PeerMessage::Done
}

async fn follow_view(context: Shared) {
    let mut views = context.membership.watch();
    loop {
        let view = views.borrow_and_update().clone();
        context.route.state().apply_view(context.clock.now(), &view);
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Polls the replicas for which this node is the reporter, and gossips their load.
async fn poll_loads(context: Shared) {
    let period = Duration::from_millis(context.settings.route.poll_ms.max(1));
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut views = context.membership.watch();
    let mut rng = SmallRng::seed_from_u64(context.incarnation.0);
    let mut targets = Vec::new();
    let mut selected_for = None;
    loop {
        ticks.tick().await;
        let view = views.borrow_and_update().clone();
        let offset = context.config.current().offset;
        if selected_for.as_ref() != Some(&(view.clone(), offset)) {
            targets = select_targets(&context, &view);
            selected_for = Some((view.clone(), offset));
        }
        let loads = join_all(targets.iter().map(|target| poll(&context, target))).await;
        let loads: Vec<Load> = loads.into_iter().flatten().collect();
        context.route.state().apply_loads(context.clock.now(), &loads);
        for load in loads.iter().filter(|load| load.leaving) {
            context.membership.mark_leaving(&load.upstream);
        }
        gossip_loads(&context, &view, &loads, &mut rng).await;
    }
}

/// A replica whose load this node polls.
struct Target {
    upstream: Upstream,
    address: SocketAddr,
    kind: Kind,
}

enum Kind {
    Engine,
    Service,
}

/// Selects the replicas that this node polls. Rendezvous hashing assigns each replica one reporter
/// among the live nodes.
fn select_targets(context: &Shared, view: &View) -> Vec<Target> {
    let own_vm = &context.settings.vm;
    let directory = context.directory.get(&context.config);
    // Replicas of a name that the configuration doesn't contain yet are not polled: a plain service
    // may treat a request on any path as a call.
    let kind = |serves: &str| match directory.service(&Service::from(serves)) {
        Some(_) => Some(Kind::Service),
        None => directory.has_deployment(serves).then_some(Kind::Engine),
    };
    let reporter = |upstream: &Upstream| rendezvous::choose(&upstream.0, view.nodes.keys());
    view.upstreams
        .iter()
        .filter(|(upstream, _)| reporter(upstream).is_none_or(|vm| vm == own_vm))
        .filter_map(|(upstream, replica)| {
            let kind = kind(&replica.serves)?;
            Some(Target { upstream: upstream.clone(), address: replica.address, kind })
        })
        .collect()
}

/// Polls one replica for its load. Batch streams of this node are subtracted, because they yield to
/// online work.
async fn poll(context: &Shared, target: &Target) -> Option<Load> {
    let report = match target.kind {
        Kind::Engine => context.upstreams.report(target.address).await,
        Kind::Service => context.upstreams.service_report(target.address).await,
    };
    let upstream = &target.upstream;
    match report {
        Ok(report) => {
            let mut load = Load::new(upstream.clone(), report);
            let batch = context.batch.runner.reported_streams(context, upstream);
            load.in_flight = load.in_flight.saturating_sub(batch);
            Some(load)
        }
        Err(failure) => {
            if failure.delivery == Delivery::NotSent {
                context.route.state().record_unreachable(context.clock.now(), upstream);
            }
            None
        }
    }
}

/// Sends the reports to randomly chosen nodes, as many as the byte budget of a poll interval allows
/// but at least one.
async fn gossip_loads(context: &Shared, view: &View, loads: &[Load], rng: &mut SmallRng) {
    if loads.is_empty() {
        return;
    }
    let mut others: Vec<SocketAddr> = view
        .nodes
        .iter()
        .filter(|(vm, _)| **vm != context.settings.vm)
        .map(|(_, node)| node.address)
        .collect();
    let bytes: usize = loads.iter().map(estimate_bytes).sum::<usize>() + DATAGRAM_OVERHEAD_BYTES;
    let settings = &context.settings.route;
    let budget = settings.gossip_bytes_per_s * settings.poll_ms as usize / 1_000;
    let fan_out = (budget / bytes).max(1).min(others.len());
    for chosen in 0..fan_out {
        let drawn = rng.random_range(chosen..others.len());
        others.swap(chosen, drawn);
        for chunk in loads.chunks(LOADS_PER_DATAGRAM) {
            let message = PeerMessage::Route(Message::Loads(chunk.to_vec()));
            if let Err(error) = context.peer.send(others[chosen], message).await {
                log::debug!("route: failed to send load reports: {error}");
            }
        }
    }
}

/// Estimates the encoded size of a report.
fn estimate_bytes(load: &Load) -> usize {
    let loaded: usize = load.loaded.iter().map(|model| model.len() + 1).sum();
    load.upstream.0.len() + loaded + 16
}
