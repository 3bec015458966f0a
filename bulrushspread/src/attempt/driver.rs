//! Executes the actions of one request and feeds the results back into its state machine.

use std::net::SocketAddr;

use cadence::CountedExt;
use futures_util::{StreamExt, future::OptionFuture};
use tokio::sync::mpsc::Sender;

use crate::{
    error::Result,
    node::Shared,
    route::{Criteria, Guard, Isolation, Refusal, state::Outcome},
    time::Millis,
    upstream::{Delivery, Failure, FailureKind},
};

use super::{
    gossip::Report,
    reservation,
    state::{Action, Constraints, Event, Loss, Request},
    work::{Progress, ProgressStream, Work},
};

/// Number of failed health checks in a row after which an upstream counts as crashed.
const HEALTH_CHECKS: u32 = 2;
/// Pause after each failed health check.
const HEALTH_CHECK_PAUSE: Millis = Millis(100);
/// Maximum number of replicas that are tried in one attempt to reserve one for a suspect.
const MAX_RESERVATION_TRIES: u32 = 4;
/// Time after which the final error is dropped if the caller doesn't read it.
const ERROR_DELIVERY_TIMEOUT: Millis = Millis(1_000);

/// Performs the I/O of one request.
pub(super) struct Driver {
    context: Shared,
    work: Work,
    request: Request,
    /// Deployments or services that can serve the work, in order of preference.
    targets: Vec<String>,
    /// Sends progress to the caller. Closed when the caller has disconnected.
    progress_tx: Sender<Result<Progress>>,
    /// Texts of the events that were delivered to the caller, in order of index.
    delivered: Vec<String>,
    /// Number and replica of an attempt that has not been sent yet.
    picked: Option<(u32, Guard)>,
    /// Number, replica and progress of the current attempt.
    running: Option<(u32, Guard, ProgressStream)>,
    /// Held while the attempt must be the only suspect on its upstream.
    reservation: Option<reservation::Guard>,
    /// The latest report of this request as a suspect to the other nodes.
    report: Option<Report>,
    /// Time of the next tick.
    wake_at: Millis,
}

/// Result of waiting.
enum Next {
    Event(Event, Option<Progress>),
    CallerDisconnected,
}

impl Driver {
    pub(super) fn new(
        context: &Shared,
        work: Work,
        request: Request,
        targets: Vec<String>,
        progress_tx: Sender<Result<Progress>>,
    ) -> Driver {
        Driver {
            context: context.clone(),
            wake_at: work.deadline(),
            work,
            request,
            targets,
            progress_tx,
            delivered: Vec::new(),
            picked: None,
            running: None,
            reservation: None,
            report: None,
        }
    }

    /// Runs the request until it ends or the caller disconnects.
    pub(super) async fn run(mut self) {
        let mut next = Next::Event(Event::Begin, None);
        while let Next::Event(event, progress) = next {
            match self.step(event, progress).await {
                Step::Ended => return,
                Step::Apply(event) => next = Next::Event(event, None),
                Step::Wait => next = self.wait().await,
            }
        }
        self.cancel(Outcome::Neutral);
    }

    /// Applies one event and executes the resulting actions. `progress` is what the event carried.
    async fn step(&mut self, event: Event, mut progress: Option<Progress>) -> Step {
        let now = self.context.clock.now();
        let loss = match event {
            Event::Lost { loss, .. } => Some(loss),
            _ => None,
        };
        let (actions, updates) = {
            let mut node = self.context.attempt.node();
            let actions = self.request.apply(now, event, &mut node);
            (actions, node.quarantine.take_updates(now))
        };
        if !updates.is_empty() {
            self.report = Some(Report::start(&self.context, updates));
        }
        if let Some(loss) = loss {
            let _ = self.context.metrics.incr(loss_metric(loss));
            self.release_lost(loss);
        }
        let mut step = Step::Wait;
        for action in actions {
            match action {
                Action::Dispatch { attempt, constraints, .. } => {
                    step = Step::Apply(self.dispatch(attempt, constraints).await);
                }
                Action::Send => self.send(),
                Action::Deliver => {
                    let Some(progress) = progress.take() else { continue };
                    self.deliver(progress).await;
                }
                Action::EndIsolation => self.end_isolation(),
                Action::Cancel => self.cancel(Outcome::Failed),
                Action::Wake(at) => self.wake_at = at,
                Action::Finish(result) => {
                    self.finish(result).await;
                    return Step::Ended;
                }
            }
        }
        step
    }

