//! Follows the intent streams, claims idempotency keys and looks up the outcomes of calls.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::watch;

use crate::{
    error::{Error, Kind, Result},
    id::{Offset, Stream},
    journal::{FollowEvent, record::Position},
    node::Shared,
    peer::message::Message as PeerMessage,
    time::Millis,
    upstream::Answer,
};

use super::{
    call::stream_index,
    intent::{Entry, Intent, Key, Outcome, Record, Stage, State},
    message::Message,
};

/// Pause before an append or a read of the log is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a call waits until the state has caught up with the log.
const CATCH_UP_TIMEOUT: Millis = Millis(2_000);
/// Age below which an intent of an unreachable node counts as running, since the view may lag.
const VIEW_LAG: Millis = Millis(5_000);

/// Replayed states of all intent streams.
pub(super) struct Intents {
    streams: Vec<IntentStream>,
    /// Nonces of this process whose calls are being claimed or running.
    pending: Mutex<BTreeSet<u64>>,
}

/// Replayed state of one intent stream.
struct IntentStream {
    name: Stream,
    state: Mutex<State>,
    /// Offset of the next record to apply, or `None` before the head was reached for the first
    /// time.
    applied: watch::Sender<Option<Offset>>,
}

/// Result of claiming a key.
pub(super) enum Claim {
    /// The key is claimed for this call.
    Won,
    /// Another call holds the key.
    Held(Entry),
}

/// Starts to follow the intent streams.
pub(super) fn start(context: &Shared) {
    for index in 0..context.attempt.intents.streams.len() {
        tokio::spawn(follow(context.clone(), index));
    }
}

impl Intents {
    pub(super) fn new(streams: u16) -> Intents {
        let stream = |index: u16| IntentStream {
            name: Stream(format!("intents-{index}")),
            state: Mutex::default(),
            applied: watch::channel(None).0,
        };
        Intents { streams: (0..streams.max(1)).map(stream).collect(), pending: Mutex::default() }
    }

    /// Claims the key for a call. After `Won`, no other call of the key runs or has run.
    ///
    /// # Errors
    /// `LogUnavailable` if the state does not catch up in time, `Unconfirmed` if the appended
    /// intent is not read back in time.
    pub(super) async fn claim(
        &self,
        context: &Shared,
        intent: Intent,
        wait: Millis,
    ) -> Result<Claim> {
        let stream = self.stream(&intent.key);
        stream.wait_for(Offset(0), wait.min(CATCH_UP_TIMEOUT)).await.ok_or_else(|| {
            Error::new(Kind::LogUnavailable, "the log of at-most-once calls can't be read")
        })?;
        if let Some(entry) = stream.get(&intent.key) {
            return Ok(Claim::Held(stream.refresh(context, entry, wait).await));
        }
        self.pending().insert(intent.nonce);
        let claim = self.append(context, stream, &intent, wait).await;
        if !matches!(claim, Ok(Claim::Won)) {
            self.abandon_claim(context, &intent);
        }
        claim
    }

    /// Appends the intent and waits until it is applied.
    async fn append(
        &self,
        context: &Shared,
        stream: &IntentStream,
        intent: &Intent,
        wait: Millis,
    ) -> Result<Claim> {
        let body = encode(&Record::Intent(intent.clone()))?;
        let positions = context.journal.append(&stream.name, vec![body]).await?;
        let offset = positions.first().map_or(Offset(0), |position| position.offset);
        let unconfirmed =
            || Error::new(Kind::Unconfirmed, "the intent of the call was not read back in time");
        stream.wait_for(Offset(offset.0 + 1), wait).await.ok_or_else(unconfirmed)?;
        match stream.get(&intent.key) {
            Some(entry) if entry.intent.nonce == intent.nonce => Ok(Claim::Won),
            Some(entry) => Ok(Claim::Held(entry)),
            None => Err(unconfirmed()),
        }
    }

    /// Returns the response for a call whose key is held by another intent.
    ///
    /// # Errors
    /// `Conflict` if the key was used for a different call, `InProgress` if the call is running,
    /// `OutcomeUnknown` if it has ended without a stored response.
    pub(super) async fn resolve(
        &self,
        context: &Shared,
        request: &Intent,
        entry: Entry,
    ) -> Result<Answer> {
        if entry.intent.fingerprint != request.fingerprint {
            let message = "the idempotency key was used for another call";
            return Err(Error::new(Kind::Conflict, message));
        }
        match entry.stage {
            Stage::Answered(position) => self.read_answer(context, request, position).await,
            Stage::NotStored => {
                let message = "the call has run once; its answer was too large to be kept";
                Err(Error::new(Kind::OutcomeUnknown, message))
            }
            Stage::Unknown => Err(outcome_unknown()),
            Stage::Running if may_be_running(context, &entry.intent).await => {
                Err(Error::new(Kind::InProgress, "the call is running"))
            }
            Stage::Running => Err(outcome_unknown()),
        }
    }

