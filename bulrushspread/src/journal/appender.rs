//! The appends of this node to one stream. One append at a time is in flight, and its records are
//! read back before they are acknowledged.

use std::collections::VecDeque;

use crate::{id::Offset, time::Millis};

use super::{
    record::{Id, Position, Record, Writer, decode},
    store::Page,
};

/// Back-off after the first failed operation; doubles with each further one.
const BACKOFF: Millis = Millis(100);
/// The longest back-off, unless the service's `Retry-After` is longer.
const BACKOFF_MAX: Millis = Millis(2_000);
/// Delay before the next read while an acknowledged append is not visible yet.
const VISIBILITY_DELAY: Millis = Millis(5);

/// Records of one caller that go into one append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request in its [`Answer`].
    pub number: u64,
    pub bodies: Vec<Vec<u8>>,
    /// The time at which the request is answered at the latest.
    pub deadline: Millis,
}

impl Request {
    /// Total bytes of the bodies.
    pub fn bytes(&self) -> usize {
        self.bodies.iter().map(Vec::len).sum()
    }
}

/// Why an append was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No record of the request is in the stream or ever will be.
    Unavailable,
    /// The records may be in the stream now or later.
    Unconfirmed,
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub number: u64,
    /// The positions of the records, in the order of the request.
    pub result: Result<Vec<Position>, Failure>,
}

/// The next operation on the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append the records of the current or next batch.
    Send,
    /// Read from this offset.
    Read(Offset),
}

/// An append in flight. Its records keep their ids through all retries.
#[derive(Clone, Debug)]
struct Batch {
    requests: Vec<Request>,
    /// Whether each of `requests` still waits for its answer.
    unanswered: Vec<bool>,
    /// Sequence of the first record.
    first_sequence: u64,
    stage: Stage,
    /// An attempt ended without a response, so the stream may hold a copy of the records.
    ambiguous: bool,
    /// The stream holds no copy of the records before this offset.
    scan_from: Offset,
    /// The offset that the service returned, if a response arrived.
    acknowledged: Option<Offset>,
}

impl Batch {
    fn bytes(&self) -> usize {
        self.requests.iter().map(Request::bytes).sum()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Send,
    /// Read the stream to find out whether it holds the records.
    Confirm,
}

/// The queue of one stream and its append in flight.
#[derive(Clone, Debug)]
pub struct Appender {
    writer: Writer,
    /// The lowest offset that the next append can get. `None` until the first read.
    head: Option<Offset>,
    /// Sequence of the next record. Increases only when a batch is sent.
    next_sequence: u64,
    queue: VecDeque<Request>,
    batch: Option<Batch>,
    /// Bytes of the requests in `queue` and `batch`.
    bytes: usize,
    /// An operation was started and its outcome has not been reported yet.
    in_flight: bool,
    paused_until: Millis,
    failures: u32,
}

impl Appender {
    pub fn new(writer: Writer) -> Appender {
        Appender {
            writer,
            head: None,
            next_sequence: 1,
            queue: VecDeque::new(),
            batch: None,
            bytes: 0,
            in_flight: false,
            paused_until: Millis::default(),
            failures: 0,
        }
    }

    /// Adds a request to the end of the queue.
    pub fn push(&mut self, request: Request) {
        self.bytes += request.bytes();
        self.queue.push_back(request);
    }

    /// The operation to start now, if any.
    pub fn next_step(&self, now: Millis) -> Option<Step> {
        if self.in_flight || now < self.paused_until {
            return None;
        }
        match &self.batch {
            Some(batch) if batch.stage == Stage::Confirm => Some(Step::Read(batch.scan_from)),
            Some(_) => Some(Step::Send),
            None if self.queue.is_empty() => None,
            None if self.head.is_none() => Some(Step::Read(Offset::default())),
            None => Some(Step::Send),
        }
    }

    /// The next time at which a deadline passes or a back-off ends.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        let deadline = self.next_deadline();
        let pause = (!self.in_flight && now < self.paused_until).then_some(self.paused_until);
        [deadline, pause].into_iter().flatten().min()
    }

    /// Marks a read as started. Its outcome is reported through `handle_page`,
    /// `handle_read_failure` or `handle_expired`.
    pub fn start_read(&mut self) {
        self.in_flight = true;
    }

    /// Marks an append as started and returns its records: those of the batch to send again, or of
    /// a new one of up to `limit_bytes` from the queue. A larger request is sent on its own.
    pub fn start_send(&mut self, limit_bytes: usize) -> Vec<Record> {
        self.in_flight = true;
        let batch = match self.batch.take() {
            Some(batch) => batch,
            None => self.build_batch(limit_bytes),
        };
        let records = build_records(&self.writer, &batch);
        self.next_sequence = batch.first_sequence + records.len() as u64;
        self.batch = Some(batch);
        records
    }

    /// The service appended the batch at `offset`.
    pub fn handle_appended(&mut self, offset: Offset) {
        self.in_flight = false;
        self.failures = 0;
        let Some(batch) = &mut self.batch else { return };
        batch.stage = Stage::Confirm;
        batch.acknowledged = Some(offset);
        if !batch.ambiguous {
            batch.scan_from = offset;
        }
    }

    /// The service refused the append, which had no effect.
    ///
    /// The requests return to the queue unless an earlier attempt may have taken effect.
    pub fn handle_refused(&mut self, now: Millis, retry_after: Option<Millis>) {
        self.back_off(now, retry_after);
        let Some(batch) = self.batch.take_if(|batch| !batch.ambiguous) else { return };
        self.next_sequence = batch.first_sequence;
        for (request, unanswered) in batch.requests.into_iter().zip(batch.unanswered).rev() {
            if unanswered {
                self.queue.push_front(request);
            } else {
                self.bytes -= request.bytes();
            }
        }
    }

