//! How runs end: what is tried again, when, and what is a terminal failure.

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
    tracked::{Run, Tally, Tracked},
};

/// Retry delays double at most this many times.
const DOUBLINGS: u32 = 6;
/// Time between two retries of items under which an upstream died.
const SUSPECT_GAP: Millis = Millis(250);

impl Ledger {
    /// Takes in how a run ended.
    pub fn handle_outcome(
        &mut self,
        now: Millis,
        outcome: &RunOutcome,
    ) -> (ReportStatus, Vec<Action>) {
        let ticket = &outcome.ticket;
        let (job, item) = (&ticket.job, ticket.item);
        if let RunEnd::Answered { status, body } = &outcome.end {
            let answer = record::Outcome::Answered { status: *status, body: body.clone() };
            return self.answered(ticket, answer);
        }
        if !self.stop_run(ticket) {
            return (ReportStatus::Stale, Vec::new());
        }
        let repeats = self.jobs.get(job).is_some_and(Tracked::may_repeat);
        let actions = match &outcome.end {
            RunEnd::Answered { .. } => Vec::new(),
            RunEnd::Returned => {
                self.run_again(job, item);
                Vec::new()
            }
            RunEnd::Failed { reason } | RunEnd::Unknown { reason } | RunEnd::Crashed { reason }
                if !repeats =>
            {
                self.end(job, item, unknown(reason))
            }
            RunEnd::Failed { reason } | RunEnd::Unknown { reason } => {
                self.fail(now, job, item, reason)
            }
            RunEnd::Crashed { reason } => self.crash(now, job, item, reason),
        };
        (ReportStatus::Accepted, actions)
    }

    pub(super) fn time_out(&mut self, now: Millis, run: Run) -> Vec<Action> {
        const REASON: &str = "the run took too long";
        let (job, item) = (&run.ticket.job, run.ticket.item);
        self.stop_run(&run.ticket);
        let repeats = self.jobs.get(job).is_some_and(Tracked::may_repeat);
        let mut actions = match repeats {
            true => self.fail(now, job, item, REASON),
            false => self.end(job, item, unknown(REASON)),
        };
        let ticket = run.ticket.clone();
        actions.push(Action::Stop { runner: run.runner, ticket });
        actions
    }

    /// An answer counts whichever run it is of, as long as the item has no other outcome.
    fn answered(
        &mut self,
        ticket: &Ticket,
        answer: record::Outcome,
    ) -> (ReportStatus, Vec<Action>) {
        let (job, item) = (&ticket.job, ticket.item);
        let Some(tracked) = self.jobs.get(job) else { return (ReportStatus::Stale, Vec::new()) };
        let ran = tracked.may_repeat() || tracked.intended.contains(item);
        if !tracked.is_open(item) || !ran || ticket.epoch > self.epoch {
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
        actions.extend(self.end(job, item, answer));
        (ReportStatus::Accepted, actions)
    }

    /// The runner that had the item can't say what became of it.
    pub(super) fn lose(&mut self, now: Millis, job: &Job, item: Item) -> Vec<Action> {
        let Some(tracked) = self.jobs.get_mut(job) else { return Vec::new() };
        let Some(run) = tracked.running.get(&item).cloned() else { return Vec::new() };
        if !tracked.may_repeat() {
            tracked.waiting.insert(item);
            let until = now + Millis(self.settings.hold_grace_ms);
            self.timers.insert((until, Timer::Orphan, job.clone(), item));
            self.stop_run(&run.ticket);
            return Vec::new();
        }
        self.stop_run(&run.ticket);
        let tally = self.tally(job, item, |tally| tally.losses += 1);
        if tally.losses >= self.settings.loss_limit {
            return self.end(job, item, failed("runner_lost", "its runners were lost too often"));
        }
        self.run_again(job, item);
        Vec::new()
    }

    fn fail(&mut self, now: Millis, job: &Job, item: Item, reason: &str) -> Vec<Action> {
        let tally = self.tally(job, item, |tally| tally.failures += 1);
        if tally.failures >= self.settings.attempt_limit {
            return self.end(job, item, failed("attempts_exhausted", reason));
        }
        let doublings = tally.failures.saturating_sub(1).min(DOUBLINGS);
        self.retry_at(now + Millis(self.settings.retry_delay_ms << doublings), job, item);
        Vec::new()
    }

    fn crash(&mut self, now: Millis, job: &Job, item: Item, reason: &str) -> Vec<Action> {
        let tally = self.tally(job, item, |tally| tally.crashes += 1);
        if tally.crashes >= self.settings.crash_limit {
            return self.end(job, item, failed("upstream_crashed", reason));
        }
        let soonest = now + Millis(self.settings.retry_delay_ms);
        let at = soonest.max(self.suspect_at + SUSPECT_GAP);
        self.suspect_at = at;
        self.retry_at(at, job, item);
        Vec::new()
    }

    fn tally(&mut self, job: &Job, item: Item, change: impl FnOnce(&mut Tally)) -> Tally {
        let Some(tracked) = self.jobs.get_mut(job) else { return Tally::default() };
        let tally = tracked.tallies.entry(item).or_default();
        change(tally);
        *tally
    }

    fn retry_at(&mut self, at: Millis, job: &Job, item: Item) {
        if let Some(tracked) = self.jobs.get_mut(job) {
            tracked.waiting.insert(item);
            self.timers.insert((at, Timer::Retry, job.clone(), item));
        }
    }

    pub(super) fn end(&mut self, job: &Job, item: Item, outcome: record::Outcome) -> Vec<Action> {
        let Some(tracked) = self.jobs.get_mut(job) else { return Vec::new() };
        let bytes = outcome.bytes().max(1);
        tracked.waiting.remove(&item);
        tracked.again.remove(&item);
        tracked.ending.insert(item, bytes);
        self.ending_bytes += bytes;
        vec![Action::AppendResult { job: job.clone(), item, outcome }]
    }
}

pub(super) fn unknown(reason: &str) -> record::Outcome {
    failed("outcome_unknown", reason)
}

fn failed(code: &str, message: &str) -> record::Outcome {
    record::Outcome::Failed { code: code.to_string(), message: message.to_string() }
}
