//! The tasks of this slice: they feed its state and carry out what it decides.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    id::{Vm, Workspace},
    node::Shared,
    peer::message::Message as PeerMessage,
    rendezvous,
    time::Millis,
};

use super::{
    account::limit,
    message::{Amount, Message},
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Time between two looks for requests whose deadline has passed in the queue.
const TICK: Duration = Duration::from_millis(20);

/// Pause before a share is asked for out of turn.
const PRESSED_PAUSE: Duration = Duration::from_millis(50);

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(tick(context.clone()));
    tokio::spawn(ask_for_shares(context.clone()));
    Ok(())
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    context: &Shared,
    (from, _): (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Demands(demands) => {
            PeerMessage::Admit(Message::Shares(divide(context, &from, &demands)))
        }
        Message::Shares(_) => PeerMessage::Done,
    }
}

async fn tick(context: Shared) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        ticks.tick().await;
        let nodes = context.membership.view().nodes.len();
        let mut inner = context.admit.inner();
        inner.state.set_nodes(nodes);
        let actions = inner.state.tick(context.clock.now());
        inner.carry_out(actions);
    }
}

/// Tells the node that divides a workspace's limits what this node needs of them.
async fn ask_for_shares(context: Shared) {
    let settings = &context.settings.admit;
    let mut ticks = tokio::time::interval(Duration::from_millis(settings.share_ms.max(1)));
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = context.admit.pressed.notified() => tokio::time::sleep(PRESSED_PAUSE).await,
        }
        let demands = {
            let mut inner = context.admit.inner();
            let now = context.clock.now();
            inner.divider.expire(now, Millis(settings.share_expiry_ms));
            inner.state.demands(now)
        };
        for (divider, demands) in by_divider(&context, demands) {
            tokio::spawn(ask(context.clone(), divider, demands));
        }
    }
}

type Demands = Vec<(Workspace, Amount)>;

fn by_divider(context: &Shared, demands: Demands) -> BTreeMap<Vm, Demands> {
    let view = context.membership.view();
    let mut groups: BTreeMap<Vm, Demands> = BTreeMap::new();
    for demand in demands {
        let divider = rendezvous::choose(&demand.0.0, view.nodes.keys());
        let divider = divider.unwrap_or(&context.settings.vm).clone();
        groups.entry(divider).or_default().push(demand);
    }
    groups
}

async fn ask(context: Shared, divider: Vm, demands: Demands) {
    let own = context.settings.vm.clone();
    let shares = if divider == own {
        divide(&context, &own, &demands)
    } else {
        let view = context.membership.view();
        let Some(node) = view.nodes.get(&divider) else { return };
        let message = PeerMessage::Admit(Message::Demands(demands));
        match context.peer.call(node.address, message).await {
            Ok(PeerMessage::Admit(Message::Shares(shares))) => shares,
            Ok(_) => return,
            Err(error) => {
                log::debug!("admit: {divider} granted no shares: {error:#}");
                return;
            }
        }
    };
    context.admit.inner().state.grant(context.clock.now(), shares);
}

fn divide(context: &Shared, from: &Vm, demands: &Demands) -> Demands {
    let directory = context.directory.get(&context.config);
    let nodes = context.membership.view().nodes.len();
    let expiry = Millis(context.settings.admit.share_expiry_ms);
    let now = context.clock.now();
    let mut inner = context.admit.inner();
    let share = |(workspace, demand): &(Workspace, Amount)| {
        let limit = limit(directory.workspace(workspace)?);
        let terms = (limit, nodes, expiry);
        Some((workspace.clone(), inner.divider.divide(now, workspace, from, *demand, terms)))
    };
    demands.iter().filter_map(share).collect()
}
