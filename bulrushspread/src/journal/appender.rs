//! The appends of this node to one stream: one in flight, read back before it is acknowledged.

use std::collections::VecDeque;

use crate::{id::Offset, time::Millis};

use super::{
    record::{Id, Position, Record, Writer, decode},
    store::Page,
};

/// The first pause after a failed operation.
const BACKOFF: Millis = Millis(100);
/// The longest pause after a failed operation, unless the service asks for more.
const BACKOFF_LIMIT: Millis = Millis(2_000);
/// Pause before reading again when an acknowledged append is not visible yet.
const VISIBLE_DELAY: Millis = Millis(5);

/// Records that one caller wants appended together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Names the request in its answer.
    pub number: u64,
    pub bodies: Vec<Vec<u8>>,
    pub deadline: Millis,
}

impl Request {
    /// Bytes of the bodies.
    pub fn bytes(&self) -> usize {
        self.bodies.iter().map(Vec::len).sum()
    }
}

/// Why a request was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No record of the request stands or ever will.
    Unavailable,
    /// The records may stand now or later.
    Unconfirmed,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub number: u64,
    pub result: Result<Vec<Position>, Refusal>,
}

/// What the stream needs done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append the records of the batch.
    Send,
    /// Read from this offset.
    Read(Offset),
}

/// An append on its way. Its records keep their ids however often it is sent.
#[derive(Clone, Debug)]
struct Batch {
    requests: Vec<Request>,
    /// Answers still due, in parallel to `requests`.
    due: Vec<bool>,
    /// Sequence of the first record.
    first: u64,
    stage: Stage,
    /// A copy may stand although no answer said so.
    ambiguous: bool,
    /// No copy stands before this offset.
    scan: Offset,
    /// The offset that the service gave, if an answer arrived.
    appended: Option<Offset>,
}

impl Batch {
    fn bytes(&self) -> usize {
        self.requests.iter().map(Request::bytes).sum()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Send,
    Settle,
}

/// One stream's queue and the append in flight.
#[derive(Clone, Debug)]
pub struct Appender {
    writer: Writer,
    /// Where the next append lands at the earliest. Unknown until the first read.
    head: Option<Offset>,
    /// Sequence of the next record. Grows only when a batch has been sent.
    next: u64,
    queue: VecDeque<Request>,
    batch: Option<Batch>,
    /// Bytes of the requests in `queue` and `batch`.
    bytes: usize,
    /// An operation has been started and has not ended.
    busy: bool,
    paused_until: Millis,
    failures: u32,
}

impl Appender {
    pub fn new(writer: Writer) -> Appender {
        Appender {
            writer,
            head: None,
            next: 1,
            queue: VecDeque::new(),
            batch: None,
            bytes: 0,
            busy: false,
            paused_until: Millis::default(),
            failures: 0,
        }
    }

    /// Adds a request behind those that wait.
    pub fn push(&mut self, request: Request) {
        self.bytes += request.bytes();
        self.queue.push_back(request);
    }

    /// What to do now, if anything.
    pub fn step(&self, now: Millis) -> Option<Step> {
        if self.busy || now < self.paused_until {
            return None;
        }
        match &self.batch {
            Some(batch) if batch.stage == Stage::Settle => Some(Step::Read(batch.scan)),
            Some(_) => Some(Step::Send),
            None if self.queue.is_empty() => None,
            None if self.head.is_none() => Some(Step::Read(Offset::default())),
            None => Some(Step::Send),
        }
    }

    /// When `step` may change by the passage of time alone.
    pub fn wake(&self, now: Millis) -> Option<Millis> {
        let deadline = self.deadline();
        let pause = (!self.busy && now < self.paused_until).then_some(self.paused_until);
        [deadline, pause].into_iter().flatten().min()
    }

    /// Starts a read. Its result comes in as an event.
    pub fn start_read(&mut self) {
        self.busy = true;
    }

    /// Starts to send the batch, forming it from the queue if there is none.
    pub fn start_send(&mut self, limit_bytes: usize) -> Vec<Record> {
        self.busy = true;
        let batch = match self.batch.take() {
            Some(batch) => batch,
            None => self.form(limit_bytes),
        };
        let records = records(&self.writer, &batch);
        self.next = batch.first + records.len() as u64;
        self.batch = Some(batch);
        records
    }

    /// The service answered with an offset.
    pub fn appended(&mut self, offset: Offset) {
        self.busy = false;
        self.failures = 0;
        let Some(batch) = &mut self.batch else { return };
        batch.stage = Stage::Settle;
        batch.appended = Some(offset);
        if !batch.ambiguous {
            batch.scan = offset;
        }
    }

