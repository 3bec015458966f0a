//! The open connections of a kind of listener, and the memory that their bodies have reserved.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
};

use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::{
    metrics::Metrics,
    time::{Clock, Millis},
};

use super::{
    Share,
    victim::{self, Candidate, Need, Stage},
};

/// How long a body waits for memory that other bodies give back.
const MEMORY_WAIT: Millis = Millis(300);
/// Bodies up to this size may use all of the memory, larger ones only a part of it: ordinary requests find
/// room beside large ones.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// The part that is kept for small bodies, as a divisor.
const SMALL_BODIES_PART: usize = 4;
/// Bytes of a body after which its connection counts as making progress.
const PROGRESS_BYTES: usize = 4 << 10;
/// Time between two log lines about refused and closed connections.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Error: there is no memory for the bytes of a body. Nothing of the request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for the body of the request")]
pub struct TooMuch;

/// Admits connections and the bytes of their bodies, up to the limits of a kind of listener.
pub struct Gate {
    /// Label of the metrics and of the log.
    name: &'static str,
    share: Share,
    clock: Clock,
    metrics: Arc<Metrics>,
    table: Mutex<Table>,
    /// Notified when reserved memory is given back.
    freed: Notify,
}

#[derive(Default)]
struct Table {
    connections: BTreeMap<u64, Arc<Entry>>,
    next: u64,
    /// Bytes that all bodies have reserved.
    body_bytes: usize,
    /// When the last log line was written.
    logged_at: Option<Millis>,
    /// Refused and closed connections since then.
    unlogged: u64,
}

impl Table {
    fn reserve(&mut self, entry: &Entry, bytes: usize) {
        self.body_bytes += bytes;
        entry.body_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// An open connection. Its stage and progress change without a lock.
struct Entry {
    stage: AtomicU8,
    /// Time of the latest progress, in milliseconds of the gate's clock.
    progress_at: AtomicU64,
    /// Bytes of the body since then.
    progress_bytes: AtomicUsize,
    has_served: AtomicBool,
    body_bytes: AtomicUsize,
    is_closing: AtomicBool,
    closing: Notify,
}

/// A connection that was admitted. Dropping it gives its place back.
pub struct Connection {
    gate: Arc<Gate>,
    number: u64,
    entry: Arc<Entry>,
}

/// Memory that a body has reserved. Dropping it gives the memory back.
pub struct Reservation {
    gate: Arc<Gate>,
    entry: Arc<Entry>,
    bytes: usize,
}

impl Entry {
    fn candidate(&self, now: Millis) -> Candidate {
        Candidate {
            stage: decode_stage(self.stage.load(Ordering::Relaxed)),
            idle: now - Millis(self.progress_at.load(Ordering::Relaxed)),
            has_served: self.has_served.load(Ordering::Relaxed),
            body_bytes: self.body_bytes.load(Ordering::Relaxed),
        }
    }

    fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.closing.notify_waiters();
    }
}

const STAGES: [Stage; 5] = [Stage::Request, Stage::Head, Stage::Body, Stage::Answer, Stage::Reader];

fn decode_stage(number: u8) -> Stage {
    STAGES.get(usize::from(number)).copied().unwrap_or(Stage::Request)
}

impl Gate {
    pub fn new(name: &'static str, share: Share, clock: Clock, metrics: Arc<Metrics>) -> Arc<Gate> {
        let (table, freed) = (Mutex::default(), Notify::new());
        Arc::new(Gate { name, share, clock, metrics, table, freed })
    }

    /// Size of the read buffer of each connection.
    pub fn buffer_bytes(&self) -> usize {
        self.share.buffer_bytes
    }

    /// Admits a connection that was accepted. If there are too many, closes one that makes no progress;
    /// `None` if all make progress, so that the new one has to be closed.
    pub fn admit(self: &Arc<Gate>) -> Option<Connection> {
        let now = self.clock.now();
        let mut table = self.lock();
        if table.connections.len() >= self.share.connections {
            let closed = self.close_one(&mut table, now, Need::Connection);
            // The one that is closed goes on for a moment.
            let has_room = table.connections.len() < self.share.connections;
            if !closed && !has_room {
                self.record(&mut table, now, "connection", "refused");
                return None;
            }
        }
        let entry = Arc::new(Entry {
            stage: AtomicU8::new(Stage::Request as u8),
            progress_at: AtomicU64::new(now.0),
            progress_bytes: AtomicUsize::new(0),
            has_served: AtomicBool::new(false),
            body_bytes: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            closing: Notify::new(),
        });
        let number = table.next;
        table.next += 1;
        table.connections.insert(number, Arc::clone(&entry));
        Some(Connection { gate: Arc::clone(self), number, entry })
    }

