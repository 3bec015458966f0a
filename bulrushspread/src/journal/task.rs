//! The task of the journal: feeds events to the state and performs its actions.

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
    appender::{Answer, Failure, Request},
    record::{Position, Record, Writer, encode},
    state::{Action, Event, State},
    store::{self, Error},
};

pub(crate) type Result<T> = anyhow::Result<T>;

/// Capacity of the command channel. Callers of `append` wait while the channel is full.
const COMMAND_CAPACITY: usize = 1_024;
/// The longest time between two checks of the deadlines.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// A caller's request to append records.
pub(crate) struct Command {
    pub(crate) stream: Stream,
    pub(crate) bodies: Vec<Vec<u8>>,
    pub(crate) answer: oneshot::Sender<std::result::Result<Vec<Position>, Failure>>,
}

/// The state that handles and followers share with the running journal.
#[derive(Clone)]
pub(crate) struct Backend {
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) store: store::SharedStore,
    pub(crate) metrics: Metrics,
    pub(crate) follow_wait: Millis,
    pub(crate) clock: Clock,
    /// For each followed stream, the start of the last read that reached its end.
    pub(crate) last_complete_reads: Arc<Mutex<BTreeMap<Stream, Millis>>>,
    reachable: Arc<AtomicBool>,
}

impl Backend {
    /// Records whether the log responded, and logs a change.
    pub(crate) fn record_reachability(&self, reachable: bool) {
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

/// Connects the handle of the context and starts the journal's task.
pub(crate) async fn start(context: &Shared) -> Result<()> {
    let (commands, received) = mpsc::channel(COMMAND_CAPACITY);
    let backend = Backend {
        commands,
        store: context.log.clone(),
        metrics: context.metrics.clone(),
        follow_wait: Millis(context.settings.journal.follow_wait_ms),
        clock: context.clock.clone(),
        last_complete_reads: Arc::default(),
        reachable: Arc::new(AtomicBool::new(true)),
    };
    context.journal.connect(backend.clone());
    let writer = Writer { vm: context.settings.vm.clone(), incarnation: context.incarnation };
    let settings = context.settings.journal.clone();
    let task = Task::new(backend, writer, settings, context.clock.clone());
    tokio::spawn(task.run(received, context.membership.clone()));
    Ok(())
}

struct Task {
    backend: Backend,
    clock: Clock,
    state: State,
    timeout: Millis,
    /// The number of the next request.
    next_number: u64,
    callers: BTreeMap<u64, oneshot::Sender<std::result::Result<Vec<Position>, Failure>>>,
    outcomes: mpsc::UnboundedSender<(Stream, Event)>,
    received: mpsc::UnboundedReceiver<(Stream, Event)>,
}

impl Task {
    fn new(backend: Backend, writer: Writer, settings: Settings, clock: Clock) -> Task {
        let (outcomes, received) = mpsc::unbounded_channel();
        let timeout = Millis(settings.append_timeout_ms);
        let state = State::new(writer, settings);
        Task {
            backend,
            clock,
            state,
            timeout,
            next_number: 0,
            callers: BTreeMap::new(),
            outcomes,
            received,
        }
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>, members: membership::Handle) {
        let mut views = members.watch();
        loop {
            let wake = self.time_to_wake();
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
                    self.state.set_node_count(self.clock.now(), live);
                    Vec::new()
                }
                () = tokio::time::sleep(wake) => self.state.tick(self.clock.now()),
            };
            self.execute(actions);
        }
    }

    fn time_to_wake(&self) -> Duration {
        let now = self.clock.now();
        let wake = self.state.next_wake(now).map(|at| (at - now).duration());
        wake.unwrap_or(MAX_WAKE_INTERVAL).clamp(Duration::from_millis(1), MAX_WAKE_INTERVAL)
    }

    fn append(&mut self, command: Command) -> Vec<Action> {
        let now = self.clock.now();
        let number = self.next_number;
        self.next_number += 1;
        self.callers.insert(number, command.answer);
        let request = Request { number, bodies: command.bodies, deadline: now + self.timeout };
        self.state.apply(now, &command.stream, Event::Append(request))
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(stream, records) => self.start_append(stream, records),
                Action::Read(stream, from) => self.start_read(stream, from),
                Action::Answer(answer) => self.answer(answer),
            }
        }
    }

    fn start_append(&self, stream: Stream, records: Vec<Record>) {
        let _ = self.backend.metrics.incr("journal.appends");
        let _ = self.backend.metrics.count("journal.records", records.len() as i64);
        let _ = self.backend.metrics.gauge("journal.buffered_bytes", self.state.buffered() as u64);
        let (backend, outcomes) = (self.backend.clone(), self.outcomes.clone());
        tokio::spawn(async move {
            let event = append(&backend, &stream, &records).await;
            let _ = outcomes.send((stream, event));
        });
    }

    fn start_read(&self, stream: Stream, from: Offset) {
        let (backend, outcomes) = (self.backend.clone(), self.outcomes.clone());
        tokio::spawn(async move {
            let event = match backend.store.read(&stream, from, Millis(0)).await {
                Ok(page) => Event::Read(page),
                Err(Error::Expired { first }) => Event::Expired(first),
                Err(_) => Event::ReadFailed,
            };
            backend.record_reachability(!matches!(event, Event::ReadFailed));
            let _ = outcomes.send((stream, event));
        });
    }

    fn answer(&mut self, answer: Answer) {
        let name = match answer.result {
            Ok(_) => "journal.confirmed",
            Err(Failure::Unavailable) => "journal.refused",
            Err(Failure::Unconfirmed) => "journal.unconfirmed",
        };
        let _ = self.backend.metrics.incr(name);
        if let Some(caller) = self.callers.remove(&answer.number) {
            let _ = caller.send(answer.result);
        }
    }
}

/// Performs one append and returns its outcome.
async fn append(backend: &Backend, stream: &Stream, records: &[Record]) -> Event {
    let Ok(data) = encode(records) else { return Event::Refused { retry_after: None } };
    let event = match backend.store.append(stream, data).await {
        Ok(offset) => Event::Appended(offset),
        Err(Error::Refused { retry_after, .. }) => Event::Refused { retry_after },
        Err(Error::Unknown { .. } | Error::Expired { .. }) => Event::OutcomeUnknown,
    };
    backend.record_reachability(matches!(event, Event::Appended(_)));
    event
}
