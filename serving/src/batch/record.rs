//! Log records of batch jobs and their encoding.
//!
//! A job has a head in one or more chunks, a record of its route, a record for each result, a record of the progress of
//! each unfinished item, a record for each failed run of an unfinished item, and a record of its
//! cancellation.
//!
//! The last chunk of the head commits the job: a job is accepted if all chunks are in the log. It is
//! in the last append of a submission, which takes effect as a whole or not at all, so what the
//! appends before it leave behind is an accepted job to no reader.

use std::{collections::BTreeMap, fmt, str::FromStr, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    catalog::{Catalog, Route, RouteKey},
    id::{Job, Workspace},
    log_store,
};

pub type Result<T> = std::result::Result<T, postcard::Error>;

/// A job as it was submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Host of the submission. Host and path determine the route.
    pub host: String,
    /// Path of the submission.
    pub path: String,
    /// When the job was accepted, in Unix milliseconds.
    pub accepted: u64,
    /// Version of the configuration under which the job was accepted.
    pub config: u64,
    pub items: Vec<Item>,
    /// The workspace that submitted the job. Encoded after the other fields, where older nodes ignore
    /// it, and only if there is one.
    #[serde(skip)]
    pub workspace: Option<Workspace>,
    /// The route under which the job was accepted. In a record of its own, which older nodes neither
    /// write nor read.
    #[serde(skip)]
    pub route: Option<RouteKey>,
}

impl Head {
    /// Finds the route of the job in a configuration.
    pub fn find_route<'a>(&self, catalog: &'a Catalog) -> Option<&'a Arc<Route>> {
        catalog.find_batch(&self.host, &self.path, self.route.as_ref())
    }

    /// Tokens of all items. Saturates, because callers may state any number.
    pub(crate) fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).fold(0, u64::saturating_add)
    }

    /// Memory that the items take up, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let of_header =
            |(name, value): (&String, &String)| name.len() + value.len() + HEADER_OVERHEAD_BYTES;
        let of_item = |item: &Item| {
            let headers: usize = item.headers.iter().map(of_header).sum();
            item.id.len() + item.path.len() + headers + item.body.len() + ITEM_OVERHEAD_BYTES
        };
        self.items.iter().map(of_item).sum()
    }
}

/// Memory that a header of an item takes up beside its text, in bytes.
const HEADER_OVERHEAD_BYTES: usize = 128;
/// Memory that an item takes up beside its text, with its state in the ledger, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 512;

/// One request of a job, sent to an upstream with POST.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum number of generated tokens.
    pub tokens: u64,
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    Succeeded,
    /// The item can't succeed, failed too often, or was abandoned with its job.
    DeadLettered,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Index of the item in its job.
    pub item: u32,
    pub state: State,
    /// The data of all events, joined by line feeds. Empty for a dead-lettered item.
    pub output: String,
}

/// Identifies a failed run among all runs of its partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId {
    /// Epoch of the owner that ran the item.
    pub epoch: u64,
    /// Counts the failed runs of that owner.
    pub number: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.epoch, self.number)
    }
}

/// Error: not the text of a [`RunId`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} identifies no run")]
pub struct InvalidRunId(String);

impl FromStr for RunId {
    type Err = InvalidRunId;

    fn from_str(text: &str) -> std::result::Result<RunId, InvalidRunId> {
        let parse = || {
            let (epoch, number) = text.split_once('-')?;
            let epoch = u64::from_str_radix(epoch, 16).ok()?;
            Some(RunId { epoch, number: u32::from_str_radix(number, 16).ok()? })
        };
        parse().ok_or_else(|| InvalidRunId(text.to_string()))
    }
}

