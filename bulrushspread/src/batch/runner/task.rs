//! The tasks of the batch runners.

use std::{collections::BTreeMap, sync::Arc, sync::atomic::Ordering, time::Duration};

use cadence::{CountedExt, Timed};

use crate::{
    batch::message::{Arrival, Message, Stop, Yield},
    id::{Upstream, Vm},
    node::Shared,
    peer,
    time::Millis,
};

use super::{
    execute,
    fleet::Fleet,
    handle::{Edge, Online},
    message::{Action, Count, Event, Start, Target},
    state::State,
    supply,
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Time between two load reports of a replica.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// A runner that heard of online requests this lately is not told of further ones.
const TELL_INTERVAL: Millis = Millis(50);
/// Time after which a runner is told again of online requests that are still in flight.
const REFRESH_INTERVAL: Millis = Millis(3_000);
/// Time that the stop of items may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that giving back items may take when the node leaves.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Sequence numbers of counts that one incarnation may use for each millisecond it lives.
const SEQUENCES_PER_MILLI: u64 = 1 << 10;

/// Starts the tasks of the runners.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    let edge = &context.batch.runner.edge;
    *edge.state.lock().unwrap() = State::new(context.settings.batch.runner.clone());
    edge.sequence.store(context.incarnation.0 * SEQUENCES_PER_MILLI, Ordering::Relaxed);
    tokio::spawn(follow_fleet(context.clone()));
    tokio::spawn(tick(context.clone()));
    tokio::spawn(report(context.clone()));
    Ok(())
}

/// Gives back what the runners of this node hold.
pub(crate) async fn stop(context: &Shared) {
    feed(context, Event::Drain);
    let edge = &context.batch.runner.edge;
    let empty = wait_until(context, DRAIN_TIMEOUT, || edge.state.lock().unwrap().held() == 0).await;
    if !empty {
        let held = edge.state.lock().unwrap().held();
        log::warn!("batch runner: {held} items were not given back before the stop");
    }
}

/// Ends items that must stop. Returns once none of them runs.
pub(crate) async fn stop_items(context: &Shared, stop: Stop) {
    feed(context, Event::Stop(stop.tickets.clone()));
    let edge = &context.batch.runner.edge;
    wait_until(context, STOP_TIMEOUT, || !edge.state.lock().unwrap().runs_any(&stop.tickets)).await;
}

/// Makes room on an upstream for online work that another node has dispatched.
pub(crate) fn make_room(context: &Shared, from: &Vm, yield_to: Yield) {
    let upstream = yield_to.upstream;
    feed(
        context,
        match yield_to.arrival {
            Arrival::SameUpstream { sequence, in_flight } => {
                Event::Online { upstream, count: Count { from: from.clone(), sequence, in_flight } }
            }
            Arrival::PrecedingUpstream => Event::Near { upstream },
        },
    );
}

/// Tells the runner of `upstream` how many online requests this node has there.
pub(crate) fn count_online(context: &Shared, upstream: &Upstream, in_flight: u32) {
    let now = context.clock.now();
    let edge = &context.batch.runner.edge;
    let mut online = edge.online.lock().unwrap();
    let before = online.get(upstream).copied();
    let fresh = before.is_some_and(|before| now - before.told < TELL_INTERVAL);
    let grown = before.is_none_or(|before| in_flight > before.in_flight);
    let tell = match (before, in_flight) {
        (None, 0) => false,
        (None, _) | (Some(_), 0) => true,
        (Some(_), _) => grown && !fresh,
    };
    if in_flight == 0 {
        online.remove(upstream);
    } else {
        let told = if tell { now } else { before.map_or(now, |before| before.told) };
        online.insert(upstream.clone(), Online { in_flight, told });
    }
    if tell {
        tell_runner(context, upstream, in_flight);
    }
}

/// Feeds the state and carries out what it decides. The lock is held meanwhile, so that a start
/// and its cancel keep their order.
pub(crate) fn feed(context: &Shared, event: Event) {
    let now = context.clock.now();
    let mut state = context.batch.runner.edge.state.lock().unwrap();
    for action in state.apply(now, event) {
        carry_out(context, now, action);
    }
}

