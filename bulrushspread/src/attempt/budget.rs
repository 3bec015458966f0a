//! The retry budget of a node, which limits retries to a share of the requests.

/// A token bucket: each request adds a fraction of a token and each retry removes one token.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Tokens added by one request.
    share: f64,
    /// Capacity of the bucket in tokens.
    burst: f64,
    /// Current tokens, between zero and `burst`.
    tokens: f64,
}

impl Budget {
    pub fn new(share: f64, burst: u32) -> Budget {
        let burst = f64::from(burst);
        Budget { share, burst, tokens: burst }
    }

    /// Adds the share of a new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes the token of one retry. Returns `false` if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