    async fn dispatch(&mut self, attempt: u32, constraints: Constraints) -> Event {
        let picked = match constraints.isolation {
            Isolation::Shared => self.pick(&constraints),
            Isolation::Exclusive => self.pick_isolated(constraints).await,
        };
        let guard = match picked {
            Ok(guard) => guard,
            Err(Refusal::Busy) => return Event::Busy,
            Err(Refusal::NoReplica) => return Event::NoUpstream,
        };
        let upstream = guard.pick.upstream.clone();
        self.picked = Some((attempt, guard));
        Event::Picked { upstream }
    }

    fn send(&mut self) {
        let Some((attempt, guard)) = self.picked.take() else { return };
        let _ = self.context.metrics.incr("attempt.dispatched");
        let running = self.work.send(&self.context, guard.pick.address, &self.delivered);
        self.running = Some((attempt, guard, running));
    }

    /// Picks a replica on which no node runs a suspect, and reserves it.
    async fn pick_isolated(
        &mut self,
        mut constraints: Constraints,
    ) -> std::result::Result<Guard, Refusal> {
        let mut refusal = None;
        for _ in 0..MAX_RESERVATION_TRIES {
            let guard = self.pick(&constraints).map_err(|reason| refusal.unwrap_or(reason))?;
            let upstream = guard.pick.upstream.clone();
            self.reservation = reservation::reserve(&self.context, &upstream).await;
            if self.reservation.is_some() {
                return Ok(guard);
            }
            refusal = Some(Refusal::Busy);
            constraints.preferred = None;
            constraints.excluded.insert(upstream);
        }
        Err(Refusal::Busy)
    }

    /// Picks a replica of the first target with an available one.
    fn pick(&self, constraints: &Constraints) -> std::result::Result<Guard, Refusal> {
        let mut refusal = Refusal::NoReplica;
        for target in &self.targets {
            let criteria = Criteria {
                serves: target.clone(),
                model: self.work.model(),
                prefix: self.work.prefix(),
                excluded: constraints.excluded.clone(),
                preferred: constraints.preferred.clone(),
                isolation: constraints.isolation,
            };
            match self.context.route.pick(&self.context, &criteria) {
                Ok(guard) => return Ok(guard),
                Err(reason) => refusal = refusal.min(reason),
            }
        }
        Err(refusal)
    }

    /// Waits until the caller disconnects, the upstream sends something or stalls, or a tick is
    /// due.
    async fn wait(&mut self) -> Next {
        let now = self.context.clock.now();
        let stall = Millis(self.context.settings.attempt.stall_ms);
        let can_stall = matches!(self.work, Work::Generate(_)) && self.running.is_some();
        let running = self.running.as_mut().map(|(_, _, running)| running.next());
        tokio::select! {
            () = self.progress_tx.closed() => Next::CallerDisconnected,
            () = tokio::time::sleep((self.wake_at - now).duration()) => {
                Next::Event(Event::Tick, None)
            }
            Some(item) = OptionFuture::from(running) => self.handle_progress(item).await,
            () = tokio::time::sleep(stall.duration()), if can_stall => {
                self.handle_stall()
            }
        }
    }

    async fn handle_progress(
        &mut self,
        item: Option<std::result::Result<Progress, Failure>>,
    ) -> Next {
        let Some((attempt, guard, _)) = self.running.as_mut() else {
            return Next::Event(Event::Tick, None);
        };
        let attempt = *attempt;
        let address = guard.pick.address;
        match item {
            Some(Ok(progress)) => {
                guard.observe_response();
                Next::Event(progress_event(attempt, &progress), Some(progress))
            }
            Some(Err(failure)) => {
                let loss = classify(&self.context, &self.work, address, &failure).await;
                Next::Event(Event::Lost { attempt, loss }, None)
            }
            None => Next::Event(Event::Lost { attempt, loss: Loss::Broken }, None),
        }
    }

