//! Shares the partitions of the jobs among the nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::time::{sleep, timeout};

use crate::{
    catalog,
    exchange::Context,
    id::Job,
    log_store::{self, Partition},
    time::{Clock, Millis},
    upstream::Pool,
};

use super::{
    Settings,
    budget::Budget,
    coordinator,
    directory::{Directory, Owned, Place, partition},
    ledger::Ledger,
    owner::{self, Page, Tools, Unavailable, Verified},
    quota::Report,
};

/// The topic of jobs and results.
pub const TOPIC: &str = "keyed.jobs";
/// The group that deals its partitions.
const GROUP: &str = "jobs";
/// An epoch is the group's generation, then the starts of an owner within that generation.
const STARTS_PER_GENERATION: u64 = 1 << 10;
/// How long an owner may take to save its progress; a slow log answers within half of it.
const RELEASE_TIMEOUT: Millis = Millis(800);
/// Renewals between two looks at the owners of all partitions, once they are known.
const OWNERS_EVERY: u32 = 20;

/// This node's part in the group.
pub struct Group {
    tools: Tools,
    directory: Arc<Directory>,
    member: String,
    /// Of reads of partitions that this node doesn't own.
    budget: Mutex<Budget>,
}

/// A read within the budget. One that is dropped, as when its caller leaves, counts as failed.
struct Reading<'a> {
    budget: &'a Mutex<Budget>,
    clock: &'a Clock,
    succeeded: bool,
}

impl<'a> Reading<'a> {
    fn begin(budget: &'a Mutex<Budget>, clock: &'a Clock) -> Option<Reading<'a>> {
        let may_begin = lock(budget).begin(clock.now());
        may_begin.then_some(Reading { budget, clock, succeeded: false })
    }

    fn end(mut self, succeeded: bool) {
        self.succeeded = succeeded;
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        lock(self.budget).end(self.clock.now(), self.succeeded);
    }
}

