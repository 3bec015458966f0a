//! The order in which the batch items of all owners run.
//!
//! Items that can still finish in time are ordered by due time, then by remaining run time. Items
//! that will be late in any case come after them, so that they don't make further items late.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

use super::ledger::ItemId;

/// Weight of the newest value in the moving averages.
const MEAN_WEIGHT: f64 = 0.1;
/// Time by which a result may be late without harm, because callers poll about twice a second.
const LATE_TOLERANCE_MS: u64 = 500;

/// Forecast of the run time of items, from moving averages over earlier runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    mean_events: f64,
    mean_event_ms: f64,
}

impl Default for Forecast {
    /// Forecasts 4.5 s for an item, as 150 events of 30 ms each, until runs have been observed.
    fn default() -> Forecast {
        Forecast { mean_events: 150.0, mean_event_ms: 30.0 }
    }
}

impl Forecast {
    /// Observes the total number of events of a completed item.
    pub fn observe_completion(&mut self, events: u64) {
        self.mean_events += MEAN_WEIGHT * (events as f64 - self.mean_events);
    }

    /// Observes the number of events that a run received in `span`.
    pub fn observe_run(&mut self, events: u64, span: Millis) {
        if events > 0 {
            self.mean_event_ms +=
                MEAN_WEIGHT * (span.0 as f64 / events as f64 - self.mean_event_ms);
        }
    }

    /// Forecasts the remaining run time of an item that has received `events`.
    pub fn remaining(&self, events: u64) -> Millis {
        Millis(((self.mean_events - events as f64).max(1.0) * self.mean_event_ms) as u64)
    }
}

/// Due time of an item, and whether it will be late. Orders items: the lesser urgency runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// Whether the item is expected to finish after its due time.
    pub late: bool,
    /// In Unix milliseconds, to be comparable between nodes.
    pub due: u64,
}

impl Urgency {
    /// `wall` and `due` are in Unix milliseconds.
    pub fn new(wall: u64, due: u64, remaining: Millis) -> Urgency {
        Urgency { late: wall + remaining.0 > due + LATE_TOLERANCE_MS, due }
    }
}

/// An item that waits to run. The lesser item runs first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingItem {
    pub urgency: Urgency,
    /// Forecast of the remaining run time.
    pub remaining: Millis,
    pub item: ItemId,
}

/// Number of waiting items of the same urgency in one partition, as part of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    pub urgency: Urgency,
    pub count: u32,
}

/// Counts waiting items, sorted by urgency, in at most `max_buckets` buckets. The last bucket also
/// counts the items of later urgencies.
pub fn bucket_by_urgency(waiting: &[WaitingItem], max_buckets: usize) -> Vec<Bucket> {
    let mut buckets: Vec<Bucket> = Vec::new();
    for entry in waiting {
        let is_full = buckets.len() >= max_buckets;
        match buckets.last_mut() {
            Some(last) if last.urgency == entry.urgency || is_full => last.count += 1,
            _ => buckets.push(Bucket { urgency: entry.urgency, count: 1 }),
        }
    }
    buckets
}
