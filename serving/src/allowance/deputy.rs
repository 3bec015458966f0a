//! Which node holds the reserve of a workspace: the same one for all nodes that know the same nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{id::Workspace, time::Millis};

/// The node with the highest draw for a workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deputy {
    pub(super) address: SocketAddr,
    draw: u64,
    /// Since when it has been the deputy as far as this node knows.
    pub(super) since: Millis,
}

/// The known nodes, and the deputies among them.
#[derive(Clone, Debug)]
pub(super) struct Deputies {
    own: SocketAddr,
    /// Includes this node.
    nodes: BTreeSet<SocketAddr>,
    /// When `nodes` last changed.
    changed_at: Millis,
    chosen: BTreeMap<Workspace, Deputy>,
}

impl Deputies {
    pub(super) fn new(now: Millis, own: SocketAddr) -> Deputies {
        let nodes = BTreeSet::from([own]);
        Deputies { own, nodes, changed_at: now, chosen: BTreeMap::new() }
    }

    /// Number of known nodes, this one included.
    pub(super) fn node_count(&self) -> u32 {
        self.nodes.len() as u32
    }

    /// Replaces the workspaces for which deputies are kept.
    pub(super) fn set_workspaces<'a>(&mut self, workspaces: impl Iterator<Item = &'a Workspace>) {
        let mut previous = std::mem::take(&mut self.chosen);
        for workspace in workspaces {
            let known = previous.remove(workspace);
            let deputy = known.unwrap_or_else(|| self.highest(workspace, self.changed_at));
            self.chosen.insert(workspace.clone(), deputy);
        }
    }

    /// Replaces the other nodes.
    pub(super) fn set_peers(&mut self, now: Millis, peers: impl Iterator<Item = SocketAddr>) {
        let nodes: BTreeSet<SocketAddr> = peers.chain([self.own]).collect();
        if nodes == self.nodes {
            return;
        }
        let added: Vec<SocketAddr> = nodes.difference(&self.nodes).copied().collect();
        self.nodes = nodes;
        self.changed_at = now;
        let mut chosen = std::mem::take(&mut self.chosen);
        for (workspace, deputy) in &mut chosen {
            if !self.nodes.contains(&deputy.address) {
                *deputy = self.highest(workspace, now);
                continue;
            }
            for address in &added {
                let draw = draw(workspace, *address);
                if draw > deputy.draw {
                    *deputy = Deputy { address: *address, draw, since: now };
                }
            }
        }
        self.chosen = chosen;
    }

    pub(super) fn find(&self, workspace: &Workspace) -> Deputy {
        let chosen = self.chosen.get(workspace).copied();
        chosen.unwrap_or_else(|| self.highest(workspace, self.changed_at))
    }

    fn highest(&self, workspace: &Workspace, since: Millis) -> Deputy {
        let deputy = |address: &SocketAddr| {
            let (address, draw) = (*address, draw(workspace, *address));
            Deputy { address, draw, since }
        };
        let own = deputy(&self.own);
        self.nodes.iter().map(deputy).max_by_key(|deputy| deputy.draw).unwrap_or(own)
    }
}

fn draw(workspace: &Workspace, address: SocketAddr) -> u64 {
    xxh3_64_with_seed(address.to_string().as_bytes(), xxh3_64(workspace.0.as_bytes()))
}
