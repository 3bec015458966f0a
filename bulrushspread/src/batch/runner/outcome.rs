//! Ends runs and reports their outcomes to the partition owners.

use crate::{
    batch::message::{RunEnd, RunOutcome, Ticket},
    id::Upstream,
    time::Millis,
};

use super::{
    message::{Action, Execution, ExecutionEnd},
    request,
    run::{Phase, Run},
    state::State,
};

/// Time after which an outcome that was not acknowledged is sent again.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Delay before a rejected or interrupted run is started again.
const RETRY_DELAY: Millis = Millis(500);
/// Rejected or broken executions without progress after which the item goes back to its owner.
const FRUITLESS_LIMIT: u32 = 5;

impl State {
    pub(super) fn handle_end(&mut self, now: Millis, execution: &Execution, end: ExecutionEnd) {
        let Some(run) = self.runs.get(&execution.ticket) else { return };
        if run.execution() != *execution {
            return;
        }
        if let ExecutionEnd::Finished { last: Some((index, text)), .. } = &end {
            self.handle_token(execution, *index, text.clone());
        }
        let Some(run) = self.runs.get(&execution.ticket) else { return };
        let Some(upstream) = run.upstream().cloned() else { return };
        if let ExecutionEnd::Crashed { reason } = end {
            return self.handle_crash(now, &upstream, &reason);
        }
        let has_progress = run.text.len() > run.resumed_from;
        self.remove_execution(&upstream, execution);
        if let Some(replica) = self.replicas.get_mut(&upstream) {
            match end {
                ExecutionEnd::NotRun { .. } => replica.back_off(now, RETRY_DELAY),
                ExecutionEnd::Interrupted { .. } if !has_progress => {
                    replica.back_off(now, RETRY_DELAY);
                }
                ExecutionEnd::Finished { .. } | ExecutionEnd::Answered { .. } => {
                    replica.record_progress(execution)
                }
                ExecutionEnd::Failed { .. }
                | ExecutionEnd::Interrupted { .. }
                | ExecutionEnd::Crashed { .. }
                | ExecutionEnd::Invalid { .. } => {}
            }
        }
        let Some(run) = self.runs.get_mut(&execution.ticket) else { return };
        end_run(now, run, end);
    }

    /// Ends or pauses everything that ran on a crashed upstream. Items that must not be repeated
    /// end with an unknown outcome. Of the others, one that ran alone is reported as the cause,
    /// while several are marked as suspects, each of which runs alone from then on.
    fn handle_crash(&mut self, now: Millis, upstream: &Upstream, reason: &str) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        let alone =
            replica.running.len() == 1 && replica.cancelling.is_empty() && !replica.is_held(now);
        let executions = std::mem::take(&mut replica.running);
        replica.prefills.clear();
        replica.record_crash(now, RETRY_DELAY);
        for execution in executions {
            let Some(run) = self.runs.get_mut(&execution.ticket) else { continue };
            if !run.work.idempotent {
                run.end(RunEnd::Unknown { reason: reason.to_string() });
            } else if alone {
                run.end(RunEnd::Crashed { reason: reason.to_string() });
            } else {
                run.suspect = true;
                run.pause(now, RETRY_DELAY);
            }
        }
    }

    /// Ends runs that exceed their running time, and returns those that have waited too long.
    pub(super) fn end_overdue(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let limit = Millis(self.settings.item_ms);
        let overdue: Vec<Execution> = self
            .runs
            .values()
            .filter(|run| run.upstream().is_some() && run.running_time(now) >= limit)
            .map(Run::execution)
            .collect();
        for execution in overdue {
            self.cancel(now, &execution, actions);
            if let Some(run) = self.runs.get_mut(&execution.ticket) {
                let reason = format!("did not end within {limit}");
                run.end(match run.work.idempotent {
                    true => RunEnd::Failed { reason },
                    false => RunEnd::Unknown { reason },
                });
            }
        }
        let wait_limit = Millis(self.settings.pause_ms);
        for run in self.runs.values_mut() {
            if matches!(run.phase, Phase::Waiting { since, .. } if now - since >= wait_limit) {
                run.end(RunEnd::Returned);
            }
        }
    }

    /// Returns waiting items that no replica of this node can run any more.
    pub(super) fn return_unservable(&mut self) {
        for run in self.runs.values_mut() {
            let servable = self.replicas.values().any(|replica| replica.spec.serves == run.serves);
            if !servable && matches!(run.phase, Phase::Waiting { .. }) {
                run.end(RunEnd::Returned);
            }
        }
    }

    /// Sends outcomes that are new or were not acknowledged in time.
    pub(super) fn report_outcomes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut outcomes = Vec::new();
        for run in self.runs.values_mut() {
            let Phase::Ended { end, last_reported } = &mut run.phase else { continue };
            if last_reported.is_some_and(|last_reported| now - last_reported < REPORT_INTERVAL) {
                continue;
            }
            *last_reported = Some(now);
            outcomes.push(RunOutcome { ticket: run.work.ticket.clone(), end: end.clone() });
        }
        if !outcomes.is_empty() {
            actions.push(Action::ReportOutcomes(outcomes));
        }
    }

    pub(super) fn handle_acknowledgement(&mut self, tickets: &[Ticket]) {
        for ticket in tickets {
            let ended = |run: &Run| matches!(run.phase, Phase::Ended { .. });
            if self.runs.get(ticket).is_some_and(ended) {
                self.runs.remove(ticket);
            }
        }
    }

    fn remove_execution(&mut self, upstream: &Upstream, execution: &Execution) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        replica.running.remove(execution);
        replica.prefills.remove(execution);
    }
}

fn end_run(now: Millis, run: &mut Run, end: ExecutionEnd) {
    match end {
        ExecutionEnd::Finished { reason, created, .. } => {
            let body = request::response_body(&run.work, &run.text, reason, created);
            run.end(RunEnd::Answered { status: 200, body });
        }
        ExecutionEnd::Answered { status, body } => run.end(RunEnd::Answered { status, body }),
        ExecutionEnd::Invalid { reason } => {
            run.end(RunEnd::Answered { status: 400, body: request::error_body(&reason) });
        }
        ExecutionEnd::NotRun { .. } => requeue(now, run),
        ExecutionEnd::Interrupted { reason } | ExecutionEnd::Failed { reason }
            if !run.work.idempotent =>
        {
            run.end(RunEnd::Unknown { reason })
        }
        // A stream that made progress is resumed at its position.
        ExecutionEnd::Interrupted { .. } | ExecutionEnd::Failed { .. }
            if run.text.len() > run.resumed_from =>
        {
            run.pause(now, RETRY_DELAY);
        }
        ExecutionEnd::Interrupted { .. } => requeue(now, run),
        ExecutionEnd::Failed { reason } | ExecutionEnd::Crashed { reason } => {
            run.end(RunEnd::Failed { reason })
        }
    }
}

/// Lets the run wait for its next execution, or returns the item to its owner after too many
/// executions without progress.
fn requeue(now: Millis, run: &mut Run) {
    run.fruitless += 1;
    if run.fruitless > FRUITLESS_LIMIT {
        return run.end(RunEnd::Returned);
    }
    run.pause(now, RETRY_DELAY);
}
