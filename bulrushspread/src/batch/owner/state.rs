//! The decisions of a node about one partition: when to claim it, what to grant and what to
//! append.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    batch::{
        Settings,
        items::ItemSet,
        ledger::{self, JobSpec, Ledger, Pick, ReportStatus},
        message::{Pull, RunOutcome, Ticket},
        partition::{self, Effect},
        record::{self, PartitionRecord as Record},
        view::Counts,
    },
    id::{Epoch, Incarnation, Item, Job, Partition, Vm},
    journal::record::{Position, Writer},
    time::Millis,
};

use super::outbox::Outbox;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next record of the partition's stream.
    Record(Position, Record),
    /// The next record of the partition's stream, which is of a job that has finished.
    Skipped(Position),
    /// All records that stood when the read began have been taken in.
    CaughtUp,
    /// A read that began at this time found no record that has not been taken in.
    CurrentAsOf(Millis),
    /// The nodes that are live, and the one that should own the partition.
    Members { chosen: Option<Vm>, live: BTreeMap<Vm, Incarnation> },
    /// An unfinished job of the partition stands in the jobs stream.
    JobOpened(JobSpec),
    /// The job has finished or given its key up to another.
    JobClosed(Job),
    /// The `custom_id` of an item, as asked for by `Action::LookUpCustomId` or with a grant.
    CustomIdFound(Job, Item, String),
    /// A claim or release that was to be appended has not been.
    AppendFailed,
    /// The node stops.
    Stopping,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append the record; report `AppendFailed` if that fails.
    Append(Record),
    /// Tell the runner to stop the run.
    Stop { runner: Vm, ticket: Ticket },
    /// Look the item's `custom_id` up and report it.
    LookUpCustomId { job: Job, item: Item },
    /// All items of the job have ended; append its index and then the end of the job.
    Finish { job: Job, epoch: Epoch, counts: Counts, offsets: record::Offsets },
}

/// What a node knows of one partition.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) me: Writer,
    pub(super) partition: Partition,
    pub(super) settings: Settings,
    pub(super) replayed: partition::State,
    pub(super) caught_up: bool,
    /// The unfinished jobs of the partition.
    pub(super) specs: BTreeMap<Job, JobSpec>,
    /// Only while the claim in force is this node's.
    pub(super) ledger: Option<Ledger>,
    pub(super) outbox: Outbox,
    /// Jobs whose end is being appended.
    finishing: BTreeSet<Job>,
    /// Jobs whose end could not be appended.
    refinish: BTreeSet<Job>,
    pub(super) chosen: Option<Vm>,
    pub(super) live: BTreeMap<Vm, Incarnation>,
    /// A claim or release is on its way.
    pub(super) appending: bool,
    /// Since when another node should own the partition.
    pub(super) unwanted_since: Option<Millis>,
    /// Whether the owner of the claim in force is live, and since when this node waits for it.
    pub(super) waits: Option<(bool, Millis)>,
    /// At this time the claim in force was the last one for sure.
    checked_at: Millis,
    /// When this node took the partition up.
    pub(super) claimed_at: Millis,
    /// From here on no former owner hands out items.
    settled_at: Millis,
    /// The place of the last record taken in.
    pub(super) applied_to: Option<Position>,
    pub(super) stopping: bool,
}

impl State {
    pub fn new(me: Writer, partition: Partition, settings: Settings) -> State {
        State {
            me,
            partition,
            settings,
            replayed: partition::State::default(),
            caught_up: false,
            specs: BTreeMap::new(),
            ledger: None,
            outbox: Outbox::default(),
            finishing: BTreeSet::new(),
            refinish: BTreeSet::new(),
            chosen: None,
            live: BTreeMap::new(),
            appending: false,
            unwanted_since: None,
            waits: None,
            checked_at: Millis::default(),
            claimed_at: Millis::default(),
            settled_at: Millis::default(),
            applied_to: None,
            stopping: false,
        }
    }

