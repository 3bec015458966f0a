//! The body of every answer to an operator that is not a success.

use std::fmt;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    config::{publish::Failure, state::Winner},
    error::{Detail, Error, Kind},
    gateway::answer::library_error,
};

pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// An answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Refusal {
    pub error: Detail,
    /// True only where nothing was or will be changed.
    pub not_run: bool,
    /// What stands in the place of a change that lost a race.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<Winner>,
    #[serde(skip)]
    status: u16,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Refusal {
        let row = error.kind.row();
        let body = error.body();
        Refusal {
            error: body.error,
            not_run: body.not_run,
            winner: None,
            status: row.status.as_u16(),
        }
    }
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Refusal {
        match failure {
            Failure::Error(error) => error.into(),
            Failure::Conflict(winner) => {
                let message = format!(
                    "another change came first: version {} by {:?}, digest {}",
                    winner.version, winner.author, winner.digest
                );
                let refusal = Refusal::from(Error::new(Kind::Conflict, message));
                Refusal { winner: Some(winner), ..refusal }
            }
        }
    }
}

impl From<HttpError> for Refusal {
    fn from(error: HttpError) -> Refusal {
        let status = error.status_code.as_u16();
        Refusal { status, ..Refusal::from(library_error(&error)) }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.error.code, self.error.message)
    }
}

impl HttpResponseError for Refusal {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
