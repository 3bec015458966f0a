//! Directory of the owners of all partitions, at this node and at others.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::task::AbortHandle;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    allowance::{Lease, Lender},
    id::{Job, Workspace},
    tenure::Tenure,
    time::Millis,
};

use super::{
    owner::Handle,
    quota::{self, Report},
};

/// Location of the owner of a partition.
#[derive(Clone, Debug)]
pub enum Location {
    /// At this node.
    Here(Handle),
    /// At the node with this address.
    Peer(SocketAddr),
    /// No owner is known yet.
    Unknown,
}

/// The owner of a partition at this node.
pub(super) struct LocalOwner {
    pub(super) handle: Handle,
    pub(super) task: AbortHandle,
    pub(super) tenure: Tenure,
    pub(super) lease: Lease,
}

/// The local and remote owners, and the state of this node in the group.
#[derive(Default)]
pub(super) struct OwnerTable {
    pub(super) owned: BTreeMap<u16, LocalOwner>,
    /// Owners at other nodes with their epochs; epoch 0 if only the group has named the owner.
    remote_owners: BTreeMap<u16, (u64, SocketAddr)>,
    /// Generation of the newest assignment.
    pub(super) generation: u64,
    /// Number of owners started at this node, modulo the epochs per generation.
    pub(super) owner_starts: u64,
    /// This node has left the group for good.
    pub(super) has_left: bool,
}

/// The owners of all partitions and the quotas over all partitions.
pub(super) struct Directory {
    partitions: u16,
    table: Mutex<OwnerTable>,
    quota: Mutex<quota::State>,
}

impl Directory {
    pub(super) fn new(partitions: u16) -> Directory {
        let quota = Mutex::new(quota::State::new(partitions));
        Directory { partitions, table: Mutex::default(), quota }
    }

    /// Returns where the owner of the job's partition is.
    pub(super) fn locate_job(&self, job: &Job) -> Location {
        self.locate(job.partition_key())
    }

    /// Returns where the owner of the partition for `key` is.
    pub(super) fn locate(&self, key: &str) -> Location {
        let number = partition_for(key, self.partitions);
        let table = self.lock();
        if let Some(owned) = table.owned.get(&number) {
            return Location::Here(owned.handle.clone());
        }
        table
            .remote_owners
            .get(&number)
            .map_or(Location::Unknown, |(_, address)| Location::Peer(*address))
    }

    /// Returns which node lends the allowance of a workspace at the time `now` of
    /// `CLOCK_BOOTTIME`: the owner of the partition for its name.
    pub(super) fn lender(&self, workspace: &Workspace, now: Millis) -> Lender {
        let number = partition_for(&workspace.0, self.partitions);
        let table = self.lock();
        match (table.owned.get(&number), table.remote_owners.get(&number)) {
            (Some(owned), _) => {
                let since = owned.lease.held_since(now);
                since.map_or(Lender::Unknown, |since| Lender::Here { since })
            }
            (None, Some((_, address))) => Lender::Peer(*address),
            (None, None) => Lender::Unknown,
        }
    }

    /// Returns the partitions that this node owns, each with its report.
    pub(super) fn reports(&self) -> Vec<(u16, Report)> {
        let epoch = |owned: &LocalOwner| owned.tenure.ownership.epoch;
        let owned: Vec<(u16, u64)> =
            self.lock().owned.iter().map(|(number, owned)| (*number, epoch(owned))).collect();
        let quota = self.quota();
        // The report of an earlier epoch is left out: the current owner hasn't restored its
        // partition yet.
        let report = |(number, epoch): (u16, u64)| {
            let report = quota.last_report(number).filter(|report| report.epoch == epoch)?;
            Some((number, report.clone()))
        };
        owned.into_iter().filter_map(report).collect()
    }

    /// Applies the reports of the partitions that the node at `address` owns. Partitions that it
    /// no longer reports lose that owner; a report from an earlier epoch is ignored. One from a later
    /// epoch than that of this node's own owner ends the tenure of that owner.
    pub(super) fn apply_peer_reports(
        &self,
        now: Millis,
        address: SocketAddr,
        reports: Vec<(u16, Report)>,
    ) {
        let mut table = self.lock();
        let is_reported = |number: &u16| reports.iter().any(|(reported, _)| reported == number);
        table.remote_owners.retain(|number, (_, stored)| *stored != address || is_reported(number));
        for (number, report) in &reports {
            let stored = table.remote_owners.get(number).map_or(0, |(epoch, _)| *epoch);
            if report.epoch >= stored {
                table.remote_owners.insert(*number, (report.epoch, address));
            }
            let replaced =
                table.owned.get(number).filter(|owned| owned.tenure.ownership.epoch < report.epoch);
            if replaced.is_some_and(|owned| owned.tenure.end()) {
                log::warn!(partition = number, epoch = report.epoch, owner:% = address; "another node reports to own a partition of this node by now");
            }
        }
        drop(table);
        let mut quota = self.quota();
        for (number, report) in reports {
            quota.apply_report(now, number, report);
        }
    }

    /// Adds an owner named by the group, unless one is known. Its epoch is 0 until the node of the
    /// owner reports it.
    pub(super) fn add_owner(&self, number: u16, address: SocketAddr) {
        self.lock().remote_owners.entry(number).or_insert((0, address));
    }

    /// Records that the reports of this node's owners are up to date at `now`. A partition that is still
    /// being restored has the report of an earlier owner.
    pub(super) fn confirm_own_reports(&self, now: Millis) {
        let epoch = |owned: &LocalOwner| owned.tenure.ownership.epoch;
        let owned: Vec<(u16, u64)> =
            self.lock().owned.iter().map(|(number, owned)| (*number, epoch(owned))).collect();
        let mut quota = self.quota();
        for (number, epoch) in owned {
            if quota.last_report(number).is_some_and(|report| report.epoch == epoch) {
                quota.confirm_report(now, number);
            }
        }
    }

    pub(super) fn quota(&self) -> MutexGuard<'_, quota::State> {
        self.quota.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, OwnerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the partition of a job.
pub(super) fn partition_of(job: &Job, partitions: u16) -> u16 {
    partition_for(job.partition_key(), partitions)
}

/// Returns the partition of the id of a job without a workspace, or of the id of a route for its
/// quota.
pub fn partition_for(key: &str, partitions: u16) -> u16 {
    (xxh3_64(key.as_bytes()) % u64::from(partitions.max(1))) as u16
}
