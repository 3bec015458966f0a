//! Jobs whose records would expire from the log too early are rejected.

use bulrushspread::{
    batch::retention::{Durations, check},
    error::Kind,
    time::Millis,
};

const HOUR: u64 = 3_600_000;

fn durations(window_h: u64, file_age_h: u64) -> Durations {
    Durations {
        window: Millis(window_h * HOUR),
        file_age: Millis(file_age_h * HOUR),
        results: Millis(8 * HOUR),
        log: Millis(24 * HOUR),
    }
}

#[test]
fn accepts_a_job_whose_records_outlive_it() {
    check(durations(16, 8)).expect("the log keeps items and results long enough");
}

#[test]
fn refuses_a_window_whose_first_result_would_expire_too_early() {
    let error = check(durations(17, 0)).expect_err("a result after no time must last 17 + 8 hours");
    assert_eq!(error.kind, Kind::BadRequest);
    assert!(error.message.contains("up to 16.0h"), "{}", error.message);
}

#[test]
fn refuses_a_file_that_would_expire_before_the_job_is_due() {
    let error = check(durations(8, 17)).expect_err("the file expires after 7 of 8 hours");
    assert!(error.message.contains("upload it again"), "{}", error.message);
}
