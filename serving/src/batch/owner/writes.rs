//! Appends of an owner to the log: one at a time, each repeated until its outcome is known.
//!
//! All writes of a partition wait behind the append in progress. So no write is sent that exceeds the
//! limits of the log, and one that the log refuses for good ends instead of being repeated.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    id::Job as JobId,
    log_store::{self, Error, Partition, Record},
    time::Millis,
};

use super::{
    super::{
        ledger::ItemId,
        record::{self, Key},
    },
    Owner, RETRY_DELAY,
    handle::{Admission, Unavailable},
};

/// Limit of attempts to save failed runs after the partition has gone to another node.
const MAX_SAVES: u32 = 20;
/// Delay between two of them.
const SAVE_DELAY: Millis = Millis(500);
/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Maximum size of a record's value in addition to `record_bytes`, for what is encoded around an output
/// or a chunk of that size.
const MAX_VALUE_OVERHEAD: usize = 64;

/// What to do when a write is durable.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Note the records, to delete them if the job is withdrawn. The chunk that commits it follows.
    Begun(JobId),
    /// Confirm the job, which is committed now, and answer its submitters.
    Accepted(JobId),
    /// List the next result of the job.
    Listed(JobId),
    /// Let the item start again after a failed run.
    Failed(ItemId),
    /// Answer the callers that cancelled the job.
    Cancelled(JobId),
    /// No further action: the records of a withdrawn job are deleted.
    Withdrawn(JobId),
    /// No further action: the records hold progress or delete keys.
    Saved,
    /// No further action: the append has shown that no later owner has claimed the partition.
    Proved,
}

/// Records that are appended together.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) records: Vec<Record>,
    pub(super) effect: Effect,
    /// A failed run of an item that is lost to later owners if the write isn't made.
    pub(super) failure: Option<Record>,
    /// The log has refused the write once as one that it can't accept.
    pub(super) is_doubtful: bool,
}

impl Effect {
    /// The job whose acceptance depends on the write.
    fn submitted(&self) -> Option<&JobId> {
        match self {
            Effect::Begun(id) | Effect::Accepted(id) => Some(id),
            Effect::Listed(_)
            | Effect::Failed(_)
            | Effect::Cancelled(_)
            | Effect::Withdrawn(_)
            | Effect::Saved
            | Effect::Proved => None,
        }
    }
}

/// An append in progress.
pub(super) struct PendingAppend {
    writes: Vec<Write>,
    /// An earlier attempt may have taken effect; the same append has to be repeated until its
    /// outcome is known.
    uncertain: bool,
    /// Time of `CLOCK_BOOTTIME`.
    started_at: Millis,
    task: JoinHandle<log_store::Result<()>>,
}

impl Owner {
    /// Queues records for the next append.
    pub(super) fn queue_write(&mut self, records: Vec<Record>, effect: Effect) {
        self.queue_write_of_run(records, effect, None);
    }

    /// Queues records that follow from a run, which may have failed.
    pub(super) fn queue_write_of_run(
        &mut self,
        records: Vec<Record>,
        effect: Effect,
        failure: Option<Record>,
    ) {
        let write = Write { records, effect, failure, is_doubtful: false };
        if let Some(record) = write.records.iter().find(|record| !self.is_storable(record)) {
            let reason = format!("record {} has {} bytes", record.key, record.encoded_len());
            let replacement = self.end_write(write, &reason);
            self.writes.extend(replacement);
            return;
        }
        self.writes.push_back(write);
    }

    /// Whether the log can hold a record.
    fn is_storable(&self, record: &Record) -> bool {
        let limit = self.dependencies.settings.record_bytes + MAX_VALUE_OVERHEAD;
        let bytes = record.value.as_ref().map_or(0, Bytes::len);
        record.key.len() <= MAX_KEY_BYTES && bytes <= limit
    }

    /// Queues the appends of a new job. The last one commits it.
    pub(super) fn queue_submission(&mut self, id: JobId, mut appends: Vec<Vec<Record>>) {
        let Some(commit) = appends.pop() else { return };
        for records in appends {
            self.queue_write(records, Effect::Begun(id.clone()));
        }
        // A record that the log can't hold has withdrawn the job.
        if self.ledger.job(&id).is_some() {
            self.queue_write(commit, Effect::Accepted(id));
        }
    }

