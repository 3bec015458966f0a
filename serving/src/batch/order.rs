//! The order in which batch items run, over all owners.
//!
//! Items that can still be in time go by their due time, those of them that are nearest to their
//! end first. Items that will be late whatever happens come after them: they must not make
//! others late as well.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

use super::ledger::ItemId;

/// Weight of the newest item in the means.
const WEIGHT: f64 = 0.1;
/// Milliseconds by which a result may be late without harm; callers read about twice a second.
const SLACK: u64 = 500;

/// How long an item takes, learned from those that are done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    events: f64,
    event_ms: f64,
}

impl Default for Forecast {
    /// A few seconds, until items have been seen.
    fn default() -> Forecast {
        Forecast { events: 150.0, event_ms: 30.0 }
    }
}

impl Forecast {
    /// An item is done after so many events.
    pub fn completed(&mut self, events: u64) {
        self.events += WEIGHT * (events as f64 - self.events);
    }

    /// A run made so many events in this time.
    pub fn ran(&mut self, events: u64, span: Millis) {
        if events > 0 {
            self.event_ms += WEIGHT * (span.0 as f64 / events as f64 - self.event_ms);
        }
    }

    /// The time that an item with `events` behind it still needs.
    pub fn left(&self, events: u64) -> Millis {
        Millis(((self.events - events as f64).max(1.0) * self.event_ms) as u64)
    }
}

/// When an item is due, and whether it can be in time. The lesser one runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    pub late: bool,
    /// Unix milliseconds, so that all owners mean the same.
    pub due: u64,
}

impl Urgency {
    pub fn new(wall: u64, due: u64, left: Millis) -> Urgency {
        Urgency { late: wall + left.0 > due + SLACK, due }
    }
}

/// An item that waits to run. The lesser one runs first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Waiting {
    pub urgency: Urgency,
    pub left: Millis,
    pub item: ItemId,
}

/// Waiting items of the same urgency in one partition, as owners tell one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    pub urgency: Urgency,
    pub count: u32,
}

/// Sums up waiting items that are in order; the last of at most `most` groups holds the rest.
pub fn groups(waiting: &[Waiting], most: usize) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for entry in waiting {
        let is_full = groups.len() >= most;
        match groups.last_mut() {
            Some(last) if last.urgency == entry.urgency || is_full => last.count += 1,
            _ => groups.push(Group { urgency: entry.urgency, count: 1 }),
        }
    }
    groups
}
