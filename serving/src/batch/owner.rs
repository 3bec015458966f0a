//! The one writer of a partition: keeps its jobs, runs their items, answers readers.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot},
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    balance::Class,
    catalog::{self, Route},
    exchange::Context,
    id::{Job as JobId, Upstream},
    log_store::{self, Error, Partition, Producer, Record},
    time::Millis,
};

use super::{
    Settings,
    ledger::{ItemId, Ledger, Progress, RunEnd, Submission},
    record::{Head, Outcome},
    run::{self, Finished, Run},
};

/// Commands that wait for an owner at most; more callers are told to come back.
const COMMANDS: usize = 256;
/// Reports of progress that wait for an owner at most; further ones are skipped.
const PROGRESS_REPORTS: usize = 64;
/// Milliseconds between two tries of an append or a claim.
const RETRY: Millis = Millis(100);
/// Bytes of output in one page of results at most.
const PAGE_BYTES: usize = 900 << 10;
/// Milliseconds between two looks for jobs that need not be kept any longer.
const UPKEEP: Millis = Millis(5_000);
/// Added to the time after which an item may be abandoned, for clocks that differ.
const ABANDON_MARGIN: Millis = Millis(5_000);

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The job is durable.
    Durable,
    OverQuota,
    Invalid(String),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The job was not accepted and won't be run for this call.
    NotAccepted,
    /// The job may have been accepted.
    Unknown,
}

/// Results of a job from one position on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items of the job.
    pub total: usize,
    /// The position behind the last result of the page.
    pub next: usize,
    /// Each result with the id of its item.
    pub results: Vec<(String, Outcome)>,
}

/// What an owner knows, `None` if there is no such thing, or that it can't be sure.
type Found<T> = Result<Option<T>, Unavailable>;

enum Command {
    Submit {
        id: JobId,
        head: Head,
        reply: oneshot::Sender<Result<Accepted, Unavailable>>,
    },
    Read {
        id: JobId,
        after: usize,
        wait: Millis,
        reply: oneshot::Sender<Found<Page>>,
    },
    Body {
        id: JobId,
        item: String,
        reply: oneshot::Sender<Found<Bytes>>,
    },
    End {
        id: JobId,
        reply: oneshot::Sender<Found<()>>,
    },
    /// Stop running, save what there is and end; the reply comes when that is durable.
    Release {
        reply: oneshot::Sender<()>,
    },
}

/// When the log last confirmed that an owner holds its partition. A later owner may have begun
/// since, so what is older says nothing of jobs and results that an owner doesn't know.
#[derive(Clone, Debug, Default)]
pub(super) struct Verified(Arc<AtomicU64>);

impl Verified {
    pub(super) fn set(&self, at: Millis) {
        self.0.fetch_max(at.0, Ordering::Relaxed);
    }

    fn get(&self) -> Millis {
        Millis(self.0.load(Ordering::Relaxed))
    }
}

/// Reaches the owner of a partition at this node.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::Sender<Command>);

impl Handle {
    /// Accepts a job once. Answers when it is durable.
    pub async fn submit(&self, id: JobId, head: Head) -> Result<Accepted, Unavailable> {
        let (reply, answer) = oneshot::channel();
        if self.0.try_send(Command::Submit { id, head, reply }).is_err() {
            return Err(Unavailable::NotAccepted);
        }
        // An owner that ends drops the reply; what it was writing may be in the log.
        answer.await.unwrap_or(Err(Unavailable::Unknown))
    }

    /// Results from position `after` on; waits up to `wait` for the first of them. `Ok(None)`
    /// means that there is no such job.
    pub async fn read(
        &self,
        id: JobId,
        after: usize,
        wait: Millis,
    ) -> Result<Option<Page>, Unavailable> {
        self.ask(|reply| Command::Read { id, after, wait, reply }).await?
    }

    /// The body of an item that isn't listed, unless its job has ended.
    pub async fn body(&self, id: JobId, item: String) -> Result<Option<Bytes>, Unavailable> {
        self.ask(|reply| Command::Body { id, item, reply }).await?
    }

    /// Ends a job. Answers when that is durable; `Ok(None)` means that there is no such job.
    pub async fn end(&self, id: JobId) -> Result<Option<()>, Unavailable> {
        self.ask(|reply| Command::End { id, reply }).await?
    }

