//! Carries an operator's change to the log and returns the verdict that it got there.

use std::time::Duration;

use crate::{
    error::{Error, Kind},
    id::Offset,
    journal::record::Position,
    node::Shared,
};

use super::{
    record::Operation,
    state::{Verdict, Winner},
    task,
};

pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// Why a change is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    Conflict(Winner),
    Error(Error),
}

/// A change in force on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    /// The version of the piece, or of the document for a promotion.
    pub(crate) version: u64,
    /// Nodes whose document is folded up to this offset have the change in force.
    pub(crate) offset: Offset,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Failure::Error(error)
    }
}

/// Judges `operation` as of now, without writing anything.
pub(crate) fn dry_run(context: &Shared, operation: &Operation) -> Result<Accepted> {
    let reader = context.config.reader();
    let verdict = reader.state().judge(operation);
    accept(verdict, reader.state().next)
}

/// Appends `operation` and waits until this node has folded it.
pub(crate) async fn publish(context: &Shared, operation: Operation) -> Result<Accepted> {
    if !context.config.reader().caught_up() {
        let message = "the configuration has not been read to its end yet; nothing was written";
        return Err(Error::new(Kind::LogUnavailable, message).into());
    }
    dry_run(context, &operation)?;
    let body = operation
        .encode()
        .map_err(|error| Error::new(Kind::Internal, format!("can't encode: {error}")))?;
    let places = context.journal.append(&task::stream(), vec![body]).await?;
    let position = *places.first().ok_or_else(|| unconfirmed("the log named no offset"))?;
    settle(context, position).await
}

async fn settle(context: &Shared, position: Position) -> Result<Accepted> {
    let mut changes = context.config.watch();
    let folded = changes.wait_for(|in_force| in_force.offset > position.offset);
    let limit = Duration::from_millis(context.settings.config.confirm_ms);
    if !matches!(tokio::time::timeout(limit, folded).await, Ok(Ok(_))) {
        return Err(unconfirmed("the record was appended but not read back in time").into());
    }
    let verdict = context.config.reader().verdict(position);
    let verdict = verdict.ok_or_else(|| unconfirmed("the verdict is no longer known here"))?;
    accept(verdict, Offset(position.offset.0 + 1))
}

fn accept(verdict: Verdict, offset: Offset) -> Result<Accepted> {
    match verdict {
        Verdict::Accepted { version } => Ok(Accepted { version, offset }),
        Verdict::Conflict(winner) => Err(Failure::Conflict(winner)),
        Verdict::Refused(reason) => Err(Error::new(Kind::BadRequest, reason).into()),
        Verdict::Checkpoint | Verdict::Unreadable => {
            Err(Error::new(Kind::Internal, "the record could not be read back").into())
        }
    }
}

fn unconfirmed(reason: &str) -> Error {
    let advice = "read the document before sending the change again";
    Error::new(Kind::Unconfirmed, format!("{reason}; {advice}"))
}
