//! Assignment of replicas to runners and of partitions to owners, recomputed when the fleet or the
//! configuration changes.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    batch::owner,
    config::Document,
    id::{Deployment, Model, Partition, Service, Upstream, Vm},
    membership::{View, view::Replica},
    rendezvous,
    settings::Settings,
};

use super::message::{Kind, Spec};

/// A partition owner, its peer address and its partitions.
#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub(crate) vm: Vm,
    pub(crate) address: SocketAddr,
    pub(crate) partitions: Vec<Partition>,
}

/// The runners of all replicas, and the replicas that this node is the runner of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    /// The runner of each replica and its peer address.
    pub(crate) runners: BTreeMap<Upstream, (Vm, SocketAddr)>,
    /// For each replica of this node, those that follow it in the fill order, the nearest first.
    pub(crate) following: BTreeMap<Upstream, Vec<Upstream>>,
    pub(crate) own: BTreeMap<Upstream, Spec>,
    /// The address of each replica of this node.
    pub(crate) addresses: BTreeMap<Upstream, SocketAddr>,
    /// The owners of all partitions.
    pub(crate) owners: Arc<[Owner]>,
}

impl Fleet {
    pub(crate) fn new(settings: &Settings, view: &View, document: &Document) -> Fleet {
        let (own_vm, margin) = (&settings.vm, settings.batch.runner.margin as usize);
        let mut fleet =
            Fleet { owners: assign_owners(view, settings.batch.partitions), ..Fleet::default() };
        let vms: Vec<&Vm> =
            view.nodes.iter().filter(|(_, node)| !node.leaving).map(|(vm, _)| vm).collect();
        for upstream in view.upstreams.keys() {
            let Some(runner) = rendezvous::choose(&upstream.0, vms.iter().copied()) else {
                continue;
            };
            let address = view.nodes[runner].address;
            fleet.runners.insert(upstream.clone(), (runner.clone(), address));
        }
        for (upstream, replica) in &view.upstreams {
            let mine = fleet.runners.get(upstream).is_some_and(|(runner, _)| runner == own_vm);
            if !mine || replica.leaving {
                continue;
            }
            let Some(spec) = find_spec(document, replica) else { continue };
            fleet.own.insert(upstream.clone(), spec);
            fleet.addresses.insert(upstream.clone(), replica.address);
            fleet.following.insert(upstream.clone(), following(view, upstream, replica, margin));
        }
        fleet
    }
}

/// Chooses the owner of each partition. Every node with the same view chooses the same.
fn assign_owners(view: &View, partitions: u16) -> Arc<[Owner]> {
    let mut owners: BTreeMap<Vm, Vec<Partition>> = BTreeMap::new();
    for partition in (0..partitions).map(Partition) {
        if let Some(vm) = owner::task::choose_owner(view, partition) {
            owners.entry(vm).or_default().push(partition);
        }
    }
    let owner = |(vm, partitions): (Vm, Vec<Partition>)| Owner {
        address: view.nodes[&vm].address,
        vm,
        partitions,
    };
    owners.into_iter().map(owner).collect()
}

/// The replicas after `upstream` in the order in which online work fills them.
fn following(view: &View, upstream: &Upstream, replica: &Replica, margin: usize) -> Vec<Upstream> {
    let peers = view
        .upstreams
        .iter()
        .filter(|(_, other)| other.serves == replica.serves && !other.leaving)
        .map(|(id, _)| id);
    rendezvous::rank(&replica.serves, peers)
        .into_iter()
        .skip_while(|id| *id != upstream)
        .skip(1)
        .take(margin)
        .cloned()
        .collect()
}

fn find_spec(document: &Document, replica: &Replica) -> Option<Spec> {
    let serves = replica.serves.clone();
    let deployment = Deployment(serves.clone());
    let service = Service(serves.clone());
    let pieces = document.pieces.values();
    pieces
        .filter_map(|piece| {
            if let Some(found) = piece.deployments.get(&deployment) {
                let models: Vec<Model> = found.models.clone();
                return found.batch.then(|| Spec {
                    kind: Kind::Engine,
                    serves: serves.clone(),
                    models,
                    slots: found.slots,
                });
            }
            piece.services.get(&service).map(|found| Spec {
                kind: Kind::Service,
                serves: serves.clone(),
                models: Vec::new(),
                slots: found.slots,
            })
        })
        .next()
}