/// How a run of an item failed at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The item may run again, up to the limit of its route.
    Failed,
    /// No run of the item can succeed.
    Impossible,
}

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A chunk of the job's head.
    Head { job: Job, chunk: u32 },
    /// The route under which the job was accepted. Older nodes ignore these records.
    Route { job: Job },
    /// A result at its position in the job's list of results.
    Outcome { job: Job, position: u32 },
    /// What the runs of an unfinished item have received so far.
    Progress { job: Job, item: u32 },
    /// A failed run of an unfinished item. Older nodes ignore these records.
    Failure { job: Job, item: u32, run: RunId },
    /// The job was cancelled by its caller.
    Cancelled { job: Job },
}

impl Key {
    /// The text of the key. Numbers are padded to six digits, so that keys sort by them.
    pub fn encode(&self) -> String {
        match self {
            Key::Head { job, chunk } => format!("h/{job}/{chunk:06}"),
            Key::Route { job } => format!("t/{job}"),
            Key::Outcome { job, position } => format!("r/{job}/{position:06}"),
            Key::Progress { job, item } => format!("p/{job}/{item:06}"),
            Key::Failure { job, item, run } => format!("f/{job}/{item:06}/{run}"),
            Key::Cancelled { job } => format!("e/{job}"),
        }
    }

    /// Parses the text of a key; `None` if it isn't valid.
    pub fn decode(text: &str) -> Option<Key> {
        let (kind, rest) = text.split_once('/')?;
        match kind {
            "e" => return Some(Key::Cancelled { job: Job(rest.to_string()) }),
            "t" => return Some(Key::Route { job: Job(rest.to_string()) }),
            _ => {}
        }
        let (rest, run) = match kind {
            "f" => rest.rsplit_once('/').map(|(rest, run)| (rest, Some(run)))?,
            _ => (rest, None),
        };
        let (job, number) = rest.rsplit_once('/')?;
        let (job, number) = (Job(job.to_string()), number.parse().ok()?);
        match kind {
            "h" => Some(Key::Head { job, chunk: number }),
            "r" => Some(Key::Outcome { job, position: number }),
            "p" => Some(Key::Progress { job, item: number }),
            "f" => Some(Key::Failure { job, item: number, run: run?.parse().ok()? }),
            _ => None,
        }
    }
}

/// A record that sets the value of a key.
pub fn put(key: &Key, value: Vec<u8>) -> log_store::Record {
    log_store::Record { key: key.encode(), value: Some(Bytes::from(value)) }
}

/// A record that deletes a key.
pub fn delete(key: &Key) -> log_store::Record {
    log_store::Record { key: key.encode(), value: None }
}

/// A record that changes nothing: it deletes a key that is never set. The log accepts it only from an
/// owner that no later one has fenced. An empty append wouldn't do, because the service leaves open
/// whether it uses up a sequence number.
pub fn ownership_proof() -> log_store::Record {
    log_store::Record { key: "o".to_string(), value: None }
}

/// Limits of what is written to the log, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a chunk of a head.
    pub record_bytes: usize,
    /// Maximum size of an append. A larger record has an append of its own.
    pub append_bytes: usize,
}

/// Encodes the head of a job and its route. Returns the records of each append, in the order in which
/// they are to be written, with the chunk that commits the job in the last one. If there is more than
/// one append, that chunk holds no bytes of the head.
///
/// # Errors
///
/// Fails if `head` can't be encoded.
pub fn encode_submission(
    job: &Job,
    head: &Head,
    limits: Limits,
) -> Result<Vec<Vec<log_store::Record>>> {
    let encoded = to_bytes(head)?;
    let mut chunks: Vec<&[u8]> = encoded.chunks(limits.record_bytes.max(1)).collect();
    let route = head.route.as_ref().map(|route| encode_route(job, route)).transpose()?;
    let mut records = encode_chunks(job, &chunks);
    let bytes = records.iter().chain(&route).map(log_store::Record::encoded_len).sum::<usize>();
    if bytes <= limits.append_bytes {
        records.extend(route);
        return Ok(vec![records]);
    }
    chunks.push(&[]);
    records = encode_chunks(job, &chunks);
    let commit = records.pop();
    records.extend(route);
    records.extend(commit);
    Ok(group_by_append(records, limits.append_bytes))
}

