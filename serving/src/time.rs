//! Time as decisions see it: milliseconds that the edge of the process passes in.

use std::{
    fmt,
    num::ParseIntError,
    ops::{Add, Sub},
    str::FromStr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds. Subtraction stops at zero.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The span as a `Duration`.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Millis {
        Millis(span.as_millis() as u64)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Millis, ParseIntError> {
        text.trim_end_matches("ms").parse().map(Millis)
    }
}

/// Reads the clocks of the machine. Only edges of the process hold one.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// The monotonic time since the process started.
    pub fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }

    /// The wall clock: milliseconds since the Unix epoch. Only for records that people read.
    pub fn wall(&self) -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).map(Millis::from).unwrap_or_default()
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { start: Instant::now() }
    }
}
