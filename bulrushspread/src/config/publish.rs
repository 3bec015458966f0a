//! Appends an operator's change to the log and returns the decision on it.

use std::time::Duration;

use crate::{
    error::{Error, Kind},
    id::Offset,
    journal::record::Position,
    node::Shared,
};

use super::{
    record::Operation,
    state::{Decision, Winner},
    task,
};

pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// Why a change was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Another change with the same base was accepted first.
    Conflict(Winner),
    Error(Error),
}

/// A change in force on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    /// The version of the piece, or of the document for a promotion.
    pub(crate) version: u64,
    /// Nodes that have applied the stream up to this offset have the change in force.
    pub(crate) offset: Offset,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Failure::Error(error)
    }
}

/// Evaluates `operation` against the current state without writing anything.
pub(crate) fn dry_run(context: &Shared, operation: &Operation) -> Result<Accepted> {
    let reader = context.config.reader();
    let decision = reader.state().evaluate(operation);
    into_result(decision, reader.state().next)
}

/// Appends `operation` and waits until this node has applied it.
///
/// # Errors
///
/// * `LogUnavailable`: nothing was written.
/// * `Unconfirmed`: the change may be in force now or later.
/// * `BadRequest`: the change breaks a rule.
pub(crate) async fn publish(context: &Shared, operation: Operation) -> Result<Accepted> {
    if !context.config.reader().is_caught_up() {
        let message = "the configuration has not been read to its end yet; nothing was written";
        return Err(Error::new(Kind::LogUnavailable, message).into());
    }
    dry_run(context, &operation)?;
    let body = operation
        .encode()
        .map_err(|error| Error::new(Kind::Internal, format!("can't encode: {error}")))?;
    let positions = context.journal.append(&task::stream(), vec![body]).await?;
    let position = *positions.first().ok_or_else(|| unconfirmed("the log named no offset"))?;
    await_decision(context, position).await
}

/// Waits until this node has applied the record at `position` and returns the decision on it.
async fn await_decision(context: &Shared, position: Position) -> Result<Accepted> {
    let mut changes = context.config.watch();
    let applied = changes.wait_for(|snapshot| snapshot.offset > position.offset);
    let limit = Duration::from_millis(context.settings.config.confirm_ms);
    if !matches!(tokio::time::timeout(limit, applied).await, Ok(Ok(_))) {
        return Err(unconfirmed("the record was appended but not read back in time").into());
    }
    let decision = context.config.reader().decision(position);
    let decision = decision.ok_or_else(|| unconfirmed("the verdict is no longer known here"))?;
    into_result(decision, Offset(position.offset.0 + 1))
}

fn into_result(decision: Decision, offset: Offset) -> Result<Accepted> {
    match decision {
        Decision::Accepted { version } => Ok(Accepted { version, offset }),
        Decision::Conflict(winner) => Err(Failure::Conflict(winner)),
        Decision::Refused(reason) => Err(Error::new(Kind::BadRequest, reason).into()),
        Decision::Checkpoint | Decision::Unreadable => {
            Err(Error::new(Kind::Internal, "the record could not be read back").into())
        }
    }
}

fn unconfirmed(reason: &str) -> Error {
    let advice = "read the document before sending the change again";
    Error::new(Kind::Unconfirmed, format!("{reason}; {advice}"))
}
