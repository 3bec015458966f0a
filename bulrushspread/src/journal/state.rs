//! Decides what to append or read and when, and answers the callers. Performs no I/O.

use std::collections::BTreeMap;

use crate::{
    id::{Offset, Stream},
    time::Millis,
};

use super::{
    Settings,
    appender::{Answer, Appender, Failure, Request, Step},
    budget::Budget,
    record::{Record, Writer},
    store::Page,
};

/// An event on one stream.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller requests an append.
    Append(Request),
    /// The service appended the records at this offset.
    Appended(Offset),
    /// The service refused an append, which had no effect.
    Refused { retry_after: Option<Millis> },
    /// An append got no response and may or may not have taken effect.
    OutcomeUnknown,
    /// A page was read.
    Read(Page),
    /// A read failed.
    ReadFailed,
    /// Records before this offset have expired.
    Expired(Offset),
}

/// An action for the caller of [`State`] to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the records to the stream and report the outcome as an [`Event`].
    Append(Stream, Vec<Record>),
    /// Read the stream from the offset on and report the outcome as an [`Event`].
    Read(Stream, Offset),
    /// Return the result of a request to its caller.
    Answer(Answer),
}

/// The appenders of all streams. They share the append budget and the limit of buffered bytes.
#[derive(Clone, Debug)]
pub struct State {
    writer: Writer,
    settings: Settings,
    budget: Budget,
    appenders: BTreeMap<Stream, Appender>,
    /// The stream that sent last. Streams take turns, so those after it come first.
    last_sender: Stream,
    /// Bytes of all requests that their appenders still hold.
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
            last_sender: Stream::default(),
            buffered: 0,
        }
    }

    /// Sets this node's share of the append rate, which all live nodes share equally.
    pub fn set_node_count(&mut self, now: Millis, live: usize) {
        let rate = f64::from(self.settings.appends_per_s) / live.max(1) as f64;
        self.budget.set_rate(now, rate);
    }

    /// Applies an event on a stream and returns the resulting actions.
    pub fn apply(&mut self, now: Millis, stream: &Stream, event: Event) -> Vec<Action> {
        let answers = match event {
            Event::Append(request) => self.push(stream, request),
            event => self.handle_outcome(now, stream, event),
        };
        let mut actions: Vec<Action> = answers.into_iter().map(Action::Answer).collect();
        actions.extend(self.tick(now));
        actions
    }

    /// Returns the actions that are due at `now`: expired requests and operations to start.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        for appender in self.appenders.values_mut() {
            let before = appender.bytes();
            actions.extend(appender.expire_requests(now).into_iter().map(Action::Answer));
            self.buffered -= before - appender.bytes();
        }
        for stream in self.ready_streams(now) {
            actions.extend(self.start(now, &stream));
        }
        actions
    }

    /// The latest time of the next `tick`, unless an event comes first.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        let appenders = self.appenders.values();
        let can_send =
            appenders.clone().any(|appender| appender.next_step(now) == Some(Step::Send));
        let budget = can_send.then(|| self.budget.ready_at());
        appenders.filter_map(|appender| appender.next_wake(now)).chain(budget).min()
    }

    /// Bytes of records that are not yet confirmed by the log.
    pub fn buffered(&self) -> usize {
        self.buffered
    }

    /// Queues a request, or refuses the request if the buffer is full.
    fn push(&mut self, stream: &Stream, request: Request) -> Vec<Answer> {
        let bytes = request.bytes();
        if self.buffered + bytes > self.settings.buffer_bytes {
            return vec![Answer { number: request.number, result: Err(Failure::Unavailable) }];
        }
        self.buffered += bytes;
        self.appender(stream).push(request);
        Vec::new()
    }

    fn handle_outcome(&mut self, now: Millis, stream: &Stream, event: Event) -> Vec<Answer> {
        let appender = self.appender(stream);
        let before = appender.bytes();
        let answers = match event {
            Event::Appended(offset) => {
                appender.handle_appended(offset);
                Vec::new()
            }
            Event::Refused { retry_after } => {
                appender.handle_refused(now, retry_after);
                Vec::new()
            }
            Event::OutcomeUnknown => {
                appender.handle_unknown_outcome(now);
                Vec::new()
            }
            Event::ReadFailed => {
                appender.handle_read_failure(now);
                Vec::new()
            }
            Event::Read(page) => appender.handle_page(now, &page),
            Event::Expired(first) => appender.handle_expired(first),
            Event::Append(_) => Vec::new(),
        };
        let released = before - appender.bytes();
        self.buffered -= released;
        answers
    }

    /// Starts the next operation on a stream, if there is one and the budget allows it.
    fn start(&mut self, now: Millis, stream: &Stream) -> Option<Action> {
        let appender = self.appenders.get_mut(stream)?;
        match appender.next_step(now)? {
            Step::Read(from) => {
                appender.start_read();
                Some(Action::Read(stream.clone(), from))
            }
            Step::Send if self.budget.try_take(now) => {
                let records = appender.start_send(self.settings.append_bytes);
                self.last_sender = stream.clone();
                Some(Action::Append(stream.clone(), records))
            }
            Step::Send => None,
        }
    }

    fn appender(&mut self, stream: &Stream) -> &mut Appender {
        let writer = &self.writer;
        self.appenders.entry(stream.clone()).or_insert_with(|| Appender::new(writer.clone()))
    }

    /// Streams with an operation to start, in round-robin order after the last sender.
    fn ready_streams(&self, now: Millis) -> Vec<Stream> {
        let ready = self.appenders.iter().filter(|(_, appender)| appender.next_step(now).is_some());
        let (before, after): (Vec<&Stream>, Vec<&Stream>) =
            ready.map(|(stream, _)| stream).partition(|stream| **stream <= self.last_sender);
        after.into_iter().chain(before).cloned().collect()
    }
}
