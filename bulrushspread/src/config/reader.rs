//! Replays the configuration stream on one node. A gap of expired records is closed by a checkpoint
//! or by the state of a peer.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    id::{Environment, Offset, Team},
    journal::{Entry, record::Position},
};

use super::{
    check,
    document::{Document, Piece},
    record::{self, Change, Operation, StoredPiece},
    state::{Decision, State},
};

/// Maximum number of decisions that are kept for the writers that wait for them.
const DECISION_LIMIT: usize = 1_024;

/// An input of a reader.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Entries of whole appends in stream order.
    Entries(Vec<Entry>),
    /// All entries before this offset, the current end of the stream, have been delivered.
    CaughtUp(Offset),
    /// Entries before this offset have expired; this node may have missed some of them.
    Expired(Offset),
    /// The state pulled from a peer, which may cover a gap in the stream.
    Snapshot(State),
}

/// The state of one node, replayed from the stream.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    state: State,
    /// Records before this offset may be missing. No record is applied while `state.next` is lower.
    gap: Offset,
    /// Entries that are held back until a state covers the gap. Empty if there is no gap.
    pending: VecDeque<Entry>,
    /// The latest decisions by position.
    decisions: BTreeMap<Position, Decision>,
    /// The last content of each piece that this version of the software could parse.
    parsed: BTreeMap<(Environment, Team), ParsedPiece>,
    /// Whether the end of the stream has been reached at least once.
    caught_up: bool,
    /// The offset of the latest checkpoint.
    latest_checkpoint: Option<Offset>,
}

#[derive(Clone, Debug)]
struct ParsedPiece {
    version: u64,
    piece: Piece,
}

impl Reader {
    /// Applies an event. Returns whether `state().next` increased.
    pub fn apply(&mut self, event: Event) -> bool {
        let before = self.state.next;
        match event {
            Event::Entries(entries) => self.apply_entries(entries),
            Event::CaughtUp(offset) => self.handle_caught_up(offset),
            Event::Expired(first) => self.gap = self.gap.max(first),
            Event::Snapshot(state) => self.apply_snapshot(state),
        }
        self.state.next > before
    }

    /// The replayed state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether the state covers all expired records, so that no record is missing.
    pub fn is_complete(&self) -> bool {
        self.state.next >= self.gap
    }

    /// Whether the reader has reached the end of the stream since it started.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up && self.is_complete()
    }

    /// The offset of the latest checkpoint that this reader has read.
    pub fn latest_checkpoint(&self) -> Option<Offset> {
        self.latest_checkpoint
    }

    /// The decision on the record at `position`, if it is still kept.
    pub fn decision(&self, position: Position) -> Option<Decision> {
        if let Some(decision) = self.decisions.get(&position) {
            return Some(decision.clone());
        }
        self.find_in_history(position)
    }

    /// The document of `environment`: of each piece the last content that could be parsed, without
    /// the names that the current version no longer claims.
    pub fn document(&self, environment: &Environment) -> Document {
        let Some(declaration) = self.state.environments.get(environment) else {
            return Document::default();
        };
        let mut document = Document::default();
        for (team, stored) in declaration.pieces.iter().filter(|(_, it)| it.content.is_some()) {
            let key = (environment.clone(), team.clone());
            let Some(parsed) = self.parsed.get(&key) else { continue };
            let mut piece = parsed.piece.clone();
            if parsed.version != stored.version {
                check::retain_claimed(&mut piece, &stored.claims);
            }
            document.pieces.insert(team.clone(), piece);
        }
        document
    }

    /// Whether this node could parse the current content of a piece.
    pub fn is_readable(
        &self,
        environment: &Environment,
        team: &Team,
        stored: &StoredPiece,
    ) -> bool {
        let key = (environment.clone(), team.clone());
        stored.content.is_none()
            || self.parsed.get(&key).is_some_and(|piece| piece.version == stored.version)
    }

    fn apply_entries(&mut self, entries: Vec<Entry>) {
        for append in entries.chunk_by(|a, b| a.position.offset == b.position.offset) {
            let offset = append[0].position.offset;
            if offset < self.state.next {
                continue;
            }
            if self.is_complete() {
                append.iter().for_each(|entry| self.apply_entry(entry));
                self.state.next = Offset(offset.0 + 1);
                continue;
            }
            self.pending.extend(append.iter().cloned());
            for entry in append {
                if let Some(state) = decode_checkpoint(entry) {
                    self.latest_checkpoint = Some(offset);
                    self.apply_snapshot(state);
                }
            }
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let decision = self.state.apply(entry.position, &entry.record.body);
        if decision == Decision::Checkpoint {
            self.latest_checkpoint = Some(entry.position.offset);
        }
        if matches!(decision, Decision::Accepted { .. }) {
            self.parse_contents();
        }
        self.decisions.insert(entry.position, decision);
        if self.decisions.len() > DECISION_LIMIT {
            self.decisions.pop_first();
        }
    }

    /// Parses the contents that changed. A content that can't be parsed leaves the previous one.
    fn parse_contents(&mut self) {
        for (environment, declaration) in &self.state.environments {
            for (team, stored) in &declaration.pieces {
                let Some(content) = stored.content.as_deref() else { continue };
                let key = (environment.clone(), team.clone());
                let parsed = self.parsed.get(&key).map(|parsed| parsed.version);
                if parsed == Some(stored.version) {
                    continue;
                }
                if let Ok(piece) = serde_json::from_str(content) {
                    self.parsed.insert(key, ParsedPiece { version: stored.version, piece });
                }
            }
        }
    }

    fn handle_caught_up(&mut self, offset: Offset) {
        self.caught_up = true;
        if self.is_complete() {
            self.state.next = self.state.next.max(offset);
        }
    }

    /// Replaces the state by a newer one and applies the pending entries. They stay pending if
    /// records are still missing.
    fn apply_snapshot(&mut self, state: State) {
        if state.next <= self.state.next {
            return;
        }
        self.state = state;
        self.parse_contents();
        let pending = std::mem::take(&mut self.pending);
        self.apply_entries(pending.into());
    }

    /// Finds the decision on an accepted record in the history of its environment.
    fn find_in_history(&self, position: Position) -> Option<Decision> {
        let is_at_position =
            |change: &&Change| change.offset == position.offset && change.index == position.index;
        let mut changes =
            self.state.environments.values().flat_map(|declaration| &declaration.history);
        let change = changes.rfind(is_at_position)?;
        let version = match change.promoted {
            Some(_) => change.version,
            None => *change.pieces.values().next()?,
        };
        Some(Decision::Accepted { version })
    }
}

fn decode_checkpoint(entry: &Entry) -> Option<State> {
    match record::decode(&entry.record.body).ok()?.operation {
        Operation::Checkpoint(checkpoint) => Some(checkpoint.state),
        _ => None,
    }
}
