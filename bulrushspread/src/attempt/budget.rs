//! The retry budget of a node: retries are a bounded share of requests.

/// A token bucket that requests fill and retries empty.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Tokens added by one request.
    share: f64,
    /// Tokens that the bucket holds at most.
    burst: f64,
    /// Never above `burst`, never below zero.
    tokens: f64,
}

impl Budget {
    pub fn new(share: f64, burst: u32) -> Budget {
        let burst = f64::from(burst);
        Budget { share, burst, tokens: burst }
    }

    /// A request has begun.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
