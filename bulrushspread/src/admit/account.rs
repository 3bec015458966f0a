//! This node's share of one workspace's limits and its current use.

use crate::{
    config::document::WorkspaceSpec,
    error::{Error, Kind, Result},
    time::Millis,
};

use super::{
    message::Amount,
    share::{BASE_SHARE, base_share},
};

/// Fraction of the even share of a limit. A node that uses more than this requests more than its
/// base share.
const REPORT_THRESHOLD: f32 = BASE_SHARE / 2.0;
/// Weight of the latest period in the mean demand.
const DEMAND_WEIGHT: f32 = 0.5;
/// Factor on the reported mean demand, so that a small increase does not exceed the share.
const DEMAND_MARGIN: f32 = 1.3;

/// Minimum period in seconds over which a rate of demand is computed.
const MIN_PERIOD_S: f32 = 0.2;

/// Use of one workspace's limits at this node.
#[derive(Clone, Debug)]
pub struct Account {
    /// The limits over all nodes.
    pub limit: Amount,
    /// The granted share of this node and its expiry.
    granted: Option<(Amount, Millis)>,
    in_flight: u32,
    requests: Bucket,
    tokens: Bucket,
    /// Demand since the last report, refused requests included.
    demand: Amount,
    mean_demand: Amount,
    reported_at: Millis,
}

/// A token bucket. A request larger than the burst may take its level below zero.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f32,
    filled_at: Millis,
}

impl Bucket {
    /// Adds the tokens since the last call at `rate` per second, up to `burst`.
    fn fill(&mut self, now: Millis, rate: f32, burst: f32) {
        let seconds = (now - self.filled_at).0 as f32 / 1_000.0;
        self.level = (self.level + seconds * rate).min(burst);
        self.filled_at = now;
    }

    /// Time until the bucket covers `cost`, or zero if it already does.
    fn time_until(&self, cost: f32, rate: f32, burst: f32) -> Millis {
        let missing = cost.min(burst) - self.level;
        if missing <= 0.0 {
            return Millis(0);
        }
        Millis((missing / rate.max(f32::MIN_POSITIVE) * 1_000.0).min(60_000.0).ceil() as u64)
    }
}

impl Account {
    pub fn new(now: Millis, spec: &WorkspaceSpec) -> Account {
        let full = Bucket { level: f32::MAX, filled_at: now };
        Account {
            limit: limit(spec),
            granted: None,
            in_flight: 0,
            requests: full,
            tokens: full,
            demand: Amount::default(),
            mean_demand: Amount::default(),
            reported_at: now,
        }
    }

    /// Applies the limits of the current configuration.
    pub fn set_limit(&mut self, spec: &WorkspaceSpec) {
        self.limit = limit(spec);
    }

    /// The share that this node may use now, with `nodes` live nodes.
    pub fn share(&self, now: Millis, nodes: usize) -> Amount {
        if nodes <= 1 {
            return self.limit;
        }
        match self.granted {
            Some((granted, until)) if now < until => granted,
            Some(_) => self.limit.scaled(1.0 / nodes.max(1) as f32),
            None => Amount {
                requests_per_s: base_share(self.limit.requests_per_s, nodes),
                tokens_per_s: base_share(self.limit.tokens_per_s, nodes),
                concurrency: base_share(self.limit.concurrency, nodes),
            },
        }
    }

    /// Charges one request and its tokens.
    ///
    /// # Errors
    /// `RateLimited` if the share is used up, with the time to wait if it is a limit per second.
    pub fn charge(&mut self, now: Millis, nodes: usize, tokens: u32, burst: Millis) -> Result<()> {
        self.demand.requests_per_s += 1.0;
        self.demand.tokens_per_s += tokens as f32;
        let share = self.share(now, nodes);
        let seconds = burst.0 as f32 / 1_000.0;
        let request_burst = (share.requests_per_s * seconds).max(1.0);
        let token_burst = (share.tokens_per_s * seconds).max(1.0);
        self.requests.fill(now, share.requests_per_s, request_burst);
        self.tokens.fill(now, share.tokens_per_s, token_burst);
        if self.in_flight as f32 >= share.concurrency.max(1.0) {
            self.demand.concurrency = self.demand.concurrency.max(self.in_flight as f32 + 1.0);
            return Err(Error::new(
                Kind::RateLimited,
                "the workspace has too many requests at once",
            ));
        }
        let wait = self.requests.time_until(1.0, share.requests_per_s, request_burst);
        let wait = wait.max(self.tokens.time_until(tokens as f32, share.tokens_per_s, token_burst));
        if wait > Millis(0) {
            let message = "the workspace has used up its requests or tokens a second";
            return Err(Error::new(Kind::RateLimited, message).after(wait));
        }
        self.requests.level -= 1.0;
        self.tokens.level -= tokens as f32;
        self.in_flight += 1;
        self.demand.concurrency = self.demand.concurrency.max(self.in_flight as f32);
        Ok(())
    }

    /// Ends a request and refunds the tokens that it did not use.
    pub fn refund(&mut self, unused_tokens: u32) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.level += unused_tokens as f32;
    }

    /// Updates the mean demand and starts a new period. Returns the demand to report if it is high
    /// enough to request a share.
    pub fn take_demand(&mut self, now: Millis, nodes: usize) -> Option<Amount> {
        let seconds = ((now - self.reported_at).0 as f32 / 1_000.0).max(MIN_PERIOD_S);
        let latest = Amount {
            requests_per_s: self.demand.requests_per_s / seconds,
            tokens_per_s: self.demand.tokens_per_s / seconds,
            concurrency: self.demand.concurrency.max(self.in_flight as f32),
        };
        let blend =
            |mean: f32, latest: f32| mean.max(latest) * DEMAND_WEIGHT + latest * DEMAND_WEIGHT;
        self.mean_demand = Amount {
            requests_per_s: blend(self.mean_demand.requests_per_s, latest.requests_per_s),
            tokens_per_s: blend(self.mean_demand.tokens_per_s, latest.tokens_per_s),
            concurrency: blend(self.mean_demand.concurrency, latest.concurrency),
        };
        self.demand = Amount::default();
        self.reported_at = now;
        let threshold = self.limit.scaled(REPORT_THRESHOLD / nodes.max(1) as f32);
        self.mean_demand.exceeds(threshold).then(|| self.mean_demand.scaled(DEMAND_MARGIN))
    }

    /// Sets the granted share and its expiry.
    pub fn set_grant(&mut self, share: Amount, until: Millis) {
        self.granted = Some((share, until));
    }

    /// Reverts to the base share, for a node that no longer reports demand.
    pub fn clear_grant(&mut self) {
        self.granted = None;
    }

    /// Whether the workspace has no request in flight and no recent demand.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
            && self.mean_demand.requests_per_s < 0.01
            && self.demand.requests_per_s == 0.0
    }
}

/// The limits of a workspace as an amount.
pub fn limit(spec: &WorkspaceSpec) -> Amount {
    Amount {
        requests_per_s: spec.requests_per_s as f32,
        tokens_per_s: spec.tokens_per_s as f32,
        concurrency: spec.concurrency as f32,
    }
}
