//! What waits over all partitions: tokens by route, and items by urgency.
//!
//! Each owner reports the tokens of its partition; nodes pass the reports on. One node, the
//! owner of the route's own partition, grants room to new jobs. What it has granted counts until
//! the reports must have caught up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Job, Route},
    time::Millis,
};

use super::order::{self, Urgency};

/// How long a grant counts besides the reports: two heartbeats between nodes and a lost one.
const GRANT_HOLD: Millis = Millis(800);

/// Tokens that wait in one partition, by route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub epoch: u64,
    pub waiting: BTreeMap<Route, u64>,
    /// Items that wait to run, the most urgent first.
    pub ready: Vec<order::Group>,
}

/// Whether a job fits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Granted,
    OverQuota,
    /// Some partition has not reported yet.
    Unknown,
}

#[derive(Clone, Debug)]
struct Grant {
    job: Job,
    route: Route,
    tokens: u64,
    until: Millis,
}

/// What a node knows of all partitions.
#[derive(Clone, Debug)]
pub struct State {
    partitions: u16,
    reports: BTreeMap<u16, Report>,
    grants: Vec<Grant>,
}

impl State {
    pub fn new(partitions: u16) -> State {
        State { partitions, reports: BTreeMap::new(), grants: Vec::new() }
    }

    /// Takes a report in unless it is of an earlier owner.
    pub fn report(&mut self, partition: u16, report: Report) {
        let known = self.reports.get(&partition).map_or(0, |known| known.epoch);
        if report.epoch >= known {
            self.reports.insert(partition, report);
        }
    }

    pub fn reported(&self, partition: u16) -> Option<&Report> {
        self.reports.get(&partition)
    }

    /// Items of other partitions that run before those of `partition` with this urgency.
    pub fn ahead(&self, partition: u16, urgency: Urgency) -> u32 {
        let mut ahead = 0;
        for (number, report) in self.reports.iter().filter(|(number, _)| **number != partition) {
            let before = |group: &&order::Group| (group.urgency, *number) < (urgency, partition);
            ahead += report.ready.iter().filter(before).map(|group| group.count).sum::<u32>();
        }
        ahead
    }

    /// Grants room for a job's tokens under `limit`.
    pub fn reserve(
        &mut self,
        now: Millis,
        job: &Job,
        route: &Route,
        tokens: u64,
        limit: u64,
    ) -> Verdict {
        if self.reports.len() < usize::from(self.partitions) {
            return Verdict::Unknown;
        }
        self.grants.retain(|grant| grant.until > now && grant.job != *job);
        let reported: u64 =
            self.reports.values().filter_map(|report| report.waiting.get(route)).sum();
        let granted: u64 =
            self.grants.iter().filter(|grant| grant.route == *route).map(|g| g.tokens).sum();
        if reported + granted + tokens > limit {
            return Verdict::OverQuota;
        }
        let until = now + GRANT_HOLD;
        self.grants.push(Grant { job: job.clone(), route: route.clone(), tokens, until });
        Verdict::Granted
    }
}