    /// Starts an append of queued writes, up to `append_bytes`, unless one is in progress. Without
    /// writes it appends a proof of ownership if the tenure needs one.
    pub(super) fn append_next(&mut self) {
        if self.pending_append.is_some() {
            return;
        }
        if self.writes.is_empty() {
            if !self.tenure.needs_proof() {
                return;
            }
            self.queue_write(vec![record::ownership_proof()], Effect::Proved);
        }
        let mut writes = Vec::new();
        let mut bytes = 0;
        while let Some(write) = self.writes.front() {
            bytes += write.records.iter().map(Record::encoded_len).sum::<usize>();
            let is_full = bytes > self.dependencies.settings.append_bytes || self.isolated > 0;
            if !writes.is_empty() && is_full {
                break;
            }
            writes.extend(self.writes.pop_front());
        }
        self.isolated = self.isolated.saturating_sub(1);
        self.start_append(writes, false, Millis(0));
    }

    fn start_append(&mut self, writes: Vec<Write>, uncertain: bool, delay: Millis) {
        let records: Vec<Record> =
            writes.iter().flat_map(|write| write.records.iter().cloned()).collect();
        let (store, partition) = (Arc::clone(&self.dependencies.store), self.partition.clone());
        let producer = self.producer.clone();
        let task = tokio::spawn(async move {
            sleep(delay.duration()).await;
            store.append(&partition, &producer, &records).await
        });
        let started_at = self.dependencies.context.clock.boot_time();
        self.pending_append = Some(PendingAppend { writes, uncertain, started_at, task });
    }

    /// Handles the result of an append: confirms it, repeats it, or rejects its submissions.
    /// Returns false if a later owner has fenced this one.
    pub(super) fn handle_append(&mut self, result: log_store::Result<()>) -> bool {
        let Some(PendingAppend { writes, uncertain, started_at, .. }) = self.pending_append.take()
        else {
            return true;
        };
        match result {
            Ok(()) => {
                self.producer.sequence += 1;
                self.tenure.confirm(started_at);
                writes.into_iter().for_each(|write| self.handle_durable(write));
                self.delete_withdrawn();
                self.answer_reads(Instant::now());
                self.schedule();
            }
            Err(Error::Fenced) => {
                log::warn!(partition = self.partition.number, epoch = self.producer.epoch; "append refused: the partition has a later owner");
                self.tenure.end();
                let reason =
                    if uncertain { Unavailable::Unknown } else { Unavailable::NotAccepted };
                self.keep_failures(&writes);
                self.reject(writes, reason);
                let queued = std::mem::take(&mut self.writes);
                self.keep_failures(&queued);
                self.reject(queued, Unavailable::NotAccepted);
                return false;
            }
            // An earlier attempt took effect, but so long ago that the log no longer repeats its
            // answer.
            Err(Error::OutOfSequence(expected))
                if uncertain && expected == self.producer.sequence + 1 =>
            {
                self.pending_append = Some(PendingAppend {
                    writes,
                    uncertain: false,
                    started_at,
                    task: tokio::spawn(async { Ok(()) }),
                });
            }
            Err(Error::OutOfSequence(expected)) if !uncertain => {
                self.producer.sequence = expected;
                self.start_append(writes, false, Millis(0));
            }
            // An earlier attempt may still arrive, so that its sequence number can't be used for
            // another append, and no other one is safe. The next owner at this node fences it.
            Err(error @ (Error::OutOfSequence(_) | Error::Invalid(_))) if uncertain => {
                log::error!(partition = self.partition.number, epoch = self.producer.epoch, sequence = self.producer.sequence, error:% = error; "restarting the owner: the outcome of an append can't be known");
                self.keep_failures(&writes);
                self.reject(writes, Unavailable::Unknown);
                let queued = std::mem::take(&mut self.writes);
                self.keep_failures(&queued);
                self.reject(queued, Unavailable::NotAccepted);
                return false;
            }
            Err(Error::Invalid(reason)) => {
                log::warn!(partition = self.partition.number, writes = writes.len(), why = reason.as_str(); "the log can't accept an append");
                self.isolate(writes, &reason);
                self.schedule();
            }
            Err(Error::Unknown(reason)) => {
                log::warn!(partition = self.partition.number, why = reason.as_str(), sequence = self.producer.sequence; "repeating an append whose outcome is unknown");
                self.start_append(writes, true, RETRY_DELAY);
            }
            Err(error) => {
                log::warn!(partition = self.partition.number, error:% = error, uncertain = uncertain; "append failed");
                if uncertain {
                    self.start_append(writes, true, RETRY_DELAY);
                    return true;
                }
                // Nothing was written. Submissions are rejected, so that their callers can retry
                // at another node; all other writes are repeated.
                let (submissions, mut kept): (Vec<Write>, Vec<Write>) =
                    writes.into_iter().partition(|write| write.effect.submitted().is_some());
                self.reject(submissions, Unavailable::NotAccepted);
                kept.retain(|write| !self.is_void(write));
                self.postpone_deletions(&mut kept);
                self.schedule();
                if !kept.is_empty() {
                    self.start_append(kept, false, RETRY_DELAY);
                }
            }
        }
        true
    }

