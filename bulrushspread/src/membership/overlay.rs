//! The few neighbours that a node keeps connections to, so that no message needs a new handshake.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{id::Vm, node::Shared, rendezvous};

use super::view::Node;

/// Hash key for the order of nodes on the ring.
const RING_KEY: &str = "membership ring";

/// The neighbours of `me`: the nodes 1, 2, 4, 8, … positions further on a ring of all nodes.
///
/// An update that each node forwards to its neighbours reaches `n` nodes in at most log2(n) hops.
pub fn neighbours<'a>(me: &Vm, nodes: impl IntoIterator<Item = &'a Vm>) -> Vec<Vm> {
    let mut ring: Vec<&Vm> = nodes.into_iter().collect();
    ring.sort_by_cached_key(|vm| (rendezvous::score(RING_KEY, &vm.0), *vm));
    let Some(position) = ring.iter().position(|vm| *vm == me) else { return Vec::new() };
    let strides = (0..usize::BITS).map(|bit| 1 << bit).take_while(|stride| *stride < ring.len());
    strides.map(|stride: usize| ring[(position + stride) % ring.len()].clone()).collect()
}

/// The neighbours of this node with their addresses.
pub(crate) fn neighbour_addresses(context: &Shared) -> Vec<(Vm, SocketAddr)> {
    let view = context.membership.view();
    let nodes: &BTreeMap<Vm, Node> = &view.nodes;
    let neighbours = neighbours(&context.settings.vm, nodes.keys());
    neighbours.into_iter().filter_map(|vm| Some((vm.clone(), nodes.get(&vm)?.address))).collect()
}
