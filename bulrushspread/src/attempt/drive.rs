//! Carries out the decisions for one request.

use std::net::SocketAddr;

use cadence::CountedExt;
use futures_util::{StreamExt, future::OptionFuture};
use tokio::sync::mpsc::Sender;

use crate::{
    error::Result,
    node::Shared,
    route::{Isolation, Lease, Refusal, Want, state::End},
    time::Millis,
    upstream::{Delivery, Failure},
};

use super::{
    apart::{self, Reserved},
    spread,
    state::{Action, Choice, Event, Loss, Request},
    work::{Progress, Running, Work},
};

/// Times that an upstream is asked whether it is alive.
const PROBES: u32 = 2;
/// Time between two of these.
const PROBE_PAUSE: Millis = Millis(100);
/// Replicas that are tried for one that runs no suspect.
const RESERVATIONS: u32 = 4;
/// Time that a caller who doesn't read may hold back the end of its request.
const LAST_WORD_TIMEOUT: Millis = Millis(1_000);

/// One request and the edge around its decisions.
pub(super) struct Drive {
    context: Shared,
    work: Work,
    request: Request,
    /// Deployments or services that can serve the work, the first choice first.
    serves: Vec<String>,
    /// Where progress goes. Closed when the caller has left.
    out: Sender<Result<Progress>>,
    /// Texts of the events that the caller has, in order of index.
    delivered: Vec<String>,
    running: Option<(u32, Lease, Running)>,
    /// Held while the attempt runs apart from other suspects.
    reserved: Option<Reserved>,
    wake: Millis,
}

/// What the loop goes on with.
enum Next {
    Event(Event, Option<Progress>),
    CallerLeft,
}

impl Drive {
    pub(super) fn new(
        context: &Shared,
        work: Work,
        request: Request,
        serves: Vec<String>,
        out: Sender<Result<Progress>>,
    ) -> Drive {
        Drive {
            context: context.clone(),
            wake: work.deadline(),
            work,
            request,
            serves,
            out,
            delivered: Vec::new(),
            running: None,
            reserved: None,
        }
    }

    /// Runs the request to its end.
    pub(super) async fn run(mut self) {
        let mut next = Next::Event(Event::Begin, None);
        while let Next::Event(event, progress) = next {
            match self.step(event, progress).await {
                Step::Ended => return,
                Step::Apply(event) => next = Next::Event(event, None),
                Step::Wait => next = self.wait().await,
            }
        }
        self.cancel(End::Neutral);
    }

    /// Applies one event and carries out what follows from it.
    async fn step(&mut self, event: Event, mut progress: Option<Progress>) -> Step {
        let now = self.context.clock.now();
        let lost = match event {
            Event::Lost { loss, .. } => Some(loss),
            _ => None,
        };
        let (actions, news) = {
            let mut node = self.context.attempt.node();
            let actions = self.request.apply(now, event, &mut node);
            (actions, node.quarantine.take_updates(now))
        };
        spread::tell(&self.context, news);
        if let Some(loss) = lost {
            let _ = self.context.metrics.incr(counter(loss));
            self.release(loss);
        }
        let mut step = Step::Wait;
        for action in actions {
            match action {
                Action::Dispatch { attempt, choice, .. } => {
                    step = Step::Apply(self.dispatch(attempt, choice).await);
                }
                Action::Deliver => {
                    let Some(progress) = progress.take() else { continue };
                    self.deliver(progress).await;
                }
                Action::Share => self.share(),
                Action::Cancel => self.cancel(End::Failed),
                Action::Wake(at) => self.wake = at,
                Action::Finish(result) => {
                    self.finish(result).await;
                    return Step::Ended;
                }
            }
        }
        step
    }

    async fn dispatch(&mut self, attempt: u32, choice: Choice) -> Event {
        let picked = match choice.isolation {
            Isolation::Shared => self.pick(&choice),
            Isolation::Alone => self.pick_apart(choice).await,
        };
        let lease = match picked {
            Ok(lease) => lease,
            Err(Refusal::Busy) => return Event::Busy,
            Err(Refusal::NoReplica) => return Event::NoUpstream,
        };
        let upstream = lease.pick.upstream.clone();
        let _ = self.context.metrics.incr("attempt.dispatched");
        let running = self.work.send(&self.context, lease.pick.address, &self.delivered);
        self.running = Some((attempt, lease, running));
        Event::Picked { upstream }
    }

    /// Chooses a replica on which no suspect of any node runs.
    async fn pick_apart(&mut self, mut choice: Choice) -> std::result::Result<Lease, Refusal> {
        let mut refusal = None;
        for _ in 0..RESERVATIONS {
            let lease = self.pick(&choice).map_err(|reason| refusal.unwrap_or(reason))?;
            let upstream = lease.pick.upstream.clone();
            self.reserved = apart::reserve(&self.context, &upstream).await;
            if self.reserved.is_some() {
                return Ok(lease);
            }
            refusal = Some(Refusal::Busy);
            choice.prefer = None;
            choice.avoid.insert(upstream);
        }
        Err(Refusal::Busy)
    }

