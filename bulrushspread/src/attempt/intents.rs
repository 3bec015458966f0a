//! Follows the intent streams, claims keys and tells what became of a call.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use tokio::sync::watch;

use crate::{
    error::{Error, Kind, Result},
    id::{Offset, Stream},
    journal::{Followed, record::Position},
    node::Shared,
    peer::message::Message as PeerMessage,
    time::Millis,
    upstream::Answer,
};

use super::{
    call::stream_index,
    intent::{Entry, Fold, Intent, Key, Outcome, Record, Stage},
    message::Message,
};

/// Pause before the log is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time that the fold may take to catch up before a call is refused.
const CATCH_UP_TIMEOUT: Millis = Millis(2_000);
/// Age below which an intent of a node not in the view counts as running: the view may lag.
const VIEW_LAG: Millis = Millis(5_000);

/// The intent streams as this node has folded them.
pub(super) struct Intents {
    streams: Vec<Log>,
    /// Nonces of this process whose calls are on their way.
    pending: Mutex<BTreeSet<u64>>,
}

struct Log {
    name: Stream,
    fold: Mutex<Fold>,
    /// The offset before which everything is folded, once the head was reached.
    folded: watch::Sender<Option<Offset>>,
}

/// What came of the claim of a key.
pub(super) enum Claim {
    /// This call is the one that runs.
    Won,
    /// Another call holds the key.
    Known(Entry),
}

/// Starts to follow the intent streams.
pub(super) fn start(context: &Shared) {
    for index in 0..context.attempt.intents.streams.len() {
        tokio::spawn(follow(context.clone(), index));
    }
}

impl Intents {
    pub(super) fn new(streams: u16) -> Intents {
        let log = |index: u16| Log {
            name: Stream(format!("intents-{index}")),
            fold: Mutex::default(),
            folded: watch::channel(None).0,
        };
        Intents { streams: (0..streams.max(1)).map(log).collect(), pending: Mutex::default() }
    }

    /// Claims the key for a call. When this returns `Won`, no other call of the key runs or ran.
    pub(super) async fn claim(
        &self,
        context: &Shared,
        intent: Intent,
        wait: Millis,
    ) -> Result<Claim> {
        let log = self.log(&intent.key);
        log.wait_for(Offset(0), wait.min(CATCH_UP_TIMEOUT)).await.ok_or_else(|| {
            Error::new(Kind::LogUnavailable, "the log of at-most-once calls can't be read")
        })?;
        if let Some(entry) = log.get(&intent.key) {
            return Ok(Claim::Known(log.refresh(context, entry, wait).await));
        }
        self.pending().insert(intent.nonce);
        let claim = self.append(context, log, &intent, wait).await;
        if !matches!(claim, Ok(Claim::Won)) {
            self.abandon(context, &intent);
        }
        claim
    }

    async fn append(
        &self,
        context: &Shared,
        log: &Log,
        intent: &Intent,
        wait: Millis,
    ) -> Result<Claim> {
        let body = encode(&Record::Intent(intent.clone()))?;
        let positions = context.journal.append(&log.name, vec![body]).await?;
        let offset = positions.first().map_or(Offset(0), |position| position.offset);
        let unconfirmed =
            || Error::new(Kind::Unconfirmed, "the intent of the call was not read back in time");
        log.wait_for(Offset(offset.0 + 1), wait).await.ok_or_else(unconfirmed)?;
        match log.get(&intent.key) {
            Some(entry) if entry.intent.nonce == intent.nonce => Ok(Claim::Won),
            Some(entry) => Ok(Claim::Known(entry)),
            None => Err(unconfirmed()),
        }
    }

    /// What the caller of a key learns when another call holds it.
    pub(super) async fn resolve(
        &self,
        context: &Shared,
        asked: &Intent,
        entry: Entry,
    ) -> Result<Answer> {
        if entry.intent.fingerprint != asked.fingerprint {
            let message = "the idempotency key was used for another call";
            return Err(Error::new(Kind::Conflict, message));
        }
        match entry.stage {
            Stage::Answered(position) => self.answer(context, asked, position).await,
            Stage::Unkept => {
                let message = "the call has run once; its answer was too large to be kept";
                Err(Error::new(Kind::OutcomeUnknown, message))
            }
            Stage::Unknown => Err(unknown()),
            Stage::Running if runs(context, &entry.intent).await => {
                Err(Error::new(Kind::InProgress, "the call is running"))
            }
            Stage::Running => Err(unknown()),
        }
    }

