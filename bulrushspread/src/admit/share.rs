//! Divides a workspace's limits among the nodes by demand.
//!
//! One node, chosen by rendezvous, does this for a workspace. A node that asks gets its base share
//! and a part of what the base shares leave, up to what it wants. A node that doesn't ask has its
//! base share only, so that the shares of all nodes together stay within the limit.

use std::collections::BTreeMap;

use crate::{
    id::{Vm, Workspace},
    time::Millis,
};

use super::message::Amount;

/// Share of the even part of a limit that every node has without asking.
pub const BASE_SHARE: f32 = 0.1;

/// The demands that nodes have told this one.
#[derive(Clone, Debug, Default)]
pub struct Divider {
    demands: BTreeMap<Workspace, BTreeMap<Vm, (Amount, Millis)>>,
}

impl Divider {
    /// Notes a node's demand and returns its share of `limit`.
    ///
    /// `nodes` live nodes use the limit. Demands older than `expiry` don't count.
    pub fn divide(
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
        let part = |of: fn(&Amount) -> f32| {
            let wanted = demands.values().map(|(amount, _)| of(amount));
            share(of(&limit), nodes, of(&demand), wanted)
        };
        Amount {
            requests_per_s: part(|amount| amount.requests_per_s),
            tokens_per_s: part(|amount| amount.tokens_per_s),
            concurrency: part(|amount| amount.concurrency),
        }
    }

    /// Forgets the workspaces from which no demand has come for `expiry`.
    pub fn expire(&mut self, now: Millis, expiry: Millis) {
        for demands in self.demands.values_mut() {
            demands.retain(|_, (_, at)| now - *at <= expiry);
        }
        self.demands.retain(|_, demands| !demands.is_empty());
    }
}

/// The base share of one limit that each of `nodes` nodes has without asking.
pub fn base(limit: f32, nodes: usize) -> f32 {
    limit * BASE_SHARE / nodes.max(1) as f32
}

/// The share of one node that wants `demand`: max-min fair, with the rest divided evenly.
fn share(limit: f32, nodes: usize, demand: f32, wanted: impl Iterator<Item = f32>) -> f32 {
    let base = base(limit, nodes);
    let mut wanted: Vec<f32> = wanted.map(|wanted| (wanted - base).max(0.0)).collect();
    wanted.sort_by(f32::total_cmp);
    let askers = wanted.len();
    let mut free = limit - base * nodes.max(askers) as f32;
    let mut level = 0.0;
    for (index, next) in wanted.iter().enumerate() {
        let left = (askers - index) as f32;
        let rise = (next - level).min(free / left);
        level += rise;
        free -= rise * left;
    }
    base + (demand - base).clamp(0.0, level) + free.max(0.0) / askers.max(1) as f32
}
