//! What one node believes of the parts of prompts.
//!
//! * Each crash is evidence against all shared parts of the requests that were in flight at the
//!   crashed process.
//! * An answered request disproves the crashes that were known where it was sent: a part that causes
//!   crashes would have crashed that upstream too. This holds only for the same software, because a
//!   part may be harmful to one version or model and harmless to another.
//! * A part is blocked when enough crashes are left that no answer disproves and no other blocked
//!   part explains. A part that the software has answered before needs more of them.
//!
//! Evidence is merged in any order and any number of times with the same result, and the parts that
//! become blocked are a function of it, so that all nodes come to the same conclusion. A node keeps a
//! block when only the order of the evidence changes; see [`State::find_blocked`]. Decisions compare
//! no times of different nodes; times only end blocks and remove old evidence.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{fleet::Software, id::Process, time::Millis};

use super::{Crash, Evidence, Part, Prompt, Report, message::SoftwareDigest};

/// Crashes after which a part is blocked that the software has never answered.
const NEW_PART_RULE: Rule = Rule { crashes: 3, requests: 2, rounds: 2 };
/// Crashes after which a part is blocked that the software has answered before.
const ANSWERED_PART_RULE: Rule = Rule { crashes: 5, requests: 3, rounds: 3 };
/// Crashes that no other blocked part explains and that keep a part blocked.
const KEPT_PART_RULE: Rule = Rule { crashes: 2, requests: 2, rounds: 1 };
/// Duration of the block after the fewest crashes; doubles with each further crash.
const BLOCK: Millis = Millis(600_000);
/// Maximum number of times that the duration of a block doubles.
const MAX_DOUBLINGS: usize = 6;
/// Maximum delay of the end of a block, different at each node, so that few nodes try a part again
/// before the others learn the result.
const BLOCK_JITTER: Millis = Millis(60_000);
/// Time after the last crash, and after a block, for which evidence against a part is kept.
const RETENTION: Millis = Millis(600_000);
/// Maximum number of parts with evidence.
const MAX_PARTS: usize = 1_024;
/// Maximum number of crashes of one part. Beyond it, disproved and then old ones are removed.
const MAX_CRASHES: usize = 16;
/// Maximum number of answered parts that are remembered, by software.
const MAX_ANSWERED: usize = 4_096;
/// Number of messages that report a change, because datagrams may be lost.
const ANNOUNCEMENTS: u8 = 3;
/// Maximum number of parts with changes in one message, and of repeated parts; one takes up to 350
/// bytes.
const MAX_REPORTED: usize = 8;
/// Interval at which blocked and suspected parts are reported without a change, for nodes that have
/// started.
const REPEAT_INTERVAL: Millis = Millis(250);
/// Number of undisproved crashes from which a part is reported without a change.
const REPEATED_CRASHES: usize = 2;

/// The crashes that block a part.
#[derive(Clone, Copy, Debug)]
struct Rule {
    /// Minimum number of crashed processes.
    crashes: usize,
    /// Minimum number of different requests under which they crashed. A harmless request may be sent
    /// again together with the one that causes the crashes.
    requests: usize,
    /// Minimum number of rounds. Processes that fail for a common reason, such as a rack, crash in
    /// one round.
    rounds: u8,
}

impl Rule {
    fn is_met(self, crashes: &[&Crash]) -> bool {
        let requests: BTreeSet<u32> = crashes.iter().map(|crash| crash.request).collect();
        let rounds: BTreeSet<u8> = crashes.iter().map(|crash| crash.round).collect();
        crashes.len() >= self.crashes
            && requests.len() >= self.requests
            && rounds.len() >= usize::from(self.rounds)
    }
}

/// Position in the order in which a node has learned of crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(u64);

/// One send of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    pub prompt: &'a Prompt,
    pub software: &'a Software,
    /// Hash of the request, which is the same when its caller sends it again.
    pub request: u32,
    /// [`State::revision`] at the time of the send.
    pub revision: Revision,
}

