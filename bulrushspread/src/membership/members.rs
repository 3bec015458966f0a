//! What is known of the other nodes: claims, suspicions and deaths.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

use xxhash_rust::xxh3::Xxh3;

use crate::{id::Vm, time::Millis};

use super::message::{Claim, Status};

/// Nodes that must suspect a node independently to halve the time to its removal.
const CONFIRMATIONS: usize = 3;
/// Time that a node has to refute its death before others believe it.
const REFUTATION: Millis = Millis(1_000);
/// Time for which a death is remembered, so that late claims revive nobody.
const TOMBSTONE: Millis = Millis(600_000);

/// The other nodes, the dead included for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    members: BTreeMap<Vm, Member>,
}

#[derive(Clone, Debug)]
struct Member {
    claim: Claim,
    /// Set while the node may be dead.
    suspicion: Option<Suspicion>,
    /// When a dead node is forgotten.
    forget: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: Millis,
    /// The node is dead at this time unless it has refuted.
    deadline: Millis,
    by: BTreeSet<Vm>,
}

/// What a claim changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    Nothing,
    /// Worth passing on, although the set of live nodes is as before.
    News,
    /// The set of live nodes or what is shown of them is another.
    Changed,
}

impl Members {
    /// The claims on nodes that are not dead.
    pub(super) fn live(&self) -> impl Iterator<Item = &Claim> {
        self.members.values().map(|member| &member.claim).filter(|claim| is_live(claim))
    }

    pub(super) fn get(&self, vm: &Vm) -> Option<&Claim> {
        self.members.get(vm).map(|member| &member.claim)
    }

    pub(super) fn get_live(&self, vm: &Vm) -> Option<&Claim> {
        self.get(vm).filter(|claim| is_live(claim))
    }

    /// Every claim, on the dead too.
    pub(super) fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.members.values().map(|member| &member.claim)
    }

    /// The same on nodes that know the same of live nodes, whatever they suspect.
    pub(super) fn digest(&self, own: &Claim) -> u64 {
        let claims = self.live().chain([own]);
        claims.fold(0, |digest, claim| {
            let mut hasher = Xxh3::new();
            (&claim.vm, claim.version, claim.leaving).hash(&mut hasher);
            digest ^ hasher.finish()
        })
    }

    /// Takes in a claim on another node.
    pub(super) fn take(&mut self, now: Millis, claim: Claim, suspicion: Millis) -> Effect {
        let Some(member) = self.members.get_mut(&claim.vm) else {
            return self.insert(now, claim, suspicion);
        };
        if claim.version > member.claim.version {
            return member.replace(now, claim, suspicion);
        }
        if claim.version < member.claim.version || !is_live(&member.claim) {
            return Effect::Nothing;
        }
        match claim.status.clone() {
            Status::Alive => Effect::Nothing,
            Status::Suspect { by } => member.suspect(now, by, suspicion),
            Status::Dead { by } => member.die(now, by),
        }
    }

    /// Removes the nodes whose time to refute is over and returns their claims.
    pub(super) fn expire(&mut self, now: Millis, me: &Vm) -> Vec<Claim> {
        self.members.retain(|_, member| member.forget.is_none_or(|forget| now < forget));
        let mut dead = Vec::new();
        for member in self.members.values_mut() {
            let Some(suspicion) = &member.suspicion else { continue };
            if now >= suspicion.deadline {
                member.bury(now, me.clone());
                dead.push(member.claim.clone());
            }
        }
        dead
    }

    fn insert(&mut self, now: Millis, claim: Claim, suspicion: Millis) -> Effect {
        let vm = claim.vm.clone();
        let alive = Claim { status: Status::Alive, ..claim.clone() };
        let mut member = Member { claim: alive, suspicion: None, forget: None };
        match claim.status {
            Status::Alive => {}
            Status::Suspect { by } => drop(member.suspect(now, by, suspicion)),
            Status::Dead { by } => member.bury(now, by),
        }
        let live = is_live(&member.claim);
        self.members.insert(vm, member);
        if live { Effect::Changed } else { Effect::Nothing }
    }
}

impl Member {
    fn replace(&mut self, now: Millis, claim: Claim, suspicion: Millis) -> Effect {
        let was = (is_live(&self.claim), self.claim.leaving, self.claim.version.incarnation);
        let address = self.claim.address;
        let status = claim.status.clone();
        *self = Member {
            claim: Claim { status: Status::Alive, ..claim },
            suspicion: None,
            forget: None,
        };
        match status {
            Status::Alive => {}
            Status::Suspect { by } => drop(self.suspect(now, by, suspicion)),
            Status::Dead { by } if was.0 => drop(self.die(now, by)),
            Status::Dead { by } => self.bury(now, by),
        }
        let is = (is_live(&self.claim), self.claim.leaving, self.claim.version.incarnation);
        let same = was == is && address == self.claim.address;
        if same { Effect::News } else { Effect::Changed }
    }

    fn suspect(&mut self, now: Millis, by: Vm, longest: Millis) -> Effect {
        let suspicion = self.suspicion.get_or_insert_with(|| Suspicion {
            since: now,
            deadline: now + longest,
            by: BTreeSet::new(),
        });
        if suspicion.by.len() >= CONFIRMATIONS || !suspicion.by.insert(by.clone()) {
            return Effect::Nothing;
        }
        let span = Millis(longest.0 * (CONFIRMATIONS + 2 - suspicion.by.len()) as u64 / 4);
        suspicion.deadline = suspicion.deadline.min(suspicion.since + span);
        if self.claim.status.rank() == 0 {
            self.claim.status = Status::Suspect { by };
        }
        Effect::News
    }

    /// A node's own word on its end counts at once; that of others may still be refuted.
    fn die(&mut self, now: Millis, by: Vm) -> Effect {
        if by == self.claim.vm {
            self.bury(now, by);
            return Effect::Changed;
        }
        let deadline = now + REFUTATION;
        let known = self.suspicion.as_ref().is_some_and(|suspicion| suspicion.deadline <= deadline);
        if known {
            return Effect::Nothing;
        }
        let by = BTreeSet::from([by]);
        self.suspicion = Some(Suspicion { since: now, deadline, by });
        Effect::News
    }

    fn bury(&mut self, now: Millis, by: Vm) {
        self.claim.status = Status::Dead { by };
        self.suspicion = None;
        self.forget = Some(now + TOMBSTONE);
    }
}

fn is_live(claim: &Claim) -> bool {
    claim.status.rank() < 2
}
