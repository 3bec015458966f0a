//! How long the keys of a configuration may be used after the last confirmation that nothing newer
//! exists.

use crate::time::Millis;

/// Bounds on the age of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Whether keys are refused when the lease has expired.
    pub is_strict: bool,
    /// Time after which a revoked key may not be used anywhere.
    pub revoke: Millis,
    /// Time after which an added key must be known at a node that reaches the log.
    pub propagation: Millis,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { is_strict: false, revoke: Millis(5_000), propagation: Millis(3_000) }
    }
}

/// How much of the topic a read covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The newest record of each key.
    Everything,
    /// The records after those that were read before.
    Changes,
}

/// What a successful read of the configuration's topic showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// When the read was sent, on the clock that counts suspended time.
    pub sent_at: Millis,
    pub scope: Scope,
    /// Whether the read reached the end that the topic had when the read was sent.
    pub is_complete: bool,
    /// Highest version that a configuration in the read states, whether or not the rest of it can
    /// be decoded.
    pub newest: Option<u64>,
}

/// The right to use the keys of the configuration in force. All times are on a clock that counts
/// suspended time.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// When the latest read was sent that confirmed that nothing newer exists. Never decreases.
    confirmed_at: Option<Millis>,
    /// Highest version that is known to exist. Never decreases.
    newest: Option<u64>,
    /// The topic lacks the configuration in force: the read was answered from an older state, which
    /// says nothing about newer configurations.
    is_log_behind: bool,
}

impl Lease {
    /// Records a read whose configurations have been applied; `in_force` is the version of the
    /// configuration in force since. Returns whether the read renewed the lease.
    pub fn record(&mut self, reading: Reading, in_force: Option<u64>) -> bool {
        self.newest = self.newest.max(reading.newest);
        if reading.newest.is_some() && reading.newest >= in_force {
            self.is_log_behind = false;
        } else if reading.scope == Scope::Everything {
            self.is_log_behind = true;
        }
        let has_newest = in_force.is_some() && in_force >= self.newest;
        let is_confirmed = reading.is_complete && has_newest && !self.is_log_behind;
        if is_confirmed {
            self.confirmed_at = self.confirmed_at.max(Some(reading.sent_at));
        }
        is_confirmed
    }

    /// Time since the last confirmation; `None` before the first one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|confirmed_at| now - confirmed_at)
    }

    /// Whether the last confirmation is younger than `limit`.
    pub fn is_younger(&self, now: Millis, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
