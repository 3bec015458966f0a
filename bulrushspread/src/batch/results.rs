//! Streams the results of a finished job from the log.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::{
    error::{Error, Kind, Result},
    id::{Job, Offset, Partition},
    node::Shared,
};

use super::{
    api::ByteStream,
    items::ItemSet,
    record::{
        self, ItemResult, JobFinished, Offsets, Outcome, PartitionRecord as Record,
        partition_stream,
    },
};

/// Which results a results file contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// Items that completed.
    Output,
    /// Items that failed for good.
    Errors,
}

/// One line of a results file.
#[derive(Serialize)]
struct Line<'a> {
    id: String,
    custom_id: &'a str,
    response: Option<Response<'a>>,
    error: Option<Failure<'a>>,
}

#[derive(Serialize)]
struct Response<'a> {
    status_code: u16,
    body: &'a RawValue,
}

#[derive(Serialize)]
struct Failure<'a> {
    code: &'a str,
    message: &'a str,
}

/// Reads results from the log, one append at a time.
struct Reader {
    context: Shared,
    partition: Partition,
    job: Job,
    part: Part,
    offsets: VecDeque<Offset>,
    /// Items whose result has been read. Only the first result of an item counts.
    seen: ItemSet,
}

/// Streams one part of the job's results as JSON lines, in the order of the log.
pub(crate) async fn stream_lines(
    context: &Shared,
    partition: Partition,
    finished: &JobFinished,
    part: Part,
) -> Result<ByteStream> {
    let offsets = read_index(context, partition, finished).await?;
    let reader = Reader {
        context: context.clone(),
        partition,
        job: finished.job.clone(),
        part,
        offsets: offsets.iter().collect(),
        seen: ItemSet::default(),
    };
    let pieces = stream::unfold(reader, |mut reader| async {
        let offset = reader.offsets.pop_front()?;
        let piece = reader.read_lines(offset).await;
        if piece.is_err() {
            reader.offsets.clear();
        }
        Some((piece, reader))
    });
    Ok(pieces.boxed())
}

async fn read_index(
    context: &Shared,
    partition: Partition,
    finished: &JobFinished,
) -> Result<Offsets> {
    let records = read_records(context, partition, finished.index.offset).await?;
    let index = records.into_iter().find_map(|record| match record {
        Record::Index { job, offsets, .. } if job == finished.job => Some(offsets),
        _ => None,
    });
    index.ok_or_else(|| Error::new(Kind::Internal, "the job has no index"))
}

async fn read_records(
    context: &Shared,
    partition: Partition,
    offset: Offset,
) -> Result<Vec<Record>> {
    let stream = partition_stream(&context.settings.environment, partition);
    let entries = context.journal.read_at(&stream, offset).await?;
    Ok(entries.iter().filter_map(|entry| record::decode(&entry.record.body).ok()).collect())
}

impl Reader {
    async fn read_lines(&mut self, offset: Offset) -> Result<Bytes> {
        let mut lines = Vec::new();
        for record in read_records(&self.context, self.partition, offset).await? {
            if let Record::Results { job, results, .. } = record
                && job == self.job
            {
                results.iter().try_for_each(|result| self.append_result(result, &mut lines))?;
            }
        }
        Ok(Bytes::from(lines))
    }

    fn append_result(&mut self, result: &ItemResult, lines: &mut Vec<u8>) -> Result<()> {
        let part = if result.outcome.is_success() { Part::Output } else { Part::Errors };
        if !self.seen.insert(result.item) || part != self.part {
            return Ok(());
        }
        write_line(&self.job, result, lines)
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))
    }
}

fn write_line(job: &Job, result: &ItemResult, lines: &mut Vec<u8>) -> serde_json::Result<()> {
    let body;
    let (response, error) = match &result.outcome {
        Outcome::Answered { status, body: text } => {
            body = to_raw_json(text)?;
            (Some(Response { status_code: *status, body: &body }), None)
        }
        Outcome::Failed { code, message } => (None, Some(Failure { code, message })),
    };
    let id = format!("{job}-{}", result.item);
    serde_json::to_writer(
        &mut *lines,
        &Line { id, custom_id: &result.custom_id, response, error },
    )?;
    lines.push(b'\n');
    Ok(())
}

/// Converts a body to JSON on one line. Text that is not valid JSON becomes a JSON string.
fn to_raw_json(text: &str) -> serde_json::Result<Box<RawValue>> {
    let trimmed = text.trim();
    if trimmed.contains('\n') {
        let value: serde_json::Result<serde_json::Value> = serde_json::from_str(trimmed);
        return serde_json::value::to_raw_value(&value.unwrap_or_else(|_| trimmed.into()));
    }
    RawValue::from_string(trimmed.to_string()).or_else(|_| serde_json::value::to_raw_value(trimmed))
}
