//! This node's share of one workspace's limits, and what is used of it.

use crate::{
    config::document::WorkspaceSpec,
    error::{Error, Kind, Result},
    time::Millis,
};

use super::{
    message::Amount,
    share::{BASE_SHARE, base},
};

/// Share of the even part of a limit whose use makes a node ask for more than its base.
const ASK_SHARE: f32 = BASE_SHARE / 2.0;
/// Weight of the newest period in the mean demand.
const DEMAND_WEIGHT: f32 = 0.5;
/// What a node asks for beyond its mean demand, so that its share does not bind at once.
const DEMAND_MARGIN: f32 = 1.3;

/// Seconds over which a rate of demand is taken at least.
const SHORTEST_PERIOD_S: f32 = 0.2;

/// One workspace at this node.
#[derive(Clone, Debug)]
pub struct Account {
    /// The limits over all nodes.
    pub limit: Amount,
    /// What this node may use, and until when.
    granted: Option<(Amount, Millis)>,
    in_flight: u32,
    requests: Bucket,
    tokens: Bucket,
    /// What was asked for since the last report, refused requests included.
    asked: Amount,
    mean: Amount,
    reported: Millis,
}

/// A token bucket. Its level may fall below zero by one request that is larger than the burst.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f32,
    at: Millis,
}

impl Bucket {
    fn fill(&mut self, now: Millis, rate: f32, burst: f32) {
        let seconds = (now - self.at).0 as f32 / 1_000.0;
        self.level = (self.level + seconds * rate).min(burst);
        self.at = now;
    }

    /// The time until `cost` fits, zero when it fits now.
    fn wait(&self, cost: f32, rate: f32, burst: f32) -> Millis {
        let missing = cost.min(burst) - self.level;
        if missing <= 0.0 {
            return Millis(0);
        }
        Millis((missing / rate.max(f32::MIN_POSITIVE) * 1_000.0).min(60_000.0).ceil() as u64)
    }
}

impl Account {
    pub fn new(now: Millis, spec: &WorkspaceSpec) -> Account {
        let full = Bucket { level: f32::MAX, at: now };
        Account {
            limit: limit(spec),
            granted: None,
            in_flight: 0,
            requests: full,
            tokens: full,
            asked: Amount::default(),
            mean: Amount::default(),
            reported: now,
        }
    }

    /// Takes over changed limits.
    pub fn update(&mut self, spec: &WorkspaceSpec) {
        self.limit = limit(spec);
    }

    /// What this node may use now.
    pub fn share(&self, now: Millis, nodes: usize) -> Amount {
        if nodes <= 1 {
            return self.limit;
        }
        match self.granted {
            Some((granted, until)) if now < until => granted,
            Some(_) => self.limit.scaled(1.0 / nodes.max(1) as f32),
            None => Amount {
                requests_per_s: base(self.limit.requests_per_s, nodes),
                tokens_per_s: base(self.limit.tokens_per_s, nodes),
                concurrency: base(self.limit.concurrency, nodes),
            },
        }
    }

    /// Uses up one request with its tokens, or refuses it.
    pub fn take(&mut self, now: Millis, nodes: usize, tokens: u32, burst: Millis) -> Result<()> {
        self.asked.requests_per_s += 1.0;
        self.asked.tokens_per_s += tokens as f32;
        let share = self.share(now, nodes);
        let seconds = burst.0 as f32 / 1_000.0;
        let request_burst = (share.requests_per_s * seconds).max(1.0);
        let token_burst = (share.tokens_per_s * seconds).max(1.0);
        self.requests.fill(now, share.requests_per_s, request_burst);
        self.tokens.fill(now, share.tokens_per_s, token_burst);
        if self.in_flight as f32 >= share.concurrency.max(1.0) {
            self.asked.concurrency = self.asked.concurrency.max(self.in_flight as f32 + 1.0);
            return Err(Error::new(
                Kind::RateLimited,
                "the workspace has too many requests at once",
            ));
        }
        let wait = self.requests.wait(1.0, share.requests_per_s, request_burst);
        let wait = wait.max(self.tokens.wait(tokens as f32, share.tokens_per_s, token_burst));
        if wait > Millis(0) {
            let message = "the workspace has used up its requests or tokens a second";
            return Err(Error::new(Kind::RateLimited, message).after(wait));
        }
        self.requests.level -= 1.0;
        self.tokens.level -= tokens as f32;
        self.in_flight += 1;
        self.asked.concurrency = self.asked.concurrency.max(self.in_flight as f32);
        Ok(())
    }

    /// A request has ended; gives back the tokens that it did not use.
    pub fn give_back(&mut self, unused_tokens: u32) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.level += unused_tokens as f32;
    }

    /// The demand since the last call, where it is so high that the node has to ask for a share.
    pub fn demand(&mut self, now: Millis, nodes: usize) -> Option<Amount> {
        let seconds = ((now - self.reported).0 as f32 / 1_000.0).max(SHORTEST_PERIOD_S);
        let newest = Amount {
            requests_per_s: self.asked.requests_per_s / seconds,
            tokens_per_s: self.asked.tokens_per_s / seconds,
            concurrency: self.asked.concurrency.max(self.in_flight as f32),
        };
        let blend =
            |mean: f32, newest: f32| mean.max(newest) * DEMAND_WEIGHT + newest * DEMAND_WEIGHT;
        self.mean = Amount {
            requests_per_s: blend(self.mean.requests_per_s, newest.requests_per_s),
            tokens_per_s: blend(self.mean.tokens_per_s, newest.tokens_per_s),
            concurrency: blend(self.mean.concurrency, newest.concurrency),
        };
        self.asked = Amount::default();
        self.reported = now;
        let quiet = self.limit.scaled(ASK_SHARE / nodes.max(1) as f32);
        self.mean.exceeds(quiet).then(|| self.mean.scaled(DEMAND_MARGIN))
    }

    /// Takes over a granted share.
    pub fn grant(&mut self, share: Amount, until: Millis) {
        self.granted = Some((share, until));
    }

    /// Ends the share of a node that no longer asks: it has its base share again.
    pub fn rest(&mut self) {
        self.granted = None;
    }

    /// Whether nothing of the workspace is in flight or was asked for of late.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.mean.requests_per_s < 0.01 && self.asked.requests_per_s == 0.0
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
