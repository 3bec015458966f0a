//! The task of one partition: feeds its state and carries out what it decides.

use std::{collections::BTreeMap, time::Duration};

use cadence::{Counted, CountedExt};
use tokio::sync::{mpsc, oneshot};

use crate::{
    batch::{
        message::{Grant, RunOutcome, Work},
        record::{self, PartitionRecord as Record, partition_stream},
    },
    id::{Item, Job, Offset, Partition, Stream, Vm},
    journal::{
        Entry, Followed,
        record::{Position, Writer},
    },
    node::Shared,
    time::Millis,
};

use super::{
    command::Command,
    operation::{self, Completion, Granted},
    state::{Action, Event, State},
};

/// Time between two looks at timers.
const TICK: Duration = Duration::from_millis(25);
/// Bytes of results that go in one append.
const FLUSH_BYTES: usize = 384 << 10;
/// Pause after results could not be appended.
const FLUSH_PAUSE: Millis = Millis(200);
/// Time in which a grant must reach its runner; later it is taken back.
const GRANT_TIMEOUT: Millis = Millis(400);
/// Time that a runner waits for the results of non-idempotent items to be durable.
const DURABLE_TIMEOUT: Millis = Millis(1_500);

/// A runner that waits until its outcomes are durable.
struct Waiting {
    items: Vec<(Job, Item)>,
    until: Millis,
    reply: oneshot::Sender<bool>,
}

pub(crate) struct Actor {
    context: Shared,
    partition: Partition,
    stream: Stream,
    state: State,
    owned: bool,
    completions: mpsc::UnboundedSender<Completion>,
    done: mpsc::UnboundedReceiver<Completion>,
    flushing: bool,
    /// The next results are not appended before this record has been taken in.
    flushed: Option<Position>,
    flush_after: Millis,
    /// Grants whose intents have not been taken in.
    intending: Vec<Granted>,
    waiting: Vec<Waiting>,
    /// Orders to stop that have not been answered, by job.
    stopping: BTreeMap<Job, usize>,
}

impl Actor {
    pub(crate) fn new(context: Shared, partition: Partition) -> Actor {
        let me = Writer { vm: context.settings.vm.clone(), incarnation: context.incarnation };
        let (completions, done) = mpsc::unbounded_channel();
        Actor {
            stream: partition_stream(&context.settings.environment, partition),
            state: State::new(me, partition, context.settings.batch.clone()),
            context,
            partition,
            owned: false,
            completions,
            done,
            flushing: false,
            flushed: None,
            flush_after: Millis::default(),
            intending: Vec::new(),
            waiting: Vec::new(),
            stopping: BTreeMap::new(),
        }
    }

