//! When a node claims a partition, takes it up and gives it up.

use crate::{
    batch::{ledger::Ledger, record::PartitionRecord as Record},
    id::{Epoch, Job},
    journal::record::Writer,
    time::Millis,
};

use super::state::{Action, State};

/// Handover times after which a live owner that keeps the partition is deposed.
const HANDOVERS: u64 = 6;

impl State {
    /// Claims the partition, takes it up or gives it up, as the claim in force and the members say.
    pub(super) fn own(&mut self, now: Millis) -> Vec<Action> {
        if !self.caught_up {
            return Vec::new();
        }
        match self.replayed.claim.clone() {
            Some(claim) if claim.owner == self.me && !claim.released => self.hold(now, claim.epoch),
            Some(claim) if !claim.released && !self.may_depose(now, &claim.owner) => Vec::new(),
            _ => self.claim(),
        }
    }

    fn claim(&mut self) -> Vec<Action> {
        if self.appending || self.stopping || self.chosen.as_ref() != Some(&self.me.vm) {
            return Vec::new();
        }
        self.appending = true;
        let (epoch, owner) = (self.replayed.next_epoch(self.applied_to), self.me.clone());
        vec![Action::Append(Record::Claim { epoch, owner })]
    }

    fn hold(&mut self, now: Millis, epoch: Epoch) -> Vec<Action> {
        if self.ledger.is_none() {
            return self.take_up(now, epoch);
        }
        let wanted = self.chosen.as_ref() == Some(&self.me.vm) && !self.stopping;
        if wanted {
            self.unwanted_since = None;
            return self.renew(now);
        }
        let since = *self.unwanted_since.get_or_insert(now);
        let patience = if self.stopping { 0 } else { self.settings.handover_ms };
        let waits = self.appending || !self.outbox.is_empty();
        if waits || now < since + Millis(patience) {
            return Vec::new();
        }
        self.appending = true;
        vec![Action::Append(Record::Release { epoch })]
    }

    /// Claims the partition anew long before the claim in force expires from the log.
    fn renew(&mut self, now: Millis) -> Vec<Action> {
        match self.is_due(now) && self.outbox.is_empty() {
            true => self.claim(),
            false => Vec::new(),
        }
    }

    /// Whether the claim in force is so old that a new one is due.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        now >= self.claimed_at + Millis(self.settings.renew_ms)
    }

    fn take_up(&mut self, now: Millis, epoch: Epoch) -> Vec<Action> {
        self.claimed_at = now;
        self.ledger = Some(Ledger::new(now, self.partition, epoch, self.settings.clone()));
        let jobs: Vec<Job> = self.specs.keys().cloned().collect();
        for job in &jobs {
            self.track(now, job);
        }
        jobs.iter().filter_map(|job| self.finish(job)).collect()
    }

    /// Whether the owner has been gone for some time, or has not handed over for much longer.
    fn may_depose(&mut self, now: Millis, owner: &Writer) -> bool {
        let live = self.live.get(&owner.vm) == Some(&owner.incarnation);
        let patience = match live {
            true => self.settings.handover_ms * HANDOVERS,
            false => self.settings.takeover_ms,
        };
        let wanted = self.chosen.as_ref() == Some(&self.me.vm);
        let waits = self.waits.filter(|(other, _)| wanted && *other == live);
        let (_, since) = *self.waits.insert(waits.unwrap_or((live, now)));
        wanted && now >= since + Millis(patience)
    }
}
