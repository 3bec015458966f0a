//! Pending probes: this node's own and those that it relays for other nodes.

use std::collections::BTreeMap;

use crate::{id::Vm, time::Millis};

/// Timeout of a probe with its indirect attempts, as a multiple of the direct timeout.
const INDIRECT_TIMEOUT_FACTOR: u64 = 3;
/// Maximum of the health score. With a score of n, timeouts are n + 1 times those of a healthy
/// node.
const MAX_HEALTH_SCORE: u64 = 8;

/// Probes that wait for an acknowledgement, and the local health of this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    pending: BTreeMap<u64, Pending>,
    last_sequence: u64,
    /// Lifeguard's local health score; 0 is healthy. It rises when this node is suspected or misses
    /// messages, and multiplies the probe timeouts, so that a slow node does not suspect others.
    health_score: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    target: Vm,
    sent_at: Millis,
    kind: Kind,
}

#[derive(Clone, Debug)]
enum Kind {
    /// Probe of a candidate. A timeout raises no suspicion, as the target need not be alive.
    Tentative,
    Direct,
    /// Helpers were asked to probe the target too.
    Indirect {
        /// Helpers that have not sent a `Nack`.
        missing_nacks: u32,
    },
    /// Relayed for `requester`, which knows the probe under `sequence`.
    Relayed {
        requester: Vm,
        sequence: u64,
    },
}

/// The result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The direct probe timed out; indirect probes follow under the same sequence number.
    DirectTimeout { sequence: u64, target: Vm },
    /// Neither the direct nor an indirect probe was acknowledged.
    Failed { target: Vm },
    /// The target acknowledged the probe relayed for `requester`.
    RelayAcknowledged { requester: Vm, sequence: u64, target: Vm },
    /// The probe relayed for `requester` timed out.
    RelayTimeout { requester: Vm, sequence: u64 },
}

impl Probes {
    /// Starts a probe of a live node and returns its sequence number.
    pub(super) fn start(&mut self, now: Millis, target: &Vm) -> u64 {
        self.add(now, target, Kind::Direct)
    }

    pub(super) fn start_tentative(&mut self, now: Millis, target: &Vm) -> u64 {
        self.add(now, target, Kind::Tentative)
    }

    pub(super) fn start_relayed(
        &mut self,
        now: Millis,
        target: &Vm,
        requester: Vm,
        sequence: u64,
    ) -> u64 {
        self.add(now, target, Kind::Relayed { requester, sequence })
    }

    /// Records that `helpers` nodes were asked to probe the target.
    pub(super) fn record_helpers(&mut self, sequence: u64, helpers: u32) {
        if let Some(pending) = self.pending.get_mut(&sequence) {
            pending.kind = Kind::Indirect { missing_nacks: helpers };
        }
    }

    /// Completes a probe that `vm` acknowledged. Returns an outcome only for a relayed probe.
    pub(super) fn handle_ack(&mut self, sequence: u64, vm: &Vm) -> Option<Outcome> {
        if self.pending.get(&sequence)?.target != *vm {
            return None;
        }
        match self.pending.remove(&sequence)?.kind {
            Kind::Relayed { requester, sequence } => {
                Some(Outcome::RelayAcknowledged { requester, sequence, target: vm.clone() })
            }
            Kind::Direct => {
                self.health_score = self.health_score.saturating_sub(1);
                None
            }
            Kind::Tentative | Kind::Indirect { .. } => None,
        }
    }

    pub(super) fn handle_nack(&mut self, sequence: u64) {
        let pending = self.pending.get_mut(&sequence).map(|pending| &mut pending.kind);
        if let Some(Kind::Indirect { missing_nacks }) = pending {
            *missing_nacks = missing_nacks.saturating_sub(1);
        }
    }

    /// Worsens the health score, which lengthens the timeouts.
    pub(super) fn worsen_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Returns the outcomes of the probes that timed out. `timeout` is that of a healthy node.
    pub(super) fn expire(&mut self, now: Millis, timeout: Millis) -> Vec<Outcome> {
        let scaled_timeout = Millis(timeout.0 * (1 + self.health_score));
        let mut outcomes = Vec::new();
        let mut completed = Vec::new();
        let mut messages_missed = false;
        for (sequence, pending) in &self.pending {
            let age = now - pending.sent_at;
            match &pending.kind {
                Kind::Tentative if age >= timeout => completed.push(*sequence),
                Kind::Direct if age >= scaled_timeout => outcomes.push(Outcome::DirectTimeout {
                    sequence: *sequence,
                    target: pending.target.clone(),
                }),
                Kind::Indirect { missing_nacks }
                    if age.0 >= scaled_timeout.0 * INDIRECT_TIMEOUT_FACTOR =>
                {
                    messages_missed |= *missing_nacks > 0;
                    outcomes.push(Outcome::Failed { target: pending.target.clone() });
                    completed.push(*sequence);
                }
                Kind::Relayed { requester, sequence: requester_sequence } if age >= timeout => {
                    let requester = requester.clone();
                    outcomes
                        .push(Outcome::RelayTimeout { requester, sequence: *requester_sequence });
                    completed.push(*sequence);
                }
                _ => {}
            }
        }
        completed.iter().for_each(|sequence| drop(self.pending.remove(sequence)));
        if messages_missed {
            self.worsen_health();
        }
        outcomes
    }

    fn add(&mut self, now: Millis, target: &Vm, kind: Kind) -> u64 {
        self.last_sequence += 1;
        let pending = Pending { target: target.clone(), sent_at: now, kind };
        self.pending.insert(self.last_sequence, pending);
        self.last_sequence
    }
}
