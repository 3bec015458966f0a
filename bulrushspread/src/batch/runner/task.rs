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
    client, execute,
    fleet::Fleet,
    handle::{Inner, LocalCount},
    message::{Action, Event, Execution, Kind, OnlineCount},
    state::State,
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Interval at which the state checks what is due.
const TICK: Duration = Duration::from_millis(20);
/// Time between two requests for a replica's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time between two counts sent to a runner while the count increases.
const COUNT_INTERVAL: Millis = Millis(50);
/// Time after which the count of online requests in flight is sent to the runner again.
const RESEND_INTERVAL: Millis = Millis(3_000);
/// Maximum time to wait until stopped items no longer run.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to wait at shutdown until all outcomes are acknowledged.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Sequence numbers reserved per millisecond of incarnation. Incarnations are times in
/// milliseconds, so a restarted node continues above its earlier counts.
const SEQUENCES_PER_MS: u64 = 1 << 10;

/// Starts the tasks of the runners.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    let inner = &context.batch.runner.inner;
    *inner.state.lock().unwrap() = State::new(context.settings.batch.runner.clone());
    inner.sequence.store(context.incarnation.0 * SEQUENCES_PER_MS, Ordering::Relaxed);
    tokio::spawn(watch_fleet(context.clone()));
    tokio::spawn(tick(context.clone()));
    tokio::spawn(poll_loads(context.clone()));
    Ok(())
}

/// Returns held items to their owners. Waits at most [`DRAIN_TIMEOUT`] for the outcomes to be
/// acknowledged.
pub(crate) async fn stop(context: &Shared) {
    apply(context, Event::Drain);
    let inner = &context.batch.runner.inner;
    let empty =
        wait_until(context, DRAIN_TIMEOUT, || inner.state.lock().unwrap().held_count() == 0).await;
    if !empty {
        let held = inner.state.lock().unwrap().held_count();
        log::warn!("batch runner: {held} items were not returned to their owners before shutdown");
    }
}

/// Stops items. Returns once none of them runs any more, or after [`STOP_TIMEOUT`].
pub(crate) async fn handle_stop(context: &Shared, stop: Stop) {
    apply(context, Event::Stop(stop.tickets.clone()));
    let inner = &context.batch.runner.inner;
    wait_until(context, STOP_TIMEOUT, || !inner.state.lock().unwrap().is_any_active(&stop.tickets))
        .await;
}

/// Frees an upstream for online work that another node has sent or may send there next.
pub(crate) fn handle_yield(context: &Shared, from: &Vm, yield_to: Yield) {
    let upstream = yield_to.upstream;
    apply(
        context,
        match yield_to.arrival {
            Arrival::SameUpstream { sequence, in_flight } => Event::OnlineCount {
                upstream,
                count: OnlineCount { from: from.clone(), sequence, in_flight },
            },
            Arrival::PrecedingUpstream => Event::OnlineNearby { upstream },
        },
    );
}

/// Records how many online requests this node has at `upstream`. The count is sent to the runner
/// for the first request, on increases at most every [`COUNT_INTERVAL`], and when none is left.
pub(crate) fn record_online(context: &Shared, upstream: &Upstream, in_flight: u32) {
    let now = context.clock.now();
    let inner = &context.batch.runner.inner;
    let mut online = inner.online_counts.lock().unwrap();
    let previous = online.get(upstream).copied();
    let recent = previous.is_some_and(|previous| now - previous.last_sent < COUNT_INTERVAL);
    let grown = previous.is_none_or(|previous| in_flight > previous.in_flight);
    let send = match (previous, in_flight) {
        (None, 0) => false,
        (None, _) | (Some(_), 0) => true,
        (Some(_), _) => grown && !recent,
    };
    if in_flight == 0 {
        online.remove(upstream);
    } else {
        let last_sent =
            if send { now } else { previous.map_or(now, |previous| previous.last_sent) };
        online.insert(upstream.clone(), LocalCount { in_flight, last_sent });
    }
    if send {
        send_count(context, upstream, in_flight);
    }
}

/// Applies an event to the state and executes the resulting actions. The lock is held meanwhile, so
/// that the start and the cancel of an execution keep their order.
pub(crate) fn apply(context: &Shared, event: Event) {
    let now = context.clock.now();
    let mut state = context.batch.runner.inner.state.lock().unwrap();
    for action in state.apply(now, event) {
        execute_action(context, now, action);
    }
}

