//! Durable intents: the fold of their streams decides which node runs a call, and that it runs once.

use std::collections::BTreeMap;

use ::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id::{Incarnation, Vm, Workspace},
    journal::record::Position,
    time::Millis,
    upstream::Answer,
};

use super::Fingerprint;

/// Intents that one stream's fold holds at most; the oldest are forgotten first.
const CAPACITY: usize = 50_000;

/// An idempotency key of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub workspace: Workspace,
    pub key: String,
}

/// A node's intent to run a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    pub key: Key,
    /// Tells another call under the same key from this one.
    pub fingerprint: Fingerprint,
    pub vm: Vm,
    pub incarnation: Incarnation,
    /// Unique for each attempt to claim the key.
    pub nonce: u64,
    /// Wall clock of the writer.
    pub at: Millis,
}

/// How the call of an intent ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Answered(StoredAnswer),
    /// The call ran and its answer is too large to be kept.
    Unkept,
    /// The call was sent and its outcome can't be learnt.
    Unknown,
    /// The call did not run; the key is free again.
    Released,
}

/// A record of an intent stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    Intent(Intent),
    Ended { key: Key, nonce: u64, outcome: Outcome },
}

/// An answer as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl StoredAnswer {
    /// The answer, unless it is larger than `limit`.
    pub fn new(answer: &Answer, limit: usize) -> Option<StoredAnswer> {
        let headers: Vec<(String, Vec<u8>)> = answer
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        let head: usize = headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        if head + answer.body.len() > limit {
            return None;
        }
        Some(StoredAnswer { status: answer.status.as_u16(), headers, body: answer.body.clone() })
    }

    /// The answer as the caller gets it.
    pub fn answer(self) -> Answer {
        let mut headers = HeaderMap::new();
        for (name, value) in self.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
                headers.append(name, value);
            }
        }
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        Answer { status, headers, body: self.body }
    }
}

/// Where the call of a key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    Running,
    /// The answer stands at this place of the stream.
    Answered(Position),
    Unkept,
    Unknown,
}

/// The intent that won a key, and its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub intent: Intent,
    pub stage: Stage,
}

/// The fold of one intent stream. Every reader of the same prefix has the same.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fold {
    entries: BTreeMap<Key, Entry>,
    /// The keys in order of their intents.
    order: BTreeMap<Position, Key>,
}

impl Fold {
    /// Takes in the next record. Returns the intent that has just won its key.
    pub fn apply(&mut self, position: Position, record: Record) -> Option<&Intent> {
        match record {
            Record::Intent(intent) => self.intend(position, intent),
            Record::Ended { key, nonce, outcome } => {
                self.end(position, &key, nonce, &outcome);
                None
            }
        }
    }

    /// The intent that holds the key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    fn intend(&mut self, position: Position, intent: Intent) -> Option<&Intent> {
        if self.entries.contains_key(&intent.key) {
            return None;
        }
        if self.order.len() >= CAPACITY
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.entries.remove(&oldest);
        }
        let key = intent.key.clone();
        self.order.insert(position, key.clone());
        let entry = self.entries.entry(key).or_insert(Entry { intent, stage: Stage::Running });
        Some(&entry.intent)
    }

    /// Only the intent that holds the key can end, and only once.
    fn end(&mut self, position: Position, key: &Key, nonce: u64, outcome: &Outcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.intent.nonce != nonce || entry.stage != Stage::Running {
            return;
        }
        match outcome {
            Outcome::Answered(_) => entry.stage = Stage::Answered(position),
            Outcome::Unkept => entry.stage = Stage::Unkept,
            Outcome::Unknown => entry.stage = Stage::Unknown,
            Outcome::Released => {
                self.entries.remove(key);
                self.order.retain(|_, held| held != key);
            }
        }
    }
}
