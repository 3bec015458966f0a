//! Decides when a node claims, renews and releases a partition.

use crate::{
    batch::{ledger::Ledger, record::PartitionRecord as Record},
    id::{Epoch, Job},
    journal::record::Writer,
    time::Millis,
};

use super::state::{Action, State};

/// A live owner that does not release the partition is replaced after this many times the handover
/// time.
const STUCK_OWNER_HANDOVERS: u64 = 6;

impl State {
    /// Claims, keeps or releases the partition, depending on the current claim and the members.
    pub(super) fn update_ownership(&mut self, now: Millis) -> Vec<Action> {
        if !self.caught_up {
            return Vec::new();
        }
        match self.replayed.claim.clone() {
            Some(claim) if claim.owner == self.me && !claim.released => {
                self.renew_or_release(now, claim.epoch)
            }
            Some(claim) if !claim.released && !self.may_take_over(now, &claim.owner) => Vec::new(),
            _ => self.claim(),
        }
    }

    fn claim(&mut self) -> Vec<Action> {
        if self.append_pending || self.stopping || self.chosen.as_ref() != Some(&self.me.vm) {
            return Vec::new();
        }
        self.append_pending = true;
        let (epoch, owner) = (self.replayed.next_epoch(self.applied_to), self.me.clone());
        vec![Action::Append(Record::Claim { epoch, owner })]
    }

    fn renew_or_release(&mut self, now: Millis, epoch: Epoch) -> Vec<Action> {
        if self.ledger.is_none() {
            return self.start_ownership(now, epoch);
        }
        let is_chosen = self.chosen.as_ref() == Some(&self.me.vm) && !self.stopping;
        if is_chosen {
            self.not_chosen_since = None;
            return self.renew(now);
        }
        let since = *self.not_chosen_since.get_or_insert(now);
        let grace_ms = if self.stopping { 0 } else { self.settings.handover_ms };
        let is_busy = self.append_pending || !self.outbox.is_empty();
        if is_busy || now < since + Millis(grace_ms) {
            return Vec::new();
        }
        self.append_pending = true;
        vec![Action::Append(Record::Release { epoch })]
    }

    /// Renews the claim long before the current one expires from the log. Waits until no result is
    /// left to append, because results of the old epoch would be ignored.
    fn renew(&mut self, now: Millis) -> Vec<Action> {
        match self.is_renewal_due(now) && self.outbox.is_empty() {
            true => self.claim(),
            false => Vec::new(),
        }
    }

    /// Whether the current claim must be renewed.
    pub(super) fn is_renewal_due(&self, now: Millis) -> bool {
        now >= self.owner_since + Millis(self.settings.renew_ms)
    }

    fn start_ownership(&mut self, now: Millis, epoch: Epoch) -> Vec<Action> {
        self.owner_since = now;
        self.ledger = Some(Ledger::new(now, self.partition, epoch, self.settings.clone()));
        let jobs: Vec<Job> = self.specs.keys().cloned().collect();
        for job in &jobs {
            self.track(now, job);
        }
        jobs.iter().filter_map(|job| self.finish_if_complete(job)).collect()
    }

    /// Whether this node may replace `owner`, which has been absent for `takeover_ms`, or has been
    /// live but not released the partition for several handover times.
    fn may_take_over(&mut self, now: Millis, owner: &Writer) -> bool {
        let live = self.live.get(&owner.vm) == Some(&owner.incarnation);
        let grace_ms = match live {
            true => self.settings.handover_ms * STUCK_OWNER_HANDOVERS,
            false => self.settings.takeover_ms,
        };
        let is_chosen = self.chosen.as_ref() == Some(&self.me.vm);
        let wait = self.owner_wait.filter(|(other, _)| is_chosen && *other == live);
        let (_, since) = *self.owner_wait.insert(wait.unwrap_or((live, now)));
        is_chosen && now >= since + Millis(grace_ms)
    }
}
