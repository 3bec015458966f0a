//! One node's reading of the configuration stream: gaps, checkpoints and documents of peers.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    id::{Environment, Offset, Team},
    journal::{Entry, record::Position},
};

use super::{
    check,
    document::{Document, Piece},
    record::{self, Change, Operation, Stored},
    state::{State, Verdict},
};

/// Verdicts that are kept for the writers waiting for them.
const VERDICT_LIMIT: usize = 1_024;

/// What a reader learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Entries of whole appends in stream order.
    Entries(Vec<Entry>),
    /// All entries before this offset were delivered.
    CaughtUp(Offset),
    /// Entries before this offset have expired; some may be missing here.
    Lost(Offset),
    /// The state of a peer or of a checkpoint.
    Adopt(State),
}

/// The fold of one node.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    state: State,
    /// Records before this offset may be missing. While `state.next` is lower nothing is folded.
    gap: Offset,
    /// Entries that wait for a state that covers the gap. Empty while there is none.
    waiting: VecDeque<Entry>,
    /// The latest verdicts by place.
    verdicts: BTreeMap<Position, Verdict>,
    /// The last content of each piece that this software could parse.
    readable: BTreeMap<(Environment, Team), Readable>,
    /// The reader has seen the end of the stream at least once.
    caught_up: bool,
    /// The place of the latest checkpoint.
    checkpoint: Option<Offset>,
}

#[derive(Clone, Debug)]
struct Readable {
    version: u64,
    piece: Piece,
}

impl Reader {
    /// Takes in an event and tells whether `state().next` moved.
    pub fn apply(&mut self, event: Event) -> bool {
        let before = self.state.next;
        match event {
            Event::Entries(entries) => self.entries(entries),
            Event::CaughtUp(offset) => self.reached(offset),
            Event::Lost(first) => self.gap = self.gap.max(first),
            Event::Adopt(state) => self.adopt(state),
        }
        self.state.next > before
    }

    /// The fold so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether no record that counts is missing.
    pub fn complete(&self) -> bool {
        self.state.next >= self.gap
    }

    /// Whether the reader has seen the end of the stream since it started.
    pub fn caught_up(&self) -> bool {
        self.caught_up && self.complete()
    }

    /// Where the latest checkpoint stands that this reader has seen.
    pub fn checkpoint(&self) -> Option<Offset> {
        self.checkpoint
    }

    /// The verdict on the record at `position`, where it is still known.
    pub fn verdict(&self, position: Position) -> Option<Verdict> {
        if let Some(verdict) = self.verdicts.get(&position) {
            return Some(verdict.clone());
        }
        self.accepted_in_history(position)
    }

    /// The document of `environment`: the last readable content of each piece.
    pub fn document(&self, environment: &Environment) -> Document {
        let Some(declared) = self.state.environments.get(environment) else {
            return Document::default();
        };
        let mut document = Document::default();
        for (team, stored) in declared.pieces.iter().filter(|(_, it)| it.content.is_some()) {
            let key = (environment.clone(), team.clone());
            let Some(readable) = self.readable.get(&key) else { continue };
            let mut piece = readable.piece.clone();
            if readable.version != stored.version {
                check::restrict(&mut piece, &stored.claims);
            }
            document.pieces.insert(team.clone(), piece);
        }
        document
    }

    /// Whether the current content of a piece could be parsed here.
    pub fn is_readable(&self, environment: &Environment, team: &Team, stored: &Stored) -> bool {
        let key = (environment.clone(), team.clone());
        stored.content.is_none()
            || self.readable.get(&key).is_some_and(|piece| piece.version == stored.version)
    }

    fn entries(&mut self, entries: Vec<Entry>) {
        for append in entries.chunk_by(|a, b| a.position.offset == b.position.offset) {
            let offset = append[0].position.offset;
            if offset < self.state.next {
                continue;
            }
            if self.complete() {
                append.iter().for_each(|entry| self.fold(entry));
                self.state.next = Offset(offset.0 + 1);
                continue;
            }
            self.waiting.extend(append.iter().cloned());
            for entry in append {
                if let Some(state) = checkpoint_of(entry) {
                    self.checkpoint = Some(offset);
                    self.adopt(state);
                }
            }
        }
    }

    fn fold(&mut self, entry: &Entry) {
        let verdict = self.state.fold(entry.position, &entry.record.body);
        if verdict == Verdict::Checkpoint {
            self.checkpoint = Some(entry.position.offset);
        }
        if matches!(verdict, Verdict::Accepted { .. }) {
            self.parse_contents();
        }
        self.verdicts.insert(entry.position, verdict);
        if self.verdicts.len() > VERDICT_LIMIT {
            self.verdicts.pop_first();
        }
    }

    /// Parses the contents that are new; what can't be parsed leaves the last good content.
    fn parse_contents(&mut self) {
        for (environment, declared) in &self.state.environments {
            for (team, stored) in &declared.pieces {
                let Some(content) = stored.content.as_deref() else { continue };
                let key = (environment.clone(), team.clone());
                let known = self.readable.get(&key).map(|readable| readable.version);
                if known == Some(stored.version) {
                    continue;
                }
                if let Ok(piece) = serde_json::from_str(content) {
                    self.readable.insert(key, Readable { version: stored.version, piece });
                }
            }
        }
    }

    fn reached(&mut self, offset: Offset) {
        self.caught_up = true;
        if self.complete() {
            self.state.next = self.state.next.max(offset);
        }
    }

    /// Takes over a newer state, then folds what waits behind it once no record is missing.
    fn adopt(&mut self, state: State) {
        if state.next <= self.state.next {
            return;
        }
        self.state = state;
        self.parse_contents();
        let waiting = std::mem::take(&mut self.waiting);
        self.entries(waiting.into());
    }

    fn accepted_in_history(&self, position: Position) -> Option<Verdict> {
        let at =
            |change: &&Change| change.offset == position.offset && change.index == position.index;
        let mut changes = self.state.environments.values().flat_map(|declared| &declared.history);
        let change = changes.rfind(at)?;
        let version = match change.promoted {
            Some(_) => change.version,
            None => *change.pieces.values().next()?,
        };
        Some(Verdict::Accepted { version })
    }
}

fn checkpoint_of(entry: &Entry) -> Option<State> {
    match record::decode(&entry.record.body).ok()?.operation {
        Operation::Checkpoint(checkpoint) => Some(checkpoint.state),
        _ => None,
    }
}
