//! The known state of the other nodes: live, suspected or dead.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

use xxhash_rust::xxh3::Xxh3;

use crate::{id::Vm, time::Millis};

use super::message::{Member, Status};

/// Number of independent suspicions of a node after which its suspicion timeout has shrunk to half.
const CONFIRMATIONS: usize = 3;
/// Time for a node to refute a report of its death before the report takes effect.
const REFUTATION_WINDOW: Millis = Millis(1_000);
/// Retention of dead nodes, so that late updates do not revive them.
const TOMBSTONE_RETENTION: Millis = Millis(600_000);

/// The other nodes, including tombstones of dead nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    entries: BTreeMap<Vm, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// Set while the node is suspected.
    suspicion: Option<Suspicion>,
    /// When the tombstone of a dead node is removed.
    forget_at: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: Millis,
    /// When the node is declared dead unless it refutes the suspicion.
    deadline: Millis,
    /// The nodes that reported the suspicion.
    by: BTreeSet<Vm>,
}

/// The effect of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    Ignored,
    /// The update is to be disseminated, although the view is unchanged.
    Gossip,
    /// The view changed: the set of live nodes or a published property of one of them.
    Changed,
}

impl Members {
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member).filter(|member| is_live(member))
    }

    pub(super) fn get(&self, vm: &Vm) -> Option<&Member> {
        self.entries.get(vm).map(|entry| &entry.member)
    }

    pub(super) fn get_live(&self, vm: &Vm) -> Option<&Member> {
        self.get(vm).filter(|member| is_live(member))
    }

    /// All nodes, including dead ones.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Digest of the live nodes, for comparison with other nodes. Suspicions are not part of it.
    pub(super) fn digest(&self, own: &Member) -> u64 {
        let members = self.live().chain([own]);
        members.fold(0, |digest, member| {
            let mut hasher = Xxh3::new();
            (&member.vm, member.version, member.leaving).hash(&mut hasher);
            digest ^ hasher.finish()
        })
    }

    /// Applies an update on another node. `suspicion` is the longest suspicion timeout.
    pub(super) fn apply(&mut self, now: Millis, member: Member, suspicion: Millis) -> Effect {
        let Some(entry) = self.entries.get_mut(&member.vm) else {
            return self.insert(now, member, suspicion);
        };
        if member.version > entry.member.version {
            return entry.replace(now, member, suspicion);
        }
        if member.version < entry.member.version || !is_live(&entry.member) {
            return Effect::Ignored;
        }
        match member.status.clone() {
            Status::Alive => Effect::Ignored,
            Status::Suspect { by } => entry.suspect(now, by, suspicion),
            Status::Dead { by } => entry.report_death(now, by),
        }
    }

    /// Declares nodes dead whose suspicion timed out and returns them. Also removes old tombstones.
    pub(super) fn expire(&mut self, now: Millis, me: &Vm) -> Vec<Member> {
        self.entries.retain(|_, entry| entry.forget_at.is_none_or(|forget_at| now < forget_at));
        let mut dead = Vec::new();
        for entry in self.entries.values_mut() {
            let Some(suspicion) = &entry.suspicion else { continue };
            if now >= suspicion.deadline {
                entry.mark_dead(now, me.clone());
                dead.push(entry.member.clone());
            }
        }
        dead
    }

    fn insert(&mut self, now: Millis, member: Member, suspicion: Millis) -> Effect {
        let vm = member.vm.clone();
        let alive = Member { status: Status::Alive, ..member.clone() };
        let mut entry = Entry { member: alive, suspicion: None, forget_at: None };
        match member.status {
            Status::Alive => {}
            Status::Suspect { by } => drop(entry.suspect(now, by, suspicion)),
            Status::Dead { by } => entry.mark_dead(now, by),
        }
        let live = is_live(&entry.member);
        self.entries.insert(vm, entry);
        if live { Effect::Changed } else { Effect::Ignored }
    }
}

impl Entry {
    fn replace(&mut self, now: Millis, member: Member, suspicion: Millis) -> Effect {
        let before = (is_live(&self.member), self.member.leaving, self.member.version.incarnation);
        let address = self.member.address;
        let status = member.status.clone();
        *self = Entry {
            member: Member { status: Status::Alive, ..member },
            suspicion: None,
            forget_at: None,
        };
        match status {
            Status::Alive => {}
            Status::Suspect { by } => drop(self.suspect(now, by, suspicion)),
            Status::Dead { by } if before.0 => drop(self.report_death(now, by)),
            Status::Dead { by } => self.mark_dead(now, by),
        }
        let after = (is_live(&self.member), self.member.leaving, self.member.version.incarnation);
        let unchanged = before == after && address == self.member.address;
        if unchanged { Effect::Gossip } else { Effect::Changed }
    }

    fn suspect(&mut self, now: Millis, by: Vm, timeout: Millis) -> Effect {
        let suspicion = self.suspicion.get_or_insert_with(|| Suspicion {
            since: now,
            deadline: now + timeout,
            by: BTreeSet::new(),
        });
        if suspicion.by.len() >= CONFIRMATIONS || !suspicion.by.insert(by.clone()) {
            return Effect::Ignored;
        }
        let shortened = Millis(timeout.0 * (CONFIRMATIONS + 2 - suspicion.by.len()) as u64 / 4);
        suspicion.deadline = suspicion.deadline.min(suspicion.since + shortened);
        if self.member.status.rank() == 0 {
            self.member.status = Status::Suspect { by };
        }
        Effect::Gossip
    }

    /// Applies a report of the node's death. A report by the node itself takes effect at once; one
    /// by another node can still be refuted.
    fn report_death(&mut self, now: Millis, by: Vm) -> Effect {
        if by == self.member.vm {
            self.mark_dead(now, by);
            return Effect::Changed;
        }
        let deadline = now + REFUTATION_WINDOW;
        let already_due =
            self.suspicion.as_ref().is_some_and(|suspicion| suspicion.deadline <= deadline);
        if already_due {
            return Effect::Ignored;
        }
        let by = BTreeSet::from([by]);
        self.suspicion = Some(Suspicion { since: now, deadline, by });
        Effect::Gossip
    }

    fn mark_dead(&mut self, now: Millis, by: Vm) {
        self.member.status = Status::Dead { by };
        self.suspicion = None;
        self.forget_at = Some(now + TOMBSTONE_RETENTION);
    }
}

fn is_live(member: &Member) -> bool {
    member.status.rank() < 2
}
