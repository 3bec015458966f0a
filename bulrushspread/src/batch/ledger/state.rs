//! The jobs of one partition during one epoch: grants, running items and timers.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    batch::{
        Settings,
        items::ItemSet,
        message::{Capacity, Ticket},
        record,
    },
    id::{Epoch, Item, Job, Model, Partition, Vm},
    time::Millis,
};

use super::{
    outcome::unknown_outcome,
    queue::{Pool, Queue},
    tracked::{JobSpec, Run, TrackedJob},
};

/// An effect for the owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append the item's terminal result to the partition's stream.
    AppendResult { job: Job, item: Item, outcome: record::Outcome },
    /// Order the runner to stop the run.
    Stop { runner: Vm, ticket: Ticket },
}

/// An item picked for a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub ticket: Ticket,
    /// Whether an intent record must be durable before the item is sent to a runner.
    pub needs_intent: bool,
}

/// Whether a runner's report was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStatus {
    /// The report ended the run.
    Accepted,
    /// The report is of a run that was superseded or has ended already.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The back-off of the item ends; it may run again.
    Retry,
    /// The run exceeds `run_timeout_ms`.
    RunTimeout,
    /// No runner reported an outcome of the item in time.
    Orphan,
}

/// All unfinished jobs of a partition.
#[derive(Clone, Debug)]
pub struct Ledger {
    partition: Partition,
    pub(super) epoch: Epoch,
    pub(super) settings: Settings,
    pub(super) jobs: BTreeMap<Job, TrackedJob>,
    queue: Queue,
    pub(super) timers: BTreeSet<(Millis, Timer, Job, Item)>,
    /// The running items of all jobs, by runner.
    held: BTreeMap<Vm, BTreeSet<(Job, Item)>>,
    /// No item is granted before this time, so that runners can first report the items they hold.
    grants_from: Millis,
    /// Bytes of results that have not been read back, over all jobs.
    pub(super) unconfirmed_bytes: usize,
    /// Time of the latest retry that was scheduled after a crash.
    pub(super) last_crash_retry_at: Millis,
}

