//! The few nodes that a node keeps talking to, so that no message needs a new handshake.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{id::Vm, node::Shared, rendezvous};

use super::view::Node;

/// The key under which nodes are ordered on the ring.
const RING: &str = "membership ring";

/// The nodes that `me` links to: those 1, 2, 4, 8, … places on in a ring of all nodes.
///
/// News that each node passes on to its links reaches `n` nodes in at most log2(n) steps.
pub fn links<'a>(me: &Vm, nodes: impl IntoIterator<Item = &'a Vm>) -> Vec<Vm> {
    let mut ring: Vec<&Vm> = nodes.into_iter().collect();
    ring.sort_by_cached_key(|vm| (rendezvous::score(RING, &vm.0), *vm));
    let Some(place) = ring.iter().position(|vm| *vm == me) else { return Vec::new() };
    let strides = (0..usize::BITS).map(|bit| 1 << bit).take_while(|stride| *stride < ring.len());
    strides.map(|stride: usize| ring[(place + stride) % ring.len()].clone()).collect()
}

/// The linked nodes of this node and their addresses.
pub(crate) fn of(context: &Shared) -> Vec<(Vm, SocketAddr)> {
    let view = context.membership.view();
    let nodes: &BTreeMap<Vm, Node> = &view.nodes;
    let linked = links(&context.settings.vm, nodes.keys());
    linked.into_iter().filter_map(|vm| Some((vm.clone(), nodes.get(&vm)?.address))).collect()
}
