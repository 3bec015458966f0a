//! The owner's account of one workspace.

use crate::time::Millis;

use super::{Budget, Limit};

/// Shortest time constant of the mean demand, in seconds. Longer than the bursts of a few seconds
/// that all workspaces have.
const DEMAND_TIME_S: f64 = 8.0;
/// Requests at the limit within the time constant, at least. With fewer, random arrivals would make
/// a small workspace look as if it used several times its limit.
const DEMAND_REQUESTS: f64 = 32.0;
/// The longest time that callers are told to wait.
const MAX_RETRY: Millis = Millis(5_000);

/// A token bucket.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// When its owner began to lend. An owner that has not owned the partition all the time since
    /// then starts a new bucket.
    pub(super) opened_at: Millis,
    level: f64,
    filled_at: Millis,
    /// The bucket has been full since it was opened.
    was_full: bool,
    /// Callers that were told when to come back and for whom there was no room before.
    returning: f64,
    /// Requests that nodes got, refused ones included, decayed with `demand_time_s`.
    demand: f64,
}

impl Bucket {
    /// The bucket of an owner that lends since `opened_at`. What it would have been filled with
    /// since then is added by `fill`.
    pub(super) fn new(opened_at: Millis) -> Bucket {
        Bucket {
            opened_at,
            level: 0.0,
            filled_at: opened_at,
            was_full: false,
            returning: 0.0,
            demand: 0.0,
        }
    }

    fn fill(&mut self, now: Millis, budget: &Budget) {
        let elapsed_s = (now - self.filled_at).duration().as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let refill_per_s = match self.was_full {
            true => budget.refill_per_s,
            false => budget.first_refill_per_s,
        };
        let level = self.level + refill_per_s * elapsed_s;
        self.was_full |= level >= budget.capacity;
        self.level = level.min(budget.capacity);
        self.returning = (self.returning - budget.refill_per_s * elapsed_s).max(0.0);
        self.demand *= (-elapsed_s / demand_time_s(budget.rate_per_s)).exp();
    }

    /// Lends up to `count` requests to a node that got `requests`, and returns how many. If there is room for none, returns the
    /// time until there is, after the callers that have already been told to come back.
    pub(super) fn lend(
        &mut self,
        now: Millis,
        budget: &Budget,
        count: u32,
        requests: u32,
    ) -> std::result::Result<u32, Millis> {
        self.fill(now, budget);
        self.demand += f64::from(requests);
        let lent = self.level.floor().min(f64::from(count)).max(0.0);
        if lent >= 1.0 {
            self.level -= lent;
            return Ok(lent as u32);
        }
        let refill_per_s = budget.refill_per_s.max(f64::MIN_POSITIVE);
        let wait_s = (1.0 - self.level + self.returning) / refill_per_s;
        self.returning += f64::from(count);
        let wait = Millis((wait_s * 1_000.0).ceil().min(MAX_RETRY.0 as f64) as u64);
        self.returning =
            self.returning.min(budget.refill_per_s * MAX_RETRY.duration().as_secs_f64());
        Err(wait)
    }

    /// The demand relative to the limit.
    pub(super) fn usage(&self, limit: Limit) -> f64 {
        self.demand / (demand_time_s(limit.rate_per_s) * limit.rate_per_s).max(f64::MIN_POSITIVE)
    }
}

/// Time constant of the mean demand of a workspace with this limit.
fn demand_time_s(rate_per_s: f64) -> f64 {
    DEMAND_TIME_S.max(DEMAND_REQUESTS / rate_per_s.max(f64::MIN_POSITIVE))
}
