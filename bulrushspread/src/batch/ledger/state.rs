//! The ledger of one partition for one epoch.

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
    ending::unknown,
    queue::{Pool, Queue},
    tracked::{JobSpec, Run, Tracked},
};

/// What the owner has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append the item's terminal record.
    AppendResult { job: Job, item: Item, outcome: record::Outcome },
    /// Tell the runner to stop.
    Stop { runner: Vm, ticket: Ticket },
}

/// An item to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    pub ticket: Ticket,
    /// An intent must be durable before the item is handed out.
    pub needs_intent: bool,
}

/// What became of a runner's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportStatus {
    /// The run has ended for the ledger.
    Accepted,
    /// The report is of a run that no longer counts.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The item may run again.
    Retry,
    /// The run takes too long.
    Run,
    /// Nobody reported what became of the item.
    Orphan,
}

/// All unfinished jobs of a partition.
#[derive(Clone, Debug)]
pub struct Ledger {
    partition: Partition,
    pub(super) epoch: Epoch,
    pub(super) settings: Settings,
    pub(super) jobs: BTreeMap<Job, Tracked>,
    queue: Queue,
    pub(super) timers: BTreeSet<(Millis, Timer, Job, Item)>,
    /// The items of `running` of all jobs, by runner.
    held: BTreeMap<Vm, BTreeSet<(Job, Item)>>,
    /// Nothing is granted before: runners first say what they hold.
    opens_at: Millis,
    /// Sum of `ending` of all jobs.
    pub(super) ending_bytes: usize,
    /// When the next suspect may run.
    pub(super) suspect_at: Millis,
}