    /// Applies the effect of a durable write.
    fn handle_durable(&mut self, write: Write) {
        let metrics = Arc::clone(&self.dependencies.context.metrics);
        match write.effect {
            Effect::Begun(id) => {
                let keys = write.records.into_iter().map(|record| record.key);
                self.begun.entry(id).or_default().extend(keys);
            }
            Effect::Accepted(id) => {
                self.begun.remove(&id);
                metrics.count(&metrics.batch_events, "job", "accepted");
                self.ledger.confirm_job(&id);
                log::info!(job = id.0.as_str(), outcome = "accepted"; "job submitted");
                for reply in self.submit_replies.remove(&id).unwrap_or_default() {
                    let _ = reply.send(Ok(Admission::Durable));
                }
            }
            Effect::Listed(id) => {
                metrics.count(&metrics.batch_events, "item", "listed");
                self.ledger.confirm_result(&id);
            }
            Effect::Failed(item) => self.ledger.confirm_failure(&item),
            Effect::Cancelled(id) => {
                for reply in self.cancel_replies.remove(&id).unwrap_or_default() {
                    let _ = reply.send(Ok(Some(())));
                }
            }
            Effect::Withdrawn(_) | Effect::Saved | Effect::Proved => {}
        }
    }

    /// Keeps the failed runs of writes that this owner no longer makes.
    fn keep_failures<'a>(&mut self, writes: impl IntoIterator<Item = &'a Write>) {
        let failures = writes.into_iter().filter_map(|write| write.failure.clone());
        self.unsaved_failures.extend(failures);
    }

    /// Withdraws the submitted jobs among `writes`, which won't be written, and answers their
    /// submitters.
    fn reject(&mut self, writes: impl IntoIterator<Item = Write>, reason: Unavailable) {
        for write in writes {
            if let Some(id) = write.effect.submitted() {
                self.withdraw(id, Err(reason));
            }
        }
    }

    /// Withdraws a submitted job, the last append of which won't be made, and answers its submitters.
    /// The records that earlier appends have written are an accepted job to no reader, so the answer
    /// doesn't wait until they are deleted.
    fn withdraw(&mut self, id: &JobId, answer: Result<Admission, Unavailable>) {
        self.ledger.withdraw(id);
        let metrics = &self.dependencies.context.metrics;
        metrics.count(&metrics.batch_events, "job", "withdrawn");
        log::info!(job = id.0.as_str(), outcome:? = answer; "job not accepted");
        for reply in self.submit_replies.remove(id).unwrap_or_default() {
            let _ = reply.send(answer.clone());
        }
        for reply in self.cancel_replies.remove(id).unwrap_or_default() {
            let _ = reply.send(Err(Unavailable::NotAccepted));
        }
        let queued = std::mem::take(&mut self.writes);
        self.writes = queued.into_iter().filter(|write| !self.is_void(write)).collect();
    }

    /// Queues the deletion of what was written of withdrawn jobs.
    pub(super) fn delete_withdrawn(&mut self) {
        let (begun, withdrawn): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.begun)
            .into_iter()
            .partition(|(id, _)| self.ledger.job(id).is_some());
        self.begun = begun;
        for (id, keys) in withdrawn {
            log::info!(job = id.0.as_str(), records = keys.len(); "deleting the records of a job that was not accepted");
            let records = keys.into_iter().map(|key| Record { key, value: None }).collect();
            self.queue_write(records, Effect::Withdrawn(id));
        }
    }

    /// Takes the deletions of withdrawn jobs out of refused writes. Submissions would have to wait behind
    /// them, and be refused late. They are queued again once the log accepts an append.
    fn postpone_deletions(&mut self, writes: &mut Vec<Write>) {
        for write in writes.extract_if(.., |write| matches!(write.effect, Effect::Withdrawn(_))) {
            if let Effect::Withdrawn(id) = write.effect {
                let keys = write.records.into_iter().map(|record| record.key);
                self.begun.entry(id).or_default().extend(keys);
            }
        }
    }

    /// Whether a write belongs to a job that was withdrawn. The cancellation of such a job would apply
    /// to a later submission with the same id.
    fn is_void(&self, write: &Write) -> bool {
        match &write.effect {
            Effect::Begun(id) | Effect::Accepted(id) | Effect::Cancelled(id) => {
                self.ledger.job(id).is_none()
            }
            Effect::Listed(_)
            | Effect::Failed(_)
            | Effect::Withdrawn(_)
            | Effect::Saved
            | Effect::Proved => false,
        }
    }

    /// Finds out which of `writes` the log can't accept, after it has refused them together: they are
    /// appended one by one. A write ends if the log refuses it alone, and again after it has
    /// accepted a proof of ownership, so that it refuses not just any append.
    fn isolate(&mut self, mut writes: Vec<Write>, reason: &str) {
        let [first] = &mut writes[..] else { return self.put_back(writes) };
        if matches!(first.effect, Effect::Proved) {
            let is_submission = |write: &Write| write.effect.submitted().is_some();
            let (submissions, kept): (VecDeque<Write>, VecDeque<Write>) =
                self.writes.drain(..).partition(is_submission);
            self.writes = kept;
            self.reject(submissions, Unavailable::NotAccepted);
            return self.start_append(writes, false, RETRY_DELAY);
        }
        if std::mem::replace(&mut first.is_doubtful, true) {
            let replacements = writes.into_iter().filter_map(|write| self.end_write(write, reason));
            let replacements = replacements.collect();
            return self.put_back(replacements);
        }
        self.put_back(writes);
        let records = vec![record::ownership_proof()];
        let proof = Write { records, effect: Effect::Proved, failure: None, is_doubtful: false };
        self.start_append(vec![proof], false, Millis(0));
    }

    /// Puts writes back at the front of the queue, to be appended one by one.
    fn put_back(&mut self, writes: Vec<Write>) {
        self.isolated += writes.len();
        for write in writes.into_iter().rev() {
            self.writes.push_front(write);
        }
    }

    /// Ends a write that the log can't accept, and goes on as far as possible without it. Returns a write
    /// to make in its place.
    fn end_write(&mut self, write: Write, reason: &str) -> Option<Write> {
        log::error!(partition = self.partition.number, effect:? = write.effect, records = write.records.len(), why = reason; "dropped a write that the log can't accept");
        let metrics = Arc::clone(&self.dependencies.context.metrics);
        metrics.count(&metrics.batch_events, "write", "dropped");
        match write.effect {
            Effect::Begun(id) | Effect::Accepted(id) => {
                self.withdraw(&id, Ok(Admission::Invalid(reason.to_string())));
            }
            Effect::Listed(id) => {
                let mut records = write.records;
                let key = records.first().and_then(|record| Key::decode(&record.key));
                if let Some(Key::Outcome { position, .. }) = key
                    && let Some(record) = self.ledger.replace_result(&id, position)
                {
                    log::warn!(job = id.0.as_str(), position = position, why = reason; "dead-lettered an item whose result the log can't accept");
                    records[0] = record;
                    let (effect, failure) = (Effect::Listed(id), write.failure);
                    return Some(Write { records, effect, failure, is_doubtful: false });
                }
                self.ledger.confirm_result(&id);
            }
            Effect::Failed(item) => self.ledger.confirm_failure(&item),
            Effect::Cancelled(id) => {
                for reply in self.cancel_replies.remove(&id).unwrap_or_default() {
                    let _ = reply.send(Err(Unavailable::Unknown));
                }
            }
            Effect::Withdrawn(_) | Effect::Saved | Effect::Proved => {}
        }
        None
    }
}