/// A change of what the node believes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A process crashed under requests with the part.
    Suspected {
        part: Part,
        process: Process,
        crashes: usize,
    },
    /// Answers disproved crashes; `crashes` are left.
    Disproved {
        part: Part,
        crashes: usize,
    },
    Blocked {
        part: Part,
        crashes: usize,
        remaining: Millis,
    },
    /// The part is no longer blocked; `crashes` are left.
    Unblocked {
        part: Part,
        crashes: usize,
    },
}

/// A crash as known to one node.
#[derive(Clone, Debug)]
struct Known {
    crash: Crash,
    is_disproved: bool,
    learned: Revision,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    position: u8,
    /// At most [`MAX_CRASHES`].
    crashes: BTreeMap<Process, Known>,
    answered_by: BTreeSet<SoftwareDigest>,
    /// Messages that are still to report a change.
    announcements: u8,
}

impl Entry {
    fn undisproved(&self) -> impl Iterator<Item = (&Process, &Crash)> {
        let crashes = self.crashes.iter().filter(|(_, known)| !known.is_disproved);
        crashes.map(|(process, known)| (process, &known.crash))
    }

    /// Whether `crashes`, some or all of the part's own, block the part.
    fn is_rule_met(&self, crashes: &[&Crash]) -> bool {
        let was_answered = crashes.iter().any(|crash| self.answered_by.contains(&crash.software));
        let rule = if was_answered { ANSWERED_PART_RULE } else { NEW_PART_RULE };
        rule.is_met(crashes)
    }

    fn last_crash(&self) -> Millis {
        self.crashes.values().map(|known| known.crash.at).max().unwrap_or_default()
    }

    /// Adds a crash, or merges it with what is known of it. Returns whether anything changed.
    fn add(&mut self, process: Process, crash: Crash, learned: Revision) -> bool {
        let Some(known) = self.crashes.get_mut(&process) else {
            self.crashes.insert(process, Known { crash, is_disproved: false, learned });
            self.remove_excess();
            return self.crashes.contains_key(&process);
        };
        // Of several requests at a process the latest round counts, whichever report comes first.
        let (known_order, order) =
            ((known.crash.round, known.crash.request), (crash.round, crash.request));
        let at = known.crash.at.min(crash.at);
        let has_changed = order > known_order;
        if has_changed {
            known.crash = crash;
        }
        known.crash.at = at;
        has_changed
    }

    fn remove_excess(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let least = self
                .crashes
                .iter()
                .min_by_key(|(process, known)| (!known.is_disproved, known.crash.at, **process));
            let Some(process) = least.map(|(process, _)| *process) else { return };
            self.crashes.remove(&process);
        }
    }
}

/// The evidence for and against parts, and the blocked parts, as known to one node.
#[derive(Clone, Debug)]
pub struct State {
    /// Differs between nodes.
    seed: u64,
    /// At most [`MAX_PARTS`].
    entries: BTreeMap<Part, Entry>,
    /// Ends of the blocks. Contains only parts of `entries`.
    blocked: BTreeMap<Part, Millis>,
    /// Parts that software has answered, with the order of the answers. At most [`MAX_ANSWERED`].
    answered: BTreeMap<(Part, SoftwareDigest), u64>,
    /// Keys of `answered`, the oldest answer first.
    by_answer: BTreeMap<u64, (Part, SoftwareDigest)>,
    answers: u64,
    revision: Revision,
    /// Parts with changes to report. At most [`MAX_PARTS`].
    pending: VecDeque<Part>,
    next_repeat: Millis,
}

impl State {
    pub fn new(seed: u64) -> State {
        State {
            seed,
            entries: BTreeMap::new(),
            blocked: BTreeMap::new(),
            answered: BTreeMap::new(),
            by_answer: BTreeMap::new(),
            answers: 0,
            revision: Revision::default(),
            pending: VecDeque::new(),
            next_repeat: Millis(0),
        }
    }