    /// Records how a call ended, as often as it takes.
    pub(super) async fn end(&self, context: &Shared, intent: &Intent, outcome: Outcome) {
        let log = self.log(&intent.key);
        let record = Record::Ended { key: intent.key.clone(), nonce: intent.nonce, outcome };
        let Ok(body) = encode(&record) else { return };
        while let Err(error) = context.journal.append(&log.name, vec![body.clone()]).await {
            log::debug!("attempt: the end of a call was not recorded: {error}");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.pending().remove(&intent.nonce);
    }

    async fn answer(&self, context: &Shared, asked: &Intent, position: Position) -> Result<Answer> {
        let log = self.log(&asked.key);
        let entries = context.journal.read_at(&log.name, position.offset).await?;
        let entry = entries.into_iter().find(|entry| entry.position == position);
        let record = entry.and_then(|entry| postcard::from_bytes(&entry.record.body).ok());
        match record {
            Some(Record::Ended { outcome: Outcome::Answered(answer), .. }) => Ok(answer.answer()),
            _ => Err(Error::new(Kind::OutcomeUnknown, "the answer of the call has expired")),
        }
    }

    /// Gives up a claim whose call was never sent. Releases the key where the claim has won it.
    fn abandon(&self, context: &Shared, intent: &Intent) {
        self.pending().remove(&intent.nonce);
        let held = self.log(&intent.key).get(&intent.key);
        if held.is_some_and(|entry| entry.intent.nonce == intent.nonce) {
            release(context, intent.clone());
        }
    }

    /// Folds one record. An own intent that nobody waits for any more is released.
    fn fold(&self, context: &Shared, log: &Log, position: Position, body: &[u8]) {
        let Ok(record) = postcard::from_bytes::<Record>(body) else { return };
        let mut fold = log.fold.lock().unwrap();
        let Some(won) = fold.apply(position, record) else { return };
        let own = won.vm == context.settings.vm && won.incarnation == context.incarnation;
        if own && !self.pending().contains(&won.nonce) {
            release(context, won.clone());
        }
    }

    fn log(&self, key: &Key) -> &Log {
        let index = stream_index(&key.workspace, &key.key, self.streams.len() as u16);
        &self.streams[usize::from(index)]
    }

    fn pending(&self) -> MutexGuard<'_, BTreeSet<u64>> {
        self.pending.lock().unwrap()
    }
}

impl Log {
    fn get(&self, key: &Key) -> Option<Entry> {
        self.fold.lock().unwrap().get(key).cloned()
    }

    /// What has become of a call by now. One that seems to run may have ended in records that this
    /// node has not read yet.
    async fn refresh(&self, context: &Shared, entry: Entry, wait: Millis) -> Entry {
        if !matches!(entry.stage, Stage::Running) {
            return entry;
        }
        let from = self.folded.borrow().unwrap_or(Offset(0));
        match context.journal.head(&self.name, from).await {
            Ok(head) => {
                if self.wait_for(head, wait.min(CATCH_UP_TIMEOUT)).await.is_none() {
                    log::debug!("attempt: {} could not be read up to {head} in time", self.name);
                }
            }
            Err(error) => log::debug!("attempt: the end of {} is not known: {error}", self.name),
        }
        self.get(&entry.intent.key).unwrap_or(entry)
    }

    /// Waits until everything before `offset` is folded.
    async fn wait_for(&self, offset: Offset, wait: Millis) -> Option<()> {
        let mut folded = self.folded.subscribe();
        let reached = folded.wait_for(|folded| folded.is_some_and(|folded| folded >= offset));
        tokio::time::timeout(wait.duration(), reached).await.ok()?.ok().map(|_| ())
    }
}

async fn follow(context: Shared, index: usize) {
    let intents = context.attempt.intents.clone();
    let log = &intents.streams[index];
    let mut next = Offset(0);
    loop {
        let mut followed = context.journal.follow(&log.name, next);
        while let Some(news) = followed.recv().await {
            match news {
                Followed::Entries(entries) => {
                    for entry in entries {
                        intents.fold(&context, log, entry.position, &entry.record.body);
                        next = Offset(entry.position.offset.0 + 1);
                    }
                    log.folded.send_if_modified(|folded| {
                        if folded.is_some() {
                            *folded = Some(next);
                        }
                        folded.is_some()
                    });
                }
                Followed::CaughtUp(offset) => {
                    next = next.max(offset);
                    log.folded.send_replace(Some(next));
                }
                Followed::Lost(offset) => next = next.max(offset),
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn release(context: &Shared, intent: Intent) {
    let context = context.clone();
    tokio::spawn(async move {
        let intents = context.attempt.intents.clone();
        intents.end(&context, &intent, Outcome::Released).await;
    });
}

/// Whether the process that wrote the intent may still be running it. Asks it, where it can.
async fn runs(context: &Shared, intent: &Intent) -> bool {
    if intent.vm == context.settings.vm {
        return intent.incarnation == context.incarnation;
    }
    let young = context.clock.wall_time() - intent.at < VIEW_LAG;
    let address = context.membership.view().nodes.get(&intent.vm).map(|node| node.address);
    let Some(address) = address else { return young };
    let ask = PeerMessage::Attempt(Message::Ask);
    match context.peer.call(address, ask).await {
        Ok(PeerMessage::Attempt(Message::Runs { incarnation })) => {
            incarnation == intent.incarnation
        }
        _ => young,
    }
}

fn encode(record: &Record) -> Result<Vec<u8>> {
    postcard::to_stdvec(record).map_err(|error| Error::new(Kind::Internal, error.to_string()))
}

fn unknown() -> Error {
    Error::new(Kind::OutcomeUnknown, "the node that ran the call died; the outcome is unknown")
}
