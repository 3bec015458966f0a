//! Grants items, appends their outcomes to the journal and applies the records read back.

use std::time::Instant;

use bulrushspread::{
    batch::{
        Settings,
        message::{Capacity, Pull, RunEnd, RunOutcome},
        owner::{Event, State},
        record::{PartitionRecord as Record, decode, encode},
    },
    id::{Deployment, Incarnation, Model, Offset, Partition, Stream, Vm},
    journal::{
        self, Page,
        appender::Request,
        record::{Position, Writer, decode as decode_append, encode as encode_append},
        state::{Action, Event as LogEvent, State as Journal},
        store::Append,
    },
    time::Millis,
};
use serde_json::{Value, json};

use super::records;

/// Items of one append: 12,000 items a second at 300 appends a second.
const ITEMS_PER_APPEND: u32 = 40;
/// Bytes of one response body.
const BODY_BYTES: usize = 600;
/// Items a second at the target size.
const TARGET_ITEMS_PER_S: f64 = 12_000.0;
const JOBS: u32 = 4;

/// An owner, its journal and the log, in one thread.
struct Bench {
    now: Millis,
    owner: State,
    journal: Journal,
    stream: Stream,
    /// The next offset of the log.
    head: u64,
    bytes: usize,
}

pub(crate) fn measure(items: u32) -> Value {
    let mut bench = Bench::start(items);
    let start = Instant::now();
    let mut committed = 0;
    while committed < items {
        let round = bench.round();
        assert!(round > 0, "the owner grants items until all have ended");
        committed += round;
    }
    let elapsed = start.elapsed().as_secs_f64();
    let per_s = f64::from(items) / elapsed;
    json!({
        "items": items,
        "appends": bench.head - 1,
        "items_per_append": ITEMS_PER_APPEND,
        "seconds": elapsed,
        "items_per_s": per_s,
        "core_share_at_target": TARGET_ITEMS_PER_S / per_s,
        "log_bytes_per_item": bench.bytes as f64 / f64::from(items),
    })
}

impl Bench {
    fn start(items: u32) -> Bench {
        let me = Writer { vm: Vm::from("entry-1"), incarnation: Incarnation(1) };
        let settings = Settings { adopt_ms: 0, ..Settings::default() };
        let log = journal::Settings { appends_per_s: 1_000_000, ..journal::Settings::default() };
        let mut bench = Bench {
            now: Millis(1),
            owner: State::new(me.clone(), Partition(0), settings),
            journal: Journal::new(me.clone(), log),
            stream: Stream::from("production.lane-0"),
            head: 0,
            bytes: 0,
        };
        for number in 0..JOBS {
            let spec = records::spec(number as usize, items / JOBS);
            bench.owner.apply(bench.now, Event::JobOpened(spec));
        }
        let claim = Record::Claim { epoch: bench.owner.replayed().next_epoch(None), owner: me };
        bench.commit(&[claim]);
        let live = [(Vm::from("entry-1"), Incarnation(1))].into();
        let chosen = Some(Vm::from("entry-1"));
        bench.owner.apply(bench.now, Event::Members { chosen, live });
        bench.owner.apply(bench.now, Event::CaughtUp);
        bench
    }

    /// Commits the results of one grant.
    fn round(&mut self) -> u32 {
        self.now = self.now + Millis(1);
        self.owner.apply(self.now, Event::CurrentAsOf(self.now));
        let room = Capacity {
            deployment: Deployment::from("lm-pool"),
            models: vec![Model::from("svetovalec")],
            items: ITEMS_PER_APPEND,
        };
        let pull =
            Pull { partitions: vec![Partition(0)], capacity: vec![room], holding: Vec::new() };
        let (picks, _) = self.owner.handle_pull(self.now, &Vm::from("entry-2"), &pull);
        for pick in &picks {
            let ticket = pick.ticket.clone();
            let name = format!("note-{}", ticket.item);
            self.owner.apply(self.now, Event::CustomIdFound(ticket.job.clone(), ticket.item, name));
            let body = "x".repeat(BODY_BYTES);
            let outcome = RunOutcome { ticket, end: RunEnd::Answered { status: 200, body } };
            self.owner.handle_outcome(self.now, &outcome);
        }
        let records = self.owner.next_results(usize::MAX);
        self.commit(&records);
        picks.len() as u32
    }

    /// Appends the records through the journal, reads them back and applies them.
    fn commit(&mut self, records: &[Record]) {
        let bodies = records.iter().map(|record| encode(record).unwrap()).collect();
        let deadline = self.now + Millis(3_000);
        let request = Request { number: self.head, bodies, deadline };
        let mut actions = self.journal.apply(self.now, &self.stream, LogEvent::Append(request));
        let mut appended = Vec::new();
        while let Some(action) = actions.pop() {
            let event = match action {
                Action::Append(_, records) => {
                    appended = encode_append(&records).unwrap();
                    self.bytes += appended.len();
                    self.head += 1;
                    LogEvent::Appended(Offset(self.head - 1))
                }
                Action::Read(_, from) => LogEvent::Read(self.page(from, &appended)),
                Action::Answer(_) => continue,
            };
            actions.extend(self.journal.apply(self.now, &self.stream, event));
        }
        for entry in decode_append(Offset(self.head - 1), &appended).unwrap() {
            let record: Record = decode(&entry.record.body).unwrap();
            let position = Position { offset: entry.position.offset, ..entry.position };
            self.owner.apply(self.now, Event::Record(position, record));
        }
    }

    fn page(&self, from: Offset, appended: &[u8]) -> Page {
        let head = Offset(self.head);
        let stored = Append { offset: from, data: appended.to_vec() };
        let appends = if from < head { vec![stored] } else { Vec::new() };
        Page { first: Offset(0), head, appends }
    }
}