    /// The append got no response. The stream is read before the batch is sent again.
    pub fn handle_unknown_outcome(&mut self, now: Millis) {
        self.back_off(now, None);
        if let Some(batch) = &mut self.batch {
            batch.ambiguous = true;
            batch.stage = Stage::Confirm;
        }
    }

    /// A read failed and is repeated after a back-off.
    pub fn handle_read_failure(&mut self, now: Millis) {
        self.back_off(now, None);
    }

    /// Records before `first` have expired, so the batch can no longer be confirmed.
    pub fn handle_expired(&mut self, first: Offset) -> Vec<Answer> {
        self.in_flight = false;
        self.head = Some(first);
        let Some(batch) = self.batch.take() else { return Vec::new() };
        self.bytes -= batch.bytes();
        build_answers(&batch, |_| Err(Failure::Unconfirmed))
    }

    /// A page was read from the offset of [`Step::Read`].
    pub fn handle_page(&mut self, now: Millis, page: &Page) -> Vec<Answer> {
        self.in_flight = false;
        self.failures = 0;
        let Some(batch) = &mut self.batch else {
            self.head = Some(page.head);
            return Vec::new();
        };
        let id = Id { writer: self.writer.clone(), sequence: batch.first_sequence };
        for append in &page.appends {
            if starts_with(&id, append.offset, &append.data) {
                return self.confirm(append.offset, page.head);
            }
            batch.scan_from = batch.scan_from.max(Offset(append.offset.0 + 1));
        }
        if batch.scan_from < page.head {
            return Vec::new();
        }
        match batch.acknowledged {
            Some(offset) if offset >= page.head => self.paused_until = now + VISIBILITY_DELAY,
            _ => batch.stage = Stage::Send,
        }
        Vec::new()
    }

    /// Answers requests whose deadline has passed.
    ///
    /// Requests in the queue were never sent and are dropped; those of the batch stay in it.
    pub fn expire_requests(&mut self, now: Millis) -> Vec<Answer> {
        let mut answers = Vec::new();
        if let Some(batch) = &mut self.batch {
            for (request, unanswered) in batch.requests.iter().zip(&mut batch.unanswered) {
                if *unanswered && request.deadline <= now {
                    *unanswered = false;
                    let result = Err(Failure::Unconfirmed);
                    answers.push(Answer { number: request.number, result });
                }
            }
        }
        while let Some(request) = self.queue.pop_front_if(|request| request.deadline <= now) {
            self.bytes -= request.bytes();
            answers.push(Answer { number: request.number, result: Err(Failure::Unavailable) });
        }
        answers
    }

    /// Bytes of the requests in the queue and in flight.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn build_batch(&mut self, limit_bytes: usize) -> Batch {
        let mut requests: Vec<Request> = Vec::new();
        let mut bytes = 0;
        while let Some(request) = self.queue.front() {
            bytes += request.bytes();
            if bytes > limit_bytes && !requests.is_empty() {
                break;
            }
            requests.extend(self.queue.pop_front());
        }
        Batch {
            unanswered: vec![true; requests.len()],
            requests,
            first_sequence: self.next_sequence,
            stage: Stage::Send,
            ambiguous: false,
            scan_from: self.head.unwrap_or_default(),
            acknowledged: None,
        }
    }

    fn confirm(&mut self, offset: Offset, head: Offset) -> Vec<Answer> {
        self.head = Some(head);
        let Some(batch) = self.batch.take() else { return Vec::new() };
        self.bytes -= batch.bytes();
        let mut index = 0;
        build_answers(&batch, |request| {
            let indices = index..index + request.bodies.len() as u32;
            index = indices.end;
            Ok(indices.map(|index| Position { offset, index }).collect())
        })
    }

    /// Ends the operation in flight and starts a back-off.
    fn back_off(&mut self, now: Millis, retry_after: Option<Millis>) {
        self.in_flight = false;
        let backoff = Millis(BACKOFF.0 << self.failures.min(8)).min(BACKOFF_MAX);
        self.failures += 1;
        self.paused_until = now + backoff.max(retry_after.unwrap_or_default());
    }

    fn next_deadline(&self) -> Option<Millis> {
        let queued = self.queue.front().map(|request| request.deadline);
        let batch =
            self.batch.iter().flat_map(|batch| batch.requests.iter().zip(&batch.unanswered));
        let sent =
            batch.filter(|(_, unanswered)| **unanswered).map(|(request, _)| request.deadline).min();
        [queued, sent].into_iter().flatten().min()
    }
}

fn build_records(writer: &Writer, batch: &Batch) -> Vec<Record> {
    let bodies = batch.requests.iter().flat_map(|request| &request.bodies);
    let record = |(sequence, body): (u64, &Vec<u8>)| Record {
        id: Id { writer: writer.clone(), sequence },
        body: body.clone(),
    };
    (batch.first_sequence..).zip(bodies).map(record).collect()
}

fn build_answers(
    batch: &Batch,
    mut result: impl FnMut(&Request) -> Result<Vec<Position>, Failure>,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    for (request, unanswered) in batch.requests.iter().zip(&batch.unanswered) {
        let result = result(request);
        if *unanswered {
            answers.push(Answer { number: request.number, result });
        }
    }
    answers
}

/// Whether an append begins with the record `id`.
fn starts_with(id: &Id, offset: Offset, data: &[u8]) -> bool {
    let entries = decode(offset, data).unwrap_or_default();
    entries.first().is_some_and(|entry| entry.record.id == *id)
}
