//! Follows one stream with reads that wait for new records.

use cadence::CountedExt;
use tokio::sync::mpsc;

use crate::{
    id::{Offset, Stream},
    time::Millis,
};

use super::{
    handle::Followed,
    record::{Entry, decode},
    seen::Seen,
    store::{Error, Page, Stored},
    task::Wired,
};

/// The first pause after a failed read.
const BACKOFF: Millis = Millis(50);
/// The longest pause after a failed read.
const BACKOFF_LIMIT: Millis = Millis(1_000);

/// The reader of one stream.
pub(crate) struct Follower {
    wired: Wired,
    stream: Stream,
    /// All entries before this offset have been delivered.
    next: Offset,
    /// The offset of the last `CaughtUp`.
    caught_up: Option<Offset>,
    seen: Seen,
    failures: u32,
}

impl Follower {
    pub(crate) fn new(wired: Wired, stream: Stream, from: Offset) -> Follower {
        Follower { wired, stream, next: from, caught_up: None, seen: Seen::default(), failures: 0 }
    }

    /// Reads until the receiver is dropped.
    pub(crate) async fn run(mut self, sender: mpsc::Sender<Followed>) {
        loop {
            let wait = self.wait();
            let began = self.wired.clock.now();
            let page = tokio::select! {
                page = self.wired.store.read(&self.stream, self.next, wait) => page,
                () = sender.closed() => return,
            };
            for news in self.take(page).await {
                if sender.send(news).await.is_err() {
                    return;
                }
            }
            if self.caught_up == Some(self.next) && self.failures == 0 {
                self.wired.checked.lock().unwrap().insert(self.stream.clone(), began);
            }
        }
    }

    /// Waits for new records only once the end has been reported.
    fn wait(&self) -> Millis {
        match self.caught_up {
            Some(offset) if offset == self.next => self.wired.follow_wait,
            _ => Millis(0),
        }
    }

    async fn take(&mut self, page: Result<Page, Error>) -> Vec<Followed> {
        match page {
            Ok(page) => {
                self.failures = 0;
                self.wired.report(true);
                self.deliver(page)
            }
            Err(Error::Expired { first }) => {
                self.next = self.next.max(first);
                vec![Followed::Lost(first)]
            }
            Err(error) => {
                log::debug!("journal: reading {} failed: {error}", self.stream);
                self.wired.report(false);
                self.pause().await;
                Vec::new()
            }
        }
    }

    fn deliver(&mut self, page: Page) -> Vec<Followed> {
        let mut news = Vec::new();
        let entries: Vec<Entry> =
            page.appends.iter().flat_map(|stored| self.entries(stored)).collect();
        if !entries.is_empty() {
            news.push(Followed::Entries(entries));
        }
        if let Some(last) = page.appends.last() {
            self.next = Offset(last.offset.0 + 1);
        }
        if self.next >= page.head && self.caught_up != Some(self.next) {
            self.caught_up = Some(self.next);
            news.push(Followed::CaughtUp(self.next));
        }
        news
    }

    /// The entries of one append that were not delivered before. Keeps its place if unreadable.
    fn entries(&mut self, stored: &Stored) -> Vec<Entry> {
        match decode(stored.offset, &stored.data) {
            Ok(entries) => entries.into_iter().filter(|entry| self.seen.admit(entry)).collect(),
            Err(error) => {
                let _ = self.wired.metrics.incr("journal.unreadable");
                log::debug!("journal: {} at {}: {error}", self.stream, stored.offset);
                Vec::new()
            }
        }
    }

    async fn pause(&mut self) {
        let backoff = Millis(BACKOFF.0 << self.failures.min(8)).min(BACKOFF_LIMIT);
        self.failures += 1;
        tokio::time::sleep(backoff.duration()).await;
    }
}
