//! A token bucket that limits the appends of this node.

use crate::time::Millis;

/// Seconds of the rate that may be saved up.
const BURST_S: f64 = 0.25;

/// Appends that may be sent now.
#[derive(Clone, Debug)]
pub struct Budget {
    per_s: f64,
    /// At most the burst, and never negative.
    tokens: f64,
    refilled: Millis,
}

impl Budget {
    pub fn new(per_s: f64) -> Budget {
        Budget { per_s, tokens: burst(per_s), refilled: Millis::default() }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, now: Millis, per_s: f64) {
        self.refill(now);
        self.per_s = per_s;
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// When the next token will be there.
    pub fn ready_at(&self) -> Millis {
        let missing = (1.0 - self.tokens).max(0.0);
        self.refilled + Millis((missing / self.per_s * 1_000.0).ceil() as u64)
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now - self.refilled;
        self.tokens += elapsed.0 as f64 / 1_000.0 * self.per_s;
        self.tokens = self.tokens.min(burst(self.per_s));
        self.refilled = self.refilled.max(now);
    }
}

fn burst(per_s: f64) -> f64 {
    (per_s * BURST_S).max(1.0)
}
