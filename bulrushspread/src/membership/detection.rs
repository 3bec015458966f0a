//! Failure detection: direct and indirect probes, suspicion and the comparison of digests.

use rand::RngExt;

use crate::{
    id::{DataCentre, Vm},
    time::Millis,
};

use super::{
    message::{Member, Message, Payload, Status, Update},
    probes::Outcome,
    state::{Action, State},
};

/// Number of nodes that are asked for an indirect probe of a target that does not acknowledge a
/// direct one.
const INDIRECT_PROBES: usize = 3;
/// Number of nearest neighbours on the ring that get every other probe. The other neighbours get
/// the remaining probes in turn.
const NEAREST_NEIGHBOURS: usize = 2;
/// Shortest time between two exchanges of full state.
const SYNC_INTERVAL: Millis = Millis(10_000);
/// Time for differing digests to converge by gossip before full state is exchanged.
const CONVERGENCE_TIME: Millis = Millis(6_000);

impl State {
    /// Probes the next neighbour.
    pub(super) fn probe_next(&mut self, now: Millis) {
        let Some(target) = self.next_target() else { return };
        let sequence = self.probes.start(now, &target);
        self.probe(now, sequence, &target);
    }

    /// Probes a node of the VM list that is not known to be alive.
    pub(super) fn probe_candidate(&mut self, now: Millis) {
        let Some(vm) = self.next_candidate() else { return };
        let Some((to, _)) = self.listed.get(&vm).copied() else { return };
        let sequence = self.probes.start_tentative(now, &vm);
        let message = Message::Probe(self.build_payload(now, sequence, &vm));
        self.probed_candidates.insert(vm.clone());
        self.last_candidate = Some(vm);
        self.actions.push(Action::Send { to, message });
    }

    /// Probes `target` on behalf of `requester`, which knows the probe under its own sequence
    /// number.
    pub(super) fn relay_probe(
        &mut self,
        now: Millis,
        requester: Vm,
        requester_sequence: u64,
        target: &Vm,
    ) {
        let sequence = self.probes.start_relayed(now, target, requester, requester_sequence);
        self.probe(now, sequence, target);
    }