fn carry_out(context: &Shared, now: Millis, action: Action) {
    let edge = &context.batch.runner.edge;
    let address = |upstream: &Upstream| edge.fleet.lock().unwrap().addresses.get(upstream).copied();
    match action {
        Action::Start { start, upstream, work, text } => {
            let _ = context.metrics.incr("batch.starts");
            let address = address(&upstream);
            let run = execute::run(context.clone(), start.clone(), address, work, text);
            // The lock is taken before the spawn: the task removes its entry when it ends.
            let mut starts = edge.starts.lock().unwrap();
            starts.insert(start, (tokio::spawn(run).abort_handle(), now));
        }
        Action::Cancel { start, upstream } => {
            let _ = context.metrics.incr("batch.cancels");
            let age = abort(context, now, &start);
            // Calls to plain services end with their connection.
            let address = address(&upstream).filter(|_| is_engine(edge, &upstream));
            tokio::spawn(execute::cancel(context.clone(), start, upstream, address, age));
        }
        Action::Pull { room, holding } => {
            tokio::spawn(supply::pull(context.clone(), room, holding));
        }
        Action::Hold(holding) => {
            tokio::spawn(supply::hold(context.clone(), holding));
        }
        Action::Tell(outcomes) => {
            tokio::spawn(supply::tell(context.clone(), outcomes));
        }
        Action::Warn { upstream } => warn_next(context, &upstream),
        Action::Cleared { after, .. } => {
            let _ = context.metrics.time("batch.yield", after.0);
        }
    }
}

fn is_engine(edge: &Edge, upstream: &Upstream) -> bool {
    let fleet = edge.fleet.lock().unwrap();
    fleet.own.get(upstream).is_none_or(|spec| spec.target == Target::Engine)
}

fn abort(context: &Shared, now: Millis, start: &Start) -> Millis {
    let started = context.batch.runner.edge.starts.lock().unwrap().remove(start);
    let Some((task, started)) = started else { return Millis(0) };
    task.abort();
    now - started
}

fn warn_next(context: &Shared, upstream: &Upstream) {
    let fleet = context.batch.runner.edge.fleet.lock().unwrap().clone();
    for next in fleet.next.get(upstream).into_iter().flatten() {
        send_yield(context, &fleet, next, Arrival::PrecedingUpstream);
    }
}

fn tell_runner(context: &Shared, upstream: &Upstream, in_flight: u32) {
    let edge = &context.batch.runner.edge;
    let fleet = edge.fleet.lock().unwrap().clone();
    let sequence = edge.sequence.fetch_add(1, Ordering::Relaxed);
    send_yield(context, &fleet, upstream, Arrival::SameUpstream { sequence, in_flight });
}

fn send_yield(context: &Shared, fleet: &Fleet, upstream: &Upstream, arrival: Arrival) {
    let Some((runner, address)) = fleet.runners.get(upstream).cloned() else { return };
    let yield_to = Yield { upstream: upstream.clone(), arrival };
    let context = context.clone();
    if runner == context.settings.vm {
        tokio::spawn(async move { make_room(&context, &runner, yield_to) });
        return;
    }
    tokio::spawn(async move {
        let message = peer::Message::Batch(Message::Yield(yield_to));
        if let Err(error) = context.peer.send(address, message).await {
            log::debug!("batch runner: {runner} was not told of online work: {error:#}");
        }
    });
}

/// Works out the runners anew whenever the fleet or the configuration changes.
async fn follow_fleet(context: Shared) {
    let mut views = context.membership.watch();
    let mut documents = context.config.watch();
    loop {
        let view = views.borrow_and_update().clone();
        let document = documents.borrow_and_update().clone();
        let fleet = Fleet::new(&context.settings, &view, &document.document);
        let own = fleet.own.clone();
        *context.batch.runner.edge.fleet.lock().unwrap() = Arc::new(fleet);
        feed(&context, Event::Replicas(own));
        let changed = tokio::select! {
            changed = views.changed() => changed,
            changed = documents.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn tick(context: Shared) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        feed(&context, Event::Tick);
        refresh(&context);
    }
}

/// Repeats counts that a runner last heard long ago, in case a datagram was lost.
fn refresh(context: &Shared) {
    let now = context.clock.now();
    let mut due = BTreeMap::new();
    for (upstream, online) in context.batch.runner.edge.online.lock().unwrap().iter_mut() {
        if now - online.told >= REFRESH_INTERVAL {
            online.told = now;
            due.insert(upstream.clone(), online.in_flight);
        }
    }
    for (upstream, in_flight) in due {
        tell_runner(context, &upstream, in_flight);
    }
}

/// Reads the load reports of this node's engines.
async fn report(context: Shared) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        let fleet = context.batch.runner.edge.fleet.lock().unwrap().clone();
        for (upstream, address) in &fleet.addresses {
            let (context, upstream, address) = (context.clone(), upstream.clone(), *address);
            tokio::spawn(async move {
                let Ok(report) = context.upstreams.report(address).await else { return };
                let active = report.active + report.queued;
                feed(&context, Event::Load { upstream, active, slots: report.slots });
            });
        }
    }
}

/// Waits until `done` holds. Returns whether it does.
async fn wait_until(context: &Shared, limit: Duration, done: impl Fn() -> bool) -> bool {
    let edge = &context.batch.runner.edge;
    let end = tokio::time::Instant::now() + limit;
    while !done() {
        if tokio::time::Instant::now() >= end {
            return false;
        }
        let _ = tokio::time::timeout(TICK, edge.changed.notified()).await;
    }
    true
}