    /// Runs until this node neither owns the partition nor should.
    pub(crate) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut followed = self.context.journal.follow(&self.stream, Offset::default());
        let mut members_known = false;
        loop {
            let checked = self.context.journal.checked_at(&self.stream);
            tokio::select! {
                biased;
                news = followed.recv() => match news {
                    Some(news) => self.follow(news),
                    None => break,
                },
                Some(operation) = self.done.recv() => self.take(operation),
                Some(command) = commands.recv() => {
                    members_known |= matches!(&command, Command::Event(Event::Members { .. }));
                    if let Some(at) = checked {
                        self.feed(Event::CurrentAsOf(at));
                    }
                    self.serve(command);
                }
                () = tokio::time::sleep(TICK) => {
                    let actions = self.state.tick(self.context.clock.now());
                    self.carry_out(actions);
                }
            }
            self.flush();
            self.hand_out();
            self.answer_waiting();
            self.report();
            if members_known && self.state.is_done() {
                break;
            }
        }
        self.context.batch.owner.partitions.lock().unwrap().remove(&self.partition);
    }

    fn follow(&mut self, news: Followed) {
        match news {
            Followed::Entries(entries) => entries.iter().for_each(|entry| self.read(entry)),
            Followed::CaughtUp(_) => self.feed(Event::CaughtUp),
            Followed::Lost(first) => {
                log::debug!(
                    "batch: partition {}: records before {first} have expired",
                    self.partition
                );
            }
        }
    }

    fn read(&mut self, entry: &Entry) {
        match record::decode::<Record>(&entry.record.body) {
            Ok(record) if self.is_over(&record) => self.feed(Event::Skipped(entry.position)),
            Ok(record) => self.feed(Event::Record(entry.position, record)),
            Err(error) => {
                let _ = self.context.metrics.incr("batch.lane.unreadable");
                log::debug!(
                    "batch: partition {} at {}: {error}",
                    self.partition,
                    entry.position.offset
                );
                self.feed(Event::Skipped(entry.position));
            }
        }
    }

    /// Whether the record is of a job that has finished.
    fn is_over(&self, record: &Record) -> bool {
        let job = match record {
            Record::Claim { .. } | Record::Release { .. } => return false,
            Record::Intent { job, .. }
            | Record::Results { job, .. }
            | Record::Cancel { job }
            | Record::Index { job, .. } => job,
        };
        let fold = self.context.batch.owner.directory.state();
        fold.job(job).is_some_and(|job| job.finished.is_some())
    }

    fn feed(&mut self, event: Event) {
        let actions = self.state.apply(self.context.clock.now(), event);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => {
                    self.start(operation::append(
                        self.context.clone(),
                        self.stream.clone(),
                        record,
                    ));
                }
                Action::Stop { runner, ticket } => {
                    *self.stopping.entry(ticket.job.clone()).or_default() += 1;
                    self.start(operation::stop(self.context.clone(), runner, ticket));
                }
                Action::LookUpCustomId { job, item } => {
                    self.start(operation::name(self.context.clone(), job, item));
                }
                Action::Finish { job, epoch, counts, offsets } => {
                    let index = Record::Index { epoch, job: job.clone(), offsets };
                    let (context, stream) = (self.context.clone(), self.stream.clone());
                    self.start(operation::finish(context, stream, job, index, counts));
                }
            }
        }
    }

    fn start(&self, operation: impl Future<Output = Completion> + Send + 'static) {
        let completions = self.completions.clone();
        tokio::spawn(async move {
            let _ = completions.send(operation.await);
        });
    }

    fn take(&mut self, operation: Completion) {
        match operation {
            Completion::NotAppended => self.feed(Event::AppendFailed),
            Completion::Named { job, item, custom_id } => {
                self.feed(Event::CustomIdFound(job, item, custom_id))
            }
            Completion::NotFinished(job) => self.state.handle_finish_failed(&job),
            Completion::Flushed(Ok(positions)) => {
                self.flushing = false;
                self.flushed = positions.last().copied();
            }
            Completion::Flushed(Err(_)) => {
                self.flushing = false;
                self.flush_after = self.context.clock.now() + FLUSH_PAUSE;
            }
            Completion::Stopped(job) => {
                if let Some(count) = self.stopping.get_mut(&job) {
                    *count -= 1;
                }
                self.stopping.retain(|_, count| *count > 0);
            }
            Completion::Granted(granted) => self.intending.push(granted),
            Completion::Done => {}
        }
    }

    fn serve(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.feed(event),
            Command::Pull { runner, pull, reply } => self.pull(&runner, &pull, reply),
            Command::Outcomes { outcomes, reply } => self.outcomes(&outcomes, reply),
            Command::Cancelled { job, reply } => {
                let now = self.context.clock.now();
                let ended = self.state.is_cancelled(now, &job);
                let _ = reply.send(ended && !self.stopping.contains_key(&job));
            }
            Command::Counts { job, reply } => {
                let counts = self.state.is_owner().then(|| self.state.counts(&job)).flatten();
                let _ = reply.send(counts);
            }
        }
    }

    fn pull(
        &mut self,
        runner: &Vm,
        pull: &crate::batch::message::Pull,
        reply: oneshot::Sender<Grant>,
    ) {
        let now = self.context.clock.now();
        let (picks, actions) = self.state.handle_pull(now, runner, pull);
        self.carry_out(actions);
        if picks.is_empty() {
            let _ = reply.send(Grant { work: Vec::new() });
            return;
        }
        let until = now + GRANT_TIMEOUT;
        self.start(operation::grant(
            self.context.clone(),
            self.stream.clone(),
            picks,
            until,
            reply,
        ));
    }

    /// Hands out grants whose intents have been taken in, and takes back what may not start.
    fn hand_out(&mut self) {
        let now = self.context.clock.now();
        let applied_to = self.state.applied_to();
        let is_ready = |granted: &Granted| granted.intent <= applied_to || now >= granted.until;
        for granted in self.intending.extract_if(.., |granted| is_ready(granted)) {
            hand_out_one(&self.context, &mut self.state, now, granted);
        }
    }

    fn outcomes(&mut self, outcomes: &[RunOutcome], reply: oneshot::Sender<bool>) {
        let now = self.context.clock.now();
        let mut items = Vec::new();
        for outcome in outcomes {
            let Some((_, actions)) = self.state.handle_outcome(now, outcome) else {
                let _ = reply.send(false);
                return;
            };
            self.carry_out(actions);
            let ticket = &outcome.ticket;
            if !self.state.is_idempotent(&ticket.job) {
                items.push((ticket.job.clone(), ticket.item));
            }
        }
        let _ = self.context.metrics.count("batch.outcomes", outcomes.len() as i64);
        self.waiting.push(Waiting { items, until: now + DURABLE_TIMEOUT, reply });
    }

    fn answer_waiting(&mut self) {
        let now = self.context.clock.now();
        let owns = self.state.is_owner();
        let state = &self.state;
        let is_durable = |waiting: &Waiting| {
            !waiting.items.iter().any(|(job, item)| state.is_pending(job, *item))
        };
        let over = self
            .waiting
            .extract_if(.., |waiting| !owns || is_durable(waiting) || now >= waiting.until);
        for waiting in over {
            let durable = owns && is_durable(&waiting);
            let _ = waiting.reply.send(durable);
        }
    }

    /// Appends the results that wait, one append after the other.
    fn flush(&mut self) {
        let behind = self.flushed > self.state.applied_to();
        if self.flushing || behind || self.context.clock.now() < self.flush_after {
            return;
        }
        let records = self.state.next_results(FLUSH_BYTES);
        if records.is_empty() {
            return;
        }
        self.flushing = true;
        self.start(operation::flush(self.context.clone(), self.stream.clone(), records));
    }

    /// Logs a change of ownership.
    fn report(&mut self) {
        let owns = self.state.is_owner();
        if owns == self.owned {
            return;
        }
        self.owned = owns;
        let epoch =
            self.state.replayed().claim.as_ref().map(|claim| claim.epoch).unwrap_or_default();
        let mut owned = self.context.batch.owner.owned.lock().unwrap();
        if owns {
            owned.insert(self.partition);
            let _ = self.context.metrics.incr("batch.lane.claimed");
            log::info!("batch: partition {} is owned in epoch {epoch}", self.partition);
        } else {
            owned.remove(&self.partition);
            log::info!("batch: partition {} is no longer owned, epoch {epoch}", self.partition);
        }
    }
}

fn hand_out_one(context: &Shared, state: &mut State, now: Millis, granted: Granted) {
    let late = now >= granted.until;
    let mut work: Vec<Work> = Vec::new();
    let mut refused = Vec::new();
    for (pick, item) in granted.picks {
        let allowed = match pick.needs_intent {
            true => state.may_start(&pick.ticket),
            false => state.is_running(&pick.ticket),
        };
        match item {
            Some((line, part)) if allowed && !late => {
                let (job, item) = (pick.ticket.job.clone(), pick.ticket.item);
                state.apply(now, Event::CustomIdFound(job, item, line));
                work.push(part);
            }
            _ => refused.push(pick.ticket),
        }
    }
    let tickets: Vec<_> = work.iter().map(|work| work.ticket.clone()).collect();
    let granted_items = tickets.len() as i64;
    if granted.reply.send(Grant { work }).is_err() {
        refused.extend(tickets);
    } else {
        let _ = context.metrics.count("batch.granted", granted_items);
    }
    state.withdraw(&refused);
}