    /// Handles the result of a probe.
    pub(super) fn handle_outcome(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::DirectTimeout { sequence, target } => {
                self.request_indirect_probes(sequence, &target)
            }
            Outcome::Failed { target } => self.suspect(now, &target),
            Outcome::RelayAcknowledged { requester, sequence, target } => {
                let Some(member) = self.members.get(&target).cloned() else { return };
                let payload = self.build_payload(now, sequence, &requester);
                self.send(&requester, Message::Ack(Payload { member, ..payload }));
            }
            Outcome::RelayTimeout { requester, sequence } => {
                self.send(&requester, Message::Nack { sequence })
            }
        }
    }

    /// Builds the payload of a probe of `to` or of an acknowledgement to it. A suspicion of `to`
    /// itself goes first, so that `to` can refute it at once.
    pub(super) fn build_payload(&mut self, now: Millis, sequence: u64, to: &Vm) -> Payload {
        let mut updates = self.gossip.piggyback(now, self.members.live().count() + 1);
        let suspected = self.members.get(to).filter(|member| member.status != Status::Alive);
        if let Some(member) = suspected {
            updates.insert(0, Update::Node(member.clone()));
        }
        Payload {
            sequence,
            member: self.own.clone(),
            digest: self.digest,
            head: self.head,
            updates,
        }
    }

    /// Exchanges full state with a node whose digest keeps differing. The first exchange after the
    /// start of this node happens at the first difference.
    pub(super) fn compare_digest(&mut self, now: Millis, with: &Vm, digest: u64) {
        if digest == self.digest {
            self.digest_differs_since = None;
            return;
        }
        let since = *self.digest_differs_since.get_or_insert(now);
        let is_first_sync = self.next_sync == Millis(0);
        if !is_first_sync && (now - since < CONVERGENCE_TIME || now < self.next_sync) {
            return;
        }
        let Some(member) = self.members.get_live(with) else { return };
        let to = member.address;
        self.next_sync = now + SYNC_INTERVAL;
        self.digest_differs_since = None;
        self.actions.push(Action::Exchange { to, table: self.table(now) });
    }

    fn probe(&mut self, now: Millis, sequence: u64, target: &Vm) {
        let message = Message::Probe(self.build_payload(now, sequence, target));
        self.send(target, message);
    }

    fn send(&mut self, vm: &Vm, message: Message) {
        if let Some(member) = self.members.get_live(vm) {
            self.actions.push(Action::Send { to: member.address, message });
        }
    }

    /// Requests indirect probes of `target`, so that the failure of one link does not lead to a
    /// suspicion.
    fn request_indirect_probes(&mut self, sequence: u64, target: &Vm) {
        let mut helpers = Vec::new();
        for _ in 0..INDIRECT_PROBES {
            let Some(helper) = self.pick_helper(target, &helpers) else { break };
            helpers.push(helper);
        }
        self.probes.record_helpers(sequence, helpers.len() as u32);
        for helper in helpers {
            self.send(&helper, Message::IndirectProbe { sequence, target: target.clone() });
        }
    }

    /// Picks a random live node, if possible in a data centre other than this node's and those of
    /// the other helpers.
    fn pick_helper(&mut self, target: &Vm, helpers: &[Vm]) -> Option<Vm> {
        let used_centres: Vec<&DataCentre> = helpers
            .iter()
            .filter_map(|vm| Some(&self.members.get(vm)?.data_centre))
            .chain([&self.own.data_centre])
            .collect();
        let is_eligible = |member: &&Member| member.vm != *target && !helpers.contains(&member.vm);
        let mut eligible: Vec<&Member> = self.members.live().filter(is_eligible).collect();
        if eligible.iter().any(|member| !used_centres.contains(&&member.data_centre)) {
            eligible.retain(|member| !used_centres.contains(&&member.data_centre));
        }
        if eligible.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..eligible.len());
        Some(eligible[index].vm.clone())
    }

    fn suspect(&mut self, now: Millis, target: &Vm) {
        let Some(member) = self.members.get_live(target).cloned() else { return };
        let status = Status::Suspect { by: self.own.vm.clone() };
        self.apply_member(now, Member { status, ..member });
    }

    fn next_target(&mut self) -> Option<Vm> {
        let (nearest, rest) =
            self.neighbours.split_at(NEAREST_NEIGHBOURS.min(self.neighbours.len()));
        let (turn, is_odd) = (self.probe_turn / 2, self.probe_turn % 2 == 1);
        self.probe_turn += 1;
        let neighbours = if is_odd && !rest.is_empty() { rest } else { nearest };
        neighbours.get(turn.checked_rem(neighbours.len())?).cloned()
    }

    /// Whether a node of the VM list is not known to be alive and was never probed.
    pub(super) fn has_unprobed_candidate(&self) -> bool {
        self.listed.keys().any(|vm| self.is_candidate(vm) && !self.probed_candidates.contains(vm))
    }

    fn is_candidate(&self, vm: &Vm) -> bool {
        *vm != self.own.vm && self.members.get_live(vm).is_none()
    }

    /// The candidate to probe next: candidates that were never probed first, then all in turn.
    fn next_candidate(&self) -> Option<Vm> {
        let is_candidate = |vm: &&Vm| self.is_candidate(vm);
        let is_unprobed = |vm: &&Vm| !self.probed_candidates.contains(*vm);
        let is_after_last = |vm: &&Vm| self.last_candidate.as_ref().is_none_or(|last| *vm > last);
        let mut candidates = self.listed.keys().filter(is_candidate);
        let unprobed = candidates.clone().find(is_unprobed);
        let next = unprobed.or_else(|| candidates.clone().find(is_after_last));
        next.or_else(|| candidates.next()).cloned()
    }
}
