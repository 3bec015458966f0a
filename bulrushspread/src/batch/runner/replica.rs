//! The state of one replica at its runner, and how much batch work may run there.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id::Vm, time::Millis};

use super::{
    message::{Execution, OnlineCount, Spec},
    settings::{Policy, Settings},
};

/// Time after which a node's count of online requests expires.
const ONLINE_TTL: Millis = Millis(8_000);
/// Time for which a load report above the engine's slots keeps batch work from starting.
const OVERLOAD_TTL: Millis = Millis(1_000);
/// Time for which a load report may still include batch streams that have ended.
const REPORT_LAG: Millis = Millis(500);
/// Minimum time between two notifications of the following replicas.
const NOTIFY_INTERVAL: Millis = Millis(100);
/// Time without online work after which the hold is halved.
const HOLD_HALF_LIFE: Millis = Millis(30_000);

/// One replica that this node is the runner of.
#[derive(Clone, Debug)]
pub struct Replica {
    pub spec: Spec,
    /// Executions that run at the replica.
    pub running: BTreeSet<Execution>,
    /// Executions that were cancelled but may still run at the replica.
    pub cancelling: BTreeSet<Execution>,
    /// Executions in `running` that have produced no token yet.
    pub prefills: BTreeSet<Execution>,
    /// Online requests in flight, as last reported by each node.
    online_counts: BTreeMap<Vm, NodeCount>,
    /// When online work last arrived at this replica or at one shortly before it in the fill order.
    last_online: Option<Millis>,
    /// When online work arrived that still shares the replica with batch work.
    yielding_since: Option<Millis>,
    last_notified: Option<Millis>,
    hold: Millis,
    /// When the engine last reported more requests than slots.
    overloaded_at: Option<Millis>,
    /// The recent peak of batch streams, and when it was last reached.
    peak: (u32, Millis),
    /// The upstream crashed: it gets one item at a time until it has produced output again.
    probing: bool,
    /// No execution starts before this time.
    no_start_before: Millis,
}

/// The last count of online requests that a node reported.
#[derive(Clone, Copy, Debug)]
struct NodeCount {
    in_flight: u32,
    sequence: u64,
    received: Millis,
}

/// What the runner must do when online work arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reaction {
    /// Batch work must be cancelled.
    pub cancel_batch: bool,
    /// The runners of the following replicas must be notified.
    pub notify_following: bool,
}

impl Replica {
    pub fn new(spec: Spec, settings: &Settings) -> Replica {
        Replica {
            spec,
            running: BTreeSet::new(),
            cancelling: BTreeSet::new(),
            prefills: BTreeSet::new(),
            online_counts: BTreeMap::new(),
            last_online: None,
            yielding_since: None,
            last_notified: None,
            hold: Millis(settings.hold_ms),
            overloaded_at: None,
            peak: (0, Millis(0)),
            probing: false,
            no_start_before: Millis(0),
        }
    }

    /// Applies a node's count of online requests. A count older than the last one is ignored.
    pub fn apply_online_count(
        &mut self,
        now: Millis,
        settings: &Settings,
        count: OnlineCount,
    ) -> Reaction {
        let last = self.online_counts.get(&count.from);
        if last.is_some_and(|last| last.sequence >= count.sequence) {
            return Reaction { cancel_batch: false, notify_following: false };
        }
        let OnlineCount { from, sequence, in_flight } = count;
        self.online_counts.insert(from, NodeCount { in_flight, sequence, received: now });
        if in_flight == 0 {
            return Reaction { cancel_batch: false, notify_following: false };
        }
        self.adapt_hold(now, settings);
        self.last_online = Some(now);
        let cancel_batch = !self.running.is_empty();
        if cancel_batch {
            self.peak = (self.streams(), now);
        }
        if cancel_batch && self.yielding_since.is_none() {
            self.yielding_since = Some(now);
        }
        let notify_following =
            self.last_notified.is_none_or(|last_notified| now - last_notified >= NOTIFY_INTERVAL);
        if notify_following {
            self.last_notified = Some(now);
        }
        Reaction { cancel_batch, notify_following }
    }