    /// What the node knows now; to be kept with each send.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Remaining time for which a request with this prompt must not be sent. `None` if it may be
    /// sent.
    pub fn remaining_block(&self, now: Millis, prompt: &Prompt) -> Option<Millis> {
        if self.blocked.is_empty() {
            return None;
        }
        let ends = prompt.shared().iter().filter_map(|part| self.blocked.get(part));
        ends.filter(|end| **end > now).map(|end| *end - now).max()
    }

    /// Records that a process crashed while the request was in flight there.
    pub fn record_crash(
        &mut self,
        now: Millis,
        attempt: Attempt<'_>,
        process: Process,
    ) -> Vec<Change> {
        let software = SoftwareDigest::of(attempt.software);
        let mut changes = Vec::new();
        self.revision.0 += 1;
        for (position, part) in attempt.prompt.shared().iter().enumerate() {
            let entry = self.entries.entry(*part).or_default();
            let known = entry.crashes.values().filter(|known| known.learned <= attempt.revision);
            let round = known.map(|known| known.crash.round).max().unwrap_or(0);
            let crash = Crash {
                round: round.saturating_add(1),
                request: attempt.request,
                software,
                at: now,
            };
            entry.position = entry.position.max(position as u8);
            if self.answered.contains_key(&(*part, software)) {
                entry.answered_by.insert(software);
            }
            if entry.add(process, crash, self.revision) {
                let crashes = entry.undisproved().count();
                changes.push(Change::Suspected { part: *part, process, crashes });
                self.announce(*part);
            }
        }
        self.update(now, &mut changes);
        changes
    }

    /// Records that the request was answered completely.
    pub fn record_answer(&mut self, now: Millis, attempt: Attempt<'_>) -> Vec<Change> {
        let software = SoftwareDigest::of(attempt.software);
        let mut changes = Vec::new();
        for part in attempt.prompt.shared() {
            self.remember_answer(*part, software);
            let Some(entry) = self.entries.get_mut(part) else { continue };
            let mut has_changed = entry.answered_by.insert(software);
            for known in entry.crashes.values_mut() {
                if known.crash.software == software
                    && known.learned <= attempt.revision
                    && !known.is_disproved
                {
                    known.is_disproved = true;
                    has_changed = true;
                }
            }
            if has_changed {
                let crashes = entry.undisproved().count();
                changes.push(Change::Disproved { part: *part, crashes });
                self.announce(*part);
            }
        }
        if !changes.is_empty() {
            self.update(now, &mut changes);
        }
        changes
    }