    /// Takes in what happened and returns what to do.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Record(position, record) => self.record(now, position, &record),
            Event::Skipped(position) => {
                self.applied_to = Some(position);
                Vec::new()
            }
            Event::CaughtUp => {
                self.caught_up = true;
                Vec::new()
            }
            Event::CurrentAsOf(at) => {
                self.checked_at = self.checked_at.max(at);
                Vec::new()
            }
            Event::Members { chosen, live } => self.members(now, chosen, live),
            Event::JobOpened(spec) => self.open_job(now, spec),
            Event::JobClosed(job) => self.close_job(&job),
            Event::CustomIdFound(job, item, name) => {
                self.outbox.name(job, item, name);
                Vec::new()
            }
            Event::AppendFailed => {
                self.appending = false;
                Vec::new()
            }
            Event::Stopping => {
                self.stopping = true;
                Vec::new()
            }
        };
        actions.extend(self.tick(now));
        actions
    }

    /// Carries out what is due because time has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(ledger) = &mut self.ledger {
            let due = ledger.tick(now);
            actions.extend(self.translate(due));
        }
        actions.extend(self.own(now));
        while let Some(job) = self.refinish.pop_first() {
            actions.extend(self.finish(&job));
        }
        actions
    }

    /// Whether the claim in force is this node's.
    pub fn is_owner(&self) -> bool {
        self.ledger.is_some()
    }

    /// Whether nothing of this node is left in the partition and nothing is to come.
    pub fn is_done(&self) -> bool {
        let wanted = self.chosen.as_ref() == Some(&self.me.vm) && !self.stopping;
        let holds = self.replayed.claim.as_ref();
        let holds = holds.is_some_and(|claim| claim.owner == self.me && !claim.released);
        !wanted && !holds && !self.appending
    }

    /// Whether the ticket's run is the one that the item has.
    pub fn is_running(&self, ticket: &Ticket) -> bool {
        self.ledger.as_ref().is_some_and(|ledger| ledger.is_running(ticket))
    }

    /// Whether items of the job may run again.
    pub fn is_idempotent(&self, job: &Job) -> bool {
        self.specs.get(job).is_none_or(|spec| spec.idempotent)
    }

    /// Whether the job is cancelled and no node hands out its items any more.
    pub fn is_cancelled(&self, now: Millis, job: &Job) -> bool {
        let cancelled = self.replayed.jobs.get(job).is_some_and(|progress| progress.cancelled);
        cancelled && self.is_owner() && now >= self.settled_at
    }

    /// The place of the last record taken in.
    pub fn applied_to(&self) -> Option<Position> {
        self.applied_to
    }

    /// The records that the partition's stream holds so far, folded.
    pub fn replayed(&self) -> &partition::State {
        &self.replayed
    }

    /// Compares what the runner holds and picks items for it.
    pub fn handle_pull(
        &mut self,
        now: Millis,
        runner: &Vm,
        pull: &Pull,
    ) -> (Vec<Pick>, Vec<Action>) {
        let fresh = now < self.checked_at + Millis(self.settings.outage_grant_ms);
        let grants = fresh && !self.stopping && self.unwanted_since.is_none();
        let Some(ledger) = &mut self.ledger else { return (Vec::new(), Vec::new()) };
        let actions = ledger.reconcile(now, runner, &pull.holding);
        let picks = if grants { ledger.grant(now, runner, &pull.capacity) } else { Vec::new() };
        (picks, self.translate(actions))
    }

    /// Whether a pick whose intent has been read back may be handed out.
    pub fn may_start(&self, ticket: &Ticket) -> bool {
        let intended = |progress: &partition::Progress| {
            !progress.cancelled && progress.intended.contains(ticket.item)
        };
        self.ledger
            .as_ref()
            .is_some_and(|ledger| ledger.epoch() == ticket.epoch && ledger.contains(&ticket.job))
            && self.replayed.jobs.get(&ticket.job).is_some_and(intended)
    }

    /// Takes back picks that were not handed out.
    pub fn withdraw(&mut self, tickets: &[Ticket]) {
        let Some(ledger) = &mut self.ledger else { return };
        for ticket in tickets {
            ledger.withdraw(ticket);
        }
    }

    /// Takes in how a run ended. `None` if this node does not own the partition or is about to
    /// claim or release it, so that no outcome is lost between two epochs.
    pub fn handle_outcome(
        &mut self,
        now: Millis,
        outcome: &RunOutcome,
    ) -> Option<(ReportStatus, Vec<Action>)> {
        if self.appending || self.is_due(now) {
            return None;
        }
        let (taken, actions) = self.ledger.as_mut()?.handle_outcome(now, outcome);
        Some((taken, self.translate(actions)))
    }

    /// Whether the item still needs the log to take its result.
    pub fn is_pending(&self, job: &Job, item: Item) -> bool {
        self.outbox.contains(job, item)
    }

    /// Results to append next, one record a job, up to about `limit_bytes`.
    pub fn next_results(&self, limit_bytes: usize) -> Vec<Record> {
        let epoch = self.ledger.as_ref().map(Ledger::epoch);
        epoch.map(|epoch| self.outbox.next_results(epoch, limit_bytes)).unwrap_or_default()
    }

    /// The job's counts as the stream has them.
    pub fn counts(&self, job: &Job) -> Option<Counts> {
        let total = self.specs.get(job)?.total;
        let progress = self.replayed.jobs.get(job);
        Some(progress.map_or(Counts { total: u64::from(total), ..Counts::default() }, |progress| {
            progress.counts(total)
        }))
    }

    /// The end of the job could not be appended; it is tried again.
    pub fn handle_finish_failed(&mut self, job: &Job) {
        if self.finishing.remove(job) {
            self.refinish.insert(job.clone());
        }
    }

    fn record(&mut self, now: Millis, position: Position, record: &Record) -> Vec<Action> {
        let before = self.replayed.claim.as_ref();
        let before = before.is_some_and(|claim| !claim.released && claim.owner != self.me);
        self.applied_to = Some(position);
        match self.replayed.apply(position, record) {
            Effect::Ignored | Effect::Indexed(..) => Vec::new(),
            Effect::Claimed(_) | Effect::Released => {
                let lapse = if before { self.settings.outage_grant_ms } else { 0 };
                self.settled_at = now + Millis(lapse);
                self.appending = false;
                self.lose();
                Vec::new()
            }
            Effect::Intended(job, items) => {
                for item in items {
                    if let Some(ledger) = &mut self.ledger {
                        ledger.handle_intended(&job, item);
                    }
                }
                Vec::new()
            }
            Effect::Ended(job, items) => self.ended(&job, &items),
            Effect::Cancelled(job) => self.cancel(&job),
        }
    }

    fn ended(&mut self, job: &Job, items: &[Item]) -> Vec<Action> {
        self.outbox.remove(job, items);
        let Some(ledger) = &mut self.ledger else { return Vec::new() };
        let actions = ledger.handle_ended(job, items);
        let mut actions = self.translate(actions);
        actions.extend(self.finish(job));
        actions
    }

    fn cancel(&mut self, job: &Job) -> Vec<Action> {
        self.outbox.drop_job(job);
        let Some(ledger) = &mut self.ledger else { return Vec::new() };
        let actions = ledger.remove(job);
        let mut actions = self.translate(actions);
        actions.extend(self.finish(job));
        actions
    }

    fn members(
        &mut self,
        now: Millis,
        chosen: Option<Vm>,
        live: BTreeMap<Vm, Incarnation>,
    ) -> Vec<Action> {
        self.chosen = chosen;
        self.live = live;
        let Some(ledger) = &mut self.ledger else { return Vec::new() };
        let gone: Vec<Vm> =
            ledger.runners().filter(|vm| !self.live.contains_key(*vm)).cloned().collect();
        let actions: Vec<ledger::Action> =
            gone.iter().flat_map(|runner| ledger.handle_runner_gone(now, runner)).collect();
        self.translate(actions)
    }

    fn open_job(&mut self, now: Millis, spec: JobSpec) -> Vec<Action> {
        let job = spec.job.clone();
        self.specs.insert(job.clone(), spec);
        if self.ledger.is_none() {
            return Vec::new();
        }
        self.track(now, &job);
        self.finish(&job).into_iter().collect()
    }

    fn close_job(&mut self, job: &Job) -> Vec<Action> {
        self.specs.remove(job);
        self.finishing.remove(job);
        self.outbox.drop_job(job);
        self.replayed.remove_job(job);
        let Some(ledger) = &mut self.ledger else { return Vec::new() };
        let actions = ledger.remove(job);
        self.translate(actions)
    }

    /// Forgets what only the owner may act on.
    fn lose(&mut self) {
        self.ledger = None;
        self.outbox = Outbox::default();
        self.finishing.clear();
        self.unwanted_since = None;
        self.waits = None;
    }

    pub(super) fn track(&mut self, now: Millis, job: &Job) {
        let Some(ledger) = &mut self.ledger else { return };
        let Some(spec) = self.specs.get(job) else { return };
        let progress = self.replayed.jobs.get(job);
        if ledger.contains(job) || progress.is_some_and(|progress| progress.cancelled) {
            return;
        }
        let sets =
            |progress: &partition::Progress| (progress.ended.clone(), progress.intended.clone());
        let (ended, intended): (ItemSet, ItemSet) = progress.map(sets).unwrap_or_default();
        ledger.add(now, spec.clone(), ended, intended);
    }

    pub(super) fn finish(&mut self, job: &Job) -> Option<Action> {
        let epoch = self.ledger.as_ref()?.epoch();
        let total = self.specs.get(job)?.total;
        let progress = self.replayed.jobs.get(job)?;
        let done = progress.cancelled || progress.ended.len() == total;
        if !done || !self.finishing.insert(job.clone()) {
            return None;
        }
        let (counts, offsets) = (progress.counts(total), progress.offsets.clone());
        Some(Action::Finish { job: job.clone(), epoch, counts, offsets })
    }

    fn translate(&mut self, actions: Vec<ledger::Action>) -> Vec<Action> {
        actions.into_iter().filter_map(|action| self.translate_one(action)).collect()
    }

    fn translate_one(&mut self, action: ledger::Action) -> Option<Action> {
        match action {
            ledger::Action::Stop { runner, ticket } => Some(Action::Stop { runner, ticket }),
            ledger::Action::AppendResult { job, item, outcome } => {
                let named = self.outbox.add(&job, item, outcome);
                (!named).then_some(Action::LookUpCustomId { job, item })
            }
        }
    }
}
