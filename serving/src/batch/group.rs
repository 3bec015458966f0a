//! A node's membership in the consumer group that assigns the partitions of batch jobs to nodes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::time::{sleep, timeout};

use crate::{
    allowance::{Lease, Lender},
    catalog,
    exchange::Context,
    id::{Job, Workspace},
    log_store::{self, Partition},
    tenure::{Ownership, Tenure},
    time::{Clock, Millis},
    upstream::Pool,
};

use super::{
    Settings,
    budget::Budget,
    coordinator,
    directory::{Directory, LocalOwner, Location, partition_of},
    ledger::Ledger,
    memory::Memory,
    owner::{self, Dependencies, Page, Unavailable},
    quota::Report,
};

/// The topic that holds jobs and results.
pub const TOPIC: &str = "keyed.jobs";
/// The consumer group that assigns the partitions of the topic.
const GROUP: &str = "jobs";
/// Epochs per generation of the group. An epoch is the generation times this, plus a count of
/// owners started at this node, so that each start of an owner fences the one before.
const STARTS_PER_GENERATION: u64 = 1 << 10;
/// Subtracted from the time to live of the membership to obtain the time for which this node lends
/// allowance, to allow for clocks that differ in speed.
const LEASE_MARGIN: Millis = Millis(200);
/// How long an owner may take to save its progress; a slow log answers within half this time.
const RELEASE_TIMEOUT: Millis = Millis(800);
/// Number of membership renewals after which the owners of all partitions are looked up again,
/// while the assignment doesn't change.
const OWNER_REFRESH_RENEWALS: u32 = 20;
/// Number of skipped renewals after which a node that left the group because it is isolated looks
/// again whether the group has members.
const MEMBERS_CHECK_RENEWALS: u32 = 4;

/// Membership of this node in the consumer group; holds the owners of its partitions.
pub struct Group {
    dependencies: Dependencies,
    directory: Arc<Directory>,
    member: String,
    /// Limits reads of partitions that this node doesn't own.
    budget: Mutex<Budget>,
}

/// A read that counts against the budget. A read that is dropped before its end, for example
/// because the caller closed its connection, counts as failed.
struct BudgetedRead<'a> {
    budget: &'a Mutex<Budget>,
    clock: &'a Clock,
    succeeded: bool,
}

impl<'a> BudgetedRead<'a> {
    /// Begins a read, or returns `None` if the budget doesn't allow it now.
    fn begin(budget: &'a Mutex<Budget>, clock: &'a Clock) -> Option<BudgetedRead<'a>> {
        let may_begin = lock_budget(budget).begin(clock.now());
        may_begin.then_some(BudgetedRead { budget, clock, succeeded: false })
    }

    fn end(mut self, succeeded: bool) {
        self.succeeded = succeeded;
    }
}

impl Drop for BudgetedRead<'_> {
    fn drop(&mut self) {
        lock_budget(self.budget).end(self.clock.now(), self.succeeded);
    }
}

