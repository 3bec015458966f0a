//! Handles the ends of runs: decides on retries, back-off and terminal failures.

use crate::{
    batch::{
        message::{RunEnd, RunOutcome, Ticket},
        record,
    },
    id::{Item, Job},
    time::Millis,
};

use super::{
    state::{Action, Ledger, ReportStatus, Timer},
    tracked::{Run, Tally, TrackedJob},
};

/// Upper limit of the exponential back-off: the retry delay doubles at most this often.
const MAX_DOUBLINGS: u32 = 6;
/// Time between the retries of two items whose upstreams crashed, while no retry is delayed beyond
/// [`CRASH_RETRY_MAX`] by it.
const CRASH_RETRY_GAP: Millis = Millis(250);
/// Maximum delay of the retry of an item whose upstream crashed.
const CRASH_RETRY_MAX: Millis = Millis(4_000);

impl Ledger {
    /// Applies the reported end of a run.
    pub fn handle_outcome(
        &mut self,
        now: Millis,
        outcome: &RunOutcome,
    ) -> (ReportStatus, Vec<Action>) {
        let ticket = &outcome.ticket;
        let (job, item) = (&ticket.job, ticket.item);
        if let RunEnd::Answered { status, body } = &outcome.end {
            let answer = record::Outcome::Answered { status: *status, body: body.clone() };
            return self.handle_answer(ticket, answer);
        }
        if !self.stop_run(ticket) {
            return (ReportStatus::Stale, Vec::new());
        }
        let repeats = self.jobs.get(job).is_some_and(TrackedJob::may_repeat);
        let actions = match &outcome.end {
            RunEnd::Answered { .. } => Vec::new(),
            RunEnd::Returned => {
                self.requeue(job, item);
                Vec::new()
            }
            RunEnd::Failed { reason } | RunEnd::Unknown { reason } | RunEnd::Crashed { reason }
                if !repeats =>
            {
                self.end_item(job, item, unknown_outcome(reason))
            }
            RunEnd::Failed { reason } | RunEnd::Unknown { reason } => {
                self.handle_failure(now, job, item, reason)
            }
            RunEnd::Crashed { reason } => {
                self.handle_crash(now, job, item, reason);
                Vec::new()
            }
        };
        (ReportStatus::Accepted, actions)
    }

    pub(super) fn time_out(&mut self, now: Millis, run: Run) -> Vec<Action> {
        const REASON: &str = "the run took too long";
        let (job, item) = (&run.ticket.job, run.ticket.item);
        self.stop_run(&run.ticket);
        let repeats = self.jobs.get(job).is_some_and(TrackedJob::may_repeat);
        let mut actions = match repeats {
            true => self.handle_failure(now, job, item, REASON),
            false => self.end_item(job, item, unknown_outcome(REASON)),
        };
        let ticket = run.ticket.clone();
        actions.push(Action::Stop { runner: run.runner, ticket });
        actions
    }

    /// Accepts a response from any run of the item, also from a superseded one, unless the item
    /// already has an outcome.
    fn handle_answer(
        &mut self,
        ticket: &Ticket,
        answer: record::Outcome,
    ) -> (ReportStatus, Vec<Action>) {
        let (job, item) = (&ticket.job, ticket.item);
        let Some(tracked) = self.jobs.get(job) else { return (ReportStatus::Stale, Vec::new()) };
        let may_have_run = tracked.may_repeat() || tracked.intended.contains(item);
        if !tracked.is_open(item) || !may_have_run || ticket.epoch > self.epoch {
            return (ReportStatus::Stale, Vec::new());
        }
        let other = tracked.running.get(&item).filter(|run| run.ticket != *ticket).cloned();
        let mut actions = Vec::new();
        match other {
            Some(run) => {
                self.stop_run(&run.ticket);
                actions.push(Action::Stop { runner: run.runner, ticket: run.ticket });
            }
            None => {
                self.stop_run(ticket);
            }
        }
        actions.extend(self.end_item(job, item, answer));
        (ReportStatus::Accepted, actions)
    }