impl Ledger {
    pub fn new(now: Millis, partition: Partition, epoch: Epoch, settings: Settings) -> Ledger {
        let opens_at = now + Millis(settings.adopt_ms);
        Ledger {
            partition,
            epoch,
            settings,
            jobs: BTreeMap::new(),
            queue: Queue::default(),
            timers: BTreeSet::new(),
            held: BTreeMap::new(),
            opens_at,
            ending_bytes: 0,
            suspect_at: now,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn contains(&self, job: &Job) -> bool {
        self.jobs.contains_key(job)
    }

    /// Whether the ticket's run is the one that the item has.
    pub fn is_running(&self, ticket: &Ticket) -> bool {
        let tracked = self.jobs.get(&ticket.job);
        let run = tracked.and_then(|tracked| tracked.running.get(&ticket.item));
        run.is_some_and(|run| run.ticket == *ticket)
    }

    /// Whether results wait for the log.
    pub fn is_ending(&self) -> bool {
        self.ending_bytes > 0
    }

    /// Starts to track a job with what the partition's stream says about its items.
    pub fn add(&mut self, now: Millis, spec: JobSpec, ended: ItemSet, intended: ItemSet) {
        let mut tracked = Tracked::new(spec, ended, intended);
        let job = tracked.spec.job.clone();
        for item in tracked.orphans() {
            let until = now + Millis(self.settings.adopt_ms + self.settings.hold_grace_ms);
            self.timers.insert((until, Timer::Orphan, job.clone(), item));
            tracked.waiting.insert(item);
        }
        self.jobs.insert(job.clone(), tracked);
        self.enqueue(&job);
    }

    /// Stops tracking a job and says which runs must stop. Cancelled and finished jobs go so.
    pub fn remove(&mut self, job: &Job) -> Vec<Action> {
        let Some(tracked) = self.jobs.remove(job) else { return Vec::new() };
        let spec = &tracked.spec;
        self.queue.remove(&spec.pool, &spec.workspace, &spec.entry());
        self.ending_bytes -= tracked.ending.values().sum::<usize>();
        let mut actions = Vec::new();
        for (item, run) in tracked.running {
            self.release(&run.runner, job, item);
            actions.push(Action::Stop { runner: run.runner, ticket: run.ticket });
        }
        actions
    }

    /// Picks items for a runner, at most as many as it has room for.
    pub fn grant(&mut self, now: Millis, runner: &Vm, rooms: &[Capacity]) -> Vec<Pick> {
        let mut picks = Vec::new();
        if now < self.opens_at {
            return picks;
        }
        for room in rooms {
            let pools = pools(room);
            for _ in 0..room.items {
                if self.ending_bytes >= self.settings.outcome_bytes {
                    return picks;
                }
                let Some(pick) = self.pick(now, runner, &pools) else { break };
                picks.push(pick);
            }
        }
        picks
    }

    /// The intent of a picked item is durable.
    pub fn handle_intended(&mut self, job: &Job, item: Item) {
        if let Some(tracked) = self.jobs.get_mut(job) {
            tracked.intended.insert(item);
        }
    }

    /// Takes back an item that was picked and surely not handed out.
    pub fn withdraw(&mut self, ticket: &Ticket) {
        if self.stop_run(ticket) {
            self.run_again(&ticket.job, ticket.item);
        }
    }

    /// Compares what a runner says it holds with what it was granted.
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
                actions.extend(self.lose(now, job, *item));
            }
        }
        actions
    }

    /// The runner's process is gone with all that it held.
    pub fn handle_runner_gone(&mut self, now: Millis, runner: &Vm) -> Vec<Action> {
        let held = self.held.get(runner).cloned().unwrap_or_default();
        held.iter().flat_map(|(job, item)| self.lose(now, job, *item)).collect()
    }

    /// The runners that hold items.
    pub fn runners(&self) -> impl Iterator<Item = &Vm> {
        self.held.keys()
    }

    /// The partition's stream holds results of these items.
    pub fn handle_ended(&mut self, job: &Job, items: &[Item]) -> Vec<Action> {
        let mut actions = Vec::new();
        for item in items {
            let Some(tracked) = self.jobs.get_mut(job) else { return actions };
            tracked.ended.insert(*item);
            self.ending_bytes -= tracked.ending.remove(item).unwrap_or_default();
            tracked.tallies.remove(item);
            tracked.waiting.remove(item);
            if let Some(run) = tracked.running.remove(item) {
                self.release(&run.runner, job, *item);
                actions.push(Action::Stop { runner: run.runner, ticket: run.ticket });
            }
        }
        actions
    }

    /// Carries out what is due because time has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((at, timer, job, item)) = self.timers.pop_first() {
            if at > now {
                self.timers.insert((at, timer, job, item));
                break;
            }
            actions.extend(self.ring(now, at, timer, &job, item));
        }
        actions
    }

    pub(super) fn ring(
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
                tracked.waiting.remove(&item);
                self.run_again(job, item);
                Vec::new()
            }
            Timer::Orphan if tracked.waiting.remove(&item) => {
                self.end(job, item, unknown("the runner did not report an outcome"))
            }
            Timer::Orphan => Vec::new(),
            Timer::Run => {
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
            let Some(item) = tracked.take() else {
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
        self.timers.insert((until, Timer::Run, job, item));
    }

    /// Ends the run of the ticket. False if it is not the item's run.
    pub(super) fn stop_run(&mut self, ticket: &Ticket) -> bool {
        let Some(tracked) = self.jobs.get_mut(&ticket.job) else { return false };
        if tracked.running.get(&ticket.item).is_none_or(|run| run.ticket != *ticket) {
            return false;
        }
        let Some(run) = tracked.running.remove(&ticket.item) else { return false };
        let until = run.granted_at + Millis(self.settings.run_timeout_ms);
        self.timers.remove(&(until, Timer::Run, ticket.job.clone(), ticket.item));
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

    /// Whether the runner may go on with the run of the ticket.
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
        tracked.waiting.remove(&ticket.item);
        let tally = tracked.tallies.entry(ticket.item).or_default();
        tally.runs = tally.runs.max(ticket.attempt);
        self.start_run(now, runner, ticket.clone());
        true
    }

    pub(super) fn run_again(&mut self, job: &Job, item: Item) {
        if let Some(tracked) = self.jobs.get_mut(job) {
            tracked.again.insert(item);
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

/// The pools that the room of a deployment or plain service can serve.
fn pools(room: &Capacity) -> Vec<Pool> {
    let models = room.models.iter().map(|model: &Model| Pool::Model(model.clone()));
    models.chain([Pool::Service(room.deployment.0.clone())]).collect()
}