    /// The append had no effect.
    pub fn refused(&mut self, now: Millis, retry_after: Option<Millis>) {
        self.fail(now, retry_after);
        let Some(batch) = self.batch.take_if(|batch| !batch.ambiguous) else { return };
        self.next = batch.first;
        for (request, due) in batch.requests.into_iter().zip(batch.due).rev() {
            if due {
                self.queue.push_front(request);
            } else {
                self.bytes -= request.bytes();
            }
        }
    }

    /// No answer arrived to the append.
    pub fn lost(&mut self, now: Millis) {
        self.fail(now, None);
        if let Some(batch) = &mut self.batch {
            batch.ambiguous = true;
            batch.stage = Stage::Settle;
        }
    }

    /// A read failed.
    pub fn read_failed(&mut self, now: Millis) {
        self.fail(now, None);
    }

    /// A read found that records before `first` have expired.
    pub fn expired(&mut self, first: Offset) -> Vec<Answer> {
        self.busy = false;
        self.head = Some(first);
        let Some(batch) = self.batch.take() else { return Vec::new() };
        self.bytes -= batch.bytes();
        answers(&batch, |_| Err(Refusal::Unconfirmed))
    }

    /// A page was read from the offset that `step` named.
    pub fn read(&mut self, now: Millis, page: &Page) -> Vec<Answer> {
        self.busy = false;
        self.failures = 0;
        let Some(batch) = &mut self.batch else {
            self.head = Some(page.head);
            return Vec::new();
        };
        let id = Id { writer: self.writer.clone(), sequence: batch.first };
        for stored in &page.appends {
            if stands_in(&id, stored.offset, &stored.data) {
                return self.settle(stored.offset, page.head);
            }
            batch.scan = batch.scan.max(Offset(stored.offset.0 + 1));
        }
        if batch.scan < page.head {
            return Vec::new();
        }
        match batch.appended {
            Some(offset) if offset >= page.head => self.paused_until = now + VISIBLE_DELAY,
            _ => batch.stage = Stage::Send,
        }
        Vec::new()
    }

    /// Answers requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Answer> {
        let mut answers = Vec::new();
        if let Some(batch) = &mut self.batch {
            for (request, due) in batch.requests.iter().zip(&mut batch.due) {
                if *due && request.deadline <= now {
                    *due = false;
                    let result = Err(Refusal::Unconfirmed);
                    answers.push(Answer { number: request.number, result });
                }
            }
        }
        while let Some(request) = self.queue.pop_front_if(|request| request.deadline <= now) {
            self.bytes -= request.bytes();
            answers.push(Answer { number: request.number, result: Err(Refusal::Unavailable) });
        }
        answers
    }

    /// Bytes that wait or are on their way.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn form(&mut self, limit_bytes: usize) -> Batch {
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
            due: vec![true; requests.len()],
            requests,
            first: self.next,
            stage: Stage::Send,
            ambiguous: false,
            scan: self.head.unwrap_or_default(),
            appended: None,
        }
    }

    fn settle(&mut self, offset: Offset, head: Offset) -> Vec<Answer> {
        self.head = Some(head);
        let Some(batch) = self.batch.take() else { return Vec::new() };
        self.bytes -= batch.bytes();
        let mut index = 0;
        answers(&batch, |request| {
            let places = index..index + request.bodies.len() as u32;
            index = places.end;
            Ok(places.map(|index| Position { offset, index }).collect())
        })
    }

    fn fail(&mut self, now: Millis, retry_after: Option<Millis>) {
        self.busy = false;
        let backoff = Millis(BACKOFF.0 << self.failures.min(8)).min(BACKOFF_LIMIT);
        self.failures += 1;
        self.paused_until = now + backoff.max(retry_after.unwrap_or_default());
    }

    fn deadline(&self) -> Option<Millis> {
        let queued = self.queue.front().map(|request| request.deadline);
        let batch = self.batch.iter().flat_map(|batch| batch.requests.iter().zip(&batch.due));
        let sent = batch.filter(|(_, due)| **due).map(|(request, _)| request.deadline).min();
        [queued, sent].into_iter().flatten().min()
    }
}

fn records(writer: &Writer, batch: &Batch) -> Vec<Record> {
    let bodies = batch.requests.iter().flat_map(|request| &request.bodies);
    let record = |(sequence, body): (u64, &Vec<u8>)| Record {
        id: Id { writer: writer.clone(), sequence },
        body: body.clone(),
    };
    (batch.first..).zip(bodies).map(record).collect()
}

fn answers(
    batch: &Batch,
    mut result: impl FnMut(&Request) -> Result<Vec<Position>, Refusal>,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    for (request, due) in batch.requests.iter().zip(&batch.due) {
        let result = result(request);
        if *due {
            answers.push(Answer { number: request.number, result });
        }
    }
    answers
}

fn stands_in(id: &Id, offset: Offset, data: &[u8]) -> bool {
    let entries = decode(offset, data).unwrap_or_default();
    entries.first().is_some_and(|entry| entry.record.id == *id)
}
