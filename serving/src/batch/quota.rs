//! Waiting tokens by route and waiting items by urgency, over all partitions.
//!
//! Each owner reports the tokens of its partition, and nodes exchange the reports. The quota of a
//! route is coordinated by one owner, that of the partition for the route's id. It grants
//! reservations to new jobs. A grant counts against the quota for as long as reports may lack
//! the granted job. A new coordinator grants nothing while reports may lack what an earlier one has
//! granted. While the coordinator can't decide, each owner accepts jobs by itself up to a small
//! share, so that all together stay within the part by which the quota may be exceeded.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Job, Route, Service},
    time::Millis,
};

use super::{
    directory::partition_of,
    order::{self, Urgency},
};

/// Time after a grant from which on reports include the granted job: two heartbeat intervals between
/// nodes, plus one for a lost heartbeat.
const GRANT_HOLD: Millis = Millis(800);

/// Tokens that a partition may hold without a reservation while the coordinator can't decide: its even
/// share of the part `over` of a quota by which all partitions together may exceed it.
pub fn share(limit: u64, over: f64, partitions: u16) -> u64 {
    (limit as f64 * over / f64::from(partitions.max(1))) as u64
}

/// Waiting tokens and items of one partition, as its owner reports them to all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Tokens of items without a result, by route.
    pub waiting: BTreeMap<Route, u64>,
    /// Items of all services that wait to run, the most urgent ones first. For nodes of a release
    /// that doesn't know `ready_by_service`.
    pub ready: Vec<order::Bucket>,
    /// Items that wait to run, by the service that runs them, the most urgent ones first. Gossip
    /// messages carry it behind their other fields, where older nodes ignore it.
    #[serde(skip)]
    pub ready_by_service: BTreeMap<Service, Vec<order::Bucket>>,
}

/// Decision on a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    Granted,
    /// The reservation would exceed the quota.
    OverQuota,
    /// Not decidable: some partition has not reported yet, or an earlier coordinator may have granted
    /// what no report includes yet.
    Unknown,
}

/// A granted reservation.
#[derive(Clone, Debug)]
struct Grant {
    job: Job,
    route: Route,
    tokens: u64,
    /// A report of the job's partition that arrives from then on includes the job.
    until: Millis,
}

/// The reports of all partitions, and recent grants.
#[derive(Clone, Debug)]
pub struct State {
    partitions: u16,
    reports: BTreeMap<u16, Report>,
    /// When the report of each partition arrived.
    reported_at: BTreeMap<u16, Millis>,
    grants: Vec<Grant>,
}

impl State {
    pub fn new(partitions: u16) -> State {
        State {
            partitions,
            reports: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            grants: Vec::new(),
        }
    }

    /// Stores the report of a partition unless it is from an earlier owner than the stored one.
    pub fn apply_report(&mut self, now: Millis, partition: u16, report: Report) {
        let stored = self.reports.get(&partition).map_or(0, |stored| stored.epoch);
        if report.epoch >= stored {
            self.reports.insert(partition, report);
            self.reported_at.insert(partition, now);
        }
    }

    /// Records that the stored report of a partition is up to date at `now`. Its owner at this node
    /// reports every change at once, and nothing while there is none.
    pub fn confirm_report(&mut self, now: Millis, partition: u16) {
        if let Some(reported_at) = self.reported_at.get_mut(&partition) {
            *reported_at = now;
        }
    }

    /// The partitions that have not reported yet.
    pub fn unreported(&self) -> Vec<u16> {
        (0..self.partitions).filter(|number| !self.reports.contains_key(number)).collect()
    }

    /// The stored report of a partition.
    pub fn last_report(&self, partition: u16) -> Option<&Report> {
        self.reports.get(&partition)
    }

    /// Counts the items of other partitions that run at `service` before items of `partition` with
    /// this urgency. Items of other services don't compete for its slots.
    pub fn count_ahead(&self, partition: u16, service: &Service, urgency: Urgency) -> u32 {
        let mut ahead = 0;
        for (number, report) in self.reports.iter().filter(|(number, _)| **number != partition) {
            let before = |bucket: &&order::Bucket| (bucket.urgency, *number) < (urgency, partition);
            let ready = match report.ready_by_service.is_empty() {
                true => &report.ready[..],
                false => report.ready_by_service.get(service).map_or(&[][..], Vec::as_slice),
            };
            let counts = ready.iter().filter(before).map(|bucket| bucket.count);
            ahead = counts.fold(ahead, u32::saturating_add);
        }
        ahead
    }

    /// Decides on the reservation of a job's tokens: reported and granted tokens of the route must
    /// not exceed `limit`. A repeated request for the same job replaces its earlier grant. `since` is
    /// when the owner that decides claimed the partition for the quota.
    pub fn reserve(
        &mut self,
        now: Millis,
        since: Millis,
        job: &Job,
        route: &Route,
        tokens: u64,
        limit: u64,
    ) -> Decision {
        if self.reports.len() < usize::from(self.partitions) || now < since + GRANT_HOLD {
            return Decision::Unknown;
        }
        // The time alone doesn't count: this node may have stood still, or missed reports.
        let (reported_at, partitions) = (&self.reported_at, self.partitions);
        let is_included = |grant: &Grant| {
            let reported_at = reported_at.get(&partition_of(&grant.job, partitions));
            reported_at.is_some_and(|at| *at >= grant.until)
        };
        self.grants.retain(|grant| !is_included(grant) && grant.job != *job);
        let reported =
            self.reports.values().filter_map(|report| report.waiting.get(route).copied());
        let granted = self.grants.iter().filter(|grant| grant.route == *route);
        let granted = granted.map(|grant| grant.tokens);
        if reported.chain(granted).fold(tokens, u64::saturating_add) > limit {
            return Decision::OverQuota;
        }
        let until = now + GRANT_HOLD;
        self.grants.push(Grant { job: job.clone(), route: route.clone(), tokens, until });
        Decision::Granted
    }
}