impl Ledger {
    pub fn new(now: Millis, partition: Partition, epoch: Epoch, settings: Settings) -> Ledger {
        let grants_from = now + Millis(settings.adopt_ms);
        Ledger {
            partition,
            epoch,
            settings,
            jobs: BTreeMap::new(),
            queue: Queue::default(),
            timers: BTreeSet::new(),
            held: BTreeMap::new(),
            grants_from,
            unconfirmed_bytes: 0,
            last_crash_retry_at: now,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn contains(&self, job: &Job) -> bool {
        self.jobs.contains_key(job)
    }

    /// Whether the ticket names the current run of its item.
    pub fn is_running(&self, ticket: &Ticket) -> bool {
        let tracked = self.jobs.get(&ticket.job);
        let run = tracked.and_then(|tracked| tracked.running.get(&ticket.item));
        run.is_some_and(|run| run.ticket == *ticket)
    }

    /// Whether there are results that have not been read back from the log.
    pub fn has_unconfirmed(&self) -> bool {
        self.unconfirmed_bytes > 0
    }

    /// Starts to track a job. `ended` and `intended` are its items with a result and with an intent
    /// record in the partition's stream.
    pub fn add(&mut self, now: Millis, spec: JobSpec, ended: ItemSet, intended: ItemSet) {
        let mut tracked = TrackedJob::new(spec, ended, intended);
        let job = tracked.spec.job.clone();
        for item in tracked.orphans() {
            let until = now + Millis(self.settings.adopt_ms + self.settings.hold_grace_ms);
            self.timers.insert((until, Timer::Orphan, job.clone(), item));
            tracked.delayed.insert(item);
        }
        self.jobs.insert(job.clone(), tracked);
        self.enqueue(&job);
    }

    /// Stops tracking a cancelled or finished job and returns orders to stop its runs.
    pub fn remove(&mut self, job: &Job) -> Vec<Action> {
        let Some(tracked) = self.jobs.remove(job) else { return Vec::new() };
        let spec = &tracked.spec;
        self.queue.remove(&spec.pool, &spec.workspace, &spec.entry());
        self.unconfirmed_bytes -= tracked.unconfirmed.values().sum::<usize>();
        let mut actions = Vec::new();
        for (item, run) in tracked.running {
            self.release(&run.runner, job, item);
            actions.push(Action::Stop { runner: run.runner, ticket: run.ticket });
        }
        actions
    }

    /// Picks items for a runner within its capacity. Picks nothing while `outcome_bytes` or more
    /// of results wait for the log.
    pub fn grant(&mut self, now: Millis, runner: &Vm, capacities: &[Capacity]) -> Vec<Pick> {
        let mut picks = Vec::new();
        if now < self.grants_from {
            return picks;
        }
        for capacity in capacities {
            let pools = pools(capacity);
            for _ in 0..capacity.items {
                if self.unconfirmed_bytes >= self.settings.outcome_bytes {
                    return picks;
                }
                let Some(pick) = self.pick(now, runner, &pools) else { break };
                picks.push(pick);
            }
        }
        picks
    }

    /// Records that the intent of a picked item is durable.
    pub fn handle_intended(&mut self, job: &Job, item: Item) {
        if let Some(tracked) = self.jobs.get_mut(job) {
            tracked.intended.insert(item);
        }
    }

    /// Queues a picked item again that was certainly not sent to a runner.
    pub fn withdraw(&mut self, ticket: &Ticket) {
        if self.stop_run(ticket) {
            self.requeue(&ticket.job, ticket.item);
        }
    }

    /// Reconciles the runs that a runner reports with those granted to it. Orders unknown runs to
    /// stop; granted runs that the runner does not hold are lost after `hold_grace_ms`.
    pub fn reconcile(&mut self, now: Millis, runner: &Vm, tickets: &[Ticket]) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut holds = BTreeSet::new();
        let partition = self.partition;
        for ticket in tickets.iter().filter(|ticket| ticket.partition == partition) {
            holds.insert((ticket.job.clone(), ticket.item));
            if !self.adopt(now, runner, ticket) {
                actions.push(Action::Stop { runner: runner.clone(), ticket: ticket.clone() });
            }
        }
        let granted = self.held.get(runner).cloned().unwrap_or_default();
        for (job, item) in granted.difference(&holds) {
            let grace = Millis(self.settings.hold_grace_ms);
            let run = self.jobs.get(job).and_then(|tracked| tracked.running.get(item));
            if run.is_some_and(|run| run.granted_at + grace <= now) {
                actions.extend(self.handle_lost_run(now, job, *item));
            }
        }
        actions
    }

    /// Handles the loss of a runner's process and of all runs that it held.
    pub fn handle_runner_gone(&mut self, now: Millis, runner: &Vm) -> Vec<Action> {
        let held = self.held.get(runner).cloned().unwrap_or_default();
        held.iter().flat_map(|(job, item)| self.handle_lost_run(now, job, *item)).collect()
    }

    /// The runners that hold items.
    pub fn runners(&self) -> impl Iterator<Item = &Vm> {
        self.held.keys()
    }

    /// Records that the partition's stream holds results of these items.
    pub fn handle_ended(&mut self, job: &Job, items: &[Item]) -> Vec<Action> {
        let mut actions = Vec::new();
        for item in items {
            let Some(tracked) = self.jobs.get_mut(job) else { return actions };
            tracked.ended.insert(*item);
            self.unconfirmed_bytes -= tracked.unconfirmed.remove(item).unwrap_or_default();
            tracked.tallies.remove(item);
            tracked.delayed.remove(item);
            if let Some(run) = tracked.running.remove(item) {
                self.release(&run.runner, job, *item);
                actions.push(Action::Stop { runner: run.runner, ticket: run.ticket });
            }
        }
        actions
    }

    /// Fires all timers that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((at, timer, job, item)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, timer, job, item));
                break;
            }
            actions.extend(self.fire_timer(now, at, timer, &job, item));
        }
        actions
    }

    pub(super) fn fire_timer(
        &mut self,
        now: Millis,
        at: Millis,
        timer: Timer,
        job: &Job,
        item: Item,
    ) -> Vec<Action> {
        let Some(tracked) = self.jobs.get_mut(job) else { return Vec::new() };
        match timer {
            Timer::Retry => {
                tracked.delayed.remove(&item);
                self.requeue(job, item);
                Vec::new()
            }
            Timer::Orphan if tracked.delayed.remove(&item) => {
                self.end_item(job, item, unknown_outcome("the runner did not report an outcome"))
            }
            Timer::Orphan => Vec::new(),
            Timer::RunTimeout => {
                let timeout = Millis(self.settings.run_timeout_ms);
                let run = tracked.running.get(&item);
                match run.filter(|run| run.granted_at + timeout <= at).cloned() {
                    Some(run) => self.time_out(now, run),
                    None => Vec::new(),
                }
            }
        }
    }

    fn pick(&mut self, now: Millis, runner: &Vm, pools: &[Pool]) -> Option<Pick> {
        loop {
            let (pool, job) = self.queue.first(pools)?;
            let tracked = self.jobs.get_mut(&job)?;
            let spec = tracked.spec.clone();
            let Some(item) = tracked.pop_next() else {
                self.queue.remove(pool, &spec.workspace, &spec.entry());
                continue;
            };
            let needs_intent = !spec.idempotent && !tracked.intended.contains(item);
            let tally = tracked.tallies.entry(item).or_default();
            tally.runs += 1;
            let attempt = tally.runs;
            let ticket =
                Ticket { partition: self.partition, epoch: self.epoch, job, item, attempt };
            self.queue.charge(pool, &spec.workspace, spec.weight);
            self.start_run(now, runner, ticket.clone());
            return Some(Pick { ticket, needs_intent });
        }
    }

    fn start_run(&mut self, now: Millis, runner: &Vm, ticket: Ticket) {
        let (job, item) = (ticket.job.clone(), ticket.item);
        let Some(tracked) = self.jobs.get_mut(&job) else { return };
        let run = Run { runner: runner.clone(), ticket, granted_at: now };
        tracked.running.insert(item, run);
        self.held.entry(runner.clone()).or_default().insert((job.clone(), item));
        let until = now + Millis(self.settings.run_timeout_ms);
        self.timers.insert((until, Timer::RunTimeout, job, item));
    }

    /// Ends the run of the ticket. Returns false if it is not the current run of the item.
    pub(super) fn stop_run(&mut self, ticket: &Ticket) -> bool {
        let Some(tracked) = self.jobs.get_mut(&ticket.job) else { return false };
        if tracked.running.get(&ticket.item).is_none_or(|run| run.ticket != *ticket) {
            return false;
        }
        let Some(run) = tracked.running.remove(&ticket.item) else { return false };
        let until = run.granted_at + Millis(self.settings.run_timeout_ms);
        self.timers.remove(&(until, Timer::RunTimeout, ticket.job.clone(), ticket.item));
        self.release(&run.runner, &ticket.job, ticket.item);
        true
    }

    pub(super) fn release(&mut self, runner: &Vm, job: &Job, item: Item) {
        if let Some(held) = self.held.get_mut(runner) {
            held.remove(&(job.clone(), item));
            if held.is_empty() {
                self.held.remove(runner);
            }
        }
    }

    /// Takes over a run that a runner reports, such as one of an earlier epoch. Returns false if
    /// the run must stop.
    fn adopt(&mut self, now: Millis, runner: &Vm, ticket: &Ticket) -> bool {
        let Some(tracked) = self.jobs.get_mut(&ticket.job) else { return false };
        if let Some(run) = tracked.running.get(&ticket.item) {
            return run.runner == *runner && run.ticket == *ticket;
        }
        if !tracked.is_open(ticket.item) || ticket.epoch > self.epoch {
            return false;
        }
        if !tracked.may_repeat() && !tracked.intended.contains(ticket.item) {
            return false;
        }
        tracked.delayed.remove(&ticket.item);
        let tally = tracked.tallies.entry(ticket.item).or_default();
        tally.runs = tally.runs.max(ticket.attempt);
        self.start_run(now, runner, ticket.clone());
        true
    }

    pub(super) fn requeue(&mut self, job: &Job, item: Item) {
        if let Some(tracked) = self.jobs.get_mut(job) {
            tracked.requeued.insert(item);
        }
        self.enqueue(job);
    }

    fn enqueue(&mut self, job: &Job) {
        if let Some(tracked) = self.jobs.get(job) {
            let spec = &tracked.spec;
            self.queue.add(&spec.pool, &spec.workspace, spec.entry());
        }
    }
}

/// The pools whose items the deployment or plain service can run.
fn pools(capacity: &Capacity) -> Vec<Pool> {
    let models = capacity.models.iter().map(|model: &Model| Pool::Model(model.clone()));
    models.chain([Pool::Service(capacity.deployment.0.clone())]).collect()
}
