//! Limits of the rate at which upstreams take requests from all nodes together.
//!
//! An upstream in need names a limit in its responses. All nodes keep it without a coordinator: each
//! one tells the others how many requests it has sent to the process and how many it would have sent,
//! and keeps the same allowance, which grows at the rate of the limit and shrinks with each request
//! of any node. A request is admitted at random: the greater the allowance, and the fewer requests of
//! all nodes compete for it, the more likely. So the nodes spend the allowance in proportion to their
//! demand, and few requests are sent before the others learn of it.

use std::{
    collections::{BTreeMap, btree_map},
    fmt,
    num::ParseFloatError,
    str::FromStr,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, Process, Vm},
    time::Millis,
};

use super::Class;

/// Lowest rate that is kept. A process that gets no requests can't say that its limit has ended.
const MIN_RATE: f64 = 0.1;
/// Time in which online requests would spend the allowance at the rate at which it admits them.
/// Several times as long as gossip takes.
const ONLINE_SPENDING_S: f64 = 0.4;
/// The same for batch requests, which may spend little of it.
const BATCH_SPENDING_S: f64 = 0.05;
/// Time over which an unused allowance accumulates, beyond a single request.
const ACCUMULATION_S: f64 = 1.0;
/// Share of the maximum allowance that is reserved for online requests. Beyond it online requests
/// don't use up the limit.
const ONLINE_RESERVE: f64 = 0.95;
/// Time for which nodes can exceed the limit before the excess is forgotten.
const MAX_EXCESS_S: f64 = 6.0;
/// Time constant of the moving average of the demand.
const DEMAND_S: f64 = 1.0;
/// Time after which the demand of a node counts no more without a report.
const DEMAND_EXPIRY: Millis = Millis(1_000);
/// Time after which a node without a report is forgotten.
const PEER_EXPIRY: Millis = Millis(60_000);
/// Time for which the end of a limit is reported.
const END_RETENTION: Millis = Millis(10_000);
/// Maximum number of processes with limits. Beyond it the one that answered longest ago is removed.
const MAX_LIMITS: usize = 1_024;
/// Maximum number of limits in one report; each takes some 20 bytes.
const MAX_REPORTED: usize = 64;

pub type Result<T> = std::result::Result<T, ParseError>;

/// Error: the text isn't a rate.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    #[error("not a number: {0}")]
    NotANumber(#[from] ParseFloatError),
    #[error("{0} is negative or not finite")]
    OutOfRange(f64),
}

/// Requests per second. Not negative, and finite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    /// # Errors
    ///
    /// Fails if `per_second` is negative or not finite.
    pub fn new(per_second: f64) -> Result<Rate> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Rate(per_second)),
            false => Err(ParseError::OutOfRange(per_second)),
        }
    }

    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = ParseError;

    fn try_from(per_second: f64) -> Result<Rate> {
        Rate::new(per_second)
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Rate> {
        Rate::new(text.trim_end_matches("/s").parse()?)
    }
}

/// What one node knows of the limit of a process, as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub process: Process,
    /// The limit in the last response that the node has received, or `None` if that named none.
    pub rate: Option<Rate>,
    /// Time since that response; `None` if the node has received none.
    pub age: Option<Millis>,
    /// Requests that the node has sent to the process since it knows of the limit.
    pub sent: u32,
    /// Online requests a second that the node would have sent.
    pub online_demand: f32,
    /// Batch requests a second that the node would have sent.
    pub batch_demand: f32,
}

/// Moving average of a rate.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    per_second: f64,
    updated_at: Millis,
}

impl Demand {
    fn at(&self, now: Millis) -> f64 {
        self.per_second * (-seconds(now - self.updated_at) / DEMAND_S).exp()
    }

    fn add_one(&mut self, now: Millis) {
        *self = Demand { per_second: self.at(now) + 1.0 / DEMAND_S, updated_at: now };
    }
}

/// The last report of another node.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: Incarnation,
    sent: u32,
    online_demand: f64,
    batch_demand: f64,
    reported_at: Millis,
}

