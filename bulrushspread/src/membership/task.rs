//! The tasks of this slice: they feed its state and carry out what it decides.

use std::{net::SocketAddr, time::Duration};

use cadence::CountedExt;

use crate::{
    config,
    id::Vm,
    node::{Phase, Shared},
    peer::message::Message as PeerMessage,
};

use super::{
    message::{Message, Version},
    state::{Action, Event, State},
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Time between two ticks of the state.
const TICK: Duration = Duration::from_millis(50);
/// Time within which the linked nodes must have taken in that this node ends.
const FAREWELL: Duration = Duration::from_millis(1_000);

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    let settings = &context.settings;
    let address = match settings.peer.advertise {
        Some(address) => address,
        None => context.peer.local_address()?,
    };
    let version = Version { incarnation: context.incarnation, refutation: 0 };
    context.membership.begin(State::new(
        settings.vm.clone(),
        address,
        settings.data_centre.clone(),
        version,
        settings.membership.clone(),
        context.incarnation.0,
    ));
    apply(context, Event::Tick);
    tokio::spawn(poll(context.clone()));
    tokio::spawn(tick(context.clone()));
    Ok(())
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    context: &Shared,
    (from, _): (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    let table = matches!(message, Message::Table(_));
    apply(context, Event::Received { from, message });
    if !table {
        return PeerMessage::Done;
    }
    let now = context.clock.now();
    let table = context.membership.state().map(|state| state.table(now)).unwrap_or_default();
    PeerMessage::Membership(Message::Table(table))
}

/// Tells the linked nodes that this one ends, and waits until they have taken it in.
pub(crate) async fn stop(context: &Shared) {
    let calls = decide(context, Event::Gone).into_iter().filter_map(|action| match action {
        Action::Send { to, message } => {
            Some(context.peer.call(to, PeerMessage::Membership(message)))
        }
        Action::Exchange { .. } | Action::Heard { .. } | Action::Show(_) => None,
    });
    let all = futures_util::future::join_all(calls);
    if tokio::time::timeout(FAREWELL, all).await.is_err() {
        log::warn!("membership: not every linked node has heard that this node ends");
    }
}

async fn tick(context: Shared) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        for upstream in context.membership.take_leaving() {
            apply(&context, Event::Leaving(upstream));
        }
        if *context.phase.borrow() == Phase::Draining {
            apply(&context, Event::Leave);
        }
        apply(&context, Event::Head(context.config.head()));
        apply(&context, Event::Tick);
    }
}

async fn poll(context: Shared) {
    let interval = Duration::from_millis(context.settings.membership.list_ms.max(1));
    loop {
        match context.vms.list().await {
            Ok(listed) => apply(&context, Event::Listed(listed)),
            Err(error) => log::debug!("membership: the VM list can't be read: {error:#}"),
        }
        tokio::time::sleep(interval).await;
    }
}

fn apply(context: &Shared, event: Event) {
    for action in decide(context, event) {
        carry_out(context, action);
    }
}

/// Feeds the state. A new view is shown before anybody else can feed it.
fn decide(context: &Shared, event: Event) -> Vec<Action> {
    let now = context.clock.now();
    let Some(mut state) = context.membership.state() else { return Vec::new() };
    let actions = state.apply(now, event);
    for action in &actions {
        if let Action::Show(view) = action {
            context.membership.put(view.clone());
        }
    }
    actions
}

fn carry_out(context: &Shared, action: Action) {
    match action {
        Action::Send { to, message } => {
            let _ = context.metrics.incr("membership.messages");
            let context = context.clone();
            tokio::spawn(async move {
                let sent = context.peer.send(to, PeerMessage::Membership(message)).await;
                if let Err(error) = sent {
                    log::debug!("membership: can't reach {to}: {error:#}");
                }
            });
        }
        Action::Exchange { to, table } => {
            let _ = context.metrics.incr("membership.tables");
            tokio::spawn(exchange(context.clone(), to, Message::Table(table)));
        }
        Action::Heard { vm, head } => config::task::handle_head(context, &vm, head),
        Action::Show(_) => {}
    }
}

async fn exchange(context: Shared, to: SocketAddr, message: Message) {
    let answer = context.peer.call(to, PeerMessage::Membership(message)).await;
    match answer {
        Ok(PeerMessage::Membership(message)) => {
            let from = context.settings.vm.clone();
            apply(&context, Event::Received { from, message });
        }
        Ok(_) => {}
        Err(error) => log::debug!("membership: no table from {to}: {error:#}"),
    }
}
