//! Follows one stream with long polls.

use cadence::CountedExt;
use tokio::sync::mpsc;

use crate::{
    id::{Offset, Stream},
    time::Millis,
};

use super::{
    dedup::Filter,
    handle::FollowEvent,
    record::{Entry, decode},
    store::{Append, Error, Page},
    task::Backend,
};

/// Back-off after the first failed read; doubles with each further one.
const BACKOFF: Millis = Millis(50);
const BACKOFF_MAX: Millis = Millis(1_000);

/// The reader of one stream.
pub(crate) struct Follower {
    backend: Backend,
    stream: Stream,
    /// All entries before this offset have been delivered.
    next: Offset,
    /// The offset of the last [`FollowEvent::CaughtUp`].
    caught_up: Option<Offset>,
    duplicates: Filter,
    failures: u32,
}

impl Follower {
    pub(crate) fn new(backend: Backend, stream: Stream, from: Offset) -> Follower {
        Follower {
            backend,
            stream,
            next: from,
            caught_up: None,
            duplicates: Filter::default(),
            failures: 0,
        }
    }

    /// Reads until the receiver is dropped.
    pub(crate) async fn run(mut self, sender: mpsc::Sender<FollowEvent>) {
        loop {
            let wait = self.read_wait();
            let started = self.backend.clock.now();
            let page = tokio::select! {
                page = self.backend.store.read(&self.stream, self.next, wait) => page,
                () = sender.closed() => return,
            };
            for event in self.handle_read(page).await {
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            if self.caught_up == Some(self.next) && self.failures == 0 {
                self.backend
                    .last_complete_reads
                    .lock()
                    .unwrap()
                    .insert(self.stream.clone(), started);
            }
        }
    }

    /// The wait of the next read. Zero until the end of the stream has been reported.
    fn read_wait(&self) -> Millis {
        match self.caught_up {
            Some(offset) if offset == self.next => self.backend.follow_wait,
            _ => Millis(0),
        }
    }

    async fn handle_read(&mut self, page: Result<Page, Error>) -> Vec<FollowEvent> {
        match page {
            Ok(page) => {
                self.failures = 0;
                self.backend.record_reachability(true);
                self.handle_page(page)
            }
            Err(Error::Expired { first }) => {
                self.next = self.next.max(first);
                vec![FollowEvent::Expired(first)]
            }
            Err(error) => {
                log::debug!("journal: reading stream {} failed: {error}", self.stream);
                self.backend.record_reachability(false);
                self.back_off().await;
                Vec::new()
            }
        }
    }

    fn handle_page(&mut self, page: Page) -> Vec<FollowEvent> {
        let mut events = Vec::new();
        let entries: Vec<Entry> =
            page.appends.iter().flat_map(|append| self.decode_new(append)).collect();
        if !entries.is_empty() {
            events.push(FollowEvent::Entries(entries));
        }
        if let Some(last) = page.appends.last() {
            self.next = Offset(last.offset.0 + 1);
        }
        if self.next >= page.head && self.caught_up != Some(self.next) {
            self.caught_up = Some(self.next);
            events.push(FollowEvent::CaughtUp(self.next));
        }
        events
    }

    /// Returns the entries of `append` that were not delivered before.
    ///
    /// An append that can't be decoded has no entries but keeps its offset.
    fn decode_new(&mut self, append: &Append) -> Vec<Entry> {
        match decode(append.offset, &append.data) {
            Ok(entries) => {
                entries.into_iter().filter(|entry| self.duplicates.insert(entry)).collect()
            }
            Err(error) => {
                let _ = self.backend.metrics.incr("journal.unreadable");
                log::debug!(
                    "journal: can't decode stream {} at offset {}: {error}",
                    self.stream,
                    append.offset
                );
                Vec::new()
            }
        }
    }

    async fn back_off(&mut self) {
        let backoff = Millis(BACKOFF.0 << self.failures.min(8)).min(BACKOFF_MAX);
        self.failures += 1;
        tokio::time::sleep(backoff.duration()).await;
    }
}