    fn pick(&self, choice: &Choice) -> std::result::Result<Lease, Refusal> {
        let mut refusal = Refusal::NoReplica;
        for serves in &self.serves {
            let want = Want {
                serves: serves.clone(),
                model: self.work.model(),
                prefix: self.work.prefix(),
                avoid: choice.avoid.clone(),
                prefer: choice.prefer.clone(),
                isolation: choice.isolation,
            };
            match self.context.route.pick(&self.context, &want) {
                Ok(lease) => return Ok(lease),
                Err(reason) => refusal = refusal.min(reason),
            }
        }
        Err(refusal)
    }

    /// Waits for the caller to leave, progress of the upstream, or the time to wake.
    async fn wait(&mut self) -> Next {
        let now = self.context.clock.now();
        let stall = Millis(self.context.settings.attempt.stall_ms);
        let stalls = matches!(self.work, Work::Generate(_)) && self.running.is_some();
        let running = self.running.as_mut().map(|(_, _, running)| running.next());
        tokio::select! {
            () = self.out.closed() => Next::CallerLeft,
            () = tokio::time::sleep((self.wake - now).duration()) => {
                Next::Event(Event::Tick, None)
            }
            Some(item) = OptionFuture::from(running) => self.progress(item).await,
            () = tokio::time::sleep(stall.duration()), if stalls => {
                self.stalled()
            }
        }
    }

    async fn progress(&mut self, item: Option<std::result::Result<Progress, Failure>>) -> Next {
        let Some((attempt, lease, _)) = self.running.as_mut() else {
            return Next::Event(Event::Tick, None);
        };
        let attempt = *attempt;
        let address = lease.pick.address;
        match item {
            Some(Ok(progress)) => {
                lease.answered();
                Next::Event(event(attempt, &progress), Some(progress))
            }
            Some(Err(failure)) => {
                let loss = classify(&self.context, &self.work, address, &failure).await;
                Next::Event(Event::Lost { attempt, loss }, None)
            }
            None => Next::Event(Event::Lost { attempt, loss: Loss::Broken }, None),
        }
    }

    fn stalled(&mut self) -> Next {
        let Some((attempt, lease, _)) = &self.running else {
            return Next::Event(Event::Tick, None);
        };
        self.work.cancel(&self.context, lease.pick.address);
        Next::Event(Event::Lost { attempt: *attempt, loss: Loss::Broken }, None)
    }

    async fn deliver(&mut self, progress: Progress) {
        if let Progress::Event(event) = &progress {
            self.delivered.push(event.text.clone());
        }
        let left = self.work.deadline() - self.context.clock.now();
        let _ = tokio::time::timeout(left.duration(), self.out.send(Ok(progress))).await;
    }

    /// Ends the lost attempt with what it shows of its replica.
    fn release(&mut self, loss: Loss) {
        self.reserved = None;
        let Some((_, lease, _)) = self.running.take() else { return };
        lease.finish(match loss {
            Loss::Refused => End::Neutral,
            Loss::NotSent | Loss::Broken => End::Failed,
            Loss::Died => End::Died,
        });
    }

    /// Lets other requests run beside the current attempt again.
    fn share(&mut self) {
        self.reserved = None;
        if let Some((_, lease, _)) = &mut self.running {
            lease.share();
        }
    }

    fn cancel(&mut self, end: End) {
        self.reserved = None;
        let Some((_, lease, running)) = self.running.take() else { return };
        drop(running);
        self.work.cancel(&self.context, lease.pick.address);
        lease.finish(end);
    }

    async fn finish(&mut self, result: Result<()>) {
        self.reserved = None;
        match result {
            Ok(()) => {
                if let Some((_, lease, _)) = self.running.take() {
                    lease.finish(End::Succeeded);
                }
            }
            Err(error) => {
                let _ = self.context.metrics.incr(&format!("attempt.ended.{}", error.kind));
                self.running = None;
                let send = self.out.send(Err(error));
                let _ = tokio::time::timeout(LAST_WORD_TIMEOUT.duration(), send).await;
            }
        }
    }
}

enum Step {
    Wait,
    Apply(Event),
    Ended,
}

fn counter(loss: Loss) -> &'static str {
    match loss {
        Loss::NotSent => "attempt.lost.not_sent",
        Loss::Refused => "attempt.lost.refused",
        Loss::Broken => "attempt.lost.broken",
        Loss::Died => "attempt.lost.died",
    }
}

fn event(attempt: u32, progress: &Progress) -> Event {
    match progress {
        Progress::Event(event) => {
            Event::Token { attempt, index: event.index, last: event.finish.is_some() }
        }
        Progress::Answer(_) => Event::Answered { attempt },
    }
}

/// What a failure says of the dispatch. Asks whether the upstream is still alive.
async fn classify(context: &Shared, work: &Work, address: SocketAddr, failure: &Failure) -> Loss {
    if failure.refused {
        return Loss::Refused;
    }
    if failure.delivery == Delivery::NotSent {
        return Loss::NotSent;
    }
    for _ in 0..PROBES {
        if work.is_alive(context, address).await {
            return Loss::Broken;
        }
        tokio::time::sleep(PROBE_PAUSE.duration()).await;
    }
    Loss::Died
}
