//! The tasks of this slice: they feed its state and carry out what it decides.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    id::{Incarnation, Upstream, Vm},
    node::{self, Shared},
    peer::message::Message as PeerMessage,
    vms::{self, Listed, Role},
};

use super::{
    View,
    message::Message,
    view::{Node, Replica},
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    context.membership.put(view(context, &[])?);
    tokio::spawn(poll(context.clone()));
    Ok(())
}

/// Serves a message of another node. What it returns answers a request.
pub(crate) async fn serve(
    _context: &Shared,
    _from: (Vm, SocketAddr),
    message: Message,
) -> PeerMessage {
    match message {}
}

/// Stops the slice and waits until nothing of it is in flight.
pub(crate) async fn stop(_context: &Shared) {}

async fn poll(context: Shared) {
    let interval = Duration::from_millis(context.settings.membership.list_ms.max(1));
    loop {
        match context.vms.list().await {
            Ok(listed) => {
                if let Ok(view) = view(&context, &listed) {
                    context.membership.put(view);
                }
            }
            Err(error) => log::debug!("membership: the VM list can't be read: {error:#}"),
        }
        tokio::time::sleep(interval).await;
    }
}

fn view(context: &Shared, listed: &[Listed]) -> Result<View> {
    let mut view = View { nodes: BTreeMap::new(), upstreams: BTreeMap::new() };
    for entry in listed {
        let leaving = entry.phase == vms::Phase::Leaving;
        let data_centre = entry.data_centre.clone();
        match &entry.role {
            Role::Entry => {
                let incarnation = Incarnation::default();
                let node = Node { address: entry.address, data_centre, incarnation, leaving };
                view.nodes.insert(entry.vm.clone(), node);
            }
            Role::Upstream { serves } => {
                let (serves, address) = (serves.clone(), entry.address);
                let replica = Replica { serves, address, data_centre, leaving };
                view.upstreams.insert(Upstream(entry.vm.0.clone()), replica);
            }
        }
    }
    let own = Node {
        address: context.settings.peer.advertise.unwrap_or(context.peer.local_address()?),
        data_centre: context.settings.data_centre.clone(),
        incarnation: context.incarnation,
        leaving: *context.phase.borrow() == node::Phase::Draining,
    };
    view.nodes.insert(context.settings.vm.clone(), own);
    Ok(view)
}
