//! Refuses jobs whose items or results would expire in the log while they are still needed.

use crate::{
    error::{Error, Kind, Result},
    time::Millis,
};

/// How long things are kept and needed.
#[derive(Clone, Copy, Debug)]
pub struct Durations {
    /// Time until the job is due.
    pub window: Millis,
    /// Time since the input file was stored.
    pub file_age: Millis,
    /// Time for which the results of an ended job stay readable.
    pub results: Millis,
    /// Time for which the log keeps a record.
    pub log: Millis,
}

/// Refuses the job unless the log keeps its items until it is due, and its first result until the
/// end of the results' own retention.
pub fn check(span: Durations) -> Result<()> {
    let longest = span.log - span.results;
    if span.window > longest {
        let message = format!(
            "completion_window is {}; the log keeps results for windows of up to {}",
            hours(span.window),
            hours(longest)
        );
        return Err(Error::new(Kind::BadRequest, message));
    }
    if span.file_age + span.window > span.log {
        let message = "the input file would expire before the job is due; upload it again";
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(())
}

fn hours(span: Millis) -> String {
    format!("{:.1}h", span.0 as f64 / 3_600_000.0)
}