    fn handle_stall(&mut self) -> Next {
        let Some((attempt, guard, _)) = &self.running else {
            return Next::Event(Event::Tick, None);
        };
        self.work.cancel(&self.context, guard.pick.address);
        Next::Event(Event::Lost { attempt: *attempt, loss: Loss::Broken }, None)
    }

    /// Sends progress to the caller, at most until the deadline.
    async fn deliver(&mut self, progress: Progress) {
        if let Progress::Event(event) = &progress {
            self.delivered.push(event.text.clone());
        }
        let left = self.work.deadline() - self.context.clock.now();
        let _ = tokio::time::timeout(left.duration(), self.progress_tx.send(Ok(progress))).await;
    }

    /// Ends a lost attempt and reports the outcome for its replica.
    fn release_lost(&mut self, loss: Loss) {
        self.reservation = None;
        let Some((_, guard, _)) = self.running.take() else { return };
        guard.finish(match loss {
            Loss::Refused => Outcome::Neutral,
            Loss::NotSent | Loss::Broken => Outcome::Failed,
            Loss::Crashed => Outcome::Crashed,
        });
    }

    /// Allows other requests on the upstream of the current attempt again.
    fn end_isolation(&mut self) {
        self.reservation = None;
        if let Some((_, guard, _)) = &mut self.running {
            guard.end_isolation();
        }
    }

    /// Cancels the current attempt at its upstream and reports `outcome` for its replica.
    fn cancel(&mut self, outcome: Outcome) {
        self.reservation = None;
        let Some((_, guard, running)) = self.running.take() else { return };
        drop(running);
        self.work.cancel(&self.context, guard.pick.address);
        guard.finish(outcome);
    }

    /// Ends the request: reports a success for its replica, or sends the error to the caller.
    async fn finish(&mut self, result: Result<()>) {
        self.reservation = None;
        match result {
            Ok(()) => {
                if let Some((_, guard, _)) = self.running.take() {
                    guard.finish(Outcome::Succeeded);
                }
            }
            Err(error) => {
                let _ = self.context.metrics.incr(&format!("attempt.ended.{}", error.kind));
                self.picked = None;
                self.running = None;
                self.confirm_report().await;
                let send = self.progress_tx.send(Err(error));
                let _ = tokio::time::timeout(ERROR_DELIVERY_TIMEOUT.duration(), send).await;
            }
        }
    }

    /// Waits until the other nodes know that the request is a suspect: the caller may repeat it at
    /// one of them once it has the error.
    async fn confirm_report(&mut self) {
        let Some(report) = self.report.take() else { return };
        report.wait(self.work.deadline() - self.context.clock.now()).await;
    }
}

/// What follows after an event was applied.
enum Step {
    Wait,
    Apply(Event),
    Ended,
}

fn loss_metric(loss: Loss) -> &'static str {
    match loss {
        Loss::NotSent => "attempt.lost.not_sent",
        Loss::Refused => "attempt.lost.refused",
        Loss::Broken => "attempt.lost.broken",
        Loss::Crashed => "attempt.lost.died",
    }
}

fn progress_event(attempt: u32, progress: &Progress) -> Event {
    match progress {
        Progress::Event(event) => {
            Event::Token { attempt, index: event.index, last: event.finish.is_some() }
        }
        Progress::Answer(_) => Event::Answered { attempt },
    }
}

/// Classifies a failed attempt. Checks the health of the upstream unless the failure shows that
/// the request did not run.
async fn classify(context: &Shared, work: &Work, address: SocketAddr, failure: &Failure) -> Loss {
    if failure.kind == FailureKind::Refused {
        return Loss::Refused;
    }
    if failure.delivery == Delivery::NotSent {
        return Loss::NotSent;
    }
    for _ in 0..HEALTH_CHECKS {
        if work.is_alive(context, address).await {
            return Loss::Broken;
        }
        tokio::time::sleep(HEALTH_CHECK_PAUSE.duration()).await;
    }
    Loss::Crashed
}
