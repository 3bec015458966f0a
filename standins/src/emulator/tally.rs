//! What a day owed and what was earned.

use std::ops::AddAssign;

/// One kind of work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    pub count: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// In time but for a packet that the network lost.
    pub lost_packet: u32,
    pub owed: f64,
    pub earned: f64,
}

impl Account {
    pub fn worth(&self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }
}

impl AddAssign<&Account> for Account {
    fn add_assign(&mut self, other: &Account) {
        self.count += other.count;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.lost_packet += other.lost_packet;
        self.owed += other.owed;
        self.earned += other.earned;
    }
}

/// Events that nodes got from engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    pub all: u64,
    /// Those from another data centre.
    pub remote: u64,
}

impl Traffic {
    pub fn remote_share(self) -> f64 {
        self.remote as f64 / self.all.max(1) as f64
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.all += other.all;
        self.remote += other.remote;
    }
}

/// One day, or the sum of several.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub online: Account,
    pub batch: Account,
    /// Runs of items that were paused to make room.
    pub pauses: u32,
    /// Messages with news between nodes.
    pub messages: u64,
    /// Milliseconds from the arrival of each online request to its first event.
    pub first_ms: Vec<u32>,
    /// Online requests by engine.
    pub sends: Vec<u32>,
    /// Connections that nodes opened to engines.
    pub connections: u64,
    /// Pairs of node and engine between which a connection was opened.
    pub pairs: u64,
    /// Events of requests, which stand for their bytes.
    pub online_events: Traffic,
    /// Events of batch items.
    pub batch_events: Traffic,
}

impl Tally {
    /// Earned over owed of all work.
    pub fn worth(&self) -> f64 {
        let mut all = self.online.clone();
        all += &self.batch;
        all.worth()
    }

    /// Time to the first event that `share` of the online requests with one stay within.
    pub fn first_ms_within(&self, share: f64) -> u32 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        sorted.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
    }

    /// Online requests of the engine that got the most, relative to the mean.
    pub fn busiest_over_mean(&self) -> f64 {
        let sum: u32 = self.sends.iter().sum();
        let most = self.sends.iter().max().copied().unwrap_or_default();
        f64::from(most) * self.sends.len() as f64 / f64::from(sum.max(1))
    }
}

impl AddAssign<&Tally> for Tally {
    fn add_assign(&mut self, other: &Tally) {
        self.online += &other.online;
        self.batch += &other.batch;
        self.pauses += other.pauses;
        self.messages += other.messages;
        self.first_ms.extend(&other.first_ms);
        self.sends.resize(self.sends.len().max(other.sends.len()), 0);
        for (sum, count) in self.sends.iter_mut().zip(&other.sends) {
            *sum += count;
        }
        self.connections += other.connections;
        self.pairs += other.pairs;
        self.online_events += other.online_events;
        self.batch_events += other.batch_events;
    }
}
