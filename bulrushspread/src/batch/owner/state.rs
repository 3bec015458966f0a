//! State machine of a node for one partition: ownership, grants and records to append.

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

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next record of the partition's stream.
    Record(Position, Record),
    /// The next record of the partition's stream, which is ignored: its job has finished, or the
    /// record can't be decoded.
    Skipped(Position),
    /// All records that the stream held when reading began have been applied.
    CaughtUp,
    /// A read of the stream that began at this time found no further record.
    CurrentAsOf(Millis),
    /// The live nodes, and the one that should own the partition.
    Members { chosen: Option<Vm>, live: BTreeMap<Vm, Incarnation> },
    /// The jobs stream holds an unfinished job of the partition.
    JobOpened(JobSpec),
    /// The job has finished, or another job holds its idempotency key.
    JobClosed(Job),
    /// The `custom_id` of an item, found for [`Action::LookUpCustomId`] or for a grant.
    CustomIdFound(Job, Item, String),
    /// The append of a claim or release failed.
    AppendFailed,
    /// The node is shutting down.
    Stopping,
}

/// An effect for the partition's task to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append the record; report [`Event::AppendFailed`] if that fails.
    Append(Record),
    /// Order the runner to stop the run.
    Stop { runner: Vm, ticket: Ticket },
    /// Look up the item's `custom_id` and report it with [`Event::CustomIdFound`].
    LookUpCustomId { job: Job, item: Item },
    /// The job is complete: append the index of its results and then the end of the job.
    Finish { job: Job, epoch: Epoch, counts: Counts, offsets: record::Offsets },
}

