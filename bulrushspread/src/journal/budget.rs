//! A token bucket that limits the appends of this node.

use crate::time::Millis;

/// Seconds of the rate that unused tokens may accumulate to.
const BURST_S: f64 = 0.25;

/// A token bucket; each append takes one token.
#[derive(Clone, Debug)]
pub struct Budget {
    per_s: f64,
    /// Unused tokens, between 0 and `BURST_S` seconds of the rate.
    tokens: f64,
    refilled_at: Millis,
}

impl Budget {
    /// Creates a full bucket for `per_s` appends per second.
    pub fn new(per_s: f64) -> Budget {
        Budget { per_s, tokens: burst(per_s), refilled_at: Millis::default() }
    }

    /// Sets the rate, in appends per second, from `now` on.
    pub fn set_rate(&mut self, now: Millis, per_s: f64) {
        self.refill(now);
        self.per_s = per_s;
    }

    /// Takes one token. Returns false if there is none.
    pub fn try_take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// The time at which the next token is available.
    pub fn ready_at(&self) -> Millis {
        let missing = (1.0 - self.tokens).max(0.0);
        self.refilled_at + Millis((missing / self.per_s * 1_000.0).ceil() as u64)
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now - self.refilled_at;
        self.tokens += elapsed.0 as f64 / 1_000.0 * self.per_s;
        self.tokens = self.tokens.min(burst(self.per_s));
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn burst(per_s: f64) -> f64 {
    (per_s * BURST_S).max(1.0)
}