fn lock(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Group {
    /// `address` is where other nodes reach this one; `incarnation` tells its runs apart.
    pub fn new(
        context: Arc<Context>,
        catalog: catalog::Handle,
        store: log_store::Handle,
        peers: Arc<Pool>,
        settings: Settings,
        address: SocketAddr,
        incarnation: u64,
    ) -> Group {
        let directory = Arc::new(Directory::new(settings.partitions));
        let coordinator = coordinator::Client { directory: Arc::clone(&directory), peers };
        let tools = Tools { context, catalog, store, settings, coordinator };
        let member = format!("{address}/{incarnation:x}");
        Group { tools, directory, member, budget: Mutex::default() }
    }

    /// Where the job with this id is.
    pub fn place(&self, job: &str) -> Place {
        self.directory.place(job)
    }

    /// The partitions of this node with the tokens that wait there.
    pub fn reports(&self) -> Vec<(u16, Report)> {
        self.directory.reports()
    }

    /// Another node has told which partitions it owns.
    pub fn update_owners(&self, address: SocketAddr, reports: Vec<(u16, Report)>) {
        self.directory.update_owners(address, reports);
    }

    /// Answers another node's call for room in a quota that this node keeps.
    pub async fn reserve(&self, body: &[u8]) -> Option<Vec<u8>> {
        coordinator::answer(&self.directory, body).await
    }

    /// Stays in the group until `leave`. `found` gets the addresses of other members, `silence`
    /// tells how long none of them has been heard.
    pub async fn run(&self, found: impl Fn(SocketAddr), silence: impl Fn() -> Option<Millis>) {
        let settings = &self.tools.settings;
        let mut round = 0;
        let mut stays_out = false;
        loop {
            let (generation, left) = {
                let table = self.directory.lock();
                (table.generation, table.left)
            };
            if left {
                return;
            }
            let is_silent = silence().is_some_and(|span| span.0 >= settings.isolation_ms);
            if stays_out && is_silent {
                sleep(Millis(settings.renewal_ms).duration()).await;
                continue;
            }
            stays_out = is_silent && self.leave_if_unreachable().await;
            if stays_out {
                continue;
            }
            let ttl = Millis(settings.membership_ms);
            let asked = self.tools.context.clock.now();
            let joined = self.tools.store.join(GROUP, &self.member, TOPIC, generation, ttl).await;
            match joined {
                Ok(assignment) => {
                    let changed = assignment.generation != generation;
                    let lost = self.lose(&assignment);
                    let gives_up = !lost.is_empty();
                    release(lost).await;
                    self.take(&assignment, asked);
                    if gives_up || changed {
                        // What was given up is dealt on at the next renewal.
                        round = 0;
                        continue;
                    }
                }
                Err(error) => {
                    log::warn!(group = GROUP, generation = generation, error:% = error; "membership can't be renewed");
                }
            }
            if round % OWNERS_EVERY == 0 {
                self.find_owners(&found).await;
            }
            round += 1;
            sleep(Millis(settings.renewal_ms).duration()).await;
        }
    }

    /// Gives all partitions back, so that others take them over at once.
    pub async fn leave(&self) {
        let owned = {
            let mut table = self.directory.lock();
            table.left = true;
            std::mem::take(&mut table.owned)
        };
        release(owned.into_values().collect()).await;
        if let Err(error) = self.tools.store.leave(GROUP, &self.member).await {
            log::warn!(group = GROUP, error:% = error; "group can't be left");
        }
    }

    /// No other node is heard: gives the partitions back if there are others to take them. Tells
    /// whether it did.
    async fn leave_if_unreachable(&self) -> bool {
        let owners = match self.tools.store.owners(GROUP, TOPIC).await {
            Ok(owners) => owners,
            Err(error) => {
                log::warn!(group = GROUP, error:% = error; "owners can't be read");
                return false;
            }
        };
        if owners.iter().all(|(_, member)| *member == self.member) {
            return false;
        }
        log::warn!(group = GROUP; "no other node is heard; partitions go to nodes that are");
        let owned = std::mem::take(&mut self.directory.lock().owned);
        release(owned.into_values().collect()).await;
        if let Err(error) = self.tools.store.leave(GROUP, &self.member).await {
            log::warn!(group = GROUP, error:% = error; "group can't be left");
        }
        true
    }

    /// Results of a job from the log itself, for a node that can't reach the job's owner, as far
    /// as the budget of such reads goes. `Ok(None)` means that there is no such job.
    pub async fn read_log(&self, job: &Job, after: usize) -> Result<Option<Page>, Unavailable> {
        let Some(reading) = Reading::begin(&self.budget, &self.tools.context.clock) else {
            log::debug!(job = job.0.as_str(); "job not read from the log: too many such reads");
            return Err(Unavailable::NotAccepted);
        };
        let number = partition(&job.0, self.tools.settings.partitions);
        let place = Partition { topic: TOPIC.to_string(), number };
        let newest = self.tools.store.read_latest(&place).await;
        reading.end(newest.is_ok());
        let newest = newest.map_err(|error| {
            log::warn!(job = job.0.as_str(), error:% = error; "job can't be read from the log");
            Unavailable::NotAccepted
        })?;
        let ledger = Ledger::restore(&newest.records, 0, Millis(0), |_| Millis(0));
        Ok(owner::page(&ledger, job, after))
    }

    /// Takes out the owners of partitions that are to go to others.
    fn lose(&self, assignment: &log_store::Assignment) -> Vec<Owned> {
        let mut table = self.directory.lock();
        let kept = |number: &u16| assignment.partitions.contains(number);
        let lost: Vec<u16> = table.owned.keys().filter(|number| !kept(number)).copied().collect();
        if !lost.is_empty() {
            log::info!(partitions:? = lost, generation = assignment.generation; "partitions given up");
        }
        lost.iter().filter_map(|number| table.owned.remove(number)).collect()
    }

    /// Starts the owners of an assignment that aren't running. The assignment held at `asked`.
    fn take(&self, assignment: &log_store::Assignment, asked: Millis) {
        let mut table = self.directory.lock();
        if table.left {
            return;
        }
        table.generation = assignment.generation;
        for number in &assignment.partitions {
            if let Some(owned) = table.owned.get(number)
                && !owned.task.is_finished()
            {
                owned.verified.set(asked);
                continue;
            }
            table.starts = (table.starts + 1) % STARTS_PER_GENERATION;
            let epoch = assignment.generation * STARTS_PER_GENERATION + table.starts;
            let partition = Partition { topic: TOPIC.to_string(), number: *number };
            let verified = Verified::default();
            verified.set(asked);
            let (handle, task) =
                owner::start(self.tools.clone(), partition, epoch, verified.clone());
            table.owned.insert(*number, Owned { handle, epoch, task, verified });
        }
    }

    async fn find_owners(&self, found: &impl Fn(SocketAddr)) {
        let owners = match self.tools.store.owners(GROUP, TOPIC).await {
            Ok(owners) => owners,
            Err(error) => {
                log::warn!(group = GROUP, error:% = error; "owners can't be read");
                return;
            }
        };
        for (number, member) in owners {
            if member == self.member {
                continue;
            }
            let address = member.split('/').next().and_then(|address| address.parse().ok());
            let Some(address) = address else {
                log::warn!(member = member.as_str(); "member without an address");
                continue;
            };
            found(address);
            self.directory.discover_owner(number, address);
        }
    }
}

/// Ends owners after they have saved their progress, or when that takes too long.
async fn release(owners: Vec<Owned>) {
    let releasing: Vec<_> = owners
        .iter()
        .map(|owned| {
            let handle = owned.handle.clone();
            tokio::spawn(async move { timeout(RELEASE_TIMEOUT.duration(), handle.release()).await })
        })
        .collect();
    for task in releasing {
        if !matches!(task.await, Ok(Ok(Ok(())))) {
            log::warn!(
                "progress could not be saved in time; the next owner starts some items anew"
            );
        }
    }
    owners.iter().for_each(|owned| owned.task.abort());
}
