//! Probes under way: those of this node and those it makes in the place of others.

use std::collections::BTreeMap;

use crate::{id::Vm, time::Millis};

/// Multiplies the timeout of a probe that was also tried through other nodes.
const INDIRECT_FACTOR: u64 = 3;
/// The worst local health: timeouts grow up to this many times plus one.
const HEALTH_LIMIT: u64 = 8;

/// Probes that wait for an answer, and this node's own health.
#[derive(Clone, Debug, Default)]
pub(super) struct Probing {
    pending: BTreeMap<u64, Pending>,
    last_sequence: u64,
    /// Grows while probes fail that should not; stretches the timeouts (Lifeguard).
    health: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    target: Vm,
    sent: Millis,
    kind: Kind,
}

#[derive(Clone, Debug)]
enum Kind {
    /// Its failure says nothing: the target need not be alive.
    Tentative,
    Direct,
    /// Others were asked; so many have not said yet that they failed too.
    Indirect {
        silent: u32,
    },
    /// Made for `asker` under the asker's sequence number.
    Relayed {
        asker: Vm,
        sequence: u64,
    },
}

/// What became of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The target is to be tried through others, under the same sequence number.
    TryOthers { sequence: u64, target: Vm },
    /// The target did not answer anybody.
    Failed { target: Vm },
    /// The target of a probe that was made for `asker` has answered.
    Alive { asker: Vm, sequence: u64, target: Vm },
    /// The target of a probe that was made for `asker` has not answered.
    Silent { asker: Vm, sequence: u64 },
}

impl Probing {
    /// Begins a probe and returns its sequence number.
    pub(super) fn begin(&mut self, now: Millis, target: &Vm) -> u64 {
        self.add(now, target, Kind::Direct)
    }

    pub(super) fn begin_tentative(&mut self, now: Millis, target: &Vm) -> u64 {
        self.add(now, target, Kind::Tentative)
    }

    pub(super) fn begin_for(&mut self, now: Millis, target: &Vm, asker: Vm, sequence: u64) -> u64 {
        self.add(now, target, Kind::Relayed { asker, sequence })
    }

    /// Notes that `helpers` nodes were asked to try the target.
    pub(super) fn asked(&mut self, sequence: u64, helpers: u32) {
        if let Some(pending) = self.pending.get_mut(&sequence) {
            pending.kind = Kind::Indirect { silent: helpers };
        }
    }

    /// An answer from `vm`. Returns whom to tell where the probe was made for another.
    pub(super) fn ack(&mut self, sequence: u64, vm: &Vm) -> Option<Outcome> {
        if self.pending.get(&sequence)?.target != *vm {
            return None;
        }
        match self.pending.remove(&sequence)?.kind {
            Kind::Relayed { asker, sequence } => {
                Some(Outcome::Alive { asker, sequence, target: vm.clone() })
            }
            Kind::Direct => {
                self.health = self.health.saturating_sub(1);
                None
            }
            Kind::Tentative | Kind::Indirect { .. } => None,
        }
    }

    pub(super) fn nack(&mut self, sequence: u64) {
        let pending = self.pending.get_mut(&sequence).map(|pending| &mut pending.kind);
        if let Some(Kind::Indirect { silent }) = pending {
            *silent = silent.saturating_sub(1);
        }
    }

    /// This node's own word was doubted; its timeouts may be too short.
    pub(super) fn doubted(&mut self) {
        self.health = (self.health + 1).min(HEALTH_LIMIT);
    }

    /// The probes whose time is over.
    pub(super) fn expire(&mut self, now: Millis, timeout: Millis) -> Vec<Outcome> {
        let own = Millis(timeout.0 * (1 + self.health));
        let mut outcomes = Vec::new();
        let mut ended = Vec::new();
        let mut doubted = false;
        for (sequence, pending) in &self.pending {
            let age = now - pending.sent;
            match &pending.kind {
                Kind::Tentative if age >= timeout => ended.push(*sequence),
                Kind::Direct if age >= own => outcomes.push(Outcome::TryOthers {
                    sequence: *sequence,
                    target: pending.target.clone(),
                }),
                Kind::Indirect { silent } if age.0 >= own.0 * INDIRECT_FACTOR => {
                    doubted |= *silent > 0;
                    outcomes.push(Outcome::Failed { target: pending.target.clone() });
                    ended.push(*sequence);
                }
                Kind::Relayed { asker, sequence: theirs } if age >= timeout => {
                    let asker = asker.clone();
                    outcomes.push(Outcome::Silent { asker, sequence: *theirs });
                    ended.push(*sequence);
                }
                _ => {}
            }
        }
        ended.iter().for_each(|sequence| drop(self.pending.remove(sequence)));
        if doubted {
            self.doubted();
        }
        outcomes
    }

    fn add(&mut self, now: Millis, target: &Vm, kind: Kind) -> u64 {
        self.last_sequence += 1;
        let pending = Pending { target: target.clone(), sent: now, kind };
        self.pending.insert(self.last_sequence, pending);
        self.last_sequence
    }
}
