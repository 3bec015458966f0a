//! Resident memory of replayed states and ledgers, by their size.
//!
//! Measured values are never freed, so that the next measurement gets fresh pages.

use std::{fs, mem};

use bulrushspread::{
    batch::{
        Settings,
        items::ItemSet,
        jobs,
        ledger::Ledger,
        message::Capacity,
        partition::State,
        record::{ItemResult, JobsRecord, Outcome, PartitionRecord as Record},
    },
    id::{Deployment, Epoch, Item, Model, Partition, Vm},
    journal::record::Writer,
    time::Millis,
};
use serde_json::{Value, json};

use super::records::{self, position};

const PAGE_BYTES: usize = 4_096;
/// Items of a job of average size at the target size.
const JOB_ITEMS: u32 = 20_000;
/// Items of one job in one append.
const GROUP: u32 = 10;

/// Files and finished jobs of the jobs stream.
pub(crate) fn jobs(jobs: usize) -> Value {
    let before = resident();
    let mut state = jobs::State::default();
    for number in 0..jobs {
        state.apply(position(3 * number), &JobsRecord::FileCreated(records::file(number)));
        state.apply(position(3 * number + 1), &JobsRecord::JobCreated(records::job(number)));
        state.apply(position(3 * number + 2), &JobsRecord::JobFinished(records::finished(number)));
    }
    let bytes = resident().saturating_sub(before);
    let counted = state.jobs().count();
    mem::forget(state);
    json!({ "jobs": counted, "bytes": bytes, "bytes_per_job": bytes / jobs })
}

/// A partition with unfinished jobs, in each of which all items but one have ended.
pub(crate) fn partition(jobs: usize) -> Value {
    let before = resident();
    let mut state = State::default();
    let epoch = Epoch(1);
    state.apply(position(0), &Record::Claim { epoch, owner: Writer::default() });
    let outcome = Outcome::Answered { status: 200, body: String::new() };
    let mut offset = 1;
    for first in (0..JOB_ITEMS - 1).step_by(GROUP as usize) {
        for number in 0..jobs {
            let last = (first + GROUP).min(JOB_ITEMS - 1);
            let results = (first..last).map(|item| ItemResult {
                item: Item(item),
                custom_id: String::new(),
                outcome: outcome.clone(),
            });
            let job = records::spec(number, JOB_ITEMS).job;
            let record = Record::Results { epoch, job, results: results.collect() };
            state.apply(position(offset), &record);
            offset += 1;
        }
    }
    let bytes = resident().saturating_sub(before);
    let counted = state.jobs.len();
    mem::forget(state);
    json!({
        "unfinished_jobs": counted,
        "items_per_job": JOB_ITEMS,
        "bytes": bytes,
        "bytes_per_job": bytes / jobs,
        "bytes_per_item": bytes as f64 / (jobs as f64 * f64::from(JOB_ITEMS)),
    })
}

/// A ledger with running items.
pub(crate) fn running(items: u32) -> Value {
    let before = resident();
    let settings = Settings { adopt_ms: 0, ..Settings::default() };
    let mut ledger = Ledger::new(Millis(0), Partition(0), Epoch(1), settings);
    let spec = records::spec(0, items);
    ledger.add(Millis(0), spec, ItemSet::default(), ItemSet::default());
    let capacity = Capacity {
        deployment: Deployment::from("lm-pool"),
        models: vec![Model::from("svetovalec")],
        items,
    };
    let granted = ledger.grant(Millis(1), &Vm::from("entry-2"), &[capacity]).len();
    let bytes = resident().saturating_sub(before);
    let runners = ledger.runners().count();
    mem::forget(ledger);
    json!({
        "running": granted,
        "runners": runners,
        "bytes": bytes,
        "bytes_per_item": bytes / items as usize,
    })
}

/// Resident bytes of this process.
fn resident() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
