//! Background tasks and the handler of messages from other nodes.

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

/// Time between two checks for waiting requests whose deadline has passed.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Delay of the extra report of demand that follows an exhausted share.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Starts the background tasks.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    tokio::spawn(tick(context.clone()));
    tokio::spawn(report_demands(context.clone()));
    Ok(())
}

/// Handles a message of another node and returns the response.
pub(crate) async fn serve(
    context: &Shared,
    (from, _): (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {
        Message::Demands(demands) => {
            PeerMessage::Admit(Message::Shares(allocate(context, &from, &demands)))
        }
        Message::Shares(_) => PeerMessage::Done,
    }
}

/// Refuses expired requests and updates the number of live nodes periodically.
async fn tick(context: Shared) {
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    loop {
        ticks.tick().await;
        let nodes = context.membership.view().nodes.len();
        let mut inner = context.admit.inner();
        inner.state.set_node_count(nodes);
        let actions = inner.state.tick(context.clock.now());
        inner.execute(actions);
    }
}

/// Reports demands periodically, and soon after a share is exhausted.
async fn report_demands(context: Shared) {
    let settings = &context.settings.admit;
    let mut ticks = tokio::time::interval(Duration::from_millis(settings.share_ms.max(1)));
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = context.admit.share_exhausted.notified() => tokio::time::sleep(REPORT_DELAY).await,
        }
        let demands = {
            let mut inner = context.admit.inner();
            let now = context.clock.now();
            inner.allocator.remove_expired(now, Millis(settings.share_expiry_ms));
            inner.state.take_demands(now)
        };
        for (allocator, demands) in group_by_allocator(&context, demands) {
            tokio::spawn(request_shares(context.clone(), allocator, demands));
        }
    }
}

type Demands = Vec<(Workspace, Amount)>;

/// Groups demands by the node that allocates the limits of their workspace.
fn group_by_allocator(context: &Shared, demands: Demands) -> BTreeMap<Vm, Demands> {
    let view = context.membership.view();
    let mut groups: BTreeMap<Vm, Demands> = BTreeMap::new();
    for demand in demands {
        let allocator = rendezvous::choose(&demand.0.0, view.nodes.keys());
        let allocator = allocator.unwrap_or(&context.settings.vm).clone();
        groups.entry(allocator).or_default().push(demand);
    }
    groups
}

/// Reports demands to one node and applies the shares that it grants.
async fn request_shares(context: Shared, allocator: Vm, demands: Demands) {
    let own = context.settings.vm.clone();
    let shares = if allocator == own {
        allocate(&context, &own, &demands)
    } else {
        let view = context.membership.view();
        let Some(node) = view.nodes.get(&allocator) else { return };
        let message = PeerMessage::Admit(Message::Demands(demands));
        match context.peer.call(node.address, message).await {
            Ok(PeerMessage::Admit(Message::Shares(shares))) => shares,
            Ok(_) => return,
            Err(error) => {
                log::debug!("admit: demands could not be reported to {allocator}: {error:#}");
                return;
            }
        }
    };
    context.admit.inner().state.apply_grants(context.clock.now(), shares);
}

/// Records the demands of a node and returns its shares.
fn allocate(context: &Shared, from: &Vm, demands: &Demands) -> Demands {
    let directory = context.directory.get(&context.config);
    let nodes = context.membership.view().nodes.len();
    let expiry = Millis(context.settings.admit.share_expiry_ms);
    let now = context.clock.now();
    let mut inner = context.admit.inner();
    let share = |(workspace, demand): &(Workspace, Amount)| {
        let limit = limit(directory.workspace(workspace)?);
        let terms = (limit, nodes, expiry);
        Some((workspace.clone(), inner.allocator.allocate(now, workspace, from, *demand, terms)))
    };
    demands.iter().filter_map(share).collect()
}
