//! Time in milliseconds. Decision logic gets the time as an argument and reads no clock.

use std::{
    fmt,
    num::ParseIntError,
    ops::{Add, Sub},
    str::FromStr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds. Addition and subtraction saturate.
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
    /// Converts to a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Millis {
        Millis(duration.as_millis() as u64)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, duration: Millis) -> Millis {
        Millis(self.0.saturating_add(duration.0))
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

/// The clocks of the machine. Only code that performs I/O holds one.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns the monotonic time since this clock was created.
    pub fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }

    /// Returns the time since the machine started, including the time for which it was suspended,
    /// which [`Clock::now`] leaves out.
    pub fn boot_time(&self) -> Millis {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        let time = time.expect("Linux has had this clock since version 2.6.39");
        Millis::from(Duration::from(time))
    }

    /// Returns the wall-clock time since the Unix epoch. Unlike [`Clock::now`] it can be compared
    /// between processes, but the clock can jump.
    pub fn wall_time(&self) -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).map(Millis::from).unwrap_or_default()
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { start: Instant::now() }
    }
}