    /// Makes the owner save its progress and end.
    pub(super) async fn release(&self) -> Result<(), Unavailable> {
        self.ask(|reply| Command::Release { reply }).await
    }

    async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Unavailable> {
        let (reply, answer) = oneshot::channel();
        self.0.try_send(command(reply)).map_err(|_| Unavailable::NotAccepted)?;
        answer.await.map_err(|_| Unavailable::Unknown)
    }
}

/// What an owner uses of its process.
#[derive(Clone)]
pub(super) struct Tools {
    pub(super) context: Arc<Context>,
    pub(super) catalog: catalog::Shared,
    pub(super) store: log_store::Shared,
    pub(super) settings: Settings,
}

/// What follows when a write is durable.
#[derive(Clone, Debug)]
enum Effect {
    Accepted(JobId),
    Listed(JobId),
    Ended(JobId),
    Saved,
}

#[derive(Clone, Debug)]
struct Write {
    records: Vec<Record>,
    effect: Effect,
}

/// An append on its way to the log.
struct Appending {
    writes: Vec<Write>,
    /// An earlier try may have taken effect: only the same append may follow.
    uncertain: bool,
    begun: Millis,
    task: JoinHandle<log_store::Result<()>>,
}

struct Reader {
    id: JobId,
    after: usize,
    until: Instant,
    reply: oneshot::Sender<Found<Page>>,
}