    /// Handles a run whose runner can't report an outcome any more.
    pub(super) fn handle_lost_run(&mut self, now: Millis, job: &Job, item: Item) -> Vec<Action> {
        let Some(tracked) = self.jobs.get_mut(job) else { return Vec::new() };
        let Some(run) = tracked.running.get(&item).cloned() else { return Vec::new() };
        if !tracked.may_repeat() {
            tracked.delayed.insert(item);
            let until = now + Millis(self.settings.hold_grace_ms);
            self.timers.insert((until, Timer::Orphan, job.clone(), item));
            self.stop_run(&run.ticket);
            return Vec::new();
        }
        self.stop_run(&run.ticket);
        let tally = self.update_tally(job, item, |tally| tally.losses += 1);
        if tally.losses >= self.settings.loss_limit {
            return self.end_item(
                job,
                item,
                failed_outcome("runner_lost", "its runners were lost too often"),
            );
        }
        self.requeue(job, item);
        Vec::new()
    }

    fn handle_failure(&mut self, now: Millis, job: &Job, item: Item, reason: &str) -> Vec<Action> {
        let tally = self.update_tally(job, item, |tally| tally.failures += 1);
        if tally.failures >= self.settings.attempt_limit {
            return self.end_item(job, item, failed_outcome("attempts_exhausted", reason));
        }
        let doublings = tally.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        self.retry_at(now + Millis(self.settings.retry_delay_ms << doublings), job, item);
        Vec::new()
    }

    /// Schedules the retry of an item whose upstream crashed. A crash is no evidence against the
    /// item, so it runs again however many upstreams have crashed under it.
    fn handle_crash(&mut self, now: Millis, job: &Job, item: Item, reason: &str) {
        let tally = self.update_tally(job, item, |tally| tally.crashes += 1);
        log::debug!("batch: item {item} of job {job}: crash {}: {reason}", tally.crashes);
        let doublings = tally.crashes.saturating_sub(1).min(MAX_DOUBLINGS);
        let soonest = now + Millis(self.settings.retry_delay_ms << doublings);
        let at = soonest.max(self.last_crash_retry_at + CRASH_RETRY_GAP);
        let at = at.min(now + CRASH_RETRY_MAX);
        self.last_crash_retry_at = at;
        self.retry_at(at, job, item);
    }

    fn update_tally(&mut self, job: &Job, item: Item, change: impl FnOnce(&mut Tally)) -> Tally {
        let Some(tracked) = self.jobs.get_mut(job) else { return Tally::default() };
        let tally = tracked.tallies.entry(item).or_default();
        change(tally);
        *tally
    }

    fn retry_at(&mut self, at: Millis, job: &Job, item: Item) {
        if let Some(tracked) = self.jobs.get_mut(job) {
            tracked.delayed.insert(item);
            self.timers.insert((at, Timer::Retry, job.clone(), item));
        }
    }

    pub(super) fn end_item(
        &mut self,
        job: &Job,
        item: Item,
        outcome: record::Outcome,
    ) -> Vec<Action> {
        let Some(tracked) = self.jobs.get_mut(job) else { return Vec::new() };
        let bytes = outcome.bytes().max(1);
        tracked.delayed.remove(&item);
        tracked.requeued.remove(&item);
        tracked.unconfirmed.insert(item, bytes);
        self.unconfirmed_bytes += bytes;
        vec![Action::AppendResult { job: job.clone(), item, outcome }]
    }
}

pub(super) fn unknown_outcome(reason: &str) -> record::Outcome {
    failed_outcome("outcome_unknown", reason)
}

fn failed_outcome(code: &str, message: &str) -> record::Outcome {
    record::Outcome::Failed { code: code.to_string(), message: message.to_string() }
}
