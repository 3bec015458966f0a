//! The origins of streams that this node knows, and its announcements.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::Software, time::Millis};

/// Time after the deadline of a request for which its origin is kept, because a caller may resume
/// the stream after that request has ended.
const RETENTION: Millis = Millis(5_000);
/// Maximum number of origins. Beyond it the one that expires first is removed.
const MAX_ORIGINS: usize = 20_000;
/// Number of messages that announce an origin, because datagrams may be lost.
const ANNOUNCEMENTS: u8 = 3;
/// Maximum number of origins in one message; each takes some 12 bytes.
const MAX_NEWS: usize = 200;

/// 64-bit hash of the id of the request that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    pub fn of(request: &str) -> Digest {
        Digest(xxh3_64(request.as_bytes()))
    }
}

/// The software that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    pub software: Software,
    /// Number of changes of `software`, which is known for good with the first event. The latest
    /// one counts, whatever the order in which nodes learn of them.
    pub revision: u32,
}

/// An origin as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    pub request: Digest,
    /// Index into [`News::software`].
    pub software: u32,
    pub revision: u32,
    /// Time until the origin expires, because the clocks of nodes differ.
    pub remaining: Millis,
}

/// The origins that a gossip message announces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub software: Vec<Software>,
    pub origins: Vec<Announcement>,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: Origin,
    expires_at: Millis,
}

/// The origins known to one node.
#[derive(Clone, Debug, Default)]
pub struct State {
    entries: BTreeMap<Digest, Entry>,
    /// Keys of `entries`, by expiry.
    by_expiry: BTreeSet<(Millis, Digest)>,
    /// Origins to announce and the number of messages that are still to announce them.
    pending: VecDeque<(Digest, u8)>,
}

impl State {
    pub fn find(&self, now: Millis, request: Digest) -> Option<&Origin> {
        let entry = self.entries.get(&request)?;
        (entry.expires_at > now).then_some(&entry.origin)
    }

    /// Records an origin of this node, which is then announced. `deadline` is that of the request.
    pub fn record(&mut self, now: Millis, request: Digest, origin: Origin, deadline: Millis) {
        if self.insert(now, request, origin, deadline + RETENTION) {
            self.pending.push_back((request, ANNOUNCEMENTS));
        }
    }

    /// Applies the announcements of another node.
    pub fn merge(&mut self, now: Millis, news: News) {
        for announcement in news.origins {
            let Some(software) = news.software.get(announcement.software as usize) else {
                log::warn!(software = announcement.software; "ignored an announced origin without its software");
                continue;
            };
            let origin = Origin { software: software.clone(), revision: announcement.revision };
            self.insert(now, announcement.request, origin, now + announcement.remaining);
        }
    }

    /// Applies the reply of another node to a question.
    pub fn learn(&mut self, now: Millis, request: Digest, origin: Origin, remaining: Millis) {
        self.insert(now, request, origin, now + remaining);
    }

    /// Time until the origin expires.
    pub fn remaining(&self, now: Millis, request: Digest) -> Millis {
        self.entries.get(&request).map_or(Millis(0), |entry| entry.expires_at - now)
    }

    /// The origins that the next message announces.
    pub fn take_news(&mut self, now: Millis) -> News {
        let mut news = News::default();
        let count = self.pending.len().min(MAX_NEWS);
        for _ in 0..count {
            let Some((request, left)) = self.pending.pop_front() else { break };
            let Some(entry) = self.entries.get(&request) else { continue };
            let known = news.software.iter().position(|known| *known == entry.origin.software);
            let software = known.unwrap_or_else(|| {
                news.software.push(entry.origin.software.clone());
                news.software.len() - 1
            });
            news.origins.push(Announcement {
                request,
                software: software as u32,
                revision: entry.origin.revision,
                remaining: entry.expires_at - now,
            });
            if left > 1 {
                self.pending.push_back((request, left - 1));
            }
        }
        news
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds or updates an origin. Returns false if a later revision is known, or if nothing
    /// changes.
    fn insert(&mut self, now: Millis, request: Digest, origin: Origin, expires_at: Millis) -> bool {
        self.expire(now);
        let known = self.entries.get(&request);
        let expires_at = known.map_or(expires_at, |known| expires_at.max(known.expires_at));
        if let Some(known) = known {
            let is_outdated = known.origin.revision > origin.revision;
            if is_outdated || known.origin == origin && known.expires_at == expires_at {
                return false;
            }
            self.by_expiry.remove(&(known.expires_at, request));
        }
        self.by_expiry.insert((expires_at, request));
        self.entries.insert(request, Entry { origin, expires_at });
        true
    }

    fn expire(&mut self, now: Millis) {
        while let Some(&(expires_at, request)) = self.by_expiry.first() {
            if expires_at > now && self.entries.len() < MAX_ORIGINS {
                return;
            }
            self.by_expiry.pop_first();
            self.entries.remove(&request);
        }
    }
}
