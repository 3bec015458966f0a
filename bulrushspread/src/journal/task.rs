//! The tasks of this slice: they feed the state and carry out what it decides.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cadence::{Counted, CountedExt, Gauged};
use tokio::sync::{mpsc, oneshot};

use crate::{
    id::{Offset, Stream},
    membership,
    metrics::Metrics,
    node::Shared,
    time::{Clock, Millis},
};

use super::{
    Settings,
    appender::{Answer, Refusal, Request},
    record::{Position, Record, Writer, encode},
    state::{Action, Event, State},
    store::{self, Error},
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Callers that may wait for the journal's task before they are held back.
const COMMAND_BUFFER: usize = 1_024;
/// The longest time without a look at deadlines.
const IDLE_WAKE: Duration = Duration::from_secs(1);

/// A caller's wish to append records.
pub(crate) struct Command {
    pub(crate) stream: Stream,
    pub(crate) bodies: Vec<Vec<u8>>,
    pub(crate) answer: oneshot::Sender<std::result::Result<Vec<Position>, Refusal>>,
}

/// What a handle needs of the running journal.
#[derive(Clone)]
pub(crate) struct Wired {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) store: store::Shared,
    pub(crate) metrics: Metrics,
    pub(crate) follow_wait: Millis,
    pub(crate) clock: Clock,
    /// When the last read of a followed stream began that found its end.
    pub(crate) checked: Arc<Mutex<BTreeMap<Stream, Millis>>>,
    reachable: Arc<AtomicBool>,
}

impl Wired {
    /// Notes whether the log answered, and logs a change.
    pub(crate) fn report(&self, reachable: bool) {
        if self.reachable.swap(reachable, Ordering::Relaxed) == reachable {
            return;
        }
        if reachable {
            log::info!("journal: the log is reachable");
        } else {
            log::warn!("journal: the log is unreachable");
        }
    }
}

/// Starts the tasks of the slice.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    let (commands, received) = mpsc::channel(COMMAND_BUFFER);
    let wired = Wired {
        commands,
        store: context.log.clone(),
        metrics: context.metrics.clone(),
        follow_wait: Millis(context.settings.journal.follow_wait_ms),
        clock: context.clock.clone(),
        checked: Arc::default(),
        reachable: Arc::new(AtomicBool::new(true)),
    };
    context.journal.wire(wired.clone());
    let writer = Writer { vm: context.settings.vm.clone(), incarnation: context.incarnation };
    let settings = context.settings.journal.clone();
    let task = Task::new(wired, writer, settings, context.clock.clone());
    tokio::spawn(task.run(received, context.membership.clone()));
    Ok(())
}

struct Task {
    wired: Wired,
    clock: Clock,
    state: State,
    timeout: Millis,
    /// The number of the next request.
    next: u64,
    callers: BTreeMap<u64, oneshot::Sender<std::result::Result<Vec<Position>, Refusal>>>,
    outcomes: mpsc::UnboundedSender<(Stream, Event)>,
    received: mpsc::UnboundedReceiver<(Stream, Event)>,
}

impl Task {
    fn new(wired: Wired, writer: Writer, settings: Settings, clock: Clock) -> Task {
        let (outcomes, received) = mpsc::unbounded_channel();
        let timeout = Millis(settings.append_timeout_ms);
        let state = State::new(writer, settings);
        Task { wired, clock, state, timeout, next: 0, callers: BTreeMap::new(), outcomes, received }
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>, members: membership::Handle) {
        let mut views = members.watch();
        loop {
            let wake = self.wake();
            let actions = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.append(command),
                    None => return,
                },
                Some((stream, event)) = self.received.recv() => {
                    self.state.apply(self.clock.now(), &stream, event)
                }
                Ok(()) = views.changed() => {
                    let live = views.borrow_and_update().nodes.len();
                    self.state.set_nodes(self.clock.now(), live);
                    Vec::new()
                }
                () = tokio::time::sleep(wake) => self.state.tick(self.clock.now()),
            };
            self.carry_out(actions);
        }
    }

    fn wake(&self) -> Duration {
        let now = self.clock.now();
        let wake = self.state.wake(now).map(|at| (at - now).duration());
        wake.unwrap_or(IDLE_WAKE).clamp(Duration::from_millis(1), IDLE_WAKE)
    }

    fn append(&mut self, command: Command) -> Vec<Action> {
        let now = self.clock.now();
        let number = self.next;
        self.next += 1;
        self.callers.insert(number, command.answer);
        let request = Request { number, bodies: command.bodies, deadline: now + self.timeout };
        self.state.apply(now, &command.stream, Event::Append(request))
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(stream, records) => self.start_append(stream, records),
                Action::Read(stream, from) => self.start_read(stream, from),
                Action::Answer(answer) => self.answer(answer),
            }
        }
    }

    fn start_append(&self, stream: Stream, records: Vec<Record>) {
        let _ = self.wired.metrics.incr("journal.appends");
        let _ = self.wired.metrics.count("journal.records", records.len() as i64);
        let _ = self.wired.metrics.gauge("journal.buffered_bytes", self.state.buffered() as u64);
        let (wired, outcomes) = (self.wired.clone(), self.outcomes.clone());
        tokio::spawn(async move {
            let event = append(&wired, &stream, &records).await;
            let _ = outcomes.send((stream, event));
        });
    }

    fn start_read(&self, stream: Stream, from: Offset) {
        let (wired, outcomes) = (self.wired.clone(), self.outcomes.clone());
        tokio::spawn(async move {
            let event = match wired.store.read(&stream, from, Millis(0)).await {
                Ok(page) => Event::Read(page),
                Err(Error::Expired { first }) => Event::Expired(first),
                Err(_) => Event::ReadFailed,
            };
            wired.report(!matches!(event, Event::ReadFailed));
            let _ = outcomes.send((stream, event));
        });
    }

    fn answer(&mut self, answer: Answer) {
        let name = match answer.result {
            Ok(_) => "journal.confirmed",
            Err(Refusal::Unavailable) => "journal.refused",
            Err(Refusal::Unconfirmed) => "journal.unconfirmed",
        };
        let _ = self.wired.metrics.incr(name);
        if let Some(caller) = self.callers.remove(&answer.number) {
            let _ = caller.send(answer.result);
        }
    }
}

async fn append(wired: &Wired, stream: &Stream, records: &[Record]) -> Event {
    let Ok(data) = encode(records) else { return Event::Refused { retry_after: None } };
    let event = match wired.store.append(stream, data).await {
        Ok(offset) => Event::Appended(offset),
        Err(Error::Refused { retry_after, .. }) => Event::Refused { retry_after },
        Err(Error::Unknown { .. } | Error::Expired { .. }) => Event::Lost,
    };
    wired.report(matches!(event, Event::Appended(_)));
    event
}
