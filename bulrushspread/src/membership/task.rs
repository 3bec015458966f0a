//! The membership tasks: they feed events to the state machine and carry out its actions.

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

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(50);
/// Time for the neighbours to acknowledge that this node shuts down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Starts the membership tasks.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    let settings = &context.settings;
    let address = match settings.peer.advertise {
        Some(address) => address,
        None => context.peer.local_address()?,
    };
    let version = Version { incarnation: context.incarnation, refutation: 0 };
    context.membership.init(State::new(
        settings.vm.clone(),
        address,
        settings.data_centre.clone(),
        version,
        settings.membership.clone(),
        context.incarnation.0,
    ));
    handle_event(context, Event::Tick);
    tokio::spawn(poll_vm_list(context.clone()));
    tokio::spawn(tick(context.clone()));
    Ok(())
}

/// Handles a message from another node and returns the response.
pub(crate) async fn serve(
    context: &Shared,
    (from, _): (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    let is_exchange = matches!(message, Message::Table(_));
    handle_event(context, Event::Received { from, message });
    if !is_exchange {
        return PeerMessage::Done;
    }
    let now = context.clock.now();
    let table = context.membership.state().map(|state| state.table(now)).unwrap_or_default();
    PeerMessage::Membership(Message::Table(table))
}

/// Announces the shutdown of this node to its neighbours and waits for their acknowledgements.
pub(crate) async fn stop(context: &Shared) {
    let calls = apply_event(context, Event::Stop).into_iter().filter_map(|action| match action {
        Action::Send { to, message } => {
            Some(context.peer.call(to, PeerMessage::Membership(message)))
        }
        Action::Exchange { .. } | Action::PeerHead { .. } | Action::Publish(_) => None,
    });
    let all_calls = futures_util::future::join_all(calls);
    if tokio::time::timeout(SHUTDOWN_TIMEOUT, all_calls).await.is_err() {
        log::warn!(
            "membership: not every neighbour acknowledged the shutdown of this node in time"
        );
    }
}

async fn tick(context: Shared) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        for upstream in context.membership.take_leaving() {
            handle_event(&context, Event::UpstreamLeaving(upstream));
        }
        if *context.phase.borrow() == Phase::Draining {
            handle_event(&context, Event::Drain);
        }
        handle_event(&context, Event::Head(context.config.head()));
        handle_event(&context, Event::Tick);
    }
}

async fn poll_vm_list(context: Shared) {
    let interval = Duration::from_millis(context.settings.membership.list_ms.max(1));
    loop {
        match context.vms.list().await {
            Ok(listed) => handle_event(&context, Event::Listed(listed)),
            Err(error) => log::debug!("membership: can't read the VM list: {error:#}"),
        }
        tokio::time::sleep(interval).await;
    }
}

fn handle_event(context: &Shared, event: Event) {
    for action in apply_event(context, event) {
        execute(context, action);
    }
}

/// Applies an event to the state. Publishes a changed view before the lock on the state is
/// released, so that views appear in the order of the events.
fn apply_event(context: &Shared, event: Event) -> Vec<Action> {
    let now = context.clock.now();
    let Some(mut state) = context.membership.state() else { return Vec::new() };
    let actions = state.apply(now, event);
    for action in &actions {
        if let Action::Publish(view) = action {
            context.membership.publish(view.clone());
        }
    }
    actions
}

fn execute(context: &Shared, action: Action) {
    match action {
        Action::Send { to, message } => {
            let _ = context.metrics.incr("membership.messages");
            let context = context.clone();
            tokio::spawn(async move {
                let result = context.peer.send(to, PeerMessage::Membership(message)).await;
                if let Err(error) = result {
                    log::debug!("membership: can't send to {to}: {error:#}");
                }
            });
        }
        Action::Exchange { to, table } => {
            let _ = context.metrics.incr("membership.tables");
            tokio::spawn(exchange_state(context.clone(), to, Message::Table(table)));
        }
        Action::PeerHead { vm, head } => config::task::handle_head(context, &vm, head),
        Action::Publish(_) => {}
    }
}

async fn exchange_state(context: Shared, to: SocketAddr, message: Message) {
    let response = context.peer.call(to, PeerMessage::Membership(message)).await;
    match response {
        Ok(PeerMessage::Membership(message)) => {
            let from = context.settings.vm.clone();
            handle_event(&context, Event::Received { from, message });
        }
        Ok(_) => {}
        Err(error) => log::debug!("membership: exchange of full state with {to} failed: {error:#}"),
    }
}
