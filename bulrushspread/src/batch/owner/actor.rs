//! The task of one partition: passes events to its state machine and executes the actions.

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
        Entry, FollowEvent,
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

/// Interval at which timers are checked.
const TICK: Duration = Duration::from_millis(25);
/// Bytes of results per append.
const FLUSH_BYTES: usize = 384 << 10;
/// Pause after a failed append of results.
const FLUSH_PAUSE: Millis = Millis(200);
/// Time limit for sending a grant to its runner, after which the items are queued again.
const GRANT_TIMEOUT: Millis = Millis(400);
/// Time for which a runner's report waits until results of non-idempotent items are durable.
const DURABLE_TIMEOUT: Millis = Millis(1_500);

/// A reply to a runner that waits until the runner's outcomes are durable.
struct PendingReply {
    items: Vec<(Job, Item)>,
    until: Millis,
    reply: oneshot::Sender<bool>,
}

pub(crate) struct Actor {
    context: Shared,
    partition: Partition,
    stream: Stream,
    state: State,
    was_owner: bool,
    completions: mpsc::UnboundedSender<Completion>,
    completed: mpsc::UnboundedReceiver<Completion>,
    is_flushing: bool,
    /// Position of the last appended results. The next are appended once this record is read back.
    last_flushed: Option<Position>,
    flush_not_before: Millis,
    /// Grants whose intents have not been read back.
    awaiting_intents: Vec<Granted>,
    pending_replies: Vec<PendingReply>,
    /// Number of orders to stop that runners have not acknowledged, by job.
    unanswered_stops: BTreeMap<Job, usize>,
}

impl Actor {
    pub(crate) fn new(context: Shared, partition: Partition) -> Actor {
        let me = Writer { vm: context.settings.vm.clone(), incarnation: context.incarnation };
        let (completions, completed) = mpsc::unbounded_channel();
        Actor {
            stream: partition_stream(&context.settings.environment, partition),
            state: State::new(me, partition, context.settings.batch.clone()),
            context,
            partition,
            was_owner: false,
            completions,
            completed,
            is_flushing: false,
            last_flushed: None,
            flush_not_before: Millis::default(),
            awaiting_intents: Vec::new(),
            pending_replies: Vec::new(),
            unanswered_stops: BTreeMap::new(),
        }
    }