    /// Records the outcome of a call. Retries until the append succeeds.
    pub(super) async fn record_outcome(&self, context: &Shared, intent: &Intent, outcome: Outcome) {
        let stream = self.stream(&intent.key);
        let record = Record::Ended { key: intent.key.clone(), nonce: intent.nonce, outcome };
        let Ok(body) = encode(&record) else { return };
        while let Err(error) = context.journal.append(&stream.name, vec![body.clone()]).await {
            log::debug!("attempt: outcome of a call was not recorded, retrying: {error}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.pending().remove(&intent.nonce);
    }

    /// Reads a stored response from the log.
    async fn read_answer(
        &self,
        context: &Shared,
        request: &Intent,
        position: Position,
    ) -> Result<Answer> {
        let stream = self.stream(&request.key);
        let entries = context.journal.read_at(&stream.name, position.offset).await?;
        let entry = entries.into_iter().find(|entry| entry.position == position);
        let record = entry.and_then(|entry| postcard::from_bytes(&entry.record.body).ok());
        match record {
            Some(Record::Ended { outcome: Outcome::Answered(answer), .. }) => {
                Ok(answer.into_answer())
            }
            _ => Err(Error::new(Kind::OutcomeUnknown, "the answer of the call has expired")),
        }
    }

    /// Abandons a claim whose call was not sent, and releases the key if the claim has won it.
    fn abandon_claim(&self, context: &Shared, intent: &Intent) {
        self.pending().remove(&intent.nonce);
        let holder = self.stream(&intent.key).get(&intent.key);
        if holder.is_some_and(|entry| entry.intent.nonce == intent.nonce) {
            release(context, intent.clone());
        }
    }

    /// Applies one record. An intent of this process that has won its key but is no longer pending
    /// is released.
    fn apply(&self, context: &Shared, stream: &IntentStream, position: Position, body: &[u8]) {
        let Ok(record) = postcard::from_bytes::<Record>(body) else { return };
        let mut state = stream.state.lock().unwrap();
        let Some(won) = state.apply(position, record) else { return };
        let own = won.vm == context.settings.vm && won.incarnation == context.incarnation;
        if own && !self.pending().contains(&won.nonce) {
            release(context, won.clone());
        }
    }

    fn stream(&self, key: &Key) -> &IntentStream {
        let index = stream_index(&key.workspace, &key.key, self.streams.len() as u16);
        &self.streams[usize::from(index)]
    }

    fn pending(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.pending.lock().unwrap()
    }
}

impl IntentStream {
    fn get(&self, key: &Key) -> Option<Entry> {
        self.state.lock().unwrap().get(key).cloned()
    }

    /// Returns the latest entry of a running call after reading up to the head of the log: records
    /// that this node has not read yet may hold its outcome.
    async fn refresh(&self, context: &Shared, entry: Entry, wait: Millis) -> Entry {
        if !matches!(entry.stage, Stage::Running) {
            return entry;
        }
        let from = self.applied.borrow().unwrap_or(Offset(0));
        match context.journal.head(&self.name, from).await {
            Ok(head) => {
                if self.wait_for(head, wait.min(CATCH_UP_TIMEOUT)).await.is_none() {
                    log::debug!("attempt: {} was not read up to offset {head} in time", self.name);
                }
            }
            Err(error) => log::debug!("attempt: head of {} could not be read: {error}", self.name),
        }
        self.get(&entry.intent.key).unwrap_or(entry)
    }

    /// Waits until all records before `offset` are applied. Returns `None` on timeout.
    async fn wait_for(&self, offset: Offset, wait: Millis) -> Option<()> {
        let mut applied = self.applied.subscribe();
        let reached = applied.wait_for(|applied| applied.is_some_and(|applied| applied >= offset));
        tokio::time::timeout(wait.duration(), reached).await.ok()?.ok().map(|_| ())
    }
}

/// Applies the records of one stream as they are appended, and resumes after errors.
async fn follow(context: Shared, index: usize) {
    let intents = context.attempt.intents.clone();
    let stream = &intents.streams[index];
    let mut next = Offset(0);
    loop {
        let mut followed = context.journal.follow(&stream.name, next);
        while let Some(event) = followed.recv().await {
            match event {
                FollowEvent::Entries(entries) => {
                    for entry in entries {
                        intents.apply(&context, stream, entry.position, &entry.record.body);
                        next = Offset(entry.position.offset.0 + 1);
                    }
                    stream.applied.send_if_modified(|applied| {
                        if applied.is_some() {
                            *applied = Some(next);
                        }
                        applied.is_some()
                    });
                }
                FollowEvent::CaughtUp(offset) => {
                    next = next.max(offset);
                    stream.applied.send_replace(Some(next));
                }
                FollowEvent::Expired(offset) => next = next.max(offset),
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Records in the background that the call of the intent did not run.
fn release(context: &Shared, intent: Intent) {
    let context = context.clone();
    tokio::spawn(async move {
        let intents = context.attempt.intents.clone();
        intents.record_outcome(&context, &intent, Outcome::Released).await;
    });
}

/// Whether the process that wrote the intent may still run the call. Asks its node for the current
/// incarnation if the node is in the view.
async fn may_be_running(context: &Shared, intent: &Intent) -> bool {
    if intent.vm == context.settings.vm {
        return intent.incarnation == context.incarnation;
    }
    let is_recent = context.clock.wall_time() - intent.at < VIEW_LAG;
    let address = context.membership.view().nodes.get(&intent.vm).map(|node| node.address);
    let Some(address) = address else { return is_recent };
    let request = PeerMessage::Attempt(Message::GetIncarnation);
    match context.peer.call(address, request).await {
        Ok(PeerMessage::Attempt(Message::CurrentIncarnation { incarnation })) => {
            incarnation == intent.incarnation
        }
        _ => is_recent,
    }
}

fn encode(record: &Record) -> Result<Vec<u8>> {
    postcard::to_stdvec(record).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

fn outcome_unknown() -> Error {
    Error::new(Kind::OutcomeUnknown, "the node that ran the call died; the outcome is unknown")
}