/// The limit of one process.
#[derive(Clone, Debug, Default)]
struct Limit {
    /// `None` after the process has stopped naming one.
    rate: Option<Rate>,
    /// Time of the response that named the limit, or none, at any node.
    answered_at: Millis,
    /// Time of the last response that this node has received, and the limit in it.
    own_answer: Option<(Millis, Option<Rate>)>,
    /// Requests that may be sent by all nodes. Negative after too many.
    allowance: f64,
    updated_at: Millis,
    sent: u32,
    online_demand: Demand,
    batch_demand: Demand,
    peers: BTreeMap<Vm, Peer>,
}

impl Limit {
    fn max_allowance(rate: Rate) -> f64 {
        1.0 + rate.0 * ACCUMULATION_S
    }

    /// Lets the allowance grow until `now`.
    fn advance(&mut self, now: Millis) {
        let elapsed = seconds(now - self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let Some(rate) = self.rate else { return };
        let rate = Rate(rate.0.max(MIN_RATE));
        let min = -(rate.0 * MAX_EXCESS_S).max(1.0);
        self.allowance = (self.allowance + rate.0 * elapsed).clamp(min, Limit::max_allowance(rate));
    }

    fn demand(&self, now: Millis, class: Class) -> f64 {
        let peers = self.peers.values().filter(|peer| now - peer.reported_at < DEMAND_EXPIRY);
        match class {
            Class::Online => {
                self.online_demand.at(now) + peers.map(|peer| peer.online_demand).sum::<f64>()
            }
            Class::Batch => {
                self.batch_demand.at(now) + peers.map(|peer| peer.batch_demand).sum::<f64>()
            }
        }
    }

    /// Decides on one request by a random number `draw` in `0..1`, and counts it as demand.
    fn admit(&mut self, now: Millis, class: Class, draw: f64) -> bool {
        self.advance(now);
        let Some(rate) = self.rate else { return true };
        let rate = Rate(rate.0.max(MIN_RATE));
        let (allowance, spending_s) = match class {
            Class::Online => {
                self.online_demand.add_one(now);
                (self.allowance, ONLINE_SPENDING_S)
            }
            Class::Batch => {
                self.batch_demand.add_one(now);
                let reserve = Limit::max_allowance(rate) * ONLINE_RESERVE;
                (self.allowance - reserve, BATCH_SPENDING_S)
            }
        };
        draw * self.demand(now, class) * spending_s < allowance
    }
}

/// A change of a limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    Named(Rate),
    Ended,
}

/// The limits of all processes, as known to one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    /// At most [`MAX_LIMITS`].
    by_process: BTreeMap<Process, Limit>,
}

impl Limits {
    /// The limit of the process, if it has one.
    pub(super) fn rate(&self, process: Process) -> Option<Rate> {
        self.by_process.get(&process)?.rate
    }

    /// Decides whether a request may be sent to the process.
    pub(super) fn admit(&mut self, now: Millis, process: Process, class: Class, draw: f64) -> bool {
        self.by_process.get_mut(&process).is_none_or(|limit| limit.admit(now, class, draw))
    }

    /// Counts a request that is sent to the process.
    pub(super) fn record_send(&mut self, now: Millis, process: Process) {
        if let Some(limit) = self.by_process.get_mut(&process) {
            limit.advance(now);
            limit.allowance -= 1.0;
            limit.sent = limit.sent.wrapping_add(1);
        }
    }

    /// Records the limit in a response of the process, or that it names none.
    pub(super) fn record_answer(
        &mut self,
        now: Millis,
        process: Process,
        rate: Option<Rate>,
    ) -> Option<Change> {
        if rate.is_none() && !self.by_process.contains_key(&process) {
            return None;
        }
        let change = self.observe(now, now, process, rate);
        if let Some(limit) = self.by_process.get_mut(&process) {
            limit.own_answer = Some((now, rate));
        }
        change
    }

