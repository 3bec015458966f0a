//! The closed list of error kinds and the table from kind to answer.

use std::fmt;

use http::StatusCode;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::time::Millis;

pub type Result<T> = std::result::Result<T, Error>;

/// Everything that a caller or an operator can be told instead of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    BadRequest,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    TooLarge,
    Quarantined,
    RateLimited,
    DeadlineUnreachable,
    Draining,
    InProgress,
    LogUnavailable,
    Unconfirmed,
    NoUpstream,
    UpstreamFailed,
    OutcomeUnknown,
    Timeout,
    Internal,
}

/// Whether the request may have reached an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No upstream received a byte of the request.
    NotRun,
    /// An upstream may have run the request, in part or whole.
    MayHaveRun,
}

/// Whether the same request may succeed when it is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    Retryable,
    Final,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub status: StatusCode,
    /// The `code` of the answer's body.
    pub code: &'static str,
    pub ran: Ran,
    pub again: Again,
    /// The `Retry-After` sent when the error names none.
    pub retry_after: Option<Millis>,
}

impl Kind {
    pub const ALL: [Kind; 18] = [
        Kind::BadRequest,
        Kind::Unauthorized,
        Kind::Forbidden,
        Kind::NotFound,
        Kind::Conflict,
        Kind::TooLarge,
        Kind::Quarantined,
        Kind::RateLimited,
        Kind::DeadlineUnreachable,
        Kind::Draining,
        Kind::InProgress,
        Kind::LogUnavailable,
        Kind::Unconfirmed,
        Kind::NoUpstream,
        Kind::UpstreamFailed,
        Kind::OutcomeUnknown,
        Kind::Timeout,
        Kind::Internal,
    ];

    /// The answer that stands for this kind.
    pub fn row(self) -> Row {
        use Again::{Final, Retryable};
        use Ran::{MayHaveRun, NotRun};
        const SECOND: Option<Millis> = Some(Millis(1_000));
        let (status, code, ran, again, retry_after) = match self {
            Kind::BadRequest => (400, "bad_request", NotRun, Final, None),
            Kind::Unauthorized => (401, "unauthorized", NotRun, Final, None),
            Kind::Forbidden => (403, "forbidden", NotRun, Final, None),
            Kind::NotFound => (404, "not_found", NotRun, Final, None),
            Kind::Conflict => (409, "conflict", NotRun, Final, None),
            Kind::TooLarge => (413, "too_large", NotRun, Final, None),
            Kind::Quarantined => (422, "quarantined", MayHaveRun, Final, None),
            Kind::RateLimited => (429, "rate_limited", NotRun, Retryable, SECOND),
            Kind::DeadlineUnreachable => (503, "deadline_unreachable", NotRun, Retryable, SECOND),
            Kind::Draining => (503, "draining", NotRun, Retryable, SECOND),
            Kind::InProgress => (409, "in_progress", MayHaveRun, Retryable, SECOND),
            Kind::LogUnavailable => {
                (503, "log_unavailable", NotRun, Retryable, Some(Millis(5_000)))
            }
            Kind::Unconfirmed => (503, "unconfirmed", MayHaveRun, Retryable, SECOND),
            Kind::NoUpstream => (503, "no_upstream", NotRun, Retryable, SECOND),
            Kind::UpstreamFailed => (502, "upstream_failed", MayHaveRun, Retryable, SECOND),
            Kind::OutcomeUnknown => (502, "outcome_unknown", MayHaveRun, Final, None),
            Kind::Timeout => (504, "timeout", MayHaveRun, Retryable, SECOND),
            Kind::Internal => (500, "internal", MayHaveRun, Final, None),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Row { status, code, ran, again, retry_after }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.row().code)
    }
}

/// An error as it travels to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct Error {
    pub kind: Kind,
    pub message: String,
    /// When the caller may come back; the table's value where this is `None`.
    pub retry_after: Option<Millis>,
}

impl Error {
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error { kind, message: message.into(), retry_after: None }
    }

    /// The same error with the time after which the caller may come back.
    pub fn after(mut self, wait: Millis) -> Error {
        self.retry_after = Some(wait);
        self
    }

    /// `Retry-After` in whole seconds, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let wait = self.retry_after.or(self.kind.row().retry_after)?;
        Some(wait.0.div_ceil(1_000).max(1))
    }

    /// The OpenAI-shaped body of the answer.
    pub fn body(&self) -> Body {
        let row = self.kind.row();
        Body {
            error: Detail {
                message: self.message.clone(),
                kind: "bulrushspread_error".to_string(),
                code: row.code.to_string(),
                retryable: row.again == Again::Retryable,
            },
            not_run: row.ran == Ran::NotRun,
        }
    }
}

/// The body of every refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    pub error: Detail,
    /// True only when no upstream received a byte of the request.
    pub not_run: bool,
}

/// What a refusal says of its error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Detail {
    pub message: String,
    #[serde(rename = "type")]
    pub kind: String,
    pub code: String,
    pub retryable: bool,
}
