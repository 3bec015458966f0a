//! The table from error kind to answer.

use bulrushspread::{
    error::{Again, Error, Kind, Ran},
    time::Millis,
};

#[test]
fn table_from_kind_to_answer() {
    let lines: Vec<String> = Kind::ALL
        .iter()
        .map(|kind| {
            let row = kind.row();
            let wait = row.retry_after.map_or("-".to_string(), |wait| wait.to_string());
            format!("{} {} {:?} {:?} {wait}", row.status.as_u16(), row.code, row.ran, row.again)
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn retryable_refusals_say_when_to_come_back() {
    for kind in Kind::ALL {
        let row = kind.row();
        assert_eq!(row.retry_after.is_some(), row.again == Again::Retryable, "{kind}");
    }
}

#[test]
fn body_says_whether_the_request_ran() {
    for kind in Kind::ALL {
        let body = Error::new(kind, "reason").body();
        assert_eq!(body.not_run, kind.row().ran == Ran::NotRun, "{kind}");
    }
}

#[test]
fn retry_after_is_rounded_up_to_whole_seconds() {
    let error = Error::new(Kind::RateLimited, "reason").after(Millis(1_200));
    assert_eq!(error.retry_after_seconds(), Some(2));
}