    /// Applies the reports of another node, with the changes that they bring.
    pub(super) fn merge(
        &mut self,
        now: Millis,
        vm: &Vm,
        incarnation: Incarnation,
        reports: Vec<Report>,
    ) -> Vec<(Process, Change)> {
        let mut changes = Vec::new();
        for report in reports {
            if let Some(age) = report.age {
                let change = self.observe(now, now - age, report.process, report.rate);
                changes.extend(change.map(|change| (report.process, change)));
            }
            let Some(limit) = self.by_process.get_mut(&report.process) else { continue };
            limit.advance(now);
            let peer = Peer {
                incarnation,
                sent: report.sent,
                online_demand: reported_demand(report.online_demand),
                batch_demand: reported_demand(report.batch_demand),
                reported_at: now,
            };
            if !limit.peers.contains_key(vm) {
                limit.peers.retain(|_, peer| now - peer.reported_at < PEER_EXPIRY);
            }
            // A node that is heard of for the first time has sent its requests before.
            let before = match limit.peers.entry(vm.clone()) {
                btree_map::Entry::Vacant(entry) => {
                    entry.insert(peer);
                    report.sent
                }
                btree_map::Entry::Occupied(mut entry) => {
                    let previous = entry.insert(peer);
                    if previous.incarnation == incarnation { previous.sent } else { 0 }
                }
            };
            limit.allowance -= f64::from(report.sent.saturating_sub(before));
        }
        changes
    }

    /// The reports of this node for the others: of the processes whose responses or requests it has
    /// seen, the latest first.
    pub(super) fn reports(&mut self, now: Millis) -> Vec<Report> {
        self.by_process
            .retain(|_, limit| limit.rate.is_some() || now - limit.answered_at < END_RETENTION);
        let is_own = |limit: &Limit| limit.own_answer.is_some() || limit.sent > 0;
        let mut own: Vec<(&Process, &Limit)> = self
            .by_process
            .iter()
            .filter(|(_, limit)| is_own(limit) || limit.online_demand.at(now) > MIN_RATE)
            .collect();
        own.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.updated_at));
        own.truncate(MAX_REPORTED);
        let report = |(process, limit): (&Process, &Limit)| Report {
            process: *process,
            rate: limit.own_answer.and_then(|(_, rate)| rate),
            age: limit.own_answer.map(|(at, _)| now - at),
            sent: limit.sent,
            online_demand: limit.online_demand.at(now) as f32,
            batch_demand: limit.batch_demand.at(now) as f32,
        };
        own.into_iter().map(report).collect()
    }

    /// Demand and rate of the requests to `processes`: the greatest demand, because a request
    /// competes for all of them, and the sum of the rates.
    pub(super) fn pressure(
        &self,
        now: Millis,
        processes: impl Iterator<Item = Process>,
    ) -> (f64, f64) {
        let limits = processes.filter_map(|process| self.by_process.get(&process));
        limits.fold((0.0, 0.0), |(demand, sum), limit| {
            let rate = limit.rate.map_or(0.0, Rate::per_second);
            (demand.max(limit.demand(now, Class::Online)), sum + rate)
        })
    }

    /// Records what a response at `answered_at` has said, unless a later one is known.
    fn observe(
        &mut self,
        now: Millis,
        answered_at: Millis,
        process: Process,
        rate: Option<Rate>,
    ) -> Option<Change> {
        if !self.by_process.contains_key(&process) {
            self.make_room();
        }
        let limit = self.by_process.entry(process).or_insert_with(|| Limit {
            updated_at: now,
            allowance: rate.map_or(0.0, Limit::max_allowance),
            ..Limit::default()
        });
        if answered_at < limit.answered_at {
            return None;
        }
        limit.advance(now);
        limit.answered_at = answered_at;
        let previous = std::mem::replace(&mut limit.rate, rate);
        match (previous, rate) {
            (None, Some(rate)) => Some(Change::Named(rate)),
            (Some(previous), Some(rate)) if previous != rate => Some(Change::Named(rate)),
            (Some(_), None) => Some(Change::Ended),
            (Some(_), Some(_)) | (None, None) => None,
        }
    }

    fn make_room(&mut self) {
        while self.by_process.len() >= MAX_LIMITS {
            let oldest = self.by_process.iter().min_by_key(|(_, limit)| limit.answered_at);
            let Some(process) = oldest.map(|(process, _)| *process) else { return };
            self.by_process.remove(&process);
        }
    }
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1_000.0
}

/// The demand that a peer reports; 0 if that is no rate.
fn reported_demand(per_second: f32) -> f64 {
    Rate::new(f64::from(per_second)).map_or(0.0, Rate::per_second)
}
