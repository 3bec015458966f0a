//! Appends of an owner: one at a time, repeated until their outcome is known.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    id::Job as JobId,
    log_store::{self, Error, Record},
    time::Millis,
};

use super::{
    Owner, RETRY,
    handle::{Accepted, Unavailable},
};

/// What follows when a write is durable.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    Accepted(JobId),
    Listed(JobId),
    Ended(JobId),
    Saved,
}

#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) records: Vec<Record>,
    pub(super) effect: Effect,
}

/// An append on its way to the log.
pub(super) struct Appending {
    writes: Vec<Write>,
    /// An earlier try may have taken effect: only the same append may follow.
    uncertain: bool,
    begun: Millis,
    task: JoinHandle<log_store::Result<()>>,
}

impl Owner {
    pub(super) fn write(&mut self, records: Vec<Record>, effect: Effect) {
        self.writes.push_back(Write { records, effect });
    }

    /// Starts the next append unless one is on its way.
    pub(super) fn append_next(&mut self) {
        if self.appending.is_some() || self.writes.is_empty() {
            return;
        }
        let mut writes = Vec::new();
        let mut bytes = 0;
        while let Some(write) = self.writes.front() {
            bytes += write.records.iter().map(encoded_len).sum::<usize>();
            if !writes.is_empty() && bytes > self.tools.settings.append_bytes {
                break;
            }
            writes.extend(self.writes.pop_front());
        }
        self.append(writes, false, Millis(0));
    }

    fn append(&mut self, writes: Vec<Write>, uncertain: bool, delay: Millis) {
        let records: Vec<Record> =
            writes.iter().flat_map(|write| write.records.iter().cloned()).collect();
        let (store, partition) = (Arc::clone(&self.tools.store), self.partition.clone());
        let producer = self.producer.clone();
        let task = tokio::spawn(async move {
            sleep(delay.duration()).await;
            store.append(&partition, &producer, &records).await
        });
        let begun = self.tools.context.clock.now();
        self.appending = Some(Appending { writes, uncertain, begun, task });
    }

    /// An append has ended. Tells whether the partition is still owned.
    pub(super) fn appended(&mut self, result: log_store::Result<()>) -> bool {
        let Some(Appending { writes, uncertain, begun, .. }) = self.appending.take() else {
            return true;
        };
        match result {
            Ok(()) => {
                self.producer.sequence += 1;
                self.verified.set(begun);
                writes.into_iter().for_each(|write| self.durable(write.effect));
                self.answer_readers(Instant::now());
                self.schedule();
            }
            Err(Error::Fenced) => {
                log::warn!(partition = self.partition.number, epoch = self.producer.epoch; "partition lost to a later owner");
                let why = if uncertain { Unavailable::Unknown } else { Unavailable::NotAccepted };
                self.reject(writes, why);
                let waiting = std::mem::take(&mut self.writes);
                self.reject(waiting, Unavailable::NotAccepted);
                return false;
            }
            // An earlier try has taken effect, too long ago for its answer to be repeated.
            Err(Error::OutOfSequence(expected))
                if uncertain && expected == self.producer.sequence + 1 =>
            {
                self.appending = Some(Appending {
                    writes,
                    uncertain: false,
                    begun,
                    task: tokio::spawn(async { Ok(()) }),
                });
            }
            Err(Error::OutOfSequence(expected)) if !uncertain => {
                self.producer.sequence = expected;
                self.append(writes, false, Millis(0));
            }
            Err(Error::Unknown(why)) => {
                log::warn!(partition = self.partition.number, why = why.as_str(), sequence = self.producer.sequence; "outcome of an append is unknown; it is repeated");
                self.append(writes, true, RETRY);
            }
            Err(error) => {
                log::warn!(partition = self.partition.number, error:% = error, uncertain = uncertain; "append refused");
                if uncertain {
                    self.append(writes, true, RETRY);
                    return true;
                }
                // Nothing was written: submitters may go elsewhere, everything else waits.
                let (submissions, kept): (Vec<Write>, Vec<Write>) = writes
                    .into_iter()
                    .partition(|write| matches!(write.effect, Effect::Accepted(_)));
                self.reject(submissions, Unavailable::NotAccepted);
                self.schedule();
                if !kept.is_empty() {
                    self.append(kept, false, RETRY);
                }
            }
        }
        true
    }

    fn durable(&mut self, effect: Effect) {
        let metrics = Arc::clone(&self.tools.context.metrics);
        match effect {
            Effect::Accepted(id) => {
                metrics.count(&metrics.batch_events, "job", "accepted");
                self.ledger.confirm_job(&id);
                log::info!(job = id.0.as_str(), outcome = "accepted"; "job submitted");
                for reply in self.submitters.remove(&id).unwrap_or_default() {
                    let _ = reply.send(Ok(Accepted::Durable));
                }
            }
            Effect::Listed(id) => {
                metrics.count(&metrics.batch_events, "item", "listed");
                self.ledger.confirm_result(&id);
            }
            Effect::Ended(id) => {
                for reply in self.enders.remove(&id).unwrap_or_default() {
                    let _ = reply.send(Ok(Some(())));
                }
            }
            Effect::Saved => {}
        }
    }

    fn reject(&mut self, writes: impl IntoIterator<Item = Write>, why: Unavailable) {
        for write in writes {
            let Effect::Accepted(id) = write.effect else { continue };
            self.ledger.withdraw(&id);
            log::info!(job = id.0.as_str(), outcome:? = why; "job not accepted");
            for reply in self.submitters.remove(&id).unwrap_or_default() {
                let _ = reply.send(Err(why));
            }
        }
    }
}

/// Waits for the append that is on its way; for ever when there is none.
pub(super) async fn appended(appending: &mut Option<Appending>) -> log_store::Result<()> {
    match appending {
        Some(appending) => match (&mut appending.task).await {
            Ok(result) => result,
            Err(error) => Err(Error::Unknown(error.to_string())),
        },
        None => std::future::pending().await,
    }
}

fn encoded_len(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Bytes::len) + 8
}