    /// Runs until this node neither owns the partition nor is about to claim it.
    pub(crate) async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut followed = self.context.journal.follow(&self.stream, Offset::default());
        let mut members_known = false;
        loop {
            let current_as_of = self.context.journal.current_as_of(&self.stream);
            tokio::select! {
                biased;
                update = followed.recv() => match update {
                    Some(update) => self.handle_followed(update),
                    None => break,
                },
                Some(completion) = self.completed.recv() => self.handle_completion(completion),
                Some(command) = commands.recv() => {
                    members_known |= matches!(&command, Command::Event(Event::Members { .. }));
                    if let Some(at) = current_as_of {
                        self.apply(Event::CurrentAsOf(at));
                    }
                    self.handle_command(command);
                }
                () = tokio::time::sleep(TICK) => {
                    let actions = self.state.tick(self.context.clock.now());
                    self.execute(actions);
                }
            }
            self.flush();
            self.send_grants();
            self.answer_pending();
            self.report_ownership();
            if members_known && self.state.is_done() {
                break;
            }
        }
        self.context.batch.owner.partitions.lock().unwrap().remove(&self.partition);
    }

    fn handle_followed(&mut self, update: FollowEvent) {
        match update {
            FollowEvent::Entries(entries) => {
                entries.iter().for_each(|entry| self.apply_entry(entry))
            }
            FollowEvent::CaughtUp(_) => self.apply(Event::CaughtUp),
            FollowEvent::Expired(first) => {
                log::debug!(
                    "batch: partition {}: records before {first} have expired",
                    self.partition
                );
            }
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        match record::decode::<Record>(&entry.record.body) {
            Ok(record) if self.is_of_finished_job(&record) => {
                self.apply(Event::Skipped(entry.position))
            }
            Ok(record) => self.apply(Event::Record(entry.position, record)),
            Err(error) => {
                let _ = self.context.metrics.incr("batch.lane.unreadable");
                log::debug!(
                    "batch: partition {}: undecodable record at offset {}: {error}",
                    self.partition,
                    entry.position.offset
                );
                self.apply(Event::Skipped(entry.position));
            }
        }
    }

    /// Whether the record belongs to a job that has finished.
    fn is_of_finished_job(&self, record: &Record) -> bool {
        let job = match record {
            Record::Claim { .. } | Record::Release { .. } => return false,
            Record::Intent { job, .. }
            | Record::Results { job, .. }
            | Record::Cancel { job }
            | Record::Index { job, .. } => job,
        };
        let jobs_state = self.context.batch.owner.directory.state();
        jobs_state.job(job).is_some_and(|job| job.finished.is_some())
    }

    fn apply(&mut self, event: Event) {
        let actions = self.state.apply(self.context.clock.now(), event);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => {
                    self.spawn(operation::append(
                        self.context.clone(),
                        self.stream.clone(),
                        record,
                    ));
                }
                Action::Stop { runner, ticket } => {
                    *self.unanswered_stops.entry(ticket.job.clone()).or_default() += 1;
                    self.spawn(operation::stop(self.context.clone(), runner, ticket));
                }
                Action::LookUpCustomId { job, item } => {
                    self.spawn(operation::look_up_custom_id(self.context.clone(), job, item));
                }
                Action::Finish { job, epoch, counts, offsets } => {
                    let index = Record::Index { epoch, job: job.clone(), offsets };
                    let (context, stream) = (self.context.clone(), self.stream.clone());
                    self.spawn(operation::finish(context, stream, job, index, counts));
                }
            }
        }
    }

    fn spawn(&self, operation: impl Future<Output = Completion> + Send + 'static) {
        let completions = self.completions.clone();
        tokio::spawn(async move {
            let _ = completions.send(operation.await);
        });
    }

    fn handle_completion(&mut self, completion: Completion) {
        match completion {
            Completion::AppendFailed => self.apply(Event::AppendFailed),
            Completion::CustomIdFound { job, item, custom_id } => {
                self.apply(Event::CustomIdFound(job, item, custom_id))
            }
            Completion::FinishFailed(job) => self.state.handle_finish_failed(&job),
            Completion::Flushed(Ok(positions)) => {
                self.is_flushing = false;
                self.last_flushed = positions.last().copied();
            }
            Completion::Flushed(Err(_)) => {
                self.is_flushing = false;
                self.flush_not_before = self.context.clock.now() + FLUSH_PAUSE;
            }
            Completion::Stopped(job) => {
                if let Some(count) = self.unanswered_stops.get_mut(&job) {
                    *count -= 1;
                }
                self.unanswered_stops.retain(|_, count| *count > 0);
            }
            Completion::Granted(granted) => self.awaiting_intents.push(granted),
            Completion::Done => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.apply(event),
            Command::Pull { runner, pull, reply } => self.handle_pull(&runner, &pull, reply),
            Command::Outcomes { outcomes, reply } => self.handle_outcomes(&outcomes, reply),
            Command::Cancelled { job, reply } => {
                let now = self.context.clock.now();
                let ended = self.state.is_cancelled(now, &job);
                let _ = reply.send(ended && !self.unanswered_stops.contains_key(&job));
            }
            Command::Counts { job, reply } => {
                let counts = self.state.is_owner().then(|| self.state.counts(&job)).flatten();
                let _ = reply.send(counts);
            }
        }
    }

    fn handle_pull(
        &mut self,
        runner: &Vm,
        pull: &crate::batch::message::Pull,
        reply: oneshot::Sender<Grant>,
    ) {
        let now = self.context.clock.now();
        let (picks, actions) = self.state.handle_pull(now, runner, pull);
        self.execute(actions);
        if picks.is_empty() {
            let _ = reply.send(Grant { work: Vec::new() });
            return;
        }
        let until = now + GRANT_TIMEOUT;
        self.spawn(operation::grant(
            self.context.clone(),
            self.stream.clone(),
            picks,
            until,
            reply,
        ));
    }

    /// Sends grants whose intents have been read back, and queues items again that must not start.
    fn send_grants(&mut self) {
        let now = self.context.clock.now();
        let applied_to = self.state.applied_to();
        let is_ready = |granted: &Granted| granted.intent <= applied_to || now >= granted.until;
        for granted in self.awaiting_intents.extract_if(.., |granted| is_ready(granted)) {
            send_grant(&self.context, &mut self.state, now, granted);
        }
    }

    fn handle_outcomes(&mut self, outcomes: &[RunOutcome], reply: oneshot::Sender<bool>) {
        let now = self.context.clock.now();
        let mut items = Vec::new();
        for outcome in outcomes {
            let Some((_, actions)) = self.state.handle_outcome(now, outcome) else {
                let _ = reply.send(false);
                return;
            };
            self.execute(actions);
            let ticket = &outcome.ticket;
            if !self.state.is_idempotent(&ticket.job) {
                items.push((ticket.job.clone(), ticket.item));
            }
        }
        let _ = self.context.metrics.count("batch.outcomes", outcomes.len() as i64);
        self.pending_replies.push(PendingReply { items, until: now + DURABLE_TIMEOUT, reply });
    }

    fn answer_pending(&mut self) {
        let now = self.context.clock.now();
        let owns = self.state.is_owner();
        let state = &self.state;
        let is_durable = |pending: &PendingReply| {
            !pending.items.iter().any(|(job, item)| state.is_pending(job, *item))
        };
        let ready = self
            .pending_replies
            .extract_if(.., |pending| !owns || is_durable(pending) || now >= pending.until);
        for pending in ready {
            let durable = owns && is_durable(&pending);
            let _ = pending.reply.send(durable);
        }
    }

    /// Appends pending results, with at most one append in flight.
    fn flush(&mut self) {
        let is_behind = self.last_flushed > self.state.applied_to();
        if self.is_flushing || is_behind || self.context.clock.now() < self.flush_not_before {
            return;
        }
        let records = self.state.next_results(FLUSH_BYTES);
        if records.is_empty() {
            return;
        }
        self.is_flushing = true;
        self.spawn(operation::flush(self.context.clone(), self.stream.clone(), records));
    }

    /// Publishes and logs a change of ownership.
    fn report_ownership(&mut self) {
        let owns = self.state.is_owner();
        if owns == self.was_owner {
            return;
        }
        self.was_owner = owns;
        let epoch =
            self.state.replayed().claim.as_ref().map(|claim| claim.epoch).unwrap_or_default();
        let mut owned = self.context.batch.owner.owned.lock().unwrap();
        if owns {
            owned.insert(self.partition);
            let _ = self.context.metrics.incr("batch.lane.claimed");
            log::info!("batch: this node owns partition {} in epoch {epoch}", self.partition);
        } else {
            owned.remove(&self.partition);
            log::info!(
                "batch: this node no longer owns partition {}, current epoch {epoch}",
                self.partition
            );
        }
    }
}

fn send_grant(context: &Shared, state: &mut State, now: Millis, granted: Granted) {
    let is_late = now >= granted.until;
    let mut work: Vec<Work> = Vec::new();
    let mut refused = Vec::new();
    for (pick, item) in granted.picks {
        let may_start = match pick.needs_intent {
            true => state.may_start(&pick.ticket),
            false => state.is_running(&pick.ticket),
        };
        match item {
            Some((custom_id, item_work)) if may_start && !is_late => {
                let (job, item) = (pick.ticket.job.clone(), pick.ticket.item);
                state.apply(now, Event::CustomIdFound(job, item, custom_id));
                work.push(item_work);
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
