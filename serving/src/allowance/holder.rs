//! What one node knows of one workspace: its grants and demand, the latest refusal, and the reserve
//! if it is the deputy.

use std::collections::VecDeque;

use rand::{RngExt, rngs::SmallRng};

use crate::time::Millis;

use super::{AskId, Limit};

/// Time for whose expected demand a node asks.
const LOOKAHEAD_S: f64 = 0.25;
/// Time constant of the mean demand, in seconds.
const DEMAND_TIME_S: f64 = 1.0;
/// Time for which a refusal of the owner is passed on without asking again. Shorter than most
/// refusals last, because other callers may not come back.
const MAX_REFUSAL: Millis = Millis(200);
/// The longest time that callers are told to wait.
const MAX_RETRY: Millis = Millis(5_000);
/// Time without a decision of a kind after which a change is logged.
const EPISODE_END: Millis = Millis(2_000);

/// Requests that may be admitted until the time given.
#[derive(Clone, Debug)]
struct Grant {
    count: u32,
    expires_at: Millis,
}

/// The latest refusal of the owner.
#[derive(Clone, Debug)]
struct Refusal {
    /// Until then callers are refused without an ask.
    until: Millis,
    /// When the owner has room.
    room_at: Millis,
    /// Callers refused since.
    callers: u32,
}

/// What this node as the deputy holds of the reserve in one period.
#[derive(Clone, Debug)]
struct Reserve {
    started_at: Millis,
    left: u32,
}

/// A series of decisions of one kind, of which the begin and the end are logged.
#[derive(Clone, Debug, Default)]
struct Episode {
    last: Option<Millis>,
    count: u64,
}

impl Episode {
    /// Counts a decision. Returns whether it begins the series.
    fn record(&mut self, now: Millis) -> bool {
        self.count += 1;
        self.last.replace(now).is_none()
    }

    /// Ends the series if its last decision is long ago. Returns its number of decisions.
    fn end(&mut self, now: Millis) -> Option<u64> {
        self.last.filter(|last| now - *last >= EPISODE_END)?;
        Some(std::mem::take(self).count)
    }
}

/// One workspace at one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Holder {
    /// In the order in which they were obtained.
    grants: VecDeque<Grant>,
    /// Requests a second, refused ones included.
    demand_per_s: f64,
    observed_at: Millis,
    /// Requests that the owner has not been told of.
    unreported: u32,
    refusal: Option<Refusal>,
    reserve: Option<Reserve>,
    /// The ask that further requests may wait for.
    pub(super) open_ask: Option<AskId>,
    /// Until then the node that was taken for the owner isn't asked again.
    pub(super) not_owned_until: Millis,
    /// Until then the deputy isn't asked again, because it has lent its reserve.
    pub(super) reserve_used_until: Millis,
    /// Demand relative to the limit over all nodes, as the owner last stated it.
    pub(super) usage: f64,
    limited: Episode,
    on_reserve: Episode,
}

impl Holder {
    /// Counts a request.
    pub(super) fn observe(&mut self, now: Millis) {
        let elapsed_s = (now - self.observed_at).duration().as_secs_f64();
        self.demand_per_s *= (-elapsed_s / DEMAND_TIME_S).exp();
        self.demand_per_s += 1.0 / DEMAND_TIME_S;
        self.observed_at = now;
        self.unreported = self.unreported.saturating_add(1);
    }

    /// Number of requests to tell the owner of.
    pub(super) fn take_unreported(&mut self) -> u32 {
        std::mem::take(&mut self.unreported)
    }

    /// Number of requests to ask for when one has come that no grant covers.
    pub(super) fn count_to_ask(&self) -> u32 {
        1 + (self.demand_per_s * LOOKAHEAD_S) as u32
    }

    pub(super) fn add_grant(&mut self, count: u32, expires_at: Millis) {
        if count > 0 {
            self.refusal = None;
            self.grants.push_back(Grant { count, expires_at });
        }
    }

    /// Takes one request from the grants. Returns until when it may be admitted.
    pub(super) fn take_grant(&mut self, now: Millis) -> Option<Millis> {
        self.grants.retain(|grant| grant.expires_at > now && grant.count > 0);
        let grant = self.grants.iter_mut().min_by_key(|grant| grant.expires_at)?;
        grant.count -= 1;
        Some(grant.expires_at)
    }

    /// Records that the owner has no room for `retry_after`.
    pub(super) fn refuse(&mut self, now: Millis, retry_after: Millis) {
        let until = now + retry_after.min(MAX_REFUSAL);
        self.refusal = Some(Refusal { until, room_at: now + retry_after, callers: 0 });
    }

    /// Whether the owner has refused so recently that it isn't asked again.
    pub(super) fn is_refused(&self, now: Millis) -> bool {
        self.refusal.as_ref().is_some_and(|refusal| now < refusal.until)
    }

    /// When the next refused caller should come back: the callers of one refusal are spread at the
    /// distance at which the limit admits them.
    pub(super) fn retry_after(&mut self, now: Millis, limit: Limit) -> Millis {
        let distance_ms = 1_000.0 / limit.rate_per_s.max(f64::MIN_POSITIVE);
        // The owner may have lent less than was asked for, without a refusal.
        let refusal = self.refusal.get_or_insert_with(|| {
            let room_at = now + Millis(distance_ms.min(MAX_RETRY.0 as f64) as u64);
            Refusal { until: now, room_at, callers: 0 }
        });
        let spread_ms = f64::from(refusal.callers) * distance_ms;
        refusal.callers += 1;
        let spread = Millis(spread_ms.min(MAX_RETRY.0 as f64) as u64);
        (refusal.room_at - now + spread).clamp(Millis(1), MAX_RETRY)
    }

    /// Takes a request from the reserve, of which this node as the deputy holds `part` in each period.
    /// Less than one request is drawn at random; other fractions are left out, so that two periods
    /// don't exceed the reserve.
    pub(super) fn take_reserve(
        &mut self,
        now: Millis,
        period: Millis,
        part: f64,
        rng: &mut SmallRng,
    ) -> bool {
        let is_over =
            self.reserve.as_ref().is_none_or(|reserve| now - reserve.started_at >= period);
        if is_over {
            let left = match part < 1.0 {
                true => u32::from(rng.random::<f64>() < part),
                false => part as u32,
            };
            self.reserve = Some(Reserve { started_at: now, left });
        }
        let Some(reserve) = &mut self.reserve else { return false };
        let has_left = reserve.left > 0;
        reserve.left = reserve.left.saturating_sub(1);
        has_left
    }

    pub(super) fn record_limited(&mut self, now: Millis) -> bool {
        self.limited.record(now)
    }

    pub(super) fn record_on_reserve(&mut self, now: Millis) -> bool {
        self.on_reserve.record(now)
    }

    /// Ends the series of refusals, and that of decisions without the owner, if they are over.
    pub(super) fn end_episodes(&mut self, now: Millis) -> (Option<u64>, Option<u64>) {
        (self.limited.end(now), self.on_reserve.end(now))
    }

    /// Whether nothing that this holds counts any more.
    pub(super) fn is_idle(&self, now: Millis, after: Millis) -> bool {
        let has_reserve =
            self.reserve.as_ref().is_some_and(|reserve| now - reserve.started_at < after);
        now - self.observed_at >= after && self.open_ask.is_none() && !has_reserve
    }
}
