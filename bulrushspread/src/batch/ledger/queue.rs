//! The order in which jobs get their turns: fair across workspaces, then by deadline.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    id::{Job, Model, Workspace},
    time::Millis,
};

/// What one item costs a workspace of weight one.
const ITEM_COST: u64 = 1_000;
/// Items of a workspace of weight one between which deadlines of workspaces are not compared.
const ROUND_ITEMS: u64 = 16;

/// Upstreams among which an item may choose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pool {
    /// All deployments of the model.
    Model(Model),
    /// All replicas of the plain service.
    Service(String),
}

/// A job as the queue sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    pub due_at: Millis,
    pub job: Job,
}

/// Jobs with items to run.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pools: BTreeMap<Pool, Turns>,
}

/// The jobs of one pool.
#[derive(Clone, Debug, Default)]
struct Turns {
    /// One turn for each workspace of `shares`.
    order: BTreeSet<Turn>,
    shares: BTreeMap<Workspace, Share>,
}

/// The next turn of a workspace. The lowest round goes first, then the earliest deadline.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    round: u64,
    due_at: Millis,
    workspace: Workspace,
}

/// What a workspace has had and wants.
#[derive(Clone, Debug)]
struct Share {
    /// Grows with each item, the slower the heavier the workspace weighs.
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
    /// Adds a job that has items to run. Adding it again changes nothing.
    pub fn add(&mut self, pool: &Pool, workspace: &Workspace, entry: Entry) {
        self.pools.entry(pool.clone()).or_default().add(workspace, entry);
    }

    /// Removes a job.
    pub fn remove(&mut self, pool: &Pool, workspace: &Workspace, entry: &Entry) {
        let Some(turns) = self.pools.get_mut(pool) else { return };
        turns.remove(workspace, entry);
        if turns.shares.is_empty() {
            self.pools.remove(pool);
        }
    }

    /// The pool among `pools` and the job whose turn it is.
    pub fn first<'a>(&self, pools: &'a [Pool]) -> Option<(&'a Pool, Job)> {
        let turns = pools.iter().filter_map(|pool| Some((self.pools.get(pool)?, pool)));
        let heads = turns.filter_map(|(turns, pool)| Some((turns.order.first()?, turns, pool)));
        let (turn, turns, pool) = heads.min_by_key(|(turn, _, _)| *turn)?;
        let entry = turns.shares.get(&turn.workspace)?.jobs.first()?;
        Some((pool, entry.job.clone()))
    }

    /// Charges a workspace for one item.
    pub fn charge(&mut self, pool: &Pool, workspace: &Workspace, weight: u32) {
        if let Some(turns) = self.pools.get_mut(pool) {
            turns.change(workspace, |share| share.served += ITEM_COST / u64::from(weight.max(1)));
        }
    }
}

impl Turns {
    fn add(&mut self, workspace: &Workspace, entry: Entry) {
        if !self.shares.contains_key(workspace) {
            // A workspace that comes back has no claim on turns that it did not use.
            let served = self.order.first().map_or(0, |turn| turn.round * ITEM_COST * ROUND_ITEMS);
            let share = Share { served, jobs: BTreeSet::from([entry]) };
            self.order.insert(share.turn(workspace));
            self.shares.insert(workspace.clone(), share);
            return;
        }
        self.change(workspace, |share| {
            share.jobs.insert(entry);
        });
    }

    fn remove(&mut self, workspace: &Workspace, entry: &Entry) {
        self.change(workspace, |share| {
            share.jobs.remove(entry);
        });
    }

    /// Changes a share and keeps its turn in step.
    fn change(&mut self, workspace: &Workspace, change: impl FnOnce(&mut Share)) {
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