    /// Closes the connection that makes no progress and has made none for the longest time. Returns
    /// whether there was one. It leaves the table at once.
    fn close_one(&self, table: &mut Table, now: Millis, need: Need) -> bool {
        let candidates = table.connections.values().map(|entry| entry.candidate(now));
        let Some(position) = victim::select(need, candidates) else { return false };
        let Some((number, entry)) = table.connections.iter().nth(position) else { return false };
        let (number, entry) = (*number, Arc::clone(entry));
        table.connections.remove(&number);
        let stage = entry.candidate(now).stage;
        let why = match stage {
            Stage::Request => "closed: sends no request",
            Stage::Head => "closed: sends no whole head",
            Stage::Body => "closed: sends no whole body",
            Stage::Answer | Stage::Reader => "closed: reads no answer",
        };
        self.record(table, now, if need == Need::Memory { "memory" } else { "connection" }, why);
        entry.close();
        true
    }

    /// Counts a connection that was refused or closed, and logs one line a second at most.
    fn record(&self, table: &mut Table, now: Millis, scarce: &str, why: &str) {
        self.metrics.count(&self.metrics.intake, self.name, why);
        table.unlogged += 1;
        if table.logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        log::warn!(
            listener = self.name, scarce = scarce, why = why, count = table.unlogged,
            connections = table.connections.len(), max_connections = self.share.connections,
            body_bytes = table.body_bytes, max_body_bytes = self.share.body_bytes;
            "refused or closed connections to stay within the limits of the machine"
        );
        (table.logged_at, table.unlogged) = (Some(now), 0);
    }

    /// Reserves `more` bytes for a connection. Returns false if there is no room now, after having closed a
    /// connection, if any may be closed.
    fn try_reserve(&self, entry: &Entry, more: usize) -> bool {
        let now = self.clock.now();
        let mut table = self.lock();
        let held = entry.body_bytes.load(Ordering::Relaxed);
        let kept = match held + more > SMALL_BODY_BYTES {
            true => self.share.body_bytes / SMALL_BODIES_PART,
            false => 0,
        };
        // A request that is alone may be as long as the configuration allows.
        let is_alone = table.body_bytes == held;
        if is_alone || table.body_bytes + more <= self.share.body_bytes - kept {
            table.reserve(entry, more);
            return true;
        }
        self.close_one(&mut table, now, Need::Memory);
        false
    }

    fn release(&self, entry: &Entry, bytes: usize) {
        let mut table = self.lock();
        table.body_bytes -= bytes;
        entry.body_bytes.fetch_sub(bytes, Ordering::Relaxed);
        drop(table);
        self.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Records that the connection waits for something else, which is progress.
    pub fn enter(&self, stage: Stage) {
        self.entry.stage.store(stage as u8, Ordering::Relaxed);
        if stage == Stage::Answer {
            self.entry.has_served.store(true, Ordering::Relaxed);
        }
        self.record_progress();
    }

    /// What the connection waits for.
    pub fn stage(&self) -> Stage {
        decode_stage(self.entry.stage.load(Ordering::Relaxed))
    }

    /// Time since the connection last made progress.
    pub fn idle(&self) -> Millis {
        self.entry.candidate(self.gate.clock.now()).idle
    }

    fn record_progress(&self) {
        self.entry.progress_at.store(self.gate.clock.now().0, Ordering::Relaxed);
        self.entry.progress_bytes.store(0, Ordering::Relaxed);
    }

    /// Records bytes of a body that have arrived. A few bytes now and then are no progress.
    pub fn record_body(&self, bytes: usize) {
        let total = self.entry.progress_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total >= PROGRESS_BYTES {
            self.record_progress();
        }
    }

    /// Waits until the connection has to be closed to make room.
    pub async fn closed(&self) {
        let closing = self.entry.closing.notified();
        if !self.is_closing() {
            closing.await;
        }
    }

    /// Whether the connection has to be closed to make room.
    pub fn is_closing(&self) -> bool {
        self.entry.is_closing.load(Ordering::Relaxed)
    }

    /// A reservation for a body of this connection, without any memory yet.
    pub fn reservation(&self) -> Reservation {
        Reservation { gate: Arc::clone(&self.gate), entry: Arc::clone(&self.entry), bytes: 0 }
    }

    /// Records that a request was refused because there was no memory for its body.
    pub fn record_refused_body(&self) {
        let now = self.gate.clock.now();
        self.gate.record(&mut self.gate.lock(), now, "memory", "refused");
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.lock().connections.remove(&self.number);
    }
}

impl Reservation {
    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `more` bytes. Waits a moment for bodies that end or whose connection is closed.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory in time, or if this connection is to be closed itself.
    pub async fn grow(&mut self, more: usize) -> Result<(), TooMuch> {
        let deadline = Instant::now() + MEMORY_WAIT.duration();
        loop {
            let freed = self.gate.freed.notified();
            if self.entry.is_closing.load(Ordering::Relaxed) {
                return Err(TooMuch);
            }
            if self.gate.try_reserve(&self.entry, more) {
                self.bytes += more;
                return Ok(());
            }
            timeout_at(deadline, freed).await.map_err(|_| TooMuch)?;
        }
    }
}

impl Reservation {
    /// Reserves `more` bytes for an answer, which is delivered in any case. If there is no room, a
    /// connection is closed that makes no progress.
    pub fn force(&mut self, more: usize) {
        if !self.gate.try_reserve(&self.entry, more) {
            self.gate.lock().reserve(&self.entry, more);
        }
        self.bytes += more;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.gate.release(&self.entry, self.bytes);
        }
    }
}