    /// Records that online work may arrive at this replica next, for which batch work is cancelled
    /// in advance.
    pub fn observe_nearby(&mut self, now: Millis) {
        self.last_online = Some(now);
        if !self.running.is_empty() {
            self.peak = (self.streams(), now);
        }
    }

    /// Records a load report of the engine.
    pub fn observe_load(&mut self, now: Millis, active: u32, slots: u32) {
        if slots > 0 && active > slots {
            self.overloaded_at = Some(now);
        }
    }

    /// Maximum number of batch streams that may run at the replica now.
    pub fn stream_limit(&self, now: Millis, settings: &Settings) -> u32 {
        if now < self.no_start_before {
            return 0;
        }
        let limit = match settings.policy {
            Policy::Managed if self.is_held(now) => 0,
            Policy::Managed | Policy::Unmanaged => settings.streams.min(self.spec.slots),
        };
        if self.probing { limit.min(1) } else { limit }
    }

    /// Number of executions that may start now.
    pub fn start_capacity(&self, now: Millis, settings: &Settings) -> u32 {
        let free = self.stream_limit(now, settings).saturating_sub(self.streams());
        free.min(settings.prefills.saturating_sub(self.prefills.len() as u32))
    }

    /// Records the start of an execution.
    pub fn record_start(&mut self, now: Millis, execution: Execution) {
        self.running.insert(execution.clone());
        self.prefills.insert(execution);
        let streams = self.streams();
        if streams >= self.peak.0 || now - self.peak.1 >= REPORT_LAG {
            self.peak = (streams, now);
        }
    }

    /// Batch streams that a recent load report of the engine may include.
    pub fn reported_streams(&self, now: Millis) -> u32 {
        let (peak, at) = self.peak;
        if now - at < REPORT_LAG { peak.max(self.streams()) } else { self.streams() }
    }

    fn streams(&self) -> u32 {
        (self.running.len() + self.cancelling.len()) as u32
    }

    /// Removes a cancelled execution. If it was the last batch stream, returns the time since the
    /// arrival of the online work that it yielded to.
    pub fn record_cancelled(&mut self, now: Millis, execution: &Execution) -> Option<Millis> {
        self.cancelling.remove(execution);
        if !self.cancelling.is_empty() || !self.running.is_empty() {
            return None;
        }
        self.yielding_since.take().map(|since| now - since)
    }

    /// Records output of an execution: its prefill is over and the replica is up.
    pub fn record_progress(&mut self, execution: &Execution) {
        self.prefills.remove(execution);
        self.probing = false;
    }

    /// Records a crash of the upstream. Nothing starts there for `delay`.
    pub fn record_crash(&mut self, now: Millis, delay: Millis) {
        self.probing = true;
        self.back_off(now, delay);
    }

    /// Lets nothing start for `delay`.
    pub fn back_off(&mut self, now: Millis, delay: Millis) {
        self.no_start_before = now + delay;
    }

    /// Whether the replica is kept free for online work: online work is in flight, or
    /// arrived within the hold time at this replica or one shortly before it, or the engine is
    /// overloaded.
    pub fn is_held(&self, now: Millis) -> bool {
        let online = self
            .online_counts
            .values()
            .any(|online| online.in_flight > 0 && now - online.received < ONLINE_TTL);
        let recent = self.last_online.is_some_and(|last_online| now - last_online < self.hold);
        let overloaded =
            self.overloaded_at.is_some_and(|overloaded_at| now - overloaded_at < OVERLOAD_TTL);
        online || recent || overloaded
    }

    /// Doubles the hold when online work arrives while batch work runs, and halves it when online
    /// work arrives after [`HOLD_HALF_LIFE`] without any.
    fn adapt_hold(&mut self, now: Millis, settings: &Settings) {
        let limit = settings.hold_limit_ms.max(settings.hold_ms);
        if !self.running.is_empty() {
            self.hold = Millis((self.hold.0 * 2).min(limit));
            return;
        }
        let quiet = self.last_online.is_none_or(|last_online| now - last_online >= HOLD_HALF_LIFE);
        if quiet {
            self.hold = Millis((self.hold.0 / 2).max(settings.hold_ms));
        }
    }
}
