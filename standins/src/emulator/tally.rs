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

/// One day, or the sum of several.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub online: Account,
    pub batch: Account,
    /// Runs of items that were paused to make room.
    pub pauses: u32,
    /// Messages with news between nodes.
    pub messages: u64,
}

impl Tally {
    /// Earned over owed of all work.
    pub fn worth(&self) -> f64 {
        let mut all = self.online.clone();
        all += &self.batch;
        all.worth()
    }
}

impl AddAssign<&Tally> for Tally {
    fn add_assign(&mut self, other: &Tally) {
        self.online += &other.online;
        self.batch += &other.batch;
        self.pauses += other.pauses;
        self.messages += other.messages;
    }
}
