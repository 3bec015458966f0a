//! The part of the state that probes other nodes and compares notes with them.

use rand::RngExt;

use crate::{
    id::{DataCentre, Vm},
    time::Millis,
};

use super::{
    message::{Beat, Claim, Message, Status, Update},
    probing::Outcome,
    state::{Action, State},
};

/// Nodes that are asked to try a target that does not answer.
const HELPERS: usize = 3;
/// Linked nodes that are probed every other time; the rest take turns.
const WATCHED: usize = 2;
/// Time between two exchanges of whole tables.
const TABLE_INTERVAL: Millis = Millis(10_000);
/// Time that differing digests are given to become the same by news alone.
const SETTLING: Millis = Millis(6_000);

impl State {
    /// Probes the next of the linked nodes.
    pub(super) fn probe_next(&mut self, now: Millis) {
        let Some(target) = self.next_target() else { return };
        let sequence = self.probing.begin(now, &target);
        self.probe(now, sequence, &target);
    }

    /// Probes a listed node that is not known to be alive.
    pub(super) fn probe_candidate(&mut self, now: Millis) {
        let Some(vm) = self.next_candidate() else { return };
        let Some((to, _)) = self.listed.get(&vm).copied() else { return };
        let sequence = self.probing.begin_tentative(now, &vm);
        let message = Message::Probe(self.beat(now, sequence, &vm));
        self.tried.insert(vm.clone());
        self.candidate = Some(vm);
        self.actions.push(Action::Send { to, message });
    }

    /// Probes `target` in the place of `asker`.
    pub(super) fn probe_for(&mut self, now: Millis, asker: Vm, theirs: u64, target: &Vm) {
        let sequence = self.probing.begin_for(now, target, asker, theirs);
        self.probe(now, sequence, target);
    }

    /// Acts on the end of a probe.
    pub(super) fn settle(&mut self, now: Millis, outcome: Outcome) {
        match outcome {
            Outcome::TryOthers { sequence, target } => self.ask_others(sequence, &target),
            Outcome::Failed { target } => self.suspect(now, &target),
            Outcome::Alive { asker, sequence, target } => {
                let Some(claim) = self.members.get(&target).cloned() else { return };
                let beat = self.beat(now, sequence, &asker);
                self.send(&asker, Message::Ack(Beat { claim, ..beat }));
            }
            Outcome::Silent { asker, sequence } => self.send(&asker, Message::Nack { sequence }),
        }
    }

    /// What a probe of `to`, or an answer to it, carries. A doubt about `to` itself goes first,
    /// so that it can refute at once.
    pub(super) fn beat(&mut self, now: Millis, sequence: u64, to: &Vm) -> Beat {
        let mut news = self.news.ride(now, self.members.live().count() + 1);
        let doubted = self.members.get(to).filter(|claim| claim.status != Status::Alive);
        if let Some(claim) = doubted {
            news.insert(0, Update::Node(claim.clone()));
        }
        Beat { sequence, claim: self.own.clone(), digest: self.digest, head: self.head, news }
    }

    /// Exchanges whole tables with a node whose digest keeps differing. A node that has just
    /// started does so at once.
    pub(super) fn compare(&mut self, now: Millis, with: &Vm, digest: u64) {
        if digest == self.digest {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        let started = self.next_table == Millis(0);
        if !started && (now - since < SETTLING || now < self.next_table) {
            return;
        }
        let Some(claim) = self.members.get_live(with) else { return };
        let to = claim.address;
        self.next_table = now + TABLE_INTERVAL;
        self.differs_since = None;
        self.actions.push(Action::Exchange { to, table: self.table(now) });
    }

    fn probe(&mut self, now: Millis, sequence: u64, target: &Vm) {
        let message = Message::Probe(self.beat(now, sequence, target));
        self.send(target, message);
    }

    fn send(&mut self, vm: &Vm, message: Message) {
        if let Some(claim) = self.members.get_live(vm) {
            self.actions.push(Action::Send { to: claim.address, message });
        }
    }

    /// Asks nodes elsewhere to try `target`, so that one lost link condemns nobody.
    fn ask_others(&mut self, sequence: u64, target: &Vm) {
        let mut helpers = Vec::new();
        for _ in 0..HELPERS {
            let Some(helper) = self.draw_helper(target, &helpers) else { break };
            helpers.push(helper);
        }
        self.probing.asked(sequence, helpers.len() as u32);
        for helper in helpers {
            self.send(&helper, Message::Ask { sequence, target: target.clone() });
        }
    }

    /// A random live node, if possible in a data centre where no helper is yet.
    fn draw_helper(&mut self, target: &Vm, helpers: &[Vm]) -> Option<Vm> {
        let used: Vec<&DataCentre> = helpers
            .iter()
            .filter_map(|vm| Some(&self.members.get(vm)?.data_centre))
            .chain([&self.own.data_centre])
            .collect();
        let fit = |claim: &&Claim| claim.vm != *target && !helpers.contains(&claim.vm);
        let mut fitting: Vec<&Claim> = self.members.live().filter(fit).collect();
        if fitting.iter().any(|claim| !used.contains(&&claim.data_centre)) {
            fitting.retain(|claim| !used.contains(&&claim.data_centre));
        }
        if fitting.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..fitting.len());
        Some(fitting[index].vm.clone())
    }

    fn suspect(&mut self, now: Millis, target: &Vm) {
        let Some(claim) = self.members.get_live(target).cloned() else { return };
        let status = Status::Suspect { by: self.own.vm.clone() };
        self.take_claim(now, Claim { status, ..claim });
    }

    fn next_target(&mut self) -> Option<Vm> {
        let (watched, rest) = self.links.split_at(WATCHED.min(self.links.len()));
        let (turn, odd) = (self.turn / 2, self.turn % 2 == 1);
        self.turn += 1;
        let among = if odd && !rest.is_empty() { rest } else { watched };
        among.get(turn.checked_rem(among.len())?).cloned()
    }

    /// Whether a listed node is neither known to be alive nor was ever probed.
    pub(super) fn has_untried(&self) -> bool {
        self.listed.keys().any(|vm| self.is_candidate(vm) && !self.tried.contains(vm))
    }

    fn is_candidate(&self, vm: &Vm) -> bool {
        *vm != self.own.vm && self.members.get_live(vm).is_none()
    }

    /// The candidates take turns; those that were never tried go first.
    fn next_candidate(&self) -> Option<Vm> {
        let unknown = |vm: &&Vm| self.is_candidate(vm);
        let untried = |vm: &&Vm| !self.tried.contains(*vm);
        let after = |vm: &&Vm| self.candidate.as_ref().is_none_or(|last| *vm > last);
        let mut candidates = self.listed.keys().filter(unknown);
        let first = candidates.clone().find(untried);
        let next = first.or_else(|| candidates.clone().find(after));
        next.or_else(|| candidates.next()).cloned()
    }
}
