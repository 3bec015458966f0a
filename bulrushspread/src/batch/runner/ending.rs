//! How runs end, and how their ends reach the owners of the partitions.

use crate::{
    batch::message::{RunEnd, RunOutcome, Ticket},
    id::Upstream,
    time::Millis,
};

use super::{
    message::{Action, Fate, Start, Target},
    request,
    run::{Phase, Run},
    state::State,
};

/// Time after which an owner that has not answered is told again.
const TELL_INTERVAL: Millis = Millis(1_000);
/// Wait before a run that was refused or broken off starts again.
const RETRY_WAIT: Millis = Millis(500);
/// Refused starts after which the item goes back to its owner.
const REFUSAL_LIMIT: u32 = 5;

impl State {
    pub(super) fn ended(&mut self, now: Millis, start: &Start, fate: Fate) {
        let Some(run) = self.runs.get(&start.ticket) else { return };
        if run.start() != *start {
            return;
        }
        if let Fate::Finished { last: Some((index, text)), .. } = &fate {
            self.token(start, *index, text.clone());
        }
        let Some(run) = self.runs.get(&start.ticket) else { return };
        let Some(upstream) = run.upstream().cloned() else { return };
        if let Fate::Died { reason } = fate {
            return self.died(now, &upstream, &reason);
        }
        let target = self.leave(&upstream, start);
        if let Some(replica) = self.replicas.get_mut(&upstream) {
            match fate {
                Fate::NotRun { .. } => replica.rest(now, RETRY_WAIT),
                Fate::Finished { .. } | Fate::Answered { .. } => replica.answered(start),
                Fate::Broken { .. } | Fate::Died { .. } | Fate::Invalid { .. } => {}
            }
        }
        let Some(run) = self.runs.get_mut(&start.ticket) else { return };
        end_run(now, run, target, fate);
    }

    /// The upstream died. An item that ran alone there is the cause; others may be.
    fn died(&mut self, now: Millis, upstream: &Upstream, reason: &str) {
        let Some(replica) = self.replicas.get_mut(upstream) else { return };
        let alone = replica.running.len() == 1 && replica.vacating.is_empty() && !replica.held(now);
        let starts = std::mem::take(&mut replica.running);
        replica.prefills.clear();
        replica.fail(now, RETRY_WAIT);
        for start in starts {
            let Some(run) = self.runs.get_mut(&start.ticket) else { continue };
            if !run.work.idempotent {
                run.end(RunEnd::Unknown { reason: reason.to_string() });
            } else if alone {
                run.end(RunEnd::Crashed { reason: reason.to_string() });
            } else {
                run.suspect = true;
                run.pause(now, RETRY_WAIT);
            }
        }
    }

    /// Ends runs that have used up their time, and gives back those that wait too long.
    pub(super) fn end_overdue(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let limit = Millis(self.settings.item_ms);
        let overdue: Vec<Start> = self
            .runs
            .values()
            .filter(|run| run.upstream().is_some() && run.running_time(now) >= limit)
            .map(Run::start)
            .collect();
        for start in overdue {
            self.cancel(now, &start, actions);
            if let Some(run) = self.runs.get_mut(&start.ticket) {
                let reason = format!("did not end within {limit}");
                run.end(match run.work.idempotent {
                    true => RunEnd::Failed { reason },
                    false => RunEnd::Unknown { reason },
                });
            }
        }
        let patience = Millis(self.settings.pause_ms);
        for run in self.runs.values_mut() {
            if matches!(run.phase, Phase::Waiting { since, .. } if now - since >= patience) {
                run.end(RunEnd::Returned);
            }
        }
    }

    /// Gives back what no replica of this node can run.
    pub(super) fn return_homeless(&mut self) {
        for run in self.runs.values_mut() {
            let home = self.replicas.values().any(|replica| replica.spec.serves == run.serves);
            if !home && matches!(run.phase, Phase::Waiting { .. }) {
                run.end(RunEnd::Returned);
            }
        }
    }

    /// Tells the owners of ends that they have not taken over.
    pub(super) fn tell(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut outcomes = Vec::new();
        for run in self.runs.values_mut() {
            let Phase::Ended { end, told } = &mut run.phase else { continue };
            if told.is_some_and(|told| now - told < TELL_INTERVAL) {
                continue;
            }
            *told = Some(now);
            outcomes.push(RunOutcome { ticket: run.work.ticket.clone(), end: end.clone() });
        }
        if !outcomes.is_empty() {
            actions.push(Action::Tell(outcomes));
        }
    }

    pub(super) fn taken_over(&mut self, tickets: &[Ticket]) {
        for ticket in tickets {
            let ended = |run: &Run| matches!(run.phase, Phase::Ended { .. });
            if self.runs.get(ticket).is_some_and(ended) {
                self.runs.remove(ticket);
            }
        }
    }

    fn leave(&mut self, upstream: &Upstream, start: &Start) -> Option<Target> {
        let replica = self.replicas.get_mut(upstream)?;
        replica.running.remove(start);
        replica.prefills.remove(start);
        Some(replica.spec.target)
    }
}

fn end_run(now: Millis, run: &mut Run, target: Option<Target>, fate: Fate) {
    match fate {
        Fate::Finished { reason, created, .. } => {
            let body = request::answer(&run.work, &run.text, reason, created);
            run.end(RunEnd::Answered { status: 200, body });
        }
        Fate::Answered { status, body } => run.end(RunEnd::Answered { status, body }),
        Fate::Invalid { reason } => {
            run.end(RunEnd::Answered { status: 400, body: request::refusal(&reason) });
        }
        Fate::NotRun { .. } => refuse(now, run),
        Fate::Broken { reason } if !run.work.idempotent => run.end(RunEnd::Unknown { reason }),
        // A stream that has come further is resumed; one that breaks at once is the item's fault.
        Fate::Broken { .. } if target == Some(Target::Engine) && run.text.len() > run.from => {
            run.pause(now, RETRY_WAIT);
        }
        Fate::Broken { reason } | Fate::Died { reason } => run.end(RunEnd::Failed { reason }),
    }
}

fn refuse(now: Millis, run: &mut Run) {
    run.refusals += 1;
    if run.refusals > REFUSAL_LIMIT {
        return run.end(RunEnd::Returned);
    }
    run.pause(now, RETRY_WAIT);
}
