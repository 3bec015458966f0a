//! Shares the partitions of the jobs among the nodes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{
    task::AbortHandle,
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{catalog, exchange::Context, log_store, log_store::Partition, time::Millis};

use super::{
    Settings,
    owner::{self, Handle, Tools, Verified},
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

/// The partition of a host's jobs. One partition holds all jobs of a host, so that one owner
/// counts the tokens that wait on its routes.
pub fn partition(host: &str, partitions: u16) -> u16 {
    (xxh3_64(host.as_bytes()) % u64::from(partitions.max(1))) as u16
}

/// Where the owner of a partition is.
#[derive(Clone, Debug)]
pub enum Place {
    Here(Handle),
    Peer(SocketAddr),
    Unknown,
}

struct Owned {
    handle: Handle,
    epoch: u64,
    task: AbortHandle,
    verified: Verified,
}

#[derive(Default)]
struct Table {
    owned: BTreeMap<u16, Owned>,
    /// Owners at other nodes with their epochs.
    others: BTreeMap<u16, (u64, SocketAddr)>,
    generation: u64,
    starts: u64,
    left: bool,
}

/// This node's part in the group.
pub struct Group {
    tools: Tools,
    member: String,
    table: Mutex<Table>,
}

impl Group {
    /// `address` is where other nodes reach this one; `incarnation` tells its runs apart.
    pub fn new(
        context: Arc<Context>,
        catalog: catalog::Shared,
        store: log_store::Shared,
        settings: Settings,
        address: SocketAddr,
        incarnation: u64,
    ) -> Group {
        let tools = Tools { context, catalog, store, settings };
        Group { tools, member: format!("{address}/{incarnation:x}"), table: Mutex::default() }
    }

    /// Where the jobs of `host` are.
    pub fn place(&self, host: &str) -> Place {
        let number = partition(host, self.tools.settings.partitions);
        let table = self.lock();
        if let Some(owned) = table.owned.get(&number) {
            return Place::Here(owned.handle.clone());
        }
        table.others.get(&number).map_or(Place::Unknown, |(_, address)| Place::Peer(*address))
    }

    /// The partitions of this node and their epochs.
    pub fn owned(&self) -> Vec<(u16, u64)> {
        self.lock().owned.iter().map(|(number, owned)| (*number, owned.epoch)).collect()
    }

    /// Another node has told which partitions it owns.
    pub fn told(&self, address: SocketAddr, owned: &[(u16, u64)]) {
        let mut table = self.lock();
        let claimed = |number: &u16| owned.iter().any(|(claimed, _)| claimed == number);
        table.others.retain(|number, (_, known)| *known != address || claimed(number));
        for (number, epoch) in owned {
            let known = table.others.get(number).map_or(0, |(epoch, _)| *epoch);
            if *epoch >= known {
                table.others.insert(*number, (*epoch, address));
            }
        }
    }

    /// Stays in the group until `leave`. `found` gets the addresses of other members.
    pub async fn run(&self, found: impl Fn(SocketAddr)) {
        let settings = &self.tools.settings;
        let mut round = 0;
        loop {
            if self.lock().left {
                return;
            }
            let generation = self.lock().generation;
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
            let mut table = self.lock();
            table.left = true;
            std::mem::take(&mut table.owned)
        };
        release(owned.into_values().collect()).await;
        if let Err(error) = self.tools.store.leave(GROUP, &self.member).await {
            log::warn!(group = GROUP, error:% = error; "group can't be left");
        }
    }

    /// Takes out the owners of partitions that are to go to others.
    fn lose(&self, assignment: &log_store::Assignment) -> Vec<Owned> {
        let mut table = self.lock();
        let kept = |number: &u16| assignment.partitions.contains(number);
        let lost: Vec<u16> = table.owned.keys().filter(|number| !kept(number)).copied().collect();
        if !lost.is_empty() {
            log::info!(partitions:? = lost, generation = assignment.generation; "partitions given up");
        }
        lost.iter().filter_map(|number| table.owned.remove(number)).collect()
    }

    /// Starts the owners of an assignment that aren't running. The assignment held at `asked`.
    fn take(&self, assignment: &log_store::Assignment, asked: Millis) {
        let mut table = self.lock();
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
            // The epoch is learned from the owner itself.
            self.lock().others.entry(number).or_insert((0, address));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
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