fn execute_action(context: &Shared, now: Millis, action: Action) {
    let inner = &context.batch.runner.inner;
    let address =
        |upstream: &Upstream| inner.fleet.lock().unwrap().addresses.get(upstream).copied();
    match action {
        Action::Start { execution, upstream, work, text } => {
            let _ = context.metrics.incr("batch.starts");
            let address = address(&upstream);
            let run = execute::run(context.clone(), execution.clone(), address, work, text);
            // The lock is taken before the spawn, since the task removes its entry when it ends.
            let mut executions = inner.executions.lock().unwrap();
            executions.insert(execution, (tokio::spawn(run).abort_handle(), now));
        }
        Action::Cancel { execution, upstream } => {
            let _ = context.metrics.incr("batch.cancels");
            let age = abort(context, now, &execution);
            // A call to a plain service is cancelled by closing its connection, which `abort` does.
            let address = address(&upstream).filter(|_| is_engine(inner, &upstream));
            tokio::spawn(execute::cancel(context.clone(), execution, upstream, address, age));
        }
        Action::Pull { capacity, holding } => {
            tokio::spawn(client::pull(context.clone(), capacity, holding));
        }
        Action::RenewHolding(holding) => {
            tokio::spawn(client::renew_holding(context.clone(), holding));
        }
        Action::ReportOutcomes(outcomes) => {
            tokio::spawn(client::report_outcomes(context.clone(), outcomes));
        }
        Action::NotifyFollowing { upstream } => notify_following(context, &upstream),
        Action::RecordYield { elapsed, .. } => {
            let _ = context.metrics.time("batch.yield", elapsed.0);
        }
    }
}

fn is_engine(inner: &Inner, upstream: &Upstream) -> bool {
    let fleet = inner.fleet.lock().unwrap();
    fleet.own.get(upstream).is_none_or(|spec| spec.kind == Kind::Engine)
}

fn abort(context: &Shared, now: Millis, execution: &Execution) -> Millis {
    let started = context.batch.runner.inner.executions.lock().unwrap().remove(execution);
    let Some((task, started)) = started else { return Millis(0) };
    task.abort();
    now - started
}

fn notify_following(context: &Shared, upstream: &Upstream) {
    let fleet = context.batch.runner.inner.fleet.lock().unwrap().clone();
    for next in fleet.following.get(upstream).into_iter().flatten() {
        send_yield(context, &fleet, next, Arrival::PrecedingUpstream);
    }
}

fn send_count(context: &Shared, upstream: &Upstream, in_flight: u32) {
    let inner = &context.batch.runner.inner;
    let fleet = inner.fleet.lock().unwrap().clone();
    let sequence = inner.sequence.fetch_add(1, Ordering::Relaxed);
    send_yield(context, &fleet, upstream, Arrival::SameUpstream { sequence, in_flight });
}

fn send_yield(context: &Shared, fleet: &Fleet, upstream: &Upstream, arrival: Arrival) {
    let Some((runner, address)) = fleet.runners.get(upstream).cloned() else { return };
    let yield_to = Yield { upstream: upstream.clone(), arrival };
    let context = context.clone();
    if runner == context.settings.vm {
        tokio::spawn(async move { handle_yield(&context, &runner, yield_to) });
        return;
    }
    tokio::spawn(async move {
        let message = peer::Message::Batch(Message::Yield(yield_to));
        if let Err(error) = context.peer.send(address, message).await {
            log::debug!(
                "batch runner: notification of {runner} about online work failed: {error:#}"
            );
        }
    });
}

/// Recomputes the runners whenever the fleet or the configuration changes.
async fn watch_fleet(context: Shared) {
    let mut views = context.membership.watch();
    let mut documents = context.config.watch();
    loop {
        let view = views.borrow_and_update().clone();
        let document = documents.borrow_and_update().clone();
        let fleet = Fleet::new(&context.settings, &view, &document.document);
        let own = fleet.own.clone();
        *context.batch.runner.inner.fleet.lock().unwrap() = Arc::new(fleet);
        apply(&context, Event::ReplicasChanged(own));
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
        apply(&context, Event::Tick);
        resend_counts(&context);
    }
}

/// Sends counts again after [`RESEND_INTERVAL`], in case a datagram was lost.
fn resend_counts(context: &Shared) {
    let now = context.clock.now();
    let mut due = BTreeMap::new();
    for (upstream, online) in context.batch.runner.inner.online_counts.lock().unwrap().iter_mut() {
        if now - online.last_sent >= RESEND_INTERVAL {
            online.last_sent = now;
            due.insert(upstream.clone(), online.in_flight);
        }
    }
    for (upstream, in_flight) in due {
        send_count(context, &upstream, in_flight);
    }
}

/// Polls the load reports of this node's replicas.
async fn poll_loads(context: Shared) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        let fleet = context.batch.runner.inner.fleet.lock().unwrap().clone();
        for (upstream, address) in &fleet.addresses {
            let (context, upstream, address) = (context.clone(), upstream.clone(), *address);
            tokio::spawn(async move {
                let Ok(report) = context.upstreams.report(address).await else { return };
                let active = report.active + report.queued;
                apply(&context, Event::LoadReport { upstream, active, slots: report.slots });
            });
        }
    }
}

/// Waits until `done` returns true, for at most `limit`. Returns whether it did.
async fn wait_until(context: &Shared, limit: Duration, done: impl Fn() -> bool) -> bool {
    let inner = &context.batch.runner.inner;
    let end = tokio::time::Instant::now() + limit;
    while !done() {
        if tokio::time::Instant::now() >= end {
            return false;
        }
        let _ = tokio::time::timeout(TICK, inner.changed.notified()).await;
    }
    true
}
