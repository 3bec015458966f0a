//! The one writer of a partition: keeps its jobs, runs their items, answers readers.
//!
//! * `handle` is how the process reaches it; `calls` answers.
//! * `writes` appends to the log.
//! * `items` decides with the ledger what runs.

mod calls;
mod handle;
mod items;
mod writes;

use std::{
    collections::{BTreeMap, VecDeque},
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
    id::Job as JobId,
    log_store::{self, Error, Partition, Producer},
    time::Millis,
};

use super::{
    Settings, coordinator,
    ledger::{ItemId, Ledger, Progress},
    order::{self, Forecast},
    quota::{Report, Verdict},
    record::Head,
    run::Finished,
};

pub(super) use calls::page;
pub(super) use handle::Verified;
pub use handle::{Accepted, Handle, Page, Unavailable};

use calls::{Reader, Reserving};
use handle::{Command, Found};
use items::Running;
use writes::{Appending, Effect, Write, appended};

/// Commands that wait for an owner at most; more callers are told to come back.
const COMMANDS: usize = 256;
/// Reports of progress that wait for an owner at most; further ones are skipped.
const PROGRESS_REPORTS: usize = 64;
/// Groups of waiting items that are told to other owners; later items count to the last one.
const READY_GROUPS: usize = 8;
/// Milliseconds between two tries of an append or a claim.
const RETRY: Millis = Millis(100);
/// Milliseconds between two looks for jobs that need not be kept any longer.
const UPKEEP: Millis = Millis(5_000);

/// What an owner uses of its process.
#[derive(Clone)]
pub(super) struct Tools {
    pub(super) context: Arc<Context>,
    pub(super) catalog: catalog::Handle,
    pub(super) store: log_store::Handle,
    pub(super) settings: Settings,
    pub(super) coordinator: coordinator::Client,
}

/// Starts the owner of a partition. It ends when it is fenced or its task is aborted.
pub(super) fn start(
    tools: Tools,
    partition: Partition,
    epoch: u64,
    verified: Verified,
) -> (Handle, tokio::task::AbortHandle) {
    let (sender, commands) = mpsc::channel(COMMANDS);
    let task = tokio::spawn(async move {
        if let Some(owner) = Owner::claim(tools, partition, epoch, verified).await {
            owner.run(commands).await;
        }
    });
    (Handle(sender), task.abort_handle())
}

struct Owner {
    tools: Tools,
    partition: Partition,
    verified: Verified,
    producer: Producer,
    ledger: Ledger,
    writes: VecDeque<Write>,
    appending: Option<Appending>,
    submitters: BTreeMap<JobId, Vec<oneshot::Sender<Result<Accepted, Unavailable>>>>,
    enders: BTreeMap<JobId, Vec<oneshot::Sender<Found<()>>>>,
    readers: Vec<Reader>,
    /// Submitted jobs that wait for room in their route's quota.
    reserving: BTreeMap<JobId, Reserving>,
    reservations: JoinSet<(JobId, Result<Verdict, Unavailable>)>,
    forecast: Forecast,
    running: BTreeMap<ItemId, Running>,
    runs: JoinSet<Finished>,
    /// Given to runs, which tell how far they have got.
    progress_reports: mpsc::Sender<(ItemId, Progress)>,
    progressed: mpsc::Receiver<(ItemId, Progress)>,
    /// The owner is to end.
    releasing: Option<Release>,
    next_upkeep: Instant,
}

struct Release {
    reply: oneshot::Sender<()>,
    /// The progress of all items is being written.
    saved: bool,
}

