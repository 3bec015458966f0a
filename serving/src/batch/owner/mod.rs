//! The owner of a partition: the only task that writes its records. It holds the jobs of the
//! partition, runs their items and answers calls.
//!
//! * `handle` sends commands to the owner; `calls` handles them.
//! * `writes` appends records to the log.
//! * `items` starts, pauses and abandons items.

mod calls;
mod handle;
mod items;
mod writes;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    catalog::{self, Route},
    exchange::Context,
    id::{Job as JobId, Service},
    log_store::{self, Error, Partition, Producer},
    tenure::Tenure,
    time::Millis,
};

use super::{
    Settings, coordinator,
    ledger::{ItemId, Job, Ledger, Progress},
    memory::{Memory, Part},
    order::{self, Forecast},
    quota::{Decision, Report},
    record::Head,
    run::FinishedRun,
};

pub(super) use calls::read_page;
pub use handle::{Admission, Handle, Page, Unavailable};

use calls::{PendingRead, Submission};
use handle::{Command, Lookup};
use items::Running;
use writes::{Effect, PendingAppend, Write, wait_for_append};

/// Capacity of an owner's command queue; further calls are refused.
const COMMAND_QUEUE: usize = 256;
/// Capacity of an owner's queue of progress updates from runs; further updates are dropped.
const PROGRESS_QUEUE: usize = 64;
/// Maximum number of buckets of waiting items for each service in a report to other owners; the last
/// bucket also counts all further items.
const MAX_READY_BUCKETS: usize = 8;
/// Delay before an append, a claim or a read of the partition is repeated.
const RETRY_DELAY: Millis = Millis(100);
/// Interval at which items are abandoned and jobs past their retention are removed.
const CLEANUP_INTERVAL: Millis = Millis(5_000);

/// What the owners of a node share.
#[derive(Clone)]
pub(super) struct Dependencies {
    pub(super) context: Arc<Context>,
    pub(super) catalog: catalog::Handle,
    pub(super) store: log_store::Handle,
    pub(super) settings: Settings,
    pub(super) coordinator: coordinator::Client,
    pub(super) memory: Arc<Memory>,
}

/// Starts the owner of a partition as a task. The owner stops when a later owner fences it, when it
/// is released, when all its handles are dropped or when its task is aborted.
pub(super) fn start(
    dependencies: Dependencies,
    partition: Partition,
    tenure: Tenure,
) -> (Handle, tokio::task::AbortHandle) {
    let (command_tx, commands) = mpsc::channel(COMMAND_QUEUE);
    let task = tokio::spawn(async move {
        if let Some(owner) = Owner::claim(dependencies, partition, tenure).await {
            owner.run(commands).await;
        }
    });
    (Handle(command_tx), task.abort_handle())
}

/// State of the task that owns a partition.
struct Owner {
    dependencies: Dependencies,
    partition: Partition,
    tenure: Tenure,
    /// When the partition was claimed.
    claimed_at: Millis,
    /// Whether the tenure had lapsed when items were last to start.
    is_lapsed: bool,
    producer: Producer,
    ledger: Ledger,
    /// Memory of the jobs of this owner.
    memory: Part,
    /// Writes that wait for an append.
    writes: VecDeque<Write>,
    /// Number of the first writes that are appended one by one.
    isolated: usize,
    /// Failed runs in writes that a later owner has prevented.
    unsaved_failures: Vec<log_store::Record>,
    pending_append: Option<PendingAppend>,
    /// Keys of durable records of jobs that aren't committed. Those of jobs that aren't in the ledger are
    /// to be deleted.
    begun: BTreeMap<JobId, BTreeSet<String>>,
    /// Callers to answer when a submitted job is durable.
    submit_replies: BTreeMap<JobId, Vec<oneshot::Sender<Result<Admission, Unavailable>>>>,
    /// Callers to answer when a cancellation is durable.
    cancel_replies: BTreeMap<JobId, Vec<oneshot::Sender<Lookup<()>>>>,
    pending_reads: Vec<PendingRead>,
    /// Submitted jobs that wait for the decision on their quota reservation.
    submitted: BTreeMap<JobId, Submission>,
    reservations: JoinSet<(JobId, Result<Decision, Unavailable>)>,
    /// Partitions that had not reported when this owner last decided on a reservation.
    unreported: Vec<u16>,
    forecast: Forecast,
    running: BTreeMap<ItemId, Running>,
    runs: JoinSet<FinishedRun>,
    /// Cloned into each run, for updates of its progress.
    progress_tx: mpsc::Sender<(ItemId, Progress)>,
    progress_rx: mpsc::Receiver<(ItemId, Progress)>,
    /// Set when the owner is to stop.
    releasing: Option<Release>,
    next_cleanup: Instant,
}

