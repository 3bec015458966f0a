//! Appends of an owner to the log: one at a time, each repeated until its outcome is known.

use std::sync::Arc;

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
    super::{ledger::ItemId, record},
    Owner, RETRY_DELAY,
    handle::{Admission, Unavailable},
};

/// Limit of attempts to save failed runs after the partition has gone to another node.
const MAX_SAVES: u32 = 20;
/// Delay between two of them.
const SAVE_DELAY: Millis = Millis(500);

/// What to do when a write is durable.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Confirm the job and answer its submitters.
    Accepted(JobId),
    /// List the next result of the job.
    Listed(JobId),
    /// Let the item start again after a failed run.
    Failed(ItemId),
    /// Answer the callers that cancelled the job.
    Cancelled(JobId),
    /// No further action: the records hold progress or delete keys.
    Saved,
}

/// Records that are appended together.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) records: Vec<Record>,
    pub(super) effect: Effect,
    /// A failed run of an item that is lost to later owners if the write isn't made.
    pub(super) failure: Option<Record>,
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
        self.writes.push_back(Write { records, effect, failure });
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
            self.queue_write(vec![record::ownership_proof()], Effect::Saved);
        }
        let mut writes = Vec::new();
        let mut bytes = 0;
        while let Some(write) = self.writes.front() {
            bytes += write.records.iter().map(encoded_len).sum::<usize>();
            if !writes.is_empty() && bytes > self.dependencies.settings.append_bytes {
                break;
            }
            writes.extend(self.writes.pop_front());
        }
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
                writes.into_iter().for_each(|write| self.handle_durable(write.effect));
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
                let (submissions, kept): (Vec<Write>, Vec<Write>) = writes
                    .into_iter()
                    .partition(|write| matches!(write.effect, Effect::Accepted(_)));
                self.reject(submissions, Unavailable::NotAccepted);
                self.schedule();
                if !kept.is_empty() {
                    self.start_append(kept, false, RETRY_DELAY);
                }
            }
        }
        true
    }

    /// Applies the effect of a durable write.
    fn handle_durable(&mut self, effect: Effect) {
        let metrics = Arc::clone(&self.dependencies.context.metrics);
        match effect {
            Effect::Accepted(id) => {
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
            Effect::Saved => {}
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
            let Effect::Accepted(id) = write.effect else { continue };
            self.ledger.withdraw(&id);
            log::info!(job = id.0.as_str(), outcome:? = reason; "job not accepted");
            for reply in self.submit_replies.remove(&id).unwrap_or_default() {
                let _ = reply.send(Err(reason));
            }
        }
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

/// Approximate size of a record in an append, in bytes.
fn encoded_len(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len) + 8
}
