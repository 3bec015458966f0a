//! What the log keeps of batch jobs: a head in chunks, a record for each result, a mark of the end.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{id::Job, log_store};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// A job as it was submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The host by which the job's route is found.
    pub host: String,
    /// Path of the submission, by which the route is found.
    pub path: String,
    /// Unix milliseconds at which the job was accepted.
    pub accepted: u64,
    /// The version of the configuration under which it was accepted.
    pub config: u64,
    pub items: Vec<Item>,
}

/// One request of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Tokens of the prompt and the most that may be generated.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Succeeded,
    /// Given up: it can't be done, failed too often, or its job or time ended.
    DeadLettered,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Index of the item in its job.
    pub item: u32,
    pub state: State,
    /// The data of all events, joined by line feeds.
    pub output: String,
}

/// What a key names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Head {
        job: Job,
        chunk: u32,
    },
    Outcome {
        job: Job,
        position: u32,
    },
    /// What the runs of an unfinished item have left.
    Progress {
        job: Job,
        item: u32,
    },
    /// The caller has ended the job.
    Ended {
        job: Job,
    },
}

impl Key {
    /// The key's text; positions sort as numbers.
    pub fn encode(&self) -> String {
        match self {
            Key::Head { job, chunk } => format!("h/{job}/{chunk:06}"),
            Key::Outcome { job, position } => format!("r/{job}/{position:06}"),
            Key::Progress { job, item } => format!("p/{job}/{item:06}"),
            Key::Ended { job } => format!("e/{job}"),
        }
    }

    pub fn decode(text: &str) -> Option<Key> {
        let (kind, rest) = text.split_once('/')?;
        if kind == "e" {
            return Some(Key::Ended { job: Job(rest.to_string()) });
        }
        let (job, number) = rest.rsplit_once('/')?;
        let (job, number) = (Job(job.to_string()), number.parse().ok()?);
        match kind {
            "h" => Some(Key::Head { job, chunk: number }),
            "r" => Some(Key::Outcome { job, position: number }),
            "p" => Some(Key::Progress { job, item: number }),
            _ => None,
        }
    }
}

/// A record with a value.
pub fn put(key: &Key, value: Vec<u8>) -> log_store::Record {
    log_store::Record { key: key.encode(), value: Some(Bytes::from(value)) }
}

/// A record that drops its key.
pub fn drop_key(key: &Key) -> log_store::Record {
    log_store::Record { key: key.encode(), value: None }
}

/// The head of a job in chunks of at most `bytes`. Each begins with the number of chunks that
/// follow it (4 bytes), so that a head that is being deleted is recognised as incomplete.
pub fn head(job: &Job, head: &Head, bytes: usize) -> Result<Vec<log_store::Record>> {
    let encoded = postcard::to_stdvec(head)?;
    let chunks: Vec<&[u8]> = encoded.chunks(bytes.max(1)).collect();
    let last = chunks.len() as u32 - 1;
    let record = |(index, chunk): (usize, &&[u8])| {
        let index = index as u32;
        let mut value = (last - index).to_be_bytes().to_vec();
        value.extend_from_slice(chunk);
        put(&Key::Head { job: job.clone(), chunk: index }, value)
    };
    Ok(chunks.iter().enumerate().map(record).collect())
}

/// Joins the chunks of a head, in order. `None` while some are missing.
pub fn join_head(chunks: &BTreeMap<u32, Bytes>) -> Option<Result<Head>> {
    let mut encoded = Vec::new();
    let total = chunks.len() as u32;
    for (expected, (index, value)) in chunks.iter().enumerate() {
        let (left, bytes) = value.split_first_chunk::<4>()?;
        if *index != expected as u32 || u32::from_be_bytes(*left) != total - 1 - index {
            return None;
        }
        encoded.extend_from_slice(bytes);
    }
    (total > 0).then(|| postcard::from_bytes(&encoded))
}

/// The record of a result.
pub fn outcome(job: &Job, position: u32, outcome: &Outcome) -> Result<log_store::Record> {
    let value = postcard::to_stdvec(outcome)?;
    Ok(put(&Key::Outcome { job: job.clone(), position }, value))
}