impl Owner {
    /// Fences earlier owners, then reads what they wrote. `None` when a later owner exists.
    async fn claim(
        tools: Tools,
        partition: Partition,
        epoch: u64,
        verified: Verified,
    ) -> Option<Owner> {
        let producer = Producer { name: "owner".to_string(), epoch, sequence: 0 };
        let begun = Instant::now();
        loop {
            match tools.store.append(&partition, &producer, &[]).await {
                Ok(()) | Err(Error::OutOfSequence(_)) => break,
                Err(Error::Fenced) => {
                    log::warn!(partition = partition.number, epoch = epoch; "partition has a later owner");
                    return None;
                }
                Err(error) => {
                    log::warn!(partition = partition.number, epoch = epoch, error:% = error; "claim of a partition failed");
                    sleep(RETRY.duration()).await;
                }
            }
        }
        let newest = loop {
            match tools.store.read_latest(&partition).await {
                Ok(newest) => break newest,
                Err(error) => {
                    log::warn!(partition = partition.number, error:% = error; "partition can't be read");
                    sleep(RETRY.duration()).await;
                }
            }
        };
        let catalog = tools.catalog.current();
        let due_after = |head: &Head| {
            let route = catalog.as_ref().and_then(|catalog| catalog.find(&head.host, &head.path));
            route.map_or(Millis(0), |route| route.results_due)
        };
        let clock = &tools.context.clock;
        let ledger = Ledger::restore(&newest.records, clock.wall_time().0, clock.now(), due_after);
        log::info!(
            partition = partition.number, epoch = epoch, jobs = ledger.jobs().count(),
            ms = begun.elapsed().as_millis() as u64;
            "partition owned"
        );
        let (progress_reports, progressed) = mpsc::channel(PROGRESS_REPORTS);
        Some(Owner {
            tools,
            partition,
            verified,
            producer: Producer { sequence: 1, ..producer },
            ledger,
            writes: VecDeque::new(),
            appending: None,
            submitters: BTreeMap::new(),
            enders: BTreeMap::new(),
            readers: Vec::new(),
            reserving: BTreeMap::new(),
            reservations: JoinSet::new(),
            forecast: Forecast::default(),
            running: BTreeMap::new(),
            runs: JoinSet::new(),
            progress_reports,
            progressed,
            releasing: None,
            next_upkeep: Instant::now() + UPKEEP.duration(),
        })
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        self.schedule();
        let mut next_schedule = Instant::now();
        loop {
            if self.is_released() {
                return;
            }
            self.append_next();
            let wake = self.wake(next_schedule);
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                result = appended(&mut self.appending) => {
                    if !self.appended(result) {
                        return;
                    }
                }
                Some((item, progress)) = self.progressed.recv() => {
                    if let Some(record) = self.ledger.save(&item, &progress) {
                        self.write(vec![record], Effect::Saved);
                    }
                }
                Some(finished) = self.runs.join_next(), if !self.runs.is_empty() => {
                    match finished {
                        Ok(finished) => self.ran(finished),
                        Err(error) => log::error!(error:% = error; "run of an item failed"),
                    }
                    self.schedule();
                }
                Some(reserved) = self.reservations.join_next(), if !self.reservations.is_empty() => {
                    match reserved {
                        Ok((id, verdict)) => self.reserved(id, verdict),
                        Err(error) => log::error!(error:% = error; "reservation failed"),
                    }
                }
                () = sleep_until(wake) => {
                    let now = Instant::now();
                    self.answer_readers(now);
                    self.upkeep(now);
                    if now >= next_schedule {
                        self.make_room();
                        self.schedule();
                        let interval = Millis(self.tools.settings.schedule_ms).duration();
                        next_schedule = Instant::now() + interval;
                    }
                }
            }
        }
    }

    /// When there is something to do without an event.
    fn wake(&self, next_schedule: Instant) -> Instant {
        let mut wake = self.next_upkeep;
        if self.ledger.has_ready() || !self.running.is_empty() {
            wake = wake.min(next_schedule);
        }
        self.readers.iter().map(|reader| reader.until).fold(wake, Instant::min)
    }

    /// Whether an owner that is to end has saved everything. Tells who waits for it.
    fn is_released(&mut self) -> bool {
        let Some(release) = &mut self.releasing else { return false };
        if !self.running.is_empty() {
            return false;
        }
        if !std::mem::replace(&mut release.saved, true) {
            let records = self.ledger.save_all();
            log::info!(partition = self.partition.number, items = records.len(); "progress is being saved for the next owner");
            for record in records {
                self.write(vec![record], Effect::Saved);
            }
        }
        if self.appending.is_some() || !self.writes.is_empty() {
            return false;
        }
        if let Some(release) = self.releasing.take() {
            let _ = release.reply.send(());
        }
        true
    }

    /// Tells the node what waits here.
    fn report(&self, waiting_items: &[order::Waiting]) {
        let mut waiting = BTreeMap::new();
        for (_, job) in self.ledger.jobs().filter(|(_, job)| !job.ended) {
            if let Some(route) = self.route(&job.head) {
                *waiting.entry(route.id.clone()).or_default() += job.waiting_tokens;
            }
        }
        let ready = order::groups(waiting_items, READY_GROUPS);
        let report = Report { epoch: self.producer.epoch, waiting, ready };
        self.tools.coordinator.directory.quota().report(self.partition.number, report);
    }

    /// The route of a job in the configuration that is in force.
    fn route(&self, head: &Head) -> Option<Arc<Route>> {
        let catalog = self.tools.catalog.current()?;
        catalog.find(&head.host, &head.path).cloned()
    }
}
