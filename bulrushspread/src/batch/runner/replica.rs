//! What a runner knows of one replica, and how much batch work may run there.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id::Vm, time::Millis};

use super::{
    message::{Count, Spec, Start},
    settings::{Policy, Settings},
};

/// Time after which a node's count of online requests is no longer believed.
const ONLINE_TTL: Millis = Millis(8_000);
/// Time for which an engine's own count stands in the way of batch work.
const CROWDED_TTL: Millis = Millis(1_000);
/// Time for which a load report may still count batch streams that have ended.
const REPORT_LAG: Millis = Millis(500);
/// Time within which one warning of the next replicas is enough.
const WARN_INTERVAL: Millis = Millis(100);
/// Time without online work after which the hold shrinks by half.
const HOLD_HALF_LIFE: Millis = Millis(30_000);

/// One replica that this node is the runner of.
#[derive(Clone, Debug)]
pub struct Replica {
    pub spec: Spec,
    /// Starts that run here.
    pub running: BTreeSet<Start>,
    /// Starts that are cancelled but may still run at the engine.
    pub vacating: BTreeSet<Start>,
    /// Starts in `running` that have given no token yet.
    pub prefills: BTreeSet<Start>,
    /// Online requests in flight, as each node last said.
    online: BTreeMap<Vm, Online>,
    /// When online work last arrived or came near.
    reached: Option<Millis>,
    /// When online work arrived that still waits for batch work to go.
    waiting: Option<Millis>,
    warned: Option<Millis>,
    hold: Millis,
    /// When the engine last ran more than its slots.
    crowded: Option<Millis>,
    /// The most streams at once of late, and when there were as many.
    peak: (u32, Millis),
    /// The upstream died; it gets one item to show that it is back.
    probing: bool,
    /// No start before this time.
    resting_until: Millis,
}

/// What one node last said of its online requests here.
#[derive(Clone, Copy, Debug)]
struct Online {
    in_flight: u32,
    sequence: u64,
    heard: Millis,
}

/// What an arrival of online work means for the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Batch work must go.
    pub clear: bool,
    /// The runners of the next replicas must be told.
    pub warn: bool,
}

impl Replica {
    pub fn new(spec: Spec, settings: &Settings) -> Replica {
        Replica {
            spec,
            running: BTreeSet::new(),
            vacating: BTreeSet::new(),
            prefills: BTreeSet::new(),
            online: BTreeMap::new(),
            reached: None,
            waiting: None,
            warned: None,
            hold: Millis(settings.hold_ms),
            crowded: None,
            peak: (0, Millis(0)),
            probing: false,
            resting_until: Millis(0),
        }
    }

    /// Takes in how many online requests a node has here.
    pub fn online(&mut self, now: Millis, settings: &Settings, count: Count) -> Arrival {
        let known = self.online.get(&count.from);
        if known.is_some_and(|known| known.sequence >= count.sequence) {
            return Arrival { clear: false, warn: false };
        }
        let Count { from, sequence, in_flight } = count;
        self.online.insert(from, Online { in_flight, sequence, heard: now });
        if in_flight == 0 {
            return Arrival { clear: false, warn: false };
        }
        self.adapt_hold(now, settings);
        self.reached = Some(now);
        let clear = !self.running.is_empty();
        if clear {
            self.peak = (self.streams(), now);
        }
        if clear && self.waiting.is_none() {
            self.waiting = Some(now);
        }
        let warn = self.warned.is_none_or(|warned| now - warned >= WARN_INTERVAL);
        if warn {
            self.warned = Some(now);
        }
        Arrival { clear, warn }
    }

    /// Online work is near: batch work goes before it arrives.
    pub fn near(&mut self, now: Millis) {
        self.reached = Some(now);
        if !self.running.is_empty() {
            self.peak = (self.streams(), now);
        }
    }

    /// Takes in the engine's own count.
    pub fn load(&mut self, now: Millis, active: u32, slots: u32) {
        if slots > 0 && active > slots {
            self.crowded = Some(now);
        }
    }

    /// Batch streams that may run here now.
    pub fn allowed(&self, now: Millis, settings: &Settings) -> u32 {
        if now < self.resting_until {
            return 0;
        }
        let limit = match settings.policy {
            Policy::Managed if self.held(now) => 0,
            Policy::Managed | Policy::Unmanaged => settings.streams.min(self.spec.slots),
        };
        if self.probing { limit.min(1) } else { limit }
    }

    /// Room for starts now.
    pub fn room(&self, now: Millis, settings: &Settings) -> u32 {
        let free = self.allowed(now, settings).saturating_sub(self.streams());
        free.min(settings.prefills.saturating_sub(self.prefills.len() as u32))
    }

    /// Counts a new start.
    pub fn started(&mut self, now: Millis, start: Start) {
        self.running.insert(start.clone());
        self.prefills.insert(start);
        let streams = self.streams();
        if streams >= self.peak.0 || now - self.peak.1 >= REPORT_LAG {
            self.peak = (streams, now);
        }
    }

    /// Batch streams that a recent load report of the engine may count.
    pub fn reported_streams(&self, now: Millis) -> u32 {
        let (peak, at) = self.peak;
        if now - at < REPORT_LAG { peak.max(self.streams()) } else { self.streams() }
    }

    fn streams(&self) -> u32 {
        (self.running.len() + self.vacating.len()) as u32
    }

    /// Takes a start out. Returns the time since online work arrived, if this was the last to go.
    pub fn vacated(&mut self, now: Millis, start: &Start) -> Option<Millis> {
        self.vacating.remove(start);
        if !self.vacating.is_empty() || !self.running.is_empty() {
            return None;
        }
        self.waiting.take().map(|since| now - since)
    }

    /// A start has given a token: the replica is alive and the prefill is over.
    pub fn answered(&mut self, start: &Start) {
        self.prefills.remove(start);
        self.probing = false;
    }

    /// The upstream died.
    pub fn fail(&mut self, now: Millis, rest: Millis) {
        self.probing = true;
        self.rest(now, rest);
    }

    /// No start for a while.
    pub fn rest(&mut self, now: Millis, rest: Millis) {
        self.resting_until = now + rest;
    }

    /// Whether online work is here, was here lately, or is near.
    pub fn held(&self, now: Millis) -> bool {
        let online = self
            .online
            .values()
            .any(|online| online.in_flight > 0 && now - online.heard < ONLINE_TTL);
        let recent = self.reached.is_some_and(|reached| now - reached < self.hold);
        let crowded = self.crowded.is_some_and(|crowded| now - crowded < CROWDED_TTL);
        online || recent || crowded
    }

    /// The hold doubles when online work meets batch work and shrinks while it does not.
    fn adapt_hold(&mut self, now: Millis, settings: &Settings) {
        let limit = settings.hold_limit_ms.max(settings.hold_ms);
        if !self.running.is_empty() {
            self.hold = Millis((self.hold.0 * 2).min(limit));
            return;
        }
        let quiet = self.reached.is_none_or(|reached| now - reached >= HOLD_HALF_LIFE);
        if quiet {
            self.hold = Millis((self.hold.0 / 2).max(settings.hold_ms));
        }
    }
}