/// The state of a node for one partition.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) me: Writer,
    pub(super) partition: Partition,
    pub(super) settings: Settings,
    pub(super) replayed: partition::State,
    pub(super) caught_up: bool,
    /// The unfinished jobs of the partition.
    pub(super) specs: BTreeMap<Job, JobSpec>,
    /// Set while this node holds the current claim.
    pub(super) ledger: Option<Ledger>,
    pub(super) outbox: Outbox,
    /// Jobs whose end is being appended.
    finishing: BTreeSet<Job>,
    /// Jobs whose end could not be appended.
    finish_retries: BTreeSet<Job>,
    /// The node that should own the partition.
    pub(super) chosen: Option<Vm>,
    pub(super) live: BTreeMap<Vm, Incarnation>,
    /// The append of a claim or release was started and has not been read back.
    pub(super) append_pending: bool,
    /// Time since which this owner is no longer the chosen one, or is shutting down.
    pub(super) not_chosen_since: Option<Millis>,
    /// Whether the current owner is live, and the time since which this node waits to replace the
    /// owner.
    pub(super) owner_wait: Option<(bool, Millis)>,
    /// The latest time at which all records of the stream were known to be applied.
    current_as_of: Millis,
    /// Time at which this node started to act on its current claim.
    pub(super) owner_since: Millis,
    /// Time from which no former owner can grant items: a former owner that can't read the log
    /// continues to grant them for `outage_grant_ms`.
    exclusive_from: Millis,
    /// Position of the last applied record.
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
            finish_retries: BTreeSet::new(),
            chosen: None,
            live: BTreeMap::new(),
            append_pending: false,
            not_chosen_since: None,
            owner_wait: None,
            current_as_of: Millis::default(),
            owner_since: Millis::default(),
            exclusive_from: Millis::default(),
            applied_to: None,
            stopping: false,
        }
    }

    /// Applies an event and returns the resulting actions.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Record(position, record) => self.apply_record(now, position, &record),
            Event::Skipped(position) => {
                self.applied_to = Some(position);
                Vec::new()
            }
            Event::CaughtUp => {
                self.caught_up = true;
                Vec::new()
            }
            Event::CurrentAsOf(at) => {
                self.current_as_of = self.current_as_of.max(at);
                Vec::new()
            }
            Event::Members { chosen, live } => self.update_members(now, chosen, live),
            Event::JobOpened(spec) => self.open_job(now, spec),
            Event::JobClosed(job) => self.close_job(&job),
            Event::CustomIdFound(job, item, custom_id) => {
                self.outbox.set_custom_id(job, item, custom_id);
                Vec::new()
            }
            Event::AppendFailed => {
                self.append_pending = false;
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

    /// Handles timers and returns the resulting actions.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(ledger) = &mut self.ledger {
            let due = ledger.tick(now);
            actions.extend(self.convert_actions(due));
        }
        actions.extend(self.update_ownership(now));
        while let Some(job) = self.finish_retries.pop_first() {
            actions.extend(self.finish_if_complete(&job));
        }
        actions
    }

    /// Whether this node owns the partition.
    pub fn is_owner(&self) -> bool {
        self.ledger.is_some()
    }

    /// Whether this node neither owns the partition nor is about to claim it.
    pub fn is_done(&self) -> bool {
        let is_chosen = self.chosen.as_ref() == Some(&self.me.vm) && !self.stopping;
        let holds = self.replayed.claim.as_ref();
        let holds = holds.is_some_and(|claim| claim.owner == self.me && !claim.released);
        !is_chosen && !holds && !self.append_pending
    }

    /// Whether the ticket names the current run of its item.
    pub fn is_running(&self, ticket: &Ticket) -> bool {
        self.ledger.as_ref().is_some_and(|ledger| ledger.is_running(ticket))
    }

    /// Whether items of the job may run again.
    pub fn is_idempotent(&self, job: &Job) -> bool {
        self.specs.get(job).is_none_or(|spec| spec.idempotent)
    }

    /// Whether the job is cancelled and no node can grant its items any more.
    pub fn is_cancelled(&self, now: Millis, job: &Job) -> bool {
        let cancelled = self.replayed.jobs.get(job).is_some_and(|progress| progress.cancelled);
        cancelled && self.is_owner() && now >= self.exclusive_from
    }

    /// Position of the last applied record.
    pub fn applied_to(&self) -> Option<Position> {
        self.applied_to
    }

    /// The state replayed from the partition's stream so far.
    pub fn replayed(&self) -> &partition::State {
        &self.replayed
    }

    /// Reconciles the runs that the runner holds and picks items for it.
    pub fn handle_pull(
        &mut self,
        now: Millis,
        runner: &Vm,
        pull: &Pull,
    ) -> (Vec<Pick>, Vec<Action>) {
        let is_current = now < self.current_as_of + Millis(self.settings.outage_grant_ms);
        let may_grant = is_current && !self.stopping && self.not_chosen_since.is_none();
        let Some(ledger) = &mut self.ledger else { return (Vec::new(), Vec::new()) };
        let actions = ledger.reconcile(now, runner, &pull.holding);
        let picks = if may_grant { ledger.grant(now, runner, &pull.capacity) } else { Vec::new() };
        (picks, self.convert_actions(actions))
    }

    /// Whether a pick whose intent has been read back may be sent to the runner.
    pub fn may_start(&self, ticket: &Ticket) -> bool {
        let intended = |progress: &partition::Progress| {
            !progress.cancelled && progress.intended.contains(ticket.item)
        };
        self.ledger
            .as_ref()
            .is_some_and(|ledger| ledger.epoch() == ticket.epoch && ledger.contains(&ticket.job))
            && self.replayed.jobs.get(&ticket.job).is_some_and(intended)
    }

    /// Queues picked items again that were not sent to the runner.
    pub fn withdraw(&mut self, tickets: &[Ticket]) {
        let Some(ledger) = &mut self.ledger else { return };
        for ticket in tickets {
            ledger.withdraw(ticket);
        }
    }

    /// Applies the end of a run. Returns `None` if this node does not own the partition or is about
    /// to claim or release it, so that no outcome is lost between two epochs.
    pub fn handle_outcome(
        &mut self,
        now: Millis,
        outcome: &RunOutcome,
    ) -> Option<(ReportStatus, Vec<Action>)> {
        if self.append_pending || self.is_renewal_due(now) {
            return None;
        }
        let (status, actions) = self.ledger.as_mut()?.handle_outcome(now, outcome);
        Some((status, self.convert_actions(actions)))
    }

    /// Whether the item's result has not been read back from the log yet.
    pub fn is_pending(&self, job: &Job, item: Item) -> bool {
        self.outbox.contains(job, item)
    }

    /// The results to append next, one record per job, up to about `limit_bytes`.
    pub fn next_results(&self, limit_bytes: usize) -> Vec<Record> {
        let epoch = self.ledger.as_ref().map(Ledger::epoch);
        epoch.map(|epoch| self.outbox.next_results(epoch, limit_bytes)).unwrap_or_default()
    }

    /// The counts of the job according to the partition's stream.
    pub fn counts(&self, job: &Job) -> Option<Counts> {
        let total = self.specs.get(job)?.total;
        let progress = self.replayed.jobs.get(job);
        Some(progress.map_or(Counts { total: u64::from(total), ..Counts::default() }, |progress| {
            progress.counts(total)
        }))
    }

    /// Schedules a retry after the end of the job could not be appended.
    pub fn handle_finish_failed(&mut self, job: &Job) {
        if self.finishing.remove(job) {
            self.finish_retries.insert(job.clone());
        }
    }

    fn apply_record(&mut self, now: Millis, position: Position, record: &Record) -> Vec<Action> {
        let had_other_owner = self.replayed.claim.as_ref();
        let had_other_owner =
            had_other_owner.is_some_and(|claim| !claim.released && claim.owner != self.me);
        self.applied_to = Some(position);
        match self.replayed.apply(position, record) {
            Effect::Ignored | Effect::Indexed(..) => Vec::new(),
            Effect::Claimed(_) | Effect::Released => {
                let grace_ms = if had_other_owner { self.settings.outage_grant_ms } else { 0 };
                self.exclusive_from = now + Millis(grace_ms);
                self.append_pending = false;
                self.drop_ownership();
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
            Effect::Ended(job, items) => self.apply_ended(&job, &items),
            Effect::Cancelled(job) => self.apply_cancel(&job),
        }
    }

    fn apply_ended(&mut self, job: &Job, items: &[Item]) -> Vec<Action> {
        self.outbox.remove(job, items);
        let Some(ledger) = &mut self.ledger else { return Vec::new() };
        let actions = ledger.handle_ended(job, items);
        let mut actions = self.convert_actions(actions);
        actions.extend(self.finish_if_complete(job));
        actions
    }

    fn apply_cancel(&mut self, job: &Job) -> Vec<Action> {
        self.outbox.drop_job(job);
        let Some(ledger) = &mut self.ledger else { return Vec::new() };
        let actions = ledger.remove(job);
        let mut actions = self.convert_actions(actions);
        actions.extend(self.finish_if_complete(job));
        actions
    }

    fn update_members(
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
        self.convert_actions(actions)
    }

    fn open_job(&mut self, now: Millis, spec: JobSpec) -> Vec<Action> {
        let job = spec.job.clone();
        self.specs.insert(job.clone(), spec);
        if self.ledger.is_none() {
            return Vec::new();
        }
        self.track(now, &job);
        self.finish_if_complete(&job).into_iter().collect()
    }

    fn close_job(&mut self, job: &Job) -> Vec<Action> {
        self.specs.remove(job);
        self.finishing.remove(job);
        self.outbox.drop_job(job);
        self.replayed.remove_job(job);
        let Some(ledger) = &mut self.ledger else { return Vec::new() };
        let actions = ledger.remove(job);
        self.convert_actions(actions)
    }

    /// Drops the state that only the owner may act on.
    fn drop_ownership(&mut self) {
        self.ledger = None;
        self.outbox = Outbox::default();
        self.finishing.clear();
        self.not_chosen_since = None;
        self.owner_wait = None;
    }

    pub(super) fn track(&mut self, now: Millis, job: &Job) {
        let Some(ledger) = &mut self.ledger else { return };
        let Some(spec) = self.specs.get(job) else { return };
        let progress = self.replayed.jobs.get(job);
        if ledger.contains(job) || progress.is_some_and(|progress| progress.cancelled) {
            return;
        }
        let item_sets =
            |progress: &partition::Progress| (progress.ended.clone(), progress.intended.clone());
        let (ended, intended): (ItemSet, ItemSet) = progress.map(item_sets).unwrap_or_default();
        ledger.add(now, spec.clone(), ended, intended);
    }

    pub(super) fn finish_if_complete(&mut self, job: &Job) -> Option<Action> {
        let epoch = self.ledger.as_ref()?.epoch();
        let total = self.specs.get(job)?.total;
        let progress = self.replayed.jobs.get(job)?;
        let is_complete = progress.cancelled || progress.ended.len() == total;
        if !is_complete || !self.finishing.insert(job.clone()) {
            return None;
        }
        let (counts, offsets) = (progress.counts(total), progress.offsets.clone());
        Some(Action::Finish { job: job.clone(), epoch, counts, offsets })
    }

    fn convert_actions(&mut self, actions: Vec<ledger::Action>) -> Vec<Action> {
        actions.into_iter().filter_map(|action| self.convert_action(action)).collect()
    }

    fn convert_action(&mut self, action: ledger::Action) -> Option<Action> {
        match action {
            ledger::Action::Stop { runner, ticket } => Some(Action::Stop { runner, ticket }),
            ledger::Action::AppendResult { job, item, outcome } => {
                let has_custom_id = self.outbox.add(&job, item, outcome);
                (!has_custom_id).then_some(Action::LookUpCustomId { job, item })
            }
        }
    }
}