struct Running {
    upstream: Upstream,
    pause: Option<oneshot::Sender<()>>,
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
    running: BTreeMap<ItemId, Running>,
    runs: JoinSet<Finished>,
    progressed: (mpsc::Sender<(ItemId, Progress)>, mpsc::Receiver<(ItemId, Progress)>),
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
                Ok(()) | Err(Error::Sequence(_)) => break,
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
            match tools.store.newest(&partition).await {
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
        let ledger = Ledger::restore(&newest.records, clock.wall().0, clock.now(), due_after);
        log::info!(
            partition = partition.number, epoch = epoch, jobs = ledger.jobs().count(),
            ms = begun.elapsed().as_millis() as u64;
            "partition owned"
        );
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
            running: BTreeMap::new(),
            runs: JoinSet::new(),
            progressed: mpsc::channel(PROGRESS_REPORTS),
            releasing: None,
            next_upkeep: Instant::now() + UPKEEP.duration(),
        })
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
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
                Some((item, progress)) = self.progressed.1.recv() => {
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

    fn command(&mut self, command: Command) {
        match command {
            Command::Submit { id, head, reply } => self.submit(id, head, reply),
            Command::Read { id, after, wait, reply } => {
                let until = Instant::now() + wait.duration();
                let reader = Reader { id, after, until, reply };
                if let Some(reader) = self.answer_reader(reader, Instant::now()) {
                    self.readers.push(reader);
                }
            }
            Command::Body { id, item, reply } => {
                // The caller may have left.
                let _ = reply.send(self.sure(self.body(&id, &item)));
            }
            Command::End { id, reply } => self.end(id, reply),
            Command::Release { reply } => {
                self.releasing = Some(Release { reply, saved: false });
                for running in self.running.values_mut() {
                    if let Some(pause) = running.pause.take() {
                        let _ = pause.send(());
                    }
                }
            }
        }
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

    fn submit(
        &mut self,
        id: JobId,
        head: Head,
        reply: oneshot::Sender<Result<Accepted, Unavailable>>,
    ) {
        let route = self.route(&head).filter(|_| self.releasing.is_none());
        let Some(route) = route else {
            let _ = reply.send(Err(Unavailable::NotAccepted));
            return;
        };
        let catalog = self.tools.catalog.current();
        let same_route = |other: &Head| {
            let found = catalog.as_ref().and_then(|catalog| catalog.find(&other.host, &other.path));
            found.is_some_and(|found| found.id == route.id)
        };
        let due = self.tools.context.clock.now() + route.results_due;
        let items = head.items.len();
        let bytes = self.tools.settings.record_bytes;
        let submission = self.ledger.submit(&id, head, due, route.token_quota, bytes, same_route);
        let (outcome, answer) = match submission {
            Submission::Write(records) => {
                self.submitters.entry(id.clone()).or_default().push(reply);
                self.write(records, Effect::Accepted(id.clone()));
                log::info!(job = id.0.as_str(), items = items, partition = self.partition.number, epoch = self.producer.epoch; "job is being written");
                return;
            }
            Submission::Pending => {
                self.submitters.entry(id).or_default().push(reply);
                return;
            }
            Submission::Known => ("known", Accepted::Durable),
            Submission::OverQuota => ("over quota", Accepted::OverQuota),
            Submission::Invalid(why) => ("invalid", Accepted::Invalid(why)),
        };
        log::info!(job = id.0.as_str(), items = items, quota = route.token_quota, outcome = outcome; "job submitted");
        let _ = reply.send(Ok(answer));
    }

    /// What isn't known here may be known to a later owner, unless there can't be one yet.
    fn sure<T>(&self, known: Option<T>) -> Found<T> {
        if known.is_none() && !self.is_proven() {
            return Err(Unavailable::NotAccepted);
        }
        Ok(known)
    }

    fn is_proven(&self) -> bool {
        let age = self.tools.context.clock.now() - self.verified.get();
        age <= Millis(self.tools.settings.proof_ms)
    }

    fn end(&mut self, id: JobId, reply: oneshot::Sender<Found<()>>) {
        let was_ended = self.ledger.job(&id).is_some_and(|job| job.ended);
        let Some(record) = self.ledger.end(&id) else {
            let _ = reply.send(self.sure(None));
            return;
        };
        log::info!(job = id.0.as_str(), again = was_ended; "job ended by its caller");
        for (item, running) in &mut self.running {
            if item.job == id
                && let Some(pause) = running.pause.take()
            {
                let _ = pause.send(());
            }
        }
        self.enders.entry(id.clone()).or_default().push(reply);
        self.write(vec![record], Effect::Ended(id));
    }

    fn body(&self, id: &JobId, item: &str) -> Option<Bytes> {
        let job = self.ledger.job(id).filter(|job| job.durable && !job.ended)?;
        let item = job.head.items.iter().find(|known| known.id == item)?;
        Some(Bytes::from(item.body.clone()))
    }

    fn answer_readers(&mut self, now: Instant) {
        for reader in std::mem::take(&mut self.readers) {
            if let Some(reader) = self.answer_reader(reader, now) {
                self.readers.push(reader);
            }
        }
    }

    /// Answers a reader, or gives it back if it is to wait.
    fn answer_reader(&self, reader: Reader, now: Instant) -> Option<Reader> {
        let page = page(&self.ledger, &reader.id, reader.after);
        let has_more_to_come = self
            .ledger
            .job(&reader.id)
            .is_some_and(|job| !job.ended && job.listed < job.head.items.len());
        let is_empty = page.as_ref().is_some_and(|page| page.results.is_empty());
        if is_empty && has_more_to_come && reader.until > now {
            return Some(reader);
        }
        let answer = match is_empty && !self.is_proven() {
            true => Err(Unavailable::NotAccepted),
            false => self.sure(page),
        };
        let _ = reader.reply.send(answer);
        None
    }

    fn write(&mut self, records: Vec<Record>, effect: Effect) {
        self.writes.push_back(Write { records, effect });
    }

    /// Starts the next append unless one is on its way.
    fn append_next(&mut self) {
        if self.appending.is_some() || self.writes.is_empty() {
            return;
        }
        let mut writes = Vec::new();
        let mut bytes = 0;
        while let Some(write) = self.writes.front() {
            bytes += write.records.iter().map(encoded_len).sum::<usize>();
            if !writes.is_empty() && bytes > self.tools.settings.append_bytes {
                break;
            }
            writes.extend(self.writes.pop_front());
        }
        self.append(writes, false, Millis(0));
    }

    fn append(&mut self, writes: Vec<Write>, uncertain: bool, delay: Millis) {
        let records: Vec<Record> =
            writes.iter().flat_map(|write| write.records.iter().cloned()).collect();
        let (store, partition) = (Arc::clone(&self.tools.store), self.partition.clone());
        let producer = self.producer.clone();
        let task = tokio::spawn(async move {
            sleep(delay.duration()).await;
            store.append(&partition, &producer, &records).await
        });
        let begun = self.tools.context.clock.now();
        self.appending = Some(Appending { writes, uncertain, begun, task });
    }

    /// An append has ended. Tells whether the partition is still owned.
    fn appended(&mut self, result: log_store::Result<()>) -> bool {
        let Some(Appending { writes, uncertain, begun, .. }) = self.appending.take() else {
            return true;
        };
        match result {
            Ok(()) => {
                self.producer.sequence += 1;
                self.verified.set(begun);
                writes.into_iter().for_each(|write| self.durable(write.effect));
                self.answer_readers(Instant::now());
                self.schedule();
            }
            Err(Error::Fenced) => {
                log::warn!(partition = self.partition.number, epoch = self.producer.epoch; "partition lost to a later owner");
                let why = if uncertain { Unavailable::Unknown } else { Unavailable::NotAccepted };
                self.reject(writes, why);
                let waiting = std::mem::take(&mut self.writes);
                self.reject(waiting, Unavailable::NotAccepted);
                return false;
            }
            Err(Error::Sequence(expected)) if !uncertain => {
                self.producer.sequence = expected;
                self.append(writes, false, Millis(0));
            }
            Err(Error::Unknown(why)) => {
                log::warn!(partition = self.partition.number, why = why.as_str(), sequence = self.producer.sequence; "outcome of an append is unknown; it is repeated");
                self.append(writes, true, RETRY);
            }
            Err(error) => {
                log::warn!(partition = self.partition.number, error:% = error, uncertain = uncertain; "append refused");
                if uncertain {
                    self.append(writes, true, RETRY);
                    return true;
                }
                // Nothing was written: submitters may go elsewhere, everything else waits.
                let (submissions, kept): (Vec<Write>, Vec<Write>) = writes
                    .into_iter()
                    .partition(|write| matches!(write.effect, Effect::Accepted(_)));
                self.reject(submissions, Unavailable::NotAccepted);
                if !kept.is_empty() {
                    self.append(kept, false, RETRY);
                }
            }
        }
        true
    }

    fn durable(&mut self, effect: Effect) {
        let metrics = Arc::clone(&self.tools.context.metrics);
        match effect {
            Effect::Accepted(id) => {
                metrics.count(&metrics.batch, "job", "accepted");
                self.ledger.confirm_job(&id);
                log::info!(job = id.0.as_str(), outcome = "accepted"; "job submitted");
                for reply in self.submitters.remove(&id).unwrap_or_default() {
                    let _ = reply.send(Ok(Accepted::Durable));
                }
            }
            Effect::Listed(id) => {
                metrics.count(&metrics.batch, "item", "listed");
                self.ledger.confirm_result(&id);
            }
            Effect::Ended(id) => {
                for reply in self.enders.remove(&id).unwrap_or_default() {
                    let _ = reply.send(Ok(Some(())));
                }
            }
            Effect::Saved => {}
        }
    }

    fn reject(&mut self, writes: impl IntoIterator<Item = Write>, why: Unavailable) {
        for write in writes {
            let Effect::Accepted(id) = write.effect else { continue };
            self.ledger.withdraw(&id);
            log::info!(job = id.0.as_str(), outcome:? = why; "job not accepted");
            for reply in self.submitters.remove(&id).unwrap_or_default() {
                let _ = reply.send(Err(why));
            }
        }
    }

    /// The route of a job in the configuration that is in force.
    fn route(&self, head: &Head) -> Option<Arc<Route>> {
        let catalog = self.tools.catalog.current()?;
        catalog.find(&head.host, &head.path).cloned()
    }

    /// Starts items while their services have room.
    fn schedule(&mut self) {
        if self.releasing.is_some() {
            return;
        }
        let now = self.tools.context.clock.now();
        let items: Vec<ItemId> = self.ledger.runnable(now).cloned().collect();
        let mut full = BTreeSet::new();
        for item in items {
            let Some(job) = self.ledger.job(&item.job) else { continue };
            let Some(route) = self.route(&job.head) else { continue };
            let service = route.service(rand::random()).clone();
            if full.contains(&service) {
                continue;
            }
            let entry = &job.head.items[item.index as usize];
            let request = match run::request(&job.head.host, entry) {
                Ok(request) => request,
                Err(why) => {
                    log::warn!(job = item.job.0.as_str(), item = entry.id.as_str(), why = why.as_str(); "item can't be sent");
                    let progress = self.ledger.start(&item);
                    let finished = Finished { id: item, end: RunEnd::Impossible, progress };
                    self.ran(finished);
                    continue;
                }
            };
            let lease = match self.tools.context.choose(&service, Class::Batch, &BTreeSet::new()) {
                Ok(lease) => lease,
                Err(_) => {
                    full.insert(service);
                    continue;
                }
            };
            let (pause, paused) = oneshot::channel();
            let upstream = lease.pick.upstream.clone();
            self.running.insert(item.clone(), Running { upstream, pause: Some(pause) });
            let run = Run {
                context: Arc::clone(&self.tools.context),
                progress: self.ledger.start(&item),
                id: item,
                request,
                lease,
                settings: self.tools.settings.clone(),
                pause: paused,
                progressed: self.progressed.0.clone(),
            };
            self.runs.spawn(run.run());
        }
    }

    /// Pauses items at upstreams that hold more requests than they have slots; those that are
    /// due last make room first.
    fn make_room(&mut self) {
        let now = self.tools.context.clock.now();
        let mut overfull = self.tools.context.balance().overfull(now);
        if overfull.is_empty() {
            return;
        }
        let mut items: Vec<&ItemId> = self.running.keys().collect();
        items.sort_by_key(|item| std::cmp::Reverse((self.ledger.due(item), item.index)));
        let items: Vec<ItemId> = items.into_iter().cloned().collect();
        for item in items {
            let Some(running) = self.running.get_mut(&item) else { continue };
            let Some(excess) = overfull.get_mut(&running.upstream) else { continue };
            if *excess == 0 {
                continue;
            }
            if let Some(pause) = running.pause.take() {
                *excess -= 1;
                let _ = pause.send(());
            }
        }
    }

    fn ran(&mut self, finished: Finished) {
        let Finished { id, end, progress } = finished;
        self.running.remove(&id);
        let Some(job) = self.ledger.job(&id.job) else { return };
        let attempts = self.route(&job.head).map_or(1, |route| route.max_attempts);
        let now = self.tools.context.clock.now();
        let retry = Millis(self.tools.settings.retry_ms);
        let metrics = &self.tools.context.metrics;
        metrics.count(&metrics.batch, "run", &format!("{end:?}").to_lowercase());
        let records = self.ledger.ran(now, &id, &end, progress, attempts, retry);
        if !records.is_empty() {
            self.write(records, Effect::Listed(id.job));
        }
    }

    /// Gives up items whose time or route has ended, and forgets old jobs.
    fn upkeep(&mut self, now: Instant) {
        if now < self.next_upkeep {
            return;
        }
        self.next_upkeep = now + UPKEEP.duration();
        let Some(catalog) = self.tools.catalog.current() else { return };
        let wall = self.tools.context.clock.wall().0;
        let mut over = Vec::new();
        for (id, job) in self.ledger.jobs() {
            if !job.durable || job.ended || job.is_complete() {
                continue;
            }
            let route = catalog.find(&job.head.host, &job.head.path);
            let expired = route.is_some_and(|route| {
                route.abandon_after.0 > 0
                    && wall > job.head.accepted + route.abandon_after.0 + ABANDON_MARGIN.0
            });
            if route.is_none() || expired {
                over.push((id.clone(), if expired { "time is up" } else { "route is gone" }));
            }
        }
        for (id, why) in over {
            let given_up = self.ledger.abandon(&id);
            log::warn!(job = id.0.as_str(), items = given_up.len(), why = why, config = catalog.version; "items given up");
            for records in given_up {
                self.write(records, Effect::Listed(id.clone()));
            }
        }
        let old = self.ledger.forget(wall.saturating_sub(self.tools.settings.keep_ms));
        if !old.is_empty() {
            self.write(old, Effect::Saved);
        }
    }
}

/// Waits for the append that is on its way; for ever when there is none.
async fn appended(appending: &mut Option<Appending>) -> log_store::Result<()> {
    match appending {
        Some(appending) => match (&mut appending.task).await {
            Ok(result) => result,
            Err(error) => Err(Error::Unknown(error.to_string())),
        },
        None => std::future::pending().await,
    }
}

fn encoded_len(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len) + 8
}

/// The listed results of a job from `after` on.
fn page(ledger: &Ledger, id: &JobId, after: usize) -> Option<Page> {
    let job = ledger.job(id).filter(|job| job.durable)?;
    let listed = &job.results[..job.listed];
    let mut page = Page { total: job.head.items.len(), next: after, results: Vec::new() };
    let mut bytes = 0;
    for outcome in listed.iter().skip(after) {
        bytes += outcome.output.len();
        if !page.results.is_empty() && bytes > PAGE_BYTES {
            break;
        }
        let id = job.head.items[outcome.item as usize].id.clone();
        page.results.push((id, outcome.clone()));
    }
    page.next += page.results.len();
    Some(page)
}
