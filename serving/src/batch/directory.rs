//! Who owns which partition: this node or another one.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::task::AbortHandle;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    owner::{Handle, Verification},
    quota::{self, Report},
};

/// Where the owner of a partition is.
#[derive(Clone, Debug)]
pub enum Place {
    Here(Handle),
    Peer(SocketAddr),
    Unknown,
}

/// The owner of a partition at this node.
pub(super) struct Owned {
    pub(super) handle: Handle,
    pub(super) epoch: u64,
    pub(super) task: AbortHandle,
    pub(super) verification: Verification,
}

#[derive(Default)]
pub(super) struct Table {
    pub(super) owned: BTreeMap<u16, Owned>,
    /// Owners at other nodes with their epochs.
    others: BTreeMap<u16, (u64, SocketAddr)>,
    pub(super) generation: u64,
    pub(super) starts: u64,
    pub(super) left: bool,
}

/// What a node knows of the owners of all partitions.
pub(super) struct Directory {
    partitions: u16,
    table: Mutex<Table>,
    quota: Mutex<quota::State>,
}

impl Directory {
    pub(super) fn new(partitions: u16) -> Directory {
        let quota = Mutex::new(quota::State::new(partitions));
        Directory { partitions, table: Mutex::default(), quota }
    }

    /// Where the owner of the partition for `key` is.
    pub(super) fn place(&self, key: &str) -> Place {
        let number = partition(key, self.partitions);
        let table = self.lock();
        if let Some(owned) = table.owned.get(&number) {
            return Place::Here(owned.handle.clone());
        }
        table.others.get(&number).map_or(Place::Unknown, |(_, address)| Place::Peer(*address))
    }

    /// The partitions of this node with the tokens that wait there.
    pub(super) fn reports(&self) -> Vec<(u16, Report)> {
        let owned: Vec<(u16, u64)> =
            self.lock().owned.iter().map(|(number, owned)| (*number, owned.epoch)).collect();
        let quota = self.quota();
        // An owner that has not read its partition yet has nothing to report.
        let report = |(number, epoch): (u16, u64)| {
            let report = quota.reported(number).filter(|report| report.epoch == epoch)?;
            Some((number, report.clone()))
        };
        owned.into_iter().filter_map(report).collect()
    }

    /// Another node has told which partitions it owns.
    pub(super) fn update_owners(&self, address: SocketAddr, reports: Vec<(u16, Report)>) {
        let mut table = self.lock();
        let claimed = |number: &u16| reports.iter().any(|(claimed, _)| claimed == number);
        table.others.retain(|number, (_, known)| *known != address || claimed(number));
        for (number, report) in &reports {
            let known = table.others.get(number).map_or(0, |(epoch, _)| *epoch);
            if report.epoch >= known {
                table.others.insert(*number, (report.epoch, address));
            }
        }
        drop(table);
        let mut quota = self.quota();
        for (number, report) in reports {
            quota.report(number, report);
        }
    }

    /// The log names a member as the owner; its epoch is learned from the owner itself.
    pub(super) fn discover_owner(&self, number: u16, address: SocketAddr) {
        self.lock().others.entry(number).or_insert((0, address));
    }

    pub(super) fn quota(&self) -> MutexGuard<'_, quota::State> {
        self.quota.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The partition of a job or of a route's quota.
pub fn partition(key: &str, partitions: u16) -> u16 {
    (xxh3_64(key.as_bytes()) % u64::from(partitions.max(1))) as u16
}
