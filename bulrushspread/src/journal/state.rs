//! The decisions of the journal: what to append or read, when, and what to answer.

use std::collections::BTreeMap;

use crate::{
    id::{Offset, Stream},
    time::Millis,
};

use super::{
    Settings,
    appender::{Answer, Appender, Refusal, Request, Step},
    budget::Budget,
    record::{Record, Writer},
    store::Page,
};

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller wants records appended.
    Append(Request),
    /// The service appended at this offset.
    Appended(Offset),
    /// The service refused an append; it had no effect.
    Refused { retry_after: Option<Millis> },
    /// No answer arrived to an append.
    Lost,
    /// A page was read.
    Read(Page),
    /// A read gave no page.
    ReadFailed,
    /// Records before this offset have expired.
    Expired(Offset),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the records to the stream and report the outcome.
    Append(Stream, Vec<Record>),
    /// Read the stream from the offset on and report the page.
    Read(Stream, Offset),
    /// Tell the caller.
    Answer(Answer),
}

/// The appenders of all streams, under one budget and one buffer.
#[derive(Clone, Debug)]
pub struct State {
    writer: Writer,
    settings: Settings,
    budget: Budget,
    appenders: BTreeMap<Stream, Appender>,
    /// The stream that sent last; those after it come first.
    last: Stream,
    /// Bytes of all requests that have not left their appender.
    buffered: usize,
}

impl State {
    pub fn new(writer: Writer, settings: Settings) -> State {
        let budget = Budget::new(f64::from(settings.appends_per_s));
        State {
            writer,
            settings,
            budget,
            appenders: BTreeMap::new(),
            last: Stream::default(),
            buffered: 0,
        }
    }

    /// Sets this node's part of the service's append rate.
    pub fn set_nodes(&mut self, now: Millis, live: usize) {
        let rate = f64::from(self.settings.appends_per_s) / live.max(1) as f64;
        self.budget.set_rate(now, rate);
    }

    /// Takes in what happened on a stream and returns what to do.
    pub fn apply(&mut self, now: Millis, stream: &Stream, event: Event) -> Vec<Action> {
        let answers = match event {
            Event::Append(request) => self.push(stream, request),
            event => self.feed(now, stream, event),
        };
        let mut actions: Vec<Action> = answers.into_iter().map(Action::Answer).collect();
        actions.extend(self.tick(now));
        actions
    }

    /// Returns what is due because time has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        for appender in self.appenders.values_mut() {
            let before = appender.bytes();
            actions.extend(appender.expire(now).into_iter().map(Action::Answer));
            self.buffered -= before - appender.bytes();
        }
        for stream in self.rotation(now) {
            actions.extend(self.start(now, &stream));
        }
        actions
    }

    /// When `tick` has something to do at the latest, unless an event comes first.
    pub fn wake(&self, now: Millis) -> Option<Millis> {
        let appenders = self.appenders.values();
        let waits = appenders.clone().any(|appender| appender.step(now) == Some(Step::Send));
        let budget = waits.then(|| self.budget.ready_at());
        appenders.filter_map(|appender| appender.wake(now)).chain(budget).min()
    }

    /// Bytes of records that wait for the log.
    pub fn buffered(&self) -> usize {
        self.buffered
    }

    fn push(&mut self, stream: &Stream, request: Request) -> Vec<Answer> {
        let bytes = request.bytes();
        if self.buffered + bytes > self.settings.buffer_bytes {
            return vec![Answer { number: request.number, result: Err(Refusal::Unavailable) }];
        }
        self.buffered += bytes;
        self.appender(stream).push(request);
        Vec::new()
    }

    fn feed(&mut self, now: Millis, stream: &Stream, event: Event) -> Vec<Answer> {
        let appender = self.appender(stream);
        let before = appender.bytes();
        let answers = match event {
            Event::Appended(offset) => {
                appender.appended(offset);
                Vec::new()
            }
            Event::Refused { retry_after } => {
                appender.refused(now, retry_after);
                Vec::new()
            }
            Event::Lost => {
                appender.lost(now);
                Vec::new()
            }
            Event::ReadFailed => {
                appender.read_failed(now);
                Vec::new()
            }
            Event::Read(page) => appender.read(now, &page),
            Event::Expired(first) => appender.expired(first),
            Event::Append(_) => Vec::new(),
        };
        let released = before - appender.bytes();
        self.buffered -= released;
        answers
    }

    fn start(&mut self, now: Millis, stream: &Stream) -> Option<Action> {
        let appender = self.appenders.get_mut(stream)?;
        match appender.step(now)? {
            Step::Read(from) => {
                appender.start_read();
                Some(Action::Read(stream.clone(), from))
            }
            Step::Send if self.budget.take(now) => {
                let records = appender.start_send(self.settings.append_bytes);
                self.last = stream.clone();
                Some(Action::Append(stream.clone(), records))
            }
            Step::Send => None,
        }
    }

    fn appender(&mut self, stream: &Stream) -> &mut Appender {
        let writer = &self.writer;
        self.appenders.entry(stream.clone()).or_insert_with(|| Appender::new(writer.clone()))
    }

    /// Streams with something to do, those after the last sender first.
    fn rotation(&self, now: Millis) -> Vec<Stream> {
        let ready = self.appenders.iter().filter(|(_, appender)| appender.step(now).is_some());
        let (before, after): (Vec<&Stream>, Vec<&Stream>) =
            ready.map(|(stream, _)| stream).partition(|stream| **stream <= self.last);
        after.into_iter().chain(before).cloned().collect()
    }
}