fn lock_budget(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Group {
    /// Other nodes reach this one at `address`; `incarnation` differs with each start of the node.
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
        let coordinator = coordinator::Client {
            context: Arc::clone(&context),
            directory: Arc::clone(&directory),
            peers,
        };
        let memory = Memory::new(settings.memory_bytes);
        let dependencies = Dependencies { context, catalog, store, settings, coordinator, memory };
        let member = format!("{address}/{incarnation:x}");
        Group { dependencies, directory, member, budget: Mutex::default() }
    }

    /// Returns where the owner of the job's partition is.
    pub fn locate(&self, job: &Job) -> Location {
        self.directory.locate_job(job)
    }

    /// Returns which node lends the allowance of a workspace at the time `now` of
    /// `CLOCK_BOOTTIME`. Peers are given by their gossip addresses.
    pub fn lender(&self, workspace: &Workspace, now: Millis) -> Lender {
        self.directory.lender(workspace, now)
    }

    /// Returns the partitions that this node owns, each with its report, to send to other nodes.
    pub fn reports(&self) -> Vec<(u16, Report)> {
        self.directory.reports()
    }

    /// Applies the reports of the partitions that the node at `address` owns.
    pub fn apply_peer_reports(&self, address: SocketAddr, reports: Vec<(u16, Report)>) {
        for (partition, report) in &reports {
            let ownership = Ownership { partition: *partition, epoch: report.epoch };
            self.dependencies.context.epochs.record(ownership);
        }
        let now = self.dependencies.context.clock.now();
        self.directory.apply_peer_reports(now, address, reports);
    }

    /// Answers another node's reservation request for a quota that this node coordinates. `None`
    /// if the request is invalid or this node doesn't coordinate the quota.
    pub async fn handle_reserve(&self, body: &[u8]) -> Option<Vec<u8>> {
        coordinator::handle_reserve(&self.directory, body).await
    }

    /// Renews the membership and runs the owners of assigned partitions until `leave` is called.
    /// Calls `on_owners` with the addresses of the other nodes that own partitions. `silence` returns
    /// the time since the last message from another node, or `None` while none is known.
    pub async fn run(
        &self,
        on_owners: impl Fn(BTreeSet<SocketAddr>),
        silence: impl Fn() -> Option<Millis>,
    ) {
        let settings = &self.dependencies.settings;
        let mut round = 0;
        let mut is_out = false;
        let mut has_predecessors = true;
        loop {
            if has_predecessors {
                has_predecessors = self.remove_predecessors().await.is_err();
            }
            let (generation, has_left) = {
                let table = self.directory.lock();
                (table.generation, table.has_left)
            };
            if has_left {
                return;
            }
            let is_silent = silence().is_some_and(|elapsed| elapsed.0 >= settings.isolation_ms);
            if is_out && is_silent {
                sleep(Millis(settings.renewal_ms).duration()).await;
                round += 1;
                let is_due = round % MEMBERS_CHECK_RENEWALS == 0;
                if !is_due || self.has_other_members().await.unwrap_or(true) {
                    continue;
                }
                log::info!(group = GROUP; "the group has no members; joining although no other node is heard");
            }
            is_out = is_silent && self.leave_if_isolated().await;
            if is_out {
                continue;
            }
            let ttl = Millis(settings.membership_ms);
            let requested_at = self.dependencies.context.clock.boot_time();
            let lease_until = requested_at + ttl - LEASE_MARGIN;
            let joined =
                self.dependencies.store.join(GROUP, &self.member, TOPIC, generation, ttl).await;
            match joined {
                Ok(assignment) => {
                    let changed = assignment.generation != generation;
                    let lost = self.remove_lost(&assignment);
                    let has_lost = !lost.is_empty();
                    release_owners(lost).await;
                    self.start_assigned(&assignment, requested_at, lease_until);
                    if has_lost || changed {
                        // The group assigns released partitions to others at the next renewal.
                        round = 0;
                        continue;
                    }
                }
                Err(error) => {
                    log::warn!(group = GROUP, generation = generation, error:% = error; "could not renew the group membership");
                }
            }
            if round % OWNER_REFRESH_RENEWALS == 0 {
                self.refresh_owners(&on_owners).await;
            }
            round += 1;
            sleep(Millis(settings.renewal_ms).duration()).await;
        }
    }

    /// Releases all partitions and leaves the group, so that other nodes take over at once.
    pub async fn leave(&self) {
        let owned = {
            let mut table = self.directory.lock();
            table.has_left = true;
            std::mem::take(&mut table.owned)
        };
        release_owners(owned.into_values().collect()).await;
        if let Err(error) = self.dependencies.store.leave(GROUP, &self.member).await {
            log::warn!(group = GROUP, error:% = error; "could not leave the group");
        }
    }

    /// Releases all partitions and leaves the group if it has other members. Called when no
    /// message from another node arrives: other nodes then can't reach the owners at this one.
    /// Returns whether the node has left.
    async fn leave_if_isolated(&self) -> bool {
        if !self.has_other_members().await.unwrap_or(false) {
            return false;
        }
        log::warn!(group = GROUP; "no other node is heard; partitions go to nodes that are");
        let owned = std::mem::take(&mut self.directory.lock().owned);
        release_owners(owned.into_values().collect()).await;
        if let Err(error) = self.dependencies.store.leave(GROUP, &self.member).await {
            log::warn!(group = GROUP, error:% = error; "could not leave the group");
        }
        true
    }

    /// Whether other nodes own partitions. `None` if the log can't be read.
    async fn has_other_members(&self) -> Option<bool> {
        match self.dependencies.store.owners(GROUP, TOPIC).await {
            Ok(owners) => Some(owners.iter().any(|(_, member)| *member != self.member)),
            Err(error) => {
                log::warn!(group = GROUP, error:% = error; "could not read the owners of partitions");
                None
            }
        }
    }

    /// Ends the memberships of earlier processes at this node's address, so that their partitions get
    /// new owners before these memberships expire. The processes are gone, because this one holds
    /// their address.
    async fn remove_predecessors(&self) -> log_store::Result<()> {
        let owners = self.dependencies.store.owners(GROUP, TOPIC).await?;
        let address = |member: &str| member.split('/').next().map(str::to_string);
        let own = address(&self.member);
        let members: BTreeSet<String> = owners.into_iter().map(|(_, member)| member).collect();
        for member in members {
            if member != self.member && address(&member) == own {
                self.dependencies.store.leave(GROUP, &member).await?;
                log::info!(group = GROUP, member = member.as_str(); "ended the membership of an earlier process at this address");
            }
        }
        Ok(())
    }

    /// Reads results of a job directly from the log, for a node that can't reach the job's owner.
    /// `Ok(None)` means that there is no such job.
    ///
    /// # Errors
    ///
    /// Fails if the budget allows no read now, or if the log can't be read.
    pub async fn read_log(&self, job: &Job, after: usize) -> Result<Option<Page>, Unavailable> {
        let Some(read) = BudgetedRead::begin(&self.budget, &self.dependencies.context.clock) else {
            log::debug!(job = job.0.as_str(); "read of a job from the log refused: over the budget");
            return Err(Unavailable::NotAccepted);
        };
        let number = partition_of(job, self.dependencies.settings.partitions);
        let partition = Partition { topic: TOPIC.to_string(), number };
        let snapshot = self.dependencies.store.read_latest(&partition).await;
        read.end(snapshot.is_ok());
        let snapshot = snapshot.map_err(|error| {
            log::warn!(job = job.0.as_str(), error:% = error; "could not read a job from the log");
            Unavailable::NotAccepted
        })?;
        let ledger = Ledger::restore(&snapshot.records, 0, Millis(0), |_| Millis(0));
        Ok(owner::read_page(&ledger, job, after))
    }

    /// Removes and returns the owners of partitions that are no longer assigned to this node.
    fn remove_lost(&self, assignment: &log_store::Assignment) -> Vec<LocalOwner> {
        let mut table = self.directory.lock();
        let kept = |number: &u16| assignment.partitions.contains(number);
        let lost: Vec<u16> = table.owned.keys().filter(|number| !kept(number)).copied().collect();
        if !lost.is_empty() {
            log::info!(partitions:? = lost, generation = assignment.generation; "releasing partitions that are assigned to other nodes");
        }
        lost.iter().filter_map(|number| table.owned.remove(number)).collect()
    }

    /// Starts owners of the assigned partitions that have none running, and renews the tenures of the
    /// others. The assignment was valid at `requested_at`. No other node is assigned these partitions
    /// until `lease_until`. Both are times of `CLOCK_BOOTTIME`.
    ///
    /// A partition that is still assigned to this node may have been with another one meanwhile if the
    /// membership had lapsed or the group has changed more than once: such an owner has to prove its
    /// ownership.
    fn start_assigned(
        &self,
        assignment: &log_store::Assignment,
        requested_at: Millis,
        lease_until: Millis,
    ) {
        let context = &self.dependencies.context;
        let boot_time = context.clock.boot_time();
        let length = Millis(self.dependencies.settings.membership_ms);
        let mut table = self.directory.lock();
        if table.has_left {
            return;
        }
        // A single change can't take a partition away and give it back.
        let previous = std::mem::replace(&mut table.generation, assignment.generation);
        let has_changed = assignment.generation.abs_diff(previous) > 1;
        let mut doubted = Vec::new();
        for number in &assignment.partitions {
            if let Some(owned) = table.owned.get_mut(number) {
                let has_lapsed = owned.lease.held_since(boot_time).is_none();
                owned.lease.renew(boot_time, lease_until);
                if !owned.task.is_finished() && !owned.tenure.is_replaced() {
                    if has_changed || has_lapsed {
                        doubted.push(*number);
                        owned.tenure.doubt(boot_time);
                        owned.handle.prove();
                    }
                    owned.tenure.renew(requested_at);
                    continue;
                }
                owned.task.abort();
            }
            // Another node has held the partition if its owner here was replaced.
            let previous = table.owned.get(number).filter(|owned| !owned.tenure.is_replaced());
            let previous = previous.map(|owned| owned.lease);
            let lease = previous.unwrap_or(Lease::new(boot_time, lease_until));
            table.owner_starts = (table.owner_starts + 1) % STARTS_PER_GENERATION;
            let epoch = assignment.generation * STARTS_PER_GENERATION + table.owner_starts;
            let partition = Partition { topic: TOPIC.to_string(), number: *number };
            let ownership = Ownership { partition: *number, epoch };
            context.epochs.record(ownership);
            let tenure = Tenure::new(context.clock.clone(), ownership, length, requested_at);
            let (handle, task) = owner::start(self.dependencies.clone(), partition, tenure.clone());
            table.owned.insert(*number, LocalOwner { handle, task, tenure, lease });
        }
        if !doubted.is_empty() {
            log::info!(partitions:? = doubted, generation = assignment.generation; "proving the ownership of partitions that another node may have held");
        }
    }

    /// Looks up the owners of all partitions in the group, to find nodes not yet in contact.
    async fn refresh_owners(&self, on_owners: &impl Fn(BTreeSet<SocketAddr>)) {
        let owners = match self.dependencies.store.owners(GROUP, TOPIC).await {
            Ok(owners) => owners,
            Err(error) => {
                log::warn!(group = GROUP, error:% = error; "could not read the owners of partitions");
                return;
            }
        };
        let mut addresses = BTreeSet::new();
        for (number, member) in owners {
            if member == self.member {
                continue;
            }
            let address = member.split('/').next().and_then(|address| address.parse().ok());
            let Some(address) = address else {
                log::warn!(member = member.as_str(); "ignored a group member whose name holds no address");
                continue;
            };
            addresses.insert(address);
            self.directory.add_owner(number, address);
        }
        on_owners(addresses);
    }
}

/// Stops owners after they have saved their progress, or after `RELEASE_TIMEOUT`.
async fn release_owners(owners: Vec<LocalOwner>) {
    let releasing: Vec<_> = owners
        .iter()
        .map(|owned| {
            let handle = owned.handle.clone();
            tokio::spawn(async move { timeout(RELEASE_TIMEOUT.duration(), handle.release()).await })
        })
        .collect();
    for task in releasing {
        if !matches!(task.await, Ok(Ok(Ok(())))) {
            log::warn!("could not save progress in time; the next owner restarts some items");
        }
    }
    owners.iter().for_each(|owned| owned.task.abort());
}
