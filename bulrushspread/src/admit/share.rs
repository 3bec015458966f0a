//! Allocates a workspace's limits to the nodes by demand.
//!
//! Rendezvous hashing picks the node that allocates the limits of a workspace. Each node has a base
//! share. What the base shares leave of a limit is divided among the nodes that report demand, by
//! max-min fairness. A node that reports none keeps its base share only, so that the sum of all
//! shares stays within the limit.

use std::collections::BTreeMap;

use crate::{
    id::{Vm, Workspace},
    time::Millis,
};

use super::message::Amount;

/// Fraction of its even share of a limit that every node has without reporting demand.
pub const BASE_SHARE: f32 = 0.1;

/// The demands that nodes have reported to this one.
#[derive(Clone, Debug, Default)]
pub struct Allocator {
    demands: BTreeMap<Workspace, BTreeMap<Vm, (Amount, Millis)>>,
}

impl Allocator {
    /// Records a node's demand and returns its share of `limit`.
    ///
    /// `nodes` is the number of live nodes. Demands older than `expiry` are ignored.
    pub fn allocate(
        &mut self,
        now: Millis,
        workspace: &Workspace,
        from: &Vm,
        demand: Amount,
        (limit, nodes, expiry): (Amount, usize, Millis),
    ) -> Amount {
        let demands = self.demands.entry(workspace.clone()).or_default();
        demands.insert(from.clone(), (demand, now));
        demands.retain(|_, (_, at)| now - *at <= expiry);
        let allocate = |of: fn(&Amount) -> f32| {
            let all_demands = demands.values().map(|(amount, _)| of(amount));
            fair_share(of(&limit), nodes, of(&demand), all_demands)
        };
        Amount {
            requests_per_s: allocate(|amount| amount.requests_per_s),
            tokens_per_s: allocate(|amount| amount.tokens_per_s),
            concurrency: allocate(|amount| amount.concurrency),
        }
    }

    /// Removes demands older than `expiry`.
    pub fn remove_expired(&mut self, now: Millis, expiry: Millis) {
        for demands in self.demands.values_mut() {
            demands.retain(|_, (_, at)| now - *at <= expiry);
        }
        self.demands.retain(|_, demands| !demands.is_empty());
    }
}

/// The base share of one limit that each of `nodes` nodes has without reporting demand.
pub fn base_share(limit: f32, nodes: usize) -> f32 {
    limit * BASE_SHARE / nodes.max(1) as f32
}

/// The share of one node that reports `demand`: max-min fair, with the rest divided evenly.
fn fair_share(limit: f32, nodes: usize, demand: f32, demands: impl Iterator<Item = f32>) -> f32 {
    let base = base_share(limit, nodes);
    let mut excess: Vec<f32> = demands.map(|demand| (demand - base).max(0.0)).collect();
    excess.sort_by(f32::total_cmp);
    let reporters = excess.len();
    let mut free = limit - base * nodes.max(reporters) as f32;
    // Progressive filling: `level` is the amount that each node gets beyond its base share.
    let mut level = 0.0;
    for (index, next) in excess.iter().enumerate() {
        let left = (reporters - index) as f32;
        let rise = (next - level).min(free / left);
        level += rise;
        free -= rise * left;
    }
    base + (demand - base).clamp(0.0, level) + free.max(0.0) / reporters.max(1) as f32
}