/// A release of the partition in progress.
struct Release {
    reply: oneshot::Sender<()>,
    /// The progress of all items was queued for writing.
    progress_queued: bool,
}

impl Owner {
    /// Fences earlier owners with an empty append, then restores the ledger from the partition.
    /// Retries until the log answers; `None` if a later owner exists.
    async fn claim(
        dependencies: Dependencies,
        partition: Partition,
        tenure: Tenure,
    ) -> Option<Owner> {
        let epoch = tenure.ownership.epoch;
        let producer = Producer { name: "owner".to_string(), epoch, sequence: 0 };
        let started_at = Instant::now();
        loop {
            match dependencies.store.append(&partition, &producer, &[]).await {
                Ok(()) | Err(Error::OutOfSequence(_)) => break,
                Err(Error::Fenced) => {
                    log::warn!(partition = partition.number, epoch = epoch; "claim refused: the partition has a later owner");
                    tenure.end();
                    return None;
                }
                Err(error) => {
                    log::warn!(partition = partition.number, epoch = epoch, error:% = error; "could not claim a partition");
                    sleep(RETRY_DELAY.duration()).await;
                }
            }
        }
        let claimed_at = dependencies.context.clock.now();
        let snapshot = loop {
            match dependencies.store.read_latest(&partition).await {
                Ok(snapshot) if snapshot.is_complete => break snapshot,
                Ok(_) => {
                    log::warn!(partition = partition.number; "the log returned a part of a partition only");
                    sleep(RETRY_DELAY.duration()).await;
                }
                Err(error) => {
                    log::warn!(partition = partition.number, error:% = error; "could not read a partition");
                    sleep(RETRY_DELAY.duration()).await;
                }
            }
        };
        let catalog = dependencies.catalog.current();
        let due_after = |head: &Head| {
            let route = catalog.as_ref().and_then(|catalog| head.find_route(catalog));
            route.map_or(Millis(0), |route| route.results_due)
        };
        let clock = &dependencies.context.clock;
        let mut ledger =
            Ledger::restore(&snapshot.records, clock.wall_time().0, clock.now(), due_after);
        ledger.set_epoch(epoch);
        log::info!(
            partition = partition.number, epoch = epoch, jobs = ledger.jobs().count(),
            ms = started_at.elapsed().as_millis() as u64;
            "partition claimed"
        );
        let (progress_tx, progress_rx) = mpsc::channel(PROGRESS_QUEUE);
        let mut memory = dependencies.memory.part();
        memory.set(ledger.memory_bytes());
        Some(Owner {
            memory,
            dependencies,
            partition,
            tenure,
            claimed_at,
            is_lapsed: false,
            producer: Producer { sequence: 1, ..producer },
            ledger,
            writes: VecDeque::new(),
            isolated: 0,
            unsaved_failures: Vec::new(),
            pending_append: None,
            begun: BTreeMap::new(),
            submit_replies: BTreeMap::new(),
            cancel_replies: BTreeMap::new(),
            pending_reads: Vec::new(),
            submitted: BTreeMap::new(),
            reservations: JoinSet::new(),
            unreported: Vec::new(),
            forecast: Forecast::default(),
            running: BTreeMap::new(),
            runs: JoinSet::new(),
            progress_tx,
            progress_rx,
            releasing: None,
            next_cleanup: Instant::now() + CLEANUP_INTERVAL.duration(),
        })
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        self.apply_restored_failures();
        self.schedule();
        let mut next_schedule = Instant::now();
        loop {
            if self.finish_release() {
                return;
            }
            self.append_next();
            let wake_at = self.next_wake(next_schedule);
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                result = wait_for_append(&mut self.pending_append) => {
                    if !self.handle_append(result) {
                        return;
                    }
                }
                Some((item, progress)) = self.progress_rx.recv() => {
                    if let Some(record) = self.ledger.save_progress(&item, &progress) {
                        self.queue_write(vec![record], Effect::Saved);
                    }
                }
                Some(finished) = self.runs.join_next(), if !self.runs.is_empty() => {
                    match finished {
                        Ok(finished) => self.finish_run(finished),
                        Err(error) => self.handle_panic(&error),
                    }
                    self.schedule();
                }
                Some(joined) = self.reservations.join_next(), if !self.reservations.is_empty() => {
                    match joined {
                        Ok((id, decision)) => self.handle_reservation(id, decision),
                        Err(error) => log::error!(error:% = error; "task that reserves quota failed"),
                    }
                }
                () = sleep_until(wake_at) => {
                    let now = Instant::now();
                    self.answer_reads(now);
                    self.clean_up(now);
                    if now >= next_schedule {
                        self.pause_excess_items();
                        self.pause_if_replaced();
                        self.schedule();
                        let interval = Millis(self.dependencies.settings.schedule_ms).duration();
                        next_schedule = Instant::now() + interval;
                    }
                }
            }
        }
    }

    /// The next time at which the owner has work without an event.
    fn next_wake(&self, next_schedule: Instant) -> Instant {
        let mut wake_at = self.next_cleanup;
        if self.ledger.has_ready() || !self.running.is_empty() {
            wake_at = wake_at.min(next_schedule);
        }
        self.pending_reads.iter().map(|read| read.deadline).fold(wake_at, Instant::min)
    }

    /// Advances a release: once all runs have ended, saves the progress of the items; once that is
    /// durable, confirms the release. Returns whether the owner is to stop now.
    fn finish_release(&mut self) -> bool {
        let Some(release) = &mut self.releasing else { return false };
        if !self.running.is_empty() {
            return false;
        }
        if !std::mem::replace(&mut release.progress_queued, true) {
            let records = self.ledger.save_all_progress();
            log::info!(partition = self.partition.number, items = records.len(); "saving progress for the next owner");
            for record in records {
                self.queue_write(vec![record], Effect::Saved);
            }
        }
        if self.pending_append.is_some() || !self.writes.is_empty() {
            return false;
        }
        if let Some(release) = self.releasing.take() {
            let _ = release.reply.send(());
        }
        true
    }

    /// Reports the waiting items and their tokens, for the other owners and the quotas.
    fn report_waiting(&self, waiting_items: &BTreeMap<Service, Vec<order::WaitingItem>>) {
        let mut waiting = BTreeMap::new();
        // Each workspace has a quota of its own, which the owner of its jobs decides on.
        let is_shared = |job: &Job| !job.cancelled && job.head.workspace.is_none();
        for (_, job) in self.ledger.jobs().filter(|(_, job)| is_shared(job)) {
            if let Some(route) = self.find_route(&job.head) {
                let tokens: &mut u64 = waiting.entry(route.id.clone()).or_default();
                *tokens = tokens.saturating_add(job.waiting_tokens);
            }
        }
        let mut all: Vec<order::WaitingItem> = waiting_items.values().flatten().cloned().collect();
        all.sort();
        let ready = order::bucket_by_urgency(&all, MAX_READY_BUCKETS);
        let ready_by_service = waiting_items
            .iter()
            .filter(|(_, items)| !items.is_empty())
            .map(|(service, items)| {
                (service.clone(), order::bucket_by_urgency(items, MAX_READY_BUCKETS))
            })
            .collect();
        let report = Report { epoch: self.producer.epoch, waiting, ready, ready_by_service };
        let now = self.dependencies.context.clock.now();
        let directory = &self.dependencies.coordinator.directory;
        directory.quota().apply_report(now, self.partition.number, report);
    }

    /// Finds the route of a job in the current configuration.
    fn find_route(&self, head: &Head) -> Option<Arc<Route>> {
        head.find_route(self.dependencies.catalog.current()?.as_ref()).cloned()
    }
}
