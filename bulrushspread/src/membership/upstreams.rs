//! Upstreams of the VM list, and marks on those that the list, an engine or a peer reports as
//! leaving.

use std::collections::BTreeMap;

use crate::{
    id::Upstream,
    time::Millis,
    vms::{Listed, Phase, Role},
};

use super::{
    message::{Mark, Update},
    view::Replica,
};

/// Time after which a leaving mark expires unless it is renewed.
const MARK_TTL: Millis = Millis(60_000);
/// Age from which a leaving mark can be renewed, which disseminates it again.
const MARK_RENEWAL_AGE: Millis = Millis(20_000);
/// Time for which an upstream is kept after it disappeared from the VM list.
const UNLISTED_RETENTION: Millis = Millis(10_000);

/// The known upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstreams {
    listed: BTreeMap<Upstream, Sighting>,
    /// Expiry of each leaving mark.
    marks: BTreeMap<Upstream, Millis>,
}

#[derive(Clone, Debug)]
struct Sighting {
    replica: Replica,
    /// When the VM list last contained the replica.
    seen_at: Millis,
}

impl Upstreams {
    /// Applies a VM list and returns the upstreams that it shows as leaving.
    pub(super) fn update_listed(&mut self, now: Millis, listed: &[Listed]) -> Vec<Upstream> {
        let mut leaving = Vec::new();
        for entry in listed {
            let Role::Upstream { serves } = &entry.role else { continue };
            let upstream = Upstream(entry.vm.0.clone());
            let replica = Replica {
                serves: serves.clone(),
                address: entry.address,
                data_centre: entry.data_centre.clone(),
                leaving: entry.phase == Phase::Leaving,
            };
            if replica.leaving {
                leaving.push(upstream.clone());
            }
            self.listed.insert(upstream, Sighting { replica, seen_at: now });
        }
        self.listed.retain(|_, sighting| now - sighting.seen_at < UNLISTED_RETENTION);
        leaving
    }

    /// Marks the upstream as leaving for `ttl`. Returns the expiry of the mark if it is to be
    /// disseminated.
    pub(super) fn mark(&mut self, now: Millis, upstream: &Upstream, ttl: Millis) -> Option<Millis> {
        let expiry = now + ttl.min(MARK_TTL);
        let current = self.marks.get(upstream).copied().unwrap_or_default();
        if expiry <= current.max(now) || (current > now && expiry <= current + MARK_RENEWAL_AGE) {
            return None;
        }
        self.marks.insert(upstream.clone(), expiry);
        Some(expiry)
    }

    /// Marks an upstream that this node observed to be leaving.
    pub(super) fn mark_observed(&mut self, now: Millis, upstream: &Upstream) -> Option<Millis> {
        self.mark(now, upstream, MARK_TTL)
    }

    /// Removes expired marks and returns whether there were any.
    pub(super) fn expire(&mut self, now: Millis) -> bool {
        let before = self.marks.len();
        self.marks.retain(|_, expiry| now < *expiry);
        self.marks.len() < before
    }

    pub(super) fn updates(&self, now: Millis) -> impl Iterator<Item = Update> {
        let active = self.marks.iter().filter(move |(_, expiry)| now < **expiry);
        active.map(move |(upstream, expiry)| {
            Update::Upstream(Mark { upstream: upstream.clone(), remaining: *expiry - now })
        })
    }

    pub(super) fn view(&self) -> BTreeMap<Upstream, Replica> {
        let replica = |(upstream, sighting): (&Upstream, &Sighting)| {
            let leaving = sighting.replica.leaving || self.marks.contains_key(upstream);
            (upstream.clone(), Replica { leaving, ..sighting.replica.clone() })
        };
        self.listed.iter().map(replica).collect()
    }
}
