//! Reads the jobs stream of one day from its start.

use std::time::Instant;

use base64::{Engine, engine::general_purpose::STANDARD};
use bulrushspread::{
    batch::{
        jobs::State,
        record::{JobsRecord, decode, encode},
    },
    id::{Incarnation, Offset, Vm},
    journal::{
        Id, Record,
        dedup::Filter,
        record::{Writer, decode as decode_append, encode as encode_append},
    },
};
use serde_json::{Value, json};

use super::records;

/// Appends of one page of the log service.
const PAGE_APPENDS: usize = 1_000;
/// Records that wait for one append.
const RECORDS_PER_APPEND: usize = 3;

pub(crate) fn measure(jobs: usize) -> Value {
    let pages = pages(jobs);
    let bytes: usize = pages.iter().map(String::len).sum();
    let start = Instant::now();
    let appends: Vec<Vec<u8>> = pages.iter().flat_map(|page| parse(page)).collect();
    let parsed = start.elapsed();
    let mut state = State::default();
    let mut filter = Filter::default();
    for (offset, data) in appends.iter().enumerate() {
        for entry in decode_append(Offset(offset as u64), data).unwrap() {
            if filter.insert(&entry) {
                let record: JobsRecord = decode(&entry.record.body).unwrap();
                state.apply(entry.position, &record);
            }
        }
    }
    let total = start.elapsed();
    assert_eq!(state.jobs().count(), jobs);
    json!({
        "jobs": jobs,
        "records": 3 * jobs,
        "appends": appends.len(),
        "page_bytes": bytes,
        "parse_ms": parsed.as_secs_f64() * 1_000.0,
        "decode_and_fold_ms": (total - parsed).as_secs_f64() * 1_000.0,
        "total_ms": total.as_secs_f64() * 1_000.0,
    })
}

/// The pages of the log service as sent over HTTP.
fn pages(jobs: usize) -> Vec<String> {
    let records: Vec<JobsRecord> = (0..jobs)
        .flat_map(|number| {
            let (file, job) = (records::file(number), records::job(number));
            let finished = records::finished(number);
            [
                JobsRecord::FileCreated(file),
                JobsRecord::JobCreated(job),
                JobsRecord::JobFinished(finished),
            ]
        })
        .collect();
    let appends: Vec<Value> = records
        .chunks(RECORDS_PER_APPEND)
        .enumerate()
        .map(|(offset, records)| json!({ "offset": offset, "data": append(offset, records) }))
        .collect();
    let page = |appends: &[Value]| json!({ "first": 0, "head": 0, "records": appends }).to_string();
    appends.chunks(PAGE_APPENDS).map(page).collect()
}

fn append(offset: usize, records: &[JobsRecord]) -> String {
    let writer = Writer { vm: Vm::from("entry-1"), incarnation: Incarnation(1) };
    let record = |(index, record): (usize, &JobsRecord)| {
        let sequence = (offset * RECORDS_PER_APPEND + index + 1) as u64;
        let id = Id { writer: writer.clone(), sequence };
        Record { id, body: encode(record).unwrap() }
    };
    let records: Vec<Record> = records.iter().enumerate().map(record).collect();
    STANDARD.encode(encode_append(&records).unwrap())
}

fn parse(page: &str) -> Vec<Vec<u8>> {
    let page: Value = serde_json::from_str(page).unwrap();
    let records = page["records"].as_array().unwrap();
    records.iter().map(|line| STANDARD.decode(line["data"].as_str().unwrap()).unwrap()).collect()
}
