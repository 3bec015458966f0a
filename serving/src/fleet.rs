//! The upstreams in the registry, and the decision when an upstream counts as gone.
//!
//! An entry that disappears counts as gone immediately, except shortly after an outage of the
//! registry. Entries may expire during the outage although their upstreams run, and return as soon
//! as these reach the registry again.
//!
//! All times are those of [`crate::time::Clock::boot_time`], because what is known of the past must
//! cover the time for which the machine was suspended.

mod history;
mod reads;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{DataCentre, Service, Upstream, Version},
    time::Millis,
};

pub use history::History;
pub use reads::Reads;

/// Time after an outage of the registry for which missing entries are kept. Upstreams renew their
/// registration within about two seconds.
const GRACE_PERIOD: Millis = Millis(2_500);
/// Limit of the grace period, from the sending of the last read that failed. The registry may have been
/// back since then, or only this node was without it, and is expected to know which upstreams have left
/// three seconds after.
const MAX_GRACE_AFTER_FAILURE: Millis = Millis(2_800);
/// Minimum time without an answer of the registry that counts as an outage.
const MIN_OUTAGE: Millis = Millis(1_500);

/// The software that an upstream runs. What upstreams of different software write doesn't fit
/// together.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Software {
    pub service: Service,
    pub version: Version,
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.service, self.version)
    }
}

/// One upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub service: Service,
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    pub version: Version,
    pub slots: u32,
    pub draining: bool,
    /// Start of the upstream's process in Unix milliseconds, or 0 if unknown.
    pub started: u64,
}

impl Entry {
    pub fn software(&self) -> Software {
        Software { service: self.service.clone(), version: self.version.clone() }
    }
}

/// A change of the fleet that load balancing and the connection pool must apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Added(Upstream),
    /// The upstream restarted under the same id, so its load and connections are lost.
    Restarted(Upstream),
    Draining(Upstream),
    /// Other fields of the entry changed.
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

/// The upstreams known to this node.
#[derive(Clone, Debug, Default)]
pub struct State {
    entries: BTreeMap<Upstream, Entry>,
    /// Entries that disappeared within the grace period, with the time at which they count as gone.
    missing_until: BTreeMap<Upstream, Millis>,
    /// Time at which the registry last answered.
    last_answer: Option<Millis>,
    /// When the last read was sent that failed since the last answer.
    last_failure: Option<Millis>,
    /// End of the grace period. An entry that disappears before this time is kept until then.
    grace_until: Millis,
    /// Start of the time of which all changes of the registry are known, up to the latest read.
    followed_since: Option<Millis>,
    /// When the latest read that was applied was sent.
    confirmed_at: Option<Millis>,
    /// When an upstream with this software last disappeared or changed to another version. Includes
    /// software that other upstreams still run.
    departed: BTreeMap<Software, Millis>,
}

impl State {
    pub fn entries(&self) -> &BTreeMap<Upstream, Entry> {
        &self.entries
    }

    /// Records that a read of the registry failed that was sent at `sent_at`.
    pub fn record_registry_failure(&mut self, sent_at: Millis) {
        self.last_failure = Some(sent_at);
    }

    /// Records that the registry answered a read, which starts the grace period after an outage.
    /// Must be called before the records of that read are applied.
    pub fn record_registry_read(&mut self, now: Millis) {
        if self.last_answer.is_some_and(|last| now - last >= MIN_OUTAGE) {
            let limit = self.last_failure.unwrap_or(now) + MAX_GRACE_AFTER_FAILURE;
            self.grace_until = limit.min(now + GRACE_PERIOD);
        }
        self.last_failure = None;
        self.last_answer = Some(now);
    }

    /// Records that everything was applied that a read returned which was sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Adds what the log holds of the time before the latest full read.
    pub fn add_history(&mut self, now: Millis, history: History) {
        // The time at which the software of the past departed is not known.
        self.departed.extend(history.software.into_iter().map(|software| (software, now)));
        self.followed_since = self.followed_since.map(|since| since - history.reach);
    }

    /// The version of all upstreams that `service` has had for `lifetime`. `None` if there were
    /// several or none, or if the registry has not been followed for that long. Says nothing of the
    /// time after [`State::confirmed_at`].
    pub fn only_version(
        &self,
        now: Millis,
        service: &Service,
        lifetime: Millis,
    ) -> Option<Version> {
        if self.followed_since.is_none_or(|since| now - since < lifetime) {
            return None;
        }
        let present = self.entries.values().map(Entry::software);
        let recent = self.departed.iter().filter(|(_, at)| now - **at < lifetime);
        let versions: BTreeSet<Version> = present
            .chain(recent.map(|(software, _)| software.clone()))
            .filter(|software| software.service == *service)
            .map(|software| software.version)
            .collect();
        let mut versions = versions.into_iter();
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Adds or updates the entry of an upstream.
    pub fn upsert(&mut self, now: Millis, upstream: Upstream, entry: Entry) -> Option<Change> {
        self.missing_until.remove(&upstream);
        let previous = self.entries.insert(upstream.clone(), entry.clone());
        if let Some(previous) = &previous {
            self.departed.insert(previous.software(), now);
        }
        match previous {
            None => Some(Change::Added(upstream)),
            Some(previous)
                if previous.started != entry.started || previous.address != entry.address =>
            {
                Some(Change::Restarted(upstream))
            }
            Some(previous) if entry.draining && !previous.draining => {
                Some(Change::Draining(upstream))
            }
            Some(previous) if entry != previous => Some(Change::Updated(upstream)),
            Some(_) => None,
        }
    }

    /// Removes the entry of an upstream, or keeps it until the end of the grace period. A draining
    /// upstream has no grace period, because it is expected to disappear.
    pub fn remove(&mut self, now: Millis, upstream: &Upstream) -> Option<Change> {
        if now < self.grace_until && self.entries.get(upstream).is_some_and(|entry| !entry.draining)
        {
            self.missing_until.entry(upstream.clone()).or_insert(self.grace_until);
            return None;
        }
        self.missing_until.remove(upstream);
        let removed = self.entries.remove(upstream)?;
        self.departed.insert(removed.software(), now);
        Some(Change::Gone(upstream.clone()))
    }

    /// Replaces all entries by those of a full read of the registry. Entries that aren't in `seen`
    /// count as removed.
    pub fn replace(&mut self, now: Millis, seen: BTreeMap<Upstream, Entry>) -> Vec<Change> {
        self.followed_since = Some(now);
        let removed: Vec<Upstream> =
            self.entries.keys().filter(|id| !seen.contains_key(*id)).cloned().collect();
        let mut changes: Vec<Change> =
            removed.iter().filter_map(|upstream| self.remove(now, upstream)).collect();
        let upsert = |(upstream, entry)| self.upsert(now, upstream, entry);
        changes.extend(seen.into_iter().filter_map(upsert));
        changes
    }

    /// When the next missing entry counts as gone.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.missing_until.values().min().copied()
    }

    /// Removes the missing entries whose grace period is over.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        let due: Vec<Upstream> = self
            .missing_until
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        let mut gone = Vec::new();
        for upstream in due {
            self.missing_until.remove(&upstream);
            if let Some(removed) = self.entries.remove(&upstream) {
                self.departed.insert(removed.software(), now);
                gone.push(Change::Gone(upstream));
            }
        }
        gone
    }
}
