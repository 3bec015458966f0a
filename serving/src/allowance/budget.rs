//! How many requests the owner of a workspace may lend, and how many the reserve holds.

use crate::{access::Member, time::Millis};

use super::Settings;

/// Time after an ask was sent for which the requests that it obtained may be admitted.
///
/// Requests lent before a window may run within it, so everything lent in a window and this time
/// before it must fit in the bound. With 1 s, the owner of a workspace without slack would have to
/// lend less than 0.9 of the rate. Nodes ask for what they need in 250 ms.
pub(super) const GRANT_LIFETIME: Millis = Millis(500);
/// Part of the tolerance that the reserve holds at most.
const RESERVE_SHARE: f64 = 0.35;
/// Parts of the tolerance by which the capacity of the owner's bucket exceeds the burst at least,
/// and at most if the bucket is still refilled at the rate. Random arrivals of a workspace of 0.3
/// requests/s used up a bucket with a quarter of a tolerance of 20 in 0.7% of the cases.
const CAPACITY_SHARES: [f64; 2] = [0.25, 0.5];
/// Keeps a sum of fractions from reaching the next whole request.
const ROUNDING: f64 = 1e-3;

/// The largest rate and burst, far above what any deployment serves.
const MAX_REQUESTS: f64 = 1e9;

/// The configured limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second. Finite and not negative.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may be sent at once. Finite and not negative.
    pub burst: f64,
}

impl From<&Member> for Limit {
    fn from(member: &Member) -> Limit {
        Limit::new(member.rate_per_s, member.burst)
    }
}

impl Limit {
    /// Configurations and peers may name any number. One that isn't a number counts as 0.
    pub fn new(rate_per_s: f64, burst: f64) -> Limit {
        let valid = |value: f64| match value.is_nan() {
            true => 0.0,
            false => value.clamp(0.0, MAX_REQUESTS),
        };
        Limit { rate_per_s: valid(rate_per_s), burst: valid(burst) }
    }

    /// The largest number of requests that may run in a window of the settings.
    pub fn bound(&self, settings: &Settings) -> f64 {
        let nominal = self.rate_per_s * settings.window_s + self.burst;
        nominal * (1.0 + settings.over) + settings.slack
    }
}

/// The parts of what a limit allows in a window.
///
/// Invariant: `capacity + refill_per_s x (window + GRANT_LIFETIME) + reserve` is below the next
/// whole number above the bound. All owners in that time together lend at most the first two terms,
/// because at most one of them may lend at a time and each starts with an empty bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The configured rate.
    pub rate_per_s: f64,
    /// Requests that the owner's bucket holds at most.
    pub capacity: f64,
    /// Requests a second that are added to the bucket while it has not been full since its owner
    /// began to lend. May exceed the rate, which keeps the time short in which a new owner has to
    /// refuse requests below the limit.
    pub first_refill_per_s: f64,
    /// Requests a second that are added to the bucket after that.
    pub refill_per_s: f64,
    /// Requests that all nodes together may admit in a window without the owner. An even number.
    pub reserve: f64,
}

impl Budget {
    pub fn new(limit: Limit, settings: &Settings) -> Budget {
        let nominal = limit.rate_per_s * settings.window_s + limit.burst;
        let tolerance = nominal * settings.over + settings.slack;
        let horizon_s = settings.window_s + GRANT_LIFETIME.duration().as_secs_f64();
        // The deputy lends half of the reserve in each of two periods, in whole requests.
        let reserve = (tolerance * RESERVE_SHARE / 2.0).floor() * 2.0;
        // Whole requests are lent, so that all fractions below the next whole number are usable. A
        // limit of less than one request in a window admits one nevertheless.
        let lendable = (nominal + tolerance - reserve).floor().max(1.0) + 1.0 - ROUNDING;
        let [least, most] = CAPACITY_SHARES.map(|share| limit.burst + tolerance * share);
        // A bucket that can't hold a whole request never lends one.
        let capacity = (lendable - limit.rate_per_s * horizon_s).clamp(least, most).max(1.0);
        let first_refill_per_s = ((lendable - capacity) / horizon_s).max(0.0);
        let refill_per_s = first_refill_per_s.min(limit.rate_per_s);
        Budget { rate_per_s: limit.rate_per_s, capacity, first_refill_per_s, refill_per_s, reserve }
    }
}
