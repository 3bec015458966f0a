//! The prefix cache: blocks of prompts, the least recently used evicted first.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::Serialize;

use super::text::{digest, tokens_of};

/// Bytes of prompt in one block.
const BLOCK_BYTES: usize = 64;
/// Events that are kept for readers.
const EVENT_LIMIT: usize = 10_000;

/// A change of the cache. Gaps in `index` are events that were never published.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    pub(crate) index: u64,
    pub(crate) change: Change,
    /// The digest of the prompt up to the end of the block.
    pub(crate) block: String,
    #[serde(skip)]
    at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Change {
    Stored,
    Evicted,
}

#[derive(Default)]
pub(crate) struct Cache {
    /// The last use of each block.
    used: BTreeMap<u64, u64>,
    /// The block of each use.
    order: BTreeMap<u64, u64>,
    uses: u64,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    pub(crate) hit_blocks: u64,
    pub(crate) missed_blocks: u64,
}

impl Cache {
    /// Looks up and stores the prompt; returns the tokens that still need a prefill.
    pub(crate) fn admit(&mut self, prompt: &str, capacity: usize) -> u32 {
        let ends = (1..=prompt.len() / BLOCK_BYTES).map(|count| count * BLOCK_BYTES);
        let blocks: Vec<u64> = ends.map(|end| digest(&prompt.as_bytes()[..end])).collect();
        let hits = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        self.hit_blocks += hits as u64;
        self.missed_blocks += (blocks.len() - hits) as u64;
        for block in blocks {
            self.touch(block);
        }
        self.evict(capacity);
        tokens_of(prompt.len() - hits * BLOCK_BYTES)
    }

    /// Events from `from` on that are older than `lag`, without those of a gap.
    pub(crate) fn events(&self, from: u64, lag: Duration, gap: u64) -> Vec<Event> {
        let published = |event: &&Event| {
            let visible = event.at.is_none_or(|at| at.elapsed() >= lag);
            visible && (gap == 0 || event.index % gap != gap - 1)
        };
        self.events.range(from..).map(|(_, event)| event).filter(published).cloned().collect()
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        match self.used.insert(block, self.uses) {
            Some(earlier) => drop(self.order.remove(&earlier)),
            None => self.publish(Change::Stored, block),
        }
        self.order.insert(self.uses, block);
    }

    fn evict(&mut self, capacity: usize) {
        while self.used.len() > capacity {
            let Some((_, block)) = self.order.pop_first() else { return };
            self.used.remove(&block);
            self.publish(Change::Evicted, block);
        }
    }

    fn publish(&mut self, change: Change, block: u64) {
        let index = self.next_event;
        self.next_event += 1;
        let event =
            Event { index, change, block: format!("{block:016x}"), at: Some(Instant::now()) };
        self.events.insert(index, event);
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_first();
        }
    }
}
