//! Rejects jobs whose items or results would expire from the log while they are still needed.

use crate::{
    error::{Error, Kind, Result},
    time::Millis,
};

/// Durations that decide whether the log keeps the records of a job for long enough.
#[derive(Clone, Copy, Debug)]
pub struct Durations {
    /// Time from the creation of the job until it is due.
    pub window: Millis,
    /// Time since the input file was stored.
    pub file_age: Millis,
    /// Time for which the results of an ended job stay readable.
    pub results: Millis,
    /// Time for which the log keeps a record.
    pub log: Millis,
}

/// Checks that the log keeps the items of the job until it is due, and its first result until the
/// results' own retention ends.
///
/// Fails with [`Kind::BadRequest`] otherwise.
pub fn check(durations: Durations) -> Result<()> {
    let max_window = durations.log - durations.results;
    if durations.window > max_window {
        let message = format!(
            "completion_window is {}; the log keeps results for windows of up to {}",
            hours(durations.window),
            hours(max_window)
        );
        return Err(Error::new(Kind::BadRequest, message));
    }
    if durations.file_age + durations.window > durations.log {
        let message = "the input file would expire before the job is due; upload it again";
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(())
}

fn hours(duration: Millis) -> String {
    format!("{:.1}h", duration.0 as f64 / 3_600_000.0)
}