    /// Applies the report of another node.
    pub fn merge(&mut self, now: Millis, report: Report) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut has_changed = false;
        self.revision.0 += 1;
        for (part, evidence) in report.parts {
            has_changed |= self.merge_evidence(now, part, evidence, &mut changes);
        }
        if has_changed {
            self.update(now, &mut changes);
        }
        changes
    }

    /// Merges what another node knows of a part. Returns whether anything changed.
    fn merge_evidence(
        &mut self,
        now: Millis,
        part: Part,
        evidence: Evidence,
        changes: &mut Vec<Change>,
    ) -> bool {
        let own_answers: Vec<SoftwareDigest> = evidence
            .crashes
            .iter()
            .map(|(_, crash)| crash.software)
            .filter(|software| self.answered.contains_key(&(part, *software)))
            .collect();
        let entry = self.entries.entry(part).or_default();
        let mut has_changed = evidence.position > entry.position;
        entry.position = entry.position.max(evidence.position);
        for software in evidence.answered_by {
            has_changed |= entry.answered_by.insert(software);
        }
        // The sender may not know that this node's requests were answered.
        let mut is_news_for_others = false;
        for software in own_answers {
            is_news_for_others |= entry.answered_by.insert(software);
        }
        let before = entry.undisproved().count();
        for (process, crash) in evidence.crashes {
            let crash = Crash { at: now - crash.at, ..crash };
            if entry.add(process, crash, self.revision) {
                has_changed = true;
                let crashes = entry.undisproved().count();
                changes.push(Change::Suspected { part, process, crashes });
            }
        }
        for process in evidence.disproved {
            if let Some(known) = entry.crashes.get_mut(&process) {
                has_changed |= !std::mem::replace(&mut known.is_disproved, true);
            }
        }
        let after = entry.undisproved().count();
        if after < before {
            changes.push(Change::Disproved { part, crashes: after });
        }
        if is_news_for_others {
            self.announce(part);
        }
        has_changed || is_news_for_others
    }

    /// Number of parts with evidence.
    pub fn part_count(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are changes to report.
    pub fn has_updates(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The report for the next gossip message.
    pub fn take_report(&mut self, now: Millis) -> Report {
        let mut parts: Vec<Part> = Vec::new();
        for _ in 0..self.pending.len().min(MAX_REPORTED) {
            let Some(part) = self.pending.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&part) else { continue };
            // Evidence that was removed and came again has two places in the queue.
            if entry.announcements == 0 {
                continue;
            }
            entry.announcements -= 1;
            if entry.announcements > 0 {
                self.pending.push_back(part);
            }
            parts.push(part);
        }
        if now >= self.next_repeat {
            self.next_repeat = now + REPEAT_INTERVAL;
            parts.extend(self.most_suspected(MAX_REPORTED));
            parts.sort();
            parts.dedup();
        }
        let evidence = |part: Part| Some((part, self.evidence(now, self.entries.get(&part)?)));
        Report { parts: parts.into_iter().filter_map(evidence).collect() }
    }

    /// The blocked parts and those with several undisproved crashes, most crashes first.
    fn most_suspected(&self, limit: usize) -> Vec<Part> {
        let mut suspected: Vec<(bool, usize, Part)> = self
            .entries
            .iter()
            .map(|(part, entry)| {
                (self.blocked.contains_key(part), entry.undisproved().count(), *part)
            })
            .filter(|(is_blocked, crashes, _)| *is_blocked || *crashes >= REPEATED_CRASHES)
            .collect();
        suspected.sort_by(|a, b| b.cmp(a));
        suspected.into_iter().take(limit).map(|(_, _, part)| part).collect()
    }

    fn evidence(&self, now: Millis, entry: &Entry) -> Evidence {
        let crash = |(process, crash): (&Process, &Crash)| {
            (*process, Crash { at: now - crash.at, ..*crash })
        };
        let disproved = entry.crashes.iter().filter(|(_, known)| known.is_disproved);
        Evidence {
            position: entry.position,
            crashes: entry.undisproved().map(crash).collect(),
            disproved: disproved.map(|(process, _)| *process).collect(),
            answered_by: entry.answered_by.iter().copied().collect(),
        }
    }

    fn announce(&mut self, part: Part) {
        let Some(entry) = self.entries.get_mut(&part) else { return };
        let is_pending = entry.announcements > 0;
        entry.announcements = ANNOUNCEMENTS;
        if is_pending {
            return;
        }
        self.pending.push_back(part);
        if self.pending.len() > MAX_PARTS
            && let Some(oldest) = self.pending.pop_front()
            && let Some(entry) = self.entries.get_mut(&oldest)
        {
            entry.announcements = 0;
        }
    }

    fn remember_answer(&mut self, part: Part, software: SoftwareDigest) {
        self.answers += 1;
        if let Some(previous) = self.answered.insert((part, software), self.answers) {
            self.by_answer.remove(&previous);
        }
        self.by_answer.insert(self.answers, (part, software));
        while self.answered.len() > MAX_ANSWERED {
            let Some((_, oldest)) = self.by_answer.pop_first() else { return };
            self.answered.remove(&oldest);
        }
    }

    /// Removes old evidence and determines the blocked parts anew.
    fn update(&mut self, now: Millis, changes: &mut Vec<Change>) {
        self.expire(now);
        let blocked = self.find_blocked();
        for (part, end) in &blocked {
            let was_blocked = self.blocked.get(part).is_some_and(|end| *end > now);
            if !was_blocked && *end > now {
                let crashes = self.entries[part].undisproved().count();
                changes.push(Change::Blocked { part: *part, crashes, remaining: *end - now });
                self.announce(*part);
            }
        }
        for part in self.blocked.keys().filter(|part| !blocked.contains_key(part)) {
            let crashes = self.entries.get(part).map_or(0, |entry| entry.undisproved().count());
            changes.push(Change::Unblocked { part: *part, crashes });
        }
        self.blocked = blocked;
    }

    /// The blocked parts with the ends of their blocks.
    ///
    /// A crash counts against only one part. Parts at the end of prompts come first: fewer sound
    /// requests share them, and if the cause is an earlier part, its crashes under other later parts
    /// are left to show it.
    ///
    /// Of two harmful parts that share crashes, a new crash under one changes which of them comes
    /// first. The other one stays blocked although fewer crashes are left for it.
    fn find_blocked(&self) -> BTreeMap<Part, Millis> {
        let suspected = self.entries.iter().filter_map(|(part, entry)| {
            let crashes: Vec<(&Process, &Crash)> = entry.undisproved().collect();
            (crashes.len() >= NEW_PART_RULE.crashes).then_some((*part, entry, crashes))
        });
        let mut suspected: Vec<_> = suspected.collect();
        suspected.sort_by_key(|(part, entry, crashes)| {
            (Reverse((entry.position, crashes.len())), *part)
        });
        let mut explained: BTreeSet<Process> = BTreeSet::new();
        let mut blocked = BTreeMap::new();
        for (part, entry, crashes) in suspected {
            let all: Vec<&Crash> = crashes.iter().map(|(_, crash)| *crash).collect();
            let own = crashes.iter().filter(|(process, _)| !explained.contains(process));
            let own: Vec<&Crash> = own.map(|(_, crash)| *crash).collect();
            let keeps_block = self.blocked.contains_key(&part)
                && KEPT_PART_RULE.is_met(&own)
                && entry.is_rule_met(&all);
            if keeps_block || entry.is_rule_met(&own) {
                explained.extend(crashes.iter().map(|(process, _)| **process));
                blocked.insert(part, self.block_end(part, entry, crashes.len()));
            }
        }
        blocked
    }

    fn block_end(&self, part: Part, entry: &Entry, crashes: usize) -> Millis {
        let doublings = (crashes - NEW_PART_RULE.crashes).min(MAX_DOUBLINGS);
        let jitter = xxh3_64_with_seed(&part.0.to_be_bytes(), self.seed) % BLOCK_JITTER.0;
        entry.last_crash() + Millis((BLOCK.0 << doublings) + jitter)
    }

    /// Removes old evidence, and the least evidence beyond `MAX_PARTS`.
    fn expire(&mut self, now: Millis) {
        let blocked = &self.blocked;
        self.entries.retain(|part, entry| {
            let end = blocked.get(part).copied().unwrap_or_default().max(entry.last_crash());
            now < end + RETENTION
        });
        let excess = self.entries.len().saturating_sub(MAX_PARTS);
        if excess == 0 {
            return;
        }
        let rank = |(part, entry): (&Part, &Entry)| {
            let crashes = entry.undisproved().count();
            (blocked.contains_key(part), crashes, entry.last_crash(), *part)
        };
        let mut ranked: Vec<_> = self.entries.iter().map(rank).collect();
        ranked.sort();
        for (_, _, _, part) in &ranked[..excess] {
            self.entries.remove(part);
        }
    }
}
