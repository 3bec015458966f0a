//! Why a command failed, and the exit code that says so.

use serde_json::Value;

/// The request was refused; sending it again as it is won't help.
pub const REFUSED: u8 = 1;
/// The command line or a file is wrong.
pub const USAGE: u8 = 2;
/// No node was reached, or none answered.
pub const UNREACHABLE: u8 = 3;
/// Another change came first.
pub const CONFLICT: u8 = 4;
/// The node can't do it now; it may be sent again.
pub const RETRYABLE: u8 = 5;
/// The change is accepted, but not every node has it in force yet.
pub const NOT_IN_FORCE: u8 = 6;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Local(String),
    #[error("{0}")]
    Unreachable(String),
    #[error("conflict: {0}")]
    Conflict(String),
    #[error("{message} (status {status}, {})", ran(*.not_run))]
    Refused { status: u16, message: String, not_run: bool, retryable: bool },
    #[error("not in force everywhere within {seconds} s; behind: {nodes}")]
    NotInForce { seconds: u64, nodes: String },
}

impl Failure {
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Usage(_) => USAGE,
            Failure::Local(_) => REFUSED,
            Failure::Unreachable(_) => UNREACHABLE,
            Failure::Conflict(_) => CONFLICT,
            Failure::Refused { retryable: true, .. } => RETRYABLE,
            Failure::Refused { .. } => REFUSED,
            Failure::NotInForce { .. } => NOT_IN_FORCE,
        }
    }

    /// The failure that an answer with an error status stands for.
    pub fn of_answer(status: u16, body: &[u8]) -> Failure {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let message = body["error"]["message"].as_str().or(body["message"].as_str());
        let message = message.unwrap_or("no reason was given");
        if status == 409 && body["error"]["code"] == "conflict" {
            return Failure::Conflict(message.to_string());
        }
        Failure::Refused {
            status,
            message: message.to_string(),
            not_run: body["not_run"] == true,
            retryable: body["error"]["retryable"] == true,
        }
    }
}

fn ran(not_run: bool) -> &'static str {
    match not_run {
        true => "nothing was changed or run",
        false => "it may have taken effect",
    }
}
