//! The origins of streams that this node knows, and its announcements.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{fleet::Software, time::Millis};

/// Time after the deadline of a request for which its origin is kept, because a caller may resume
/// the stream after that request has ended.
pub(super) const RETENTION: Millis = Millis(5_000);
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
    /// `None` after a withdrawal: the software is not known, although an earlier revision named one.
    software: Option<Software>,
    revision: u32,
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
    /// The nodes that may hold the software of a request of this node that has had no event yet, by
    /// their gossip address. Another version may bring the first event only if all of them have
    /// confirmed the withdrawal. The keys are in `entries`.
    holders: BTreeMap<Digest, BTreeSet<SocketAddr>>,
}

/// A withdrawn origin that other nodes are yet to confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    pub revision: u32,
    pub remaining: Millis,
    /// Gossip addresses of the nodes that have not confirmed.
    pub holders: BTreeSet<SocketAddr>,
}

impl State {
    /// The software that began a stream. A proposed one is no answer, because it may change.
    pub fn find(&self, now: Millis, request: Digest) -> Option<Origin> {
        if self.holders.contains_key(&request) {
            return None;
        }
        let entry = self.entries.get(&request).filter(|entry| entry.expires_at > now)?;
        Some(Origin { software: entry.software.clone()?, revision: entry.revision })
    }

    /// Records an origin of this node, which is then announced. `deadline` is that of the request.
    /// The software can't change any more.
    pub fn record(&mut self, now: Millis, request: Digest, origin: Origin, deadline: Millis) {
        let Origin { software, revision } = origin;
        if self.insert(now, request, Some(software), revision, deadline + RETENTION) {
            self.pending.push_back((request, ANNOUNCEMENTS));
        }
        self.holders.remove(&request);
    }

    /// Records the software that a request of this node is sent to, which may change until the
    /// first event.
    pub fn propose(&mut self, now: Millis, request: Digest, software: Software, deadline: Millis) {
        let revision = self.next_revision(request);
        if self.insert(now, request, Some(software), revision, deadline + RETENTION) {
            self.pending.push_back((request, ANNOUNCEMENTS));
            self.holders.entry(request).or_default();
        }
    }

    /// Records that `software` has brought the first event: the proposed one, or another one after
    /// a withdrawal.
    pub fn settle(&mut self, now: Millis, request: Digest, software: Software, deadline: Millis) {
        let known = self.entries.get(&request);
        if known.is_none_or(|entry| entry.software.as_ref() != Some(&software)) {
            let revision = self.next_revision(request);
            self.record(now, request, Origin { software, revision }, deadline);
        }
        self.holders.remove(&request);
    }

    /// Withdraws the proposed software, so that the first event may come from another version once
    /// all nodes that may hold it have confirmed. `None` if it is not known which nodes these are.
    pub fn withdraw(&mut self, now: Millis, request: Digest) -> Option<Withdrawal> {
        let holders = self.holders.get(&request)?.clone();
        let entry = self.entries.get_mut(&request)?;
        if entry.software.take().is_some() {
            entry.revision += 1;
        }
        let remaining = entry.expires_at - now;
        Some(Withdrawal { revision: entry.revision, remaining, holders })
    }

    /// Records that a node has applied a withdrawal. `sender` is the address from which it replies to
    /// questions; `question_address` maps a gossip address to it.
    pub fn confirm(
        &mut self,
        request: Digest,
        revision: u32,
        question_address: impl Fn(SocketAddr) -> SocketAddr,
        sender: SocketAddr,
    ) {
        let is_current = self
            .entries
            .get(&request)
            .is_some_and(|entry| entry.software.is_none() && entry.revision == revision);
        if let (true, Some(holders)) = (is_current, self.holders.get_mut(&request)) {
            holders.retain(|holder| question_address(*holder) != sender);
        }
    }

    /// Whether a request of this node was withdrawn and no other node holds its software.
    pub fn is_withdrawn(&self, request: Digest) -> bool {
        let has_software = self.entries.get(&request).is_none_or(|entry| entry.software.is_some());
        !has_software && self.holders.get(&request).is_some_and(BTreeSet::is_empty)
    }

    /// Applies the withdrawal of another node. Kept even if the origin is unknown here, because its
    /// announcement may arrive later.
    pub fn merge_withdrawal(
        &mut self,
        now: Millis,
        request: Digest,
        revision: u32,
        remaining: Millis,
    ) {
        self.insert(now, request, None, revision, now + remaining);
    }

    /// The revision of the next origin of a request.
    pub fn next_revision(&self, request: Digest) -> u32 {
        self.entries.get(&request).map_or(0, |entry| entry.revision + 1)
    }

    /// Applies the announcements of another node.
    pub fn merge(&mut self, now: Millis, news: News) {
        for announcement in news.origins {
            let Some(software) = news.software.get(announcement.software as usize) else {
                log::warn!(software = announcement.software; "ignored an announced origin without its software");
                continue;
            };
            let Announcement { request, revision, remaining, .. } = announcement;
            self.insert(now, request, Some(software.clone()), revision, now + remaining);
        }
    }

    /// Applies the reply of another node to a question.
    pub fn learn(&mut self, now: Millis, request: Digest, origin: Origin, remaining: Millis) {
        self.insert(now, request, Some(origin.software), origin.revision, now + remaining);
    }

    /// Time until the origin expires.
    pub fn remaining(&self, now: Millis, request: Digest) -> Millis {
        self.entries.get(&request).map_or(Millis(0), |entry| entry.expires_at - now)
    }

    /// The origins that the next message announces. `recipients` are the gossip addresses of all
    /// nodes that it is sent to.
    pub fn take_news(&mut self, now: Millis, recipients: &[SocketAddr]) -> News {
        let mut news = News::default();
        let count = self.pending.len().min(MAX_NEWS);
        for _ in 0..count {
            let Some((request, left)) = self.pending.pop_front() else { break };
            let Some(entry) = self.entries.get(&request) else { continue };
            let Some(software) = &entry.software else { continue };
            let known = news.software.iter().position(|known| known == software);
            let software = known.unwrap_or_else(|| {
                news.software.push(software.clone());
                news.software.len() - 1
            });
            if let Some(holders) = self.holders.get_mut(&request) {
                holders.extend(recipients);
            }
            news.origins.push(Announcement {
                request,
                software: software as u32,
                revision: entry.revision,
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
    fn insert(
        &mut self,
        now: Millis,
        request: Digest,
        software: Option<Software>,
        revision: u32,
        expires_at: Millis,
    ) -> bool {
        self.expire(now);
        let known = self.entries.get(&request);
        let expires_at = known.map_or(expires_at, |known| expires_at.max(known.expires_at));
        if let Some(known) = known {
            let is_outdated = known.revision > revision;
            let is_known = known.software == software && known.revision == revision;
            if is_outdated || is_known && known.expires_at == expires_at {
                return false;
            }
            self.by_expiry.remove(&(known.expires_at, request));
        }
        self.by_expiry.insert((expires_at, request));
        self.entries.insert(request, Entry { software, revision, expires_at });
        true
    }

    fn expire(&mut self, now: Millis) {
        while let Some(&(expires_at, request)) = self.by_expiry.first() {
            if expires_at > now && self.entries.len() < MAX_ORIGINS {
                return;
            }
            self.by_expiry.pop_first();
            self.entries.remove(&request);
            self.holders.remove(&request);
        }
    }
}
