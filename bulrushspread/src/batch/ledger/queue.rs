//! The order in which jobs are served: fair across workspaces, then by deadline.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    id::{Job, Model, Workspace},
    time::Millis,
};

/// Cost of one item for a workspace of weight one.
const ITEM_COST: u64 = 1_000;
/// Length of a round, in items of a workspace of weight one. Within a round, workspaces are ordered
/// by deadline.
const ROUND_ITEMS: u64 = 16;

/// The upstreams that can run an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pool {
    /// All deployments of the model.
    Model(Model),
    /// All replicas of the plain service.
    Service(String),
}

/// A job in the queue, ordered by deadline.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    pub due_at: Millis,
    pub job: Job,
}

/// The jobs that have items to run, by pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pools: BTreeMap<Pool, PoolQueue>,
}

/// The jobs of one pool.
#[derive(Clone, Debug, Default)]
struct PoolQueue {
    /// One entry for each workspace in `shares`.
    order: BTreeSet<Turn>,
    shares: BTreeMap<Workspace, Share>,
}

/// The position of a workspace in the order: the lowest round first, then the earliest deadline.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    round: u64,
    due_at: Millis,
    workspace: Workspace,
}

/// The service that a workspace has received, and its queued jobs.
#[derive(Clone, Debug)]
struct Share {
    /// Cost of the items served so far, each divided by the weight of the workspace.
    served: u64,
    /// Never empty.
    jobs: BTreeSet<Entry>,
}

impl Share {
    fn turn(&self, workspace: &Workspace) -> Turn {
        let due_at = self.jobs.first().map(|entry| entry.due_at).unwrap_or_default();
        let round = self.served / (ITEM_COST * ROUND_ITEMS);
        Turn { round, due_at, workspace: workspace.clone() }
    }
}

impl Queue {
    /// Adds a job that has items to run. Has no effect if the job is already queued.
    pub fn add(&mut self, pool: &Pool, workspace: &Workspace, entry: Entry) {
        self.pools.entry(pool.clone()).or_default().add(workspace, entry);
    }

    /// Removes a job, and its pool if no other job is queued there.
    pub fn remove(&mut self, pool: &Pool, workspace: &Workspace, entry: &Entry) {
        let Some(queue) = self.pools.get_mut(pool) else { return };
        queue.remove(workspace, entry);
        if queue.shares.is_empty() {
            self.pools.remove(pool);
        }
    }

    /// The job to serve next among those of `pools`, with its pool.
    pub fn first<'a>(&self, pools: &'a [Pool]) -> Option<(&'a Pool, Job)> {
        let queues = pools.iter().filter_map(|pool| Some((self.pools.get(pool)?, pool)));
        let heads = queues.filter_map(|(queue, pool)| Some((queue.order.first()?, queue, pool)));
        let (turn, queue, pool) = heads.min_by_key(|(turn, _, _)| *turn)?;
        let entry = queue.shares.get(&turn.workspace)?.jobs.first()?;
        Some((pool, entry.job.clone()))
    }

    /// Charges a workspace for one item.
    pub fn charge(&mut self, pool: &Pool, workspace: &Workspace, weight: u32) {
        if let Some(queue) = self.pools.get_mut(pool) {
            queue.update_share(workspace, |share| {
                share.served += ITEM_COST / u64::from(weight.max(1))
            });
        }
    }
}

impl PoolQueue {
    fn add(&mut self, workspace: &Workspace, entry: Entry) {
        if !self.shares.contains_key(workspace) {
            // Starts in the current round: a workspace gets no credit for time without jobs.
            let served = self.order.first().map_or(0, |turn| turn.round * ITEM_COST * ROUND_ITEMS);
            let share = Share { served, jobs: BTreeSet::from([entry]) };
            self.order.insert(share.turn(workspace));
            self.shares.insert(workspace.clone(), share);
            return;
        }
        self.update_share(workspace, |share| {
            share.jobs.insert(entry);
        });
    }

    fn remove(&mut self, workspace: &Workspace, entry: &Entry) {
        self.update_share(workspace, |share| {
            share.jobs.remove(entry);
        });
    }

    /// Changes the share of a workspace and updates its position in the order.
    fn update_share(&mut self, workspace: &Workspace, change: impl FnOnce(&mut Share)) {
        let Some(share) = self.shares.get_mut(workspace) else { return };
        self.order.remove(&share.turn(workspace));
        change(share);
        if share.jobs.is_empty() {
            self.shares.remove(workspace);
        } else {
            self.order.insert(share.turn(workspace));
        }
    }
}