/// Encodes the head of a job in chunks of at most `bytes`, one record each.
///
/// # Errors
///
/// Fails if `head` can't be encoded.
pub fn encode_head(job: &Job, head: &Head, bytes: usize) -> Result<Vec<log_store::Record>> {
    let encoded = to_bytes(head)?;
    let chunks: Vec<&[u8]> = encoded.chunks(bytes.max(1)).collect();
    Ok(encode_chunks(job, &chunks))
}

fn to_bytes(head: &Head) -> Result<Vec<u8>> {
    let mut encoded = postcard::to_stdvec(head)?;
    if let Some(workspace) = &head.workspace {
        encoded.extend(postcard::to_stdvec(workspace)?);
    }
    Ok(encoded)
}

/// Encodes the chunks of a head. Each is preceded by the number of chunks after it (4 bytes, big
/// endian), so that a head some of whose records are missing is recognised as incomplete.
fn encode_chunks(job: &Job, chunks: &[&[u8]]) -> Vec<log_store::Record> {
    let total = chunks.len() as u32;
    let record = |(index, chunk): (u32, &&[u8])| {
        let mut value = (total - 1 - index).to_be_bytes().to_vec();
        value.extend_from_slice(chunk);
        put(&Key::Head { job: job.clone(), chunk: index }, value)
    };
    (0..).zip(chunks).map(record).collect()
}

/// Divides records into appends of at most `append_bytes`, or of one record.
fn group_by_append(
    records: Vec<log_store::Record>,
    append_bytes: usize,
) -> Vec<Vec<log_store::Record>> {
    let mut appends: Vec<Vec<log_store::Record>> = Vec::new();
    let mut bytes = 0;
    for record in records {
        bytes += record.encoded_len();
        match appends.last_mut() {
            Some(append) if bytes <= append_bytes => append.push(record),
            _ => {
                bytes = record.encoded_len();
                appends.push(vec![record]);
            }
        }
    }
    appends
}

/// Decodes a head from the values of its records by chunk index. `None` if chunks are missing.
pub fn decode_head(chunks: &BTreeMap<u32, Bytes>) -> Option<Result<Head>> {
    let mut encoded = Vec::new();
    let total = chunks.len() as u32;
    for (expected, (index, value)) in chunks.iter().enumerate() {
        let (remaining, bytes) = value.split_first_chunk::<4>()?;
        if *index != expected as u32 || u32::from_be_bytes(*remaining) != total - 1 - index {
            return None;
        }
        encoded.extend_from_slice(bytes);
    }
    (total > 0).then(|| parse_head(&encoded))
}

fn parse_head(encoded: &[u8]) -> Result<Head> {
    let (mut head, rest): (Head, &[u8]) = postcard::take_from_bytes(encoded)?;
    if !rest.is_empty() {
        head.workspace = Some(postcard::from_bytes(rest)?);
    }
    Ok(head)
}

/// Encodes the route under which a job was accepted.
///
/// # Errors
///
/// Fails if `route` can't be encoded.
pub fn encode_route(job: &Job, route: &RouteKey) -> Result<log_store::Record> {
    Ok(put(&Key::Route { job: job.clone() }, postcard::to_stdvec(route)?))
}

/// Encodes a failed run of an item.
///
/// # Errors
///
/// Fails if `failure` can't be encoded.
pub fn encode_failure(
    job: &Job,
    item: u32,
    run: RunId,
    failure: Failure,
) -> Result<log_store::Record> {
    let value = postcard::to_stdvec(&failure)?;
    Ok(put(&Key::Failure { job: job.clone(), item, run }, value))
}

/// Encodes the result at `position` of a job.
///
/// # Errors
///
/// Fails if `outcome` can't be encoded.
pub fn encode_outcome(job: &Job, position: u32, outcome: &Outcome) -> Result<log_store::Record> {
    let value = postcard::to_stdvec(outcome)?;
    Ok(put(&Key::Outcome { job: job.clone(), position }, value))
}
