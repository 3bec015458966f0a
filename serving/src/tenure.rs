//! The right of a node to act for a partition of batch jobs.
//!
//! The log assigns a partition to another node when its owner has been silent for too long, or at
//! once. The owner may learn that late: it is cut off from the log, was suspended, or its requests
//! were delayed on their way. So its right ends by itself some time after the log last confirmed it,
//! and nodes that forward its requests refuse those of an owner that they know to be replaced.
//!
//! An assignment that names the owner again doesn't show that it was the owner all the while: another
//! node may have held the partition, accepted jobs and released it. After a gap only an append that
//! the log accepts from the owner's epoch shows that no other node has claimed the partition.

use std::{
    collections::BTreeMap,
    fmt,
    num::ParseIntError,
    str::FromStr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use crate::time::{Clock, Millis};

/// One ownership of a partition. A later owner of the partition has a higher epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    pub partition: u16,
    pub epoch: u64,
}

/// The right of one owner to act for its partition. Clones share it.
#[derive(Clone, Debug)]
pub struct Tenure {
    pub ownership: Ownership,
    clock: Clock,
    /// Time after a confirmation for which the owner may act.
    length: Millis,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the latest call was sent by which the log confirmed the ownership, in milliseconds of
    /// `CLOCK_BOOTTIME`.
    confirmed_at: AtomicU64,
    /// When the latest call was sent in whose answer the log assigned the partition to this node, in
    /// milliseconds of `CLOCK_BOOTTIME`.
    assigned_at: AtomicU64,
    /// Until when another node may have held the partition, in milliseconds of `CLOCK_BOOTTIME`.
    doubted_at: AtomicU64,
    /// When the latest append was sent that the log accepted, in milliseconds of `CLOCK_BOOTTIME`.
    proved_at: AtomicU64,
    /// A later owner is known.
    is_replaced: AtomicBool,
}

impl Tenure {
    /// A tenure that was last confirmed by a call sent at `confirmed_at`, a time of `CLOCK_BOOTTIME`.
    pub fn new(clock: Clock, ownership: Ownership, length: Millis, confirmed_at: Millis) -> Tenure {
        let state = State {
            confirmed_at: AtomicU64::new(confirmed_at.0),
            assigned_at: AtomicU64::new(confirmed_at.0),
            ..State::default()
        };
        Tenure { ownership, clock, length, state: Arc::new(state) }
    }

    /// Records that the log has accepted an append of this owner that was sent at `at`: no later owner
    /// had claimed the partition.
    pub fn confirm(&self, at: Millis) {
        self.state.proved_at.fetch_max(at.0, Ordering::Relaxed);
        self.state.confirmed_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Records that the log assigns the partition to this node in its answer to a call sent at `at`,
    /// without a gap since the answer before. Confirms nothing while an earlier gap is in doubt.
    pub fn renew(&self, at: Millis) {
        self.state.assigned_at.fetch_max(at.0, Ordering::Relaxed);
        if !self.needs_proof() {
            self.state.confirmed_at.fetch_max(at.0, Ordering::Relaxed);
        }
    }

    /// Records that another node may have held the partition until `until`, a time of
    /// `CLOCK_BOOTTIME`. Only an append that is sent later confirms the ownership again.
    pub fn doubt(&self, until: Millis) {
        self.state.doubted_at.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Whether the owner has to append to the partition before the log's assignments confirm its
    /// ownership again.
    pub fn needs_proof(&self) -> bool {
        let doubted_at = self.state.doubted_at.load(Ordering::Relaxed);
        doubted_at > self.state.proved_at.load(Ordering::Relaxed)
    }

    /// Records that the partition has a later owner, which ends the tenure for good. Returns whether
    /// that is new.
    pub fn end(&self) -> bool {
        !self.state.is_replaced.swap(true, Ordering::Relaxed)
    }

    /// Time since the log last confirmed the ownership.
    pub fn age(&self) -> Millis {
        self.clock.boot_time() - Millis(self.state.confirmed_at.load(Ordering::Relaxed))
    }

    /// Time since the log last assigned the partition to this node, whoever held it before.
    pub fn assignment_age(&self) -> Millis {
        self.clock.boot_time() - Millis(self.state.assigned_at.load(Ordering::Relaxed))
    }

    /// How much longer the owner may act if the log doesn't confirm its ownership again; `None` if
    /// it may no longer act.
    pub fn remaining(&self) -> Option<Millis> {
        let left = self.length - self.age();
        (left > Millis(0) && !self.is_replaced()).then_some(left)
    }

    pub fn is_replaced(&self) -> bool {
        self.state.is_replaced.load(Ordering::Relaxed)
    }
}

/// The tenure of the sender of a request, as the node is told that forwards it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    pub ownership: Ownership,
    pub remaining: Millis,
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Claim { ownership: Ownership { partition, epoch }, remaining } = self;
        write!(f, "{partition}/{epoch}/{}", remaining.0)
    }
}

/// Error: the text is no claim.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidClaim {
    #[error("a claim has three numbers")]
    Count,
    #[error("invalid number in a claim: {0}")]
    Number(#[from] ParseIntError),
}

impl FromStr for Claim {
    type Err = InvalidClaim;

    fn from_str(text: &str) -> Result<Claim, InvalidClaim> {
        let parts: Vec<&str> = text.split('/').collect();
        let [partition, epoch, remaining] = parts[..] else { return Err(InvalidClaim::Count) };
        let ownership = Ownership { partition: partition.parse()?, epoch: epoch.parse()? };
        Ok(Claim { ownership, remaining: Millis(remaining.parse()?) })
    }
}

/// The latest owner of each partition that this node has heard of.
#[derive(Debug, Default)]
pub struct Epochs(Mutex<BTreeMap<u16, u64>>);

impl Epochs {
    /// Records an owner. Earlier ones are then known to be replaced.
    pub fn record(&self, ownership: Ownership) {
        let mut epochs = self.lock();
        let known = epochs.entry(ownership.partition).or_default();
        *known = ownership.epoch.max(*known);
    }

    /// Whether the partition has a later owner.
    pub fn is_replaced(&self, ownership: Ownership) -> bool {
        self.lock().get(&ownership.partition).is_some_and(|epoch| *epoch > ownership.epoch)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u16, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
