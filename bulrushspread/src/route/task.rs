//! The tasks of this slice: they follow the view, ask replicas for load and pass it on.

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

/// Load reports that one datagram carries.
const LOADS_PER_DATAGRAM: usize = 8;
/// Bytes that a datagram costs beside its reports.
const DATAGRAM_OVERHEAD_BYTES: usize = 60;

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(follow_view(context.clone()));
    tokio::spawn(poll(context.clone()));
    Ok(())
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    context: &Shared,
    _from: (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Loads(loads) => context.route.state().report(context.clock.now(), &loads),
    }
    PeerMessage::Done
}

async fn follow_view(context: Shared) {
    let mut views = context.membership.watch();
    loop {
        let view = views.borrow_and_update().clone();
        context.route.state().update(context.clock.now(), &view);
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Asks the replicas of which this node is the chosen reporter, and passes the answers on.
async fn poll(context: Shared) {
    let period = Duration::from_millis(context.settings.route.poll_ms.max(1));
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut views = context.membership.watch();
    let mut rng = SmallRng::seed_from_u64(context.incarnation.0);
    let mut polled = Vec::new();
    let mut known = None;
    loop {
        ticks.tick().await;
        let view = views.borrow_and_update().clone();
        let offset = context.config.current().offset;
        if known.as_ref() != Some(&(view.clone(), offset)) {
            polled = polled_upstreams(&context, &view);
            known = Some((view.clone(), offset));
        }
        let loads = join_all(polled.iter().map(|target| ask(&context, target))).await;
        let loads: Vec<Load> = loads.into_iter().flatten().collect();
        context.route.state().report(context.clock.now(), &loads);
        for load in loads.iter().filter(|load| load.leaving) {
            context.membership.mark_leaving(&load.upstream);
        }
        pass_on(&context, &view, &loads, &mut rng).await;
    }
}

/// A replica that this node asks for its load.
struct Polled {
    upstream: Upstream,
    address: SocketAddr,
    kind: Kind,
}

enum Kind {
    Engine,
    Service,
}

/// The replicas that this node asks: each has one reporter among the live nodes.
fn polled_upstreams(context: &Shared, view: &View) -> Vec<Polled> {
    let own = &context.settings.vm;
    let directory = context.directory.get(&context.config);
    // What the document doesn't name yet is not asked: it may take any path for a call.
    let kind = |serves: &str| match directory.service(&Service::from(serves)) {
        Some(_) => Some(Kind::Service),
        None => directory.has_deployment(serves).then_some(Kind::Engine),
    };
    let reporter = |upstream: &Upstream| rendezvous::choose(&upstream.0, view.nodes.keys());
    view.upstreams
        .iter()
        .filter(|(upstream, _)| reporter(upstream).is_none_or(|vm| vm == own))
        .filter_map(|(upstream, replica)| {
            let kind = kind(&replica.serves)?;
            Some(Polled { upstream: upstream.clone(), address: replica.address, kind })
        })
        .collect()
}

async fn ask(context: &Shared, polled: &Polled) -> Option<Load> {
    let report = match polled.kind {
        Kind::Engine => context.upstreams.report(polled.address).await,
        Kind::Service => context.upstreams.service_report(polled.address).await,
    };
    let upstream = &polled.upstream;
    match report {
        Ok(report) => {
            let mut load = Load::new(upstream.clone(), report);
            let batch = context.batch.runner.reported_streams(context, upstream);
            load.in_flight = load.in_flight.saturating_sub(batch);
            Some(load)
        }
        Err(failure) => {
            if failure.delivery == Delivery::NotSent {
                context.route.state().unreachable(context.clock.now(), upstream);
            }
            None
        }
    }
}

/// Sends the reports to as many nodes, drawn at random, as the byte budget allows.
async fn pass_on(context: &Shared, view: &View, loads: &[Load], rng: &mut SmallRng) {
    if loads.is_empty() {
        return;
    }
    let mut others: Vec<SocketAddr> = view
        .nodes
        .iter()
        .filter(|(vm, _)| **vm != context.settings.vm)
        .map(|(_, node)| node.address)
        .collect();
    let bytes: usize = loads.iter().map(bytes).sum::<usize>() + DATAGRAM_OVERHEAD_BYTES;
    let settings = &context.settings.route;
    let budget = settings.gossip_bytes_per_s * settings.poll_ms as usize / 1_000;
    let fan_out = (budget / bytes).max(1).min(others.len());
    for chosen in 0..fan_out {
        let swap = rng.random_range(chosen..others.len());
        others.swap(chosen, swap);
        for part in loads.chunks(LOADS_PER_DATAGRAM) {
            let message = PeerMessage::Route(Message::Loads(part.to_vec()));
            if let Err(error) = context.peer.send(others[chosen], message).await {
                log::debug!("route: a load report was not sent: {error}");
            }
        }
    }
}

fn bytes(load: &Load) -> usize {
    let loaded: usize = load.loaded.iter().map(|model| model.len() + 1).sum();
    load.upstream.0.len() + loaded + 16
}
