//! Decides whether the node's own path to the upstreams works.

use crate::time::Millis;

/// Minimum time from one check to the next because of silence, which upstreams cause more often than
/// paths.
const SILENCE_CHECK_INTERVAL: Millis = Millis(1_000);
/// Minimum time from one check to the next because of broken connections: an upstream that crashes
/// breaks many at once.
const BREAK_CHECK_INTERVAL: Millis = Millis(200);
/// Time that a check takes while the path works. A node whose check takes longer doesn't offer to
/// forward requests.
const QUICK_CHECK: Millis = Millis(50);

/// Health of the path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Up,
    /// There was a sign of a failure, and it isn't known yet whether other upstreams can be reached.
    Suspect,
    /// None of several upstreams could be reached.
    Down,
}

/// A sign that the path may be down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// No new connection to an upstream could be established.
    ConnectFailed,
    /// An open connection to an upstream broke.
    ConnectionBroke,
    /// An upstream has been silent for too long on an open connection.
    Silence,
}

impl Sign {
    /// Minimum time from the last check to one because of this sign.
    fn check_interval(self) -> Millis {
        match self {
            Sign::ConnectFailed => Millis(0),
            Sign::ConnectionBroke => BREAK_CHECK_INTERVAL,
            Sign::Silence => SILENCE_CHECK_INTERVAL,
        }
    }
}

/// Result of a check that changes how requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Lost,
    /// The path is up again after this time.
    Regained(Millis),
}

/// What is known of the path.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    health: Health,
    /// When the path last became suspect or went down.
    failing_since: Millis,
    /// Start of the last check.
    last_check: Option<Millis>,
}

impl State {
    pub fn health(&self) -> Health {
        self.health
    }

    /// Records a sign that the path may be down. Returns whether a check has to start, which
    /// [`State::record_check`] ends.
    pub fn record_sign(&mut self, now: Millis, sign: Sign) -> bool {
        let is_early = self.last_check.is_some_and(|last| now - last < sign.check_interval());
        if self.health != Health::Up || is_early {
            return false;
        }
        self.health = Health::Suspect;
        self.failing_since = now;
        self.last_check = Some(now);
        true
    }

    /// Records the result of a check, or of a probe while the path is down.
    pub fn record_check(&mut self, now: Millis, has_reached_any: bool) -> Option<Change> {
        let previous = self.health;
        self.health = if has_reached_any { Health::Up } else { Health::Down };
        match (previous, self.health) {
            (Health::Down, Health::Up) => Some(Change::Regained(now - self.failing_since)),
            (Health::Up | Health::Suspect, Health::Down) => Some(Change::Lost),
            _ => None,
        }
    }

    /// Whether the node can forward requests of other nodes.
    pub fn can_forward(&self, now: Millis) -> bool {
        match self.health {
            Health::Up => true,
            Health::Suspect => now - self.failing_since < QUICK_CHECK,
            Health::Down => false,
        }
    }
}
