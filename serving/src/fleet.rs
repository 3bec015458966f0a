//! The upstreams that registered themselves, and when one of them counts as gone.
//!
//! An entry that disappears counts as gone at once, except shortly after the registry itself was
//! away: entries that lapsed meanwhile come back when their upstreams reach the registry again.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    id::{DataCentre, Service, Upstream},
    time::Millis,
};

/// How long lapsed entries are kept after the registry's return; registrations are renewed
/// within about two seconds of it.
const RETURN_GRACE: Millis = Millis(2_500);
/// An outage of the registry after which missing entries are given that grace.
const OUTAGE_MIN: Millis = Millis(1_500);

/// One upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub service: Service,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub slots: u32,
    pub draining: bool,
    /// Start of the upstream's process in Unix milliseconds; 0 when it isn't told.
    pub started: u64,
}

/// A change that the other slices act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Added(Upstream),
    /// The upstream started anew under its id and holds nothing of before.
    Restarted(Upstream),
    Draining(Upstream),
    /// Something else in its entry changed.
    Updated(Upstream),
    Gone(Upstream),
}

impl Change {
    pub fn upstream(&self) -> &Upstream {
        match self {
            Change::Added(upstream)
            | Change::Restarted(upstream)
            | Change::Draining(upstream)
            | Change::Updated(upstream)
            | Change::Gone(upstream) => upstream,
        }
    }
}

/// The upstreams that a node knows.
#[derive(Clone, Debug, Default)]
pub struct State {
    entries: BTreeMap<Upstream, Entry>,
    /// Entries that disappeared within the grace, with the time at which they count as gone.
    lapsed: BTreeMap<Upstream, Millis>,
    /// When the registry last answered, and until when disappearing entries get the grace.
    answered: Option<Millis>,
    grace_until: Millis,
}

impl State {
    pub fn entries(&self) -> &BTreeMap<Upstream, Entry> {
        &self.entries
    }

    /// The registry has answered a read. To be called before the records of that read are applied.
    pub fn registry_answered(&mut self, now: Millis) {
        if self.answered.is_some_and(|last| now - last >= OUTAGE_MIN) {
            self.grace_until = now + RETURN_GRACE;
        }
        self.answered = Some(now);
    }

    /// An upstream's entry was written.
    pub fn put(&mut self, upstream: Upstream, entry: Entry) -> Option<Change> {
        self.lapsed.remove(&upstream);
        let before = self.entries.insert(upstream.clone(), entry.clone());
        match before {
            None => Some(Change::Added(upstream)),
            Some(before) if before.started != entry.started || before.address != entry.address => {
                Some(Change::Restarted(upstream))
            }
            Some(before) if entry.draining && !before.draining => Some(Change::Draining(upstream)),
            Some(before) if entry != before => Some(Change::Updated(upstream)),
            Some(_) => None,
        }
    }

    /// An upstream's entry was removed.
    pub fn remove(&mut self, now: Millis, upstream: &Upstream) -> Option<Change> {
        if now < self.grace_until && self.entries.get(upstream).is_some_and(|held| !held.draining) {
            self.lapsed.entry(upstream.clone()).or_insert(self.grace_until);
            return None;
        }
        self.lapsed.remove(upstream);
        self.entries.remove(upstream).map(|_| Change::Gone(upstream.clone()))
    }

    /// The registry was read as a whole: everything that isn't in `seen` has been removed.
    pub fn replace(&mut self, now: Millis, seen: BTreeMap<Upstream, Entry>) -> Vec<Change> {
        let missing: Vec<Upstream> =
            self.entries.keys().filter(|held| !seen.contains_key(*held)).cloned().collect();
        let mut changes: Vec<Change> =
            missing.iter().filter_map(|upstream| self.remove(now, upstream)).collect();
        changes.extend(seen.into_iter().filter_map(|(upstream, entry)| self.put(upstream, entry)));
        changes
    }

    /// Drops the lapsed entries whose grace has ended.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        let due: Vec<Upstream> =
            self.lapsed.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        let mut gone = Vec::new();
        for upstream in due {
            self.lapsed.remove(&upstream);
            if self.entries.remove(&upstream).is_some() {
                gone.push(Change::Gone(upstream));
            }
        }
        gone
    }
}