impl Drop for Owner {
    /// Passes the failed runs that this owner could not save on to later owners. Each run has a key of
    /// its own, so that one that was saved after all still counts once.
    fn drop(&mut self) {
        // The append itself goes on.
        if let Some(pending) = self.pending_append.take() {
            self.keep_failures(&pending.writes);
        }
        let queued = std::mem::take(&mut self.writes);
        self.keep_failures(&queued);
        let failures = std::mem::take(&mut self.unsaved_failures);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        if !failures.is_empty() {
            let store = Arc::clone(&self.dependencies.store);
            runtime.spawn(save_failures(store, self.partition.clone(), failures));
        }
    }
}

/// Writes failed runs of items for the owners that come after the next one has read the partition.
async fn save_failures(store: log_store::Handle, partition: Partition, failures: Vec<Record>) {
    for _ in 0..MAX_SAVES {
        match store.append_unfenced(&partition, &failures).await {
            Ok(()) => {
                log::info!(partition = partition.number, runs = failures.len(); "saved failed runs of items after the partition has gone to another node");
                return;
            }
            Err(error) => {
                log::warn!(partition = partition.number, error:% = error; "could not save failed runs of items");
                sleep(SAVE_DELAY.duration()).await;
            }
        }
    }
}

/// Waits for the result of the append in progress; never returns if there is none.
pub(super) async fn wait_for_append(
    pending_append: &mut Option<PendingAppend>,
) -> log_store::Result<()> {
    match pending_append {
        Some(pending_append) => match (&mut pending_append.task).await {
            Ok(result) => result,
            Err(error) => Err(Error::Unknown(error.to_string())),
        },
        None => std::future::pending().await,
    }
}
