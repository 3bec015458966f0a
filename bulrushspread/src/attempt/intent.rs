//! Durable intents of calls that must run at most once.
//!
//! A node appends an intent to a stream before it sends a call. The first intent of a key in the
//! stream wins, so that all nodes agree on which of them sends the call.

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

/// Maximum number of intents in the state of one stream. The oldest are removed first.
const MAX_INTENTS: usize = 50_000;

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
    /// Distinguishes this call from another one with the same key.
    pub fingerprint: Fingerprint,
    pub vm: Vm,
    pub incarnation: Incarnation,
    /// Unique for each attempt to claim the key.
    pub nonce: u64,
    /// Wall-clock time of the writer.
    pub at: Millis,
}

/// How the call of an intent ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Answered(StoredAnswer),
    /// The call ran and its response is too large to be stored.
    #[serde(rename = "Unkept")]
    NotStored,
    /// The call was sent and its outcome can't be determined.
    Unknown,
    /// The call did not run; another intent may win the key.
    Released,
}

/// A record of an intent stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    Intent(Intent),
    Ended { key: Key, nonce: u64, outcome: Outcome },
}

/// A response as stored in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl StoredAnswer {
    /// Converts a response. Returns `None` if its headers and body exceed `limit` bytes.
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

    /// Converts back into a response. Invalid headers are omitted.
    pub fn into_answer(self) -> Answer {
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

/// Progress of the call of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    Running,
    /// The response is stored in the record at this position.
    Answered(Position),
    /// The call ran and its response was too large to be stored.
    NotStored,
    Unknown,
}

/// The intent that won a key, and its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub intent: Intent,
    pub stage: Stage,
}

/// State after applying the records of one intent stream in order.
///
/// It depends on the records only, so that all readers of the same prefix agree on it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    entries: BTreeMap<Key, Entry>,
    /// The keys in order of their intents' positions.
    order: BTreeMap<Position, Key>,
}

impl State {
    /// Applies the next record. Returns the intent if it has just won its key.
    pub fn apply(&mut self, position: Position, record: Record) -> Option<&Intent> {
        match record {
            Record::Intent(intent) => self.apply_intent(position, intent),
            Record::Ended { key, nonce, outcome } => {
                self.apply_outcome(position, &key, nonce, &outcome);
                None
            }
        }
    }

    /// The intent that holds the key, and its stage.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    fn apply_intent(&mut self, position: Position, intent: Intent) -> Option<&Intent> {
        if self.entries.contains_key(&intent.key) {
            return None;
        }
        if self.order.len() >= MAX_INTENTS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.entries.remove(&oldest);
        }
        let key = intent.key.clone();
        self.order.insert(position, key.clone());
        let entry = self.entries.entry(key).or_insert(Entry { intent, stage: Stage::Running });
        Some(&entry.intent)
    }

    /// Ignored unless the nonce is that of the intent that holds the key and its call is running.
    fn apply_outcome(&mut self, position: Position, key: &Key, nonce: u64, outcome: &Outcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        if entry.intent.nonce != nonce || entry.stage != Stage::Running {
            return;
        }
        match outcome {
            Outcome::Answered(_) => entry.stage = Stage::Answered(position),
            Outcome::NotStored => entry.stage = Stage::NotStored,
            Outcome::Unknown => entry.stage = Stage::Unknown,
            Outcome::Released => {
                self.entries.remove(key);
                self.order.retain(|_, held| held != key);
            }
        }
    }
}
