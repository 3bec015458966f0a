//! Streams, retention and the fate of each append.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use super::{Outage, Settings};

/// Part of a second's appends that may come at once.
const BURST_SECONDS: f64 = 0.25;

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Answered,
    RateLimited,
    AnswerLost,
    /// The answer is lost, and the append takes effect later.
    Late(Duration),
}

/// How often operations came, by their outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) appends: u64,
    pub(crate) reads: u64,
    pub(crate) rate_limited: u64,
    pub(crate) answers_lost: u64,
    pub(crate) refused: u64,
    pub(crate) bytes: u64,
    /// Records ever appended, by stream.
    pub(crate) heads: BTreeMap<String, u64>,
}

/// A stored append.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) data: Bytes,
    at: Instant,
}

/// One stream. The record at index `i` has offset `first + i`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stream {
    pub(crate) first: u64,
    pub(crate) records: VecDeque<Stored>,
}

impl Stream {
    pub(crate) fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, settings: &Settings, now: Instant) {
        while let Some(oldest) = self.records.front() {
            let aged = settings
                .retain_ms
                .is_some_and(|limit| now.duration_since(oldest.at) > Duration::from_millis(limit));
            let crowded = settings.retain_records.is_some_and(|limit| self.records.len() > limit);
            if !aged && !crowded {
                return;
            }
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// All that the service holds.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) counts: Counts,
    streams: BTreeMap<String, Stream>,
    rng: SmallRng,
    /// Appends that may come at once; refilled by time.
    allowance: f64,
    refilled: Instant,
}

impl State {
    pub(crate) fn new(settings: Settings) -> State {
        State {
            rng: SmallRng::seed_from_u64(settings.seed),
            allowance: settings.appends_per_s * BURST_SECONDS,
            refilled: Instant::now(),
            counts: Counts::default(),
            streams: BTreeMap::new(),
            settings,
        }
    }

    pub(crate) fn outage(&self) -> Outage {
        self.settings.outage
    }

    /// Decides what happens to the next append.
    pub(crate) fn draw_fate(&mut self, now: Instant) -> Fate {
        if !self.take_allowance(now) {
            self.counts.rate_limited += 1;
            return Fate::RateLimited;
        }
        let fate = self.draw_loss();
        if fate != Fate::Answered {
            self.counts.answers_lost += 1;
        }
        fate
    }

    fn draw_loss(&mut self) -> Fate {
        if self.settings.late_effects > 0 {
            self.settings.late_effects -= 1;
            return Fate::Late(Duration::from_millis(self.settings.late_ms));
        }
        if self.settings.lost_answers > 0 {
            self.settings.lost_answers -= 1;
            return Fate::AnswerLost;
        }
        let probability = self.settings.lost_probability;
        match probability > 0.0 && self.rng.random_bool(probability.min(1.0)) {
            true => Fate::AnswerLost,
            false => Fate::Answered,
        }
    }

    fn take_allowance(&mut self, now: Instant) -> bool {
        let rate = self.settings.appends_per_s;
        let earned = now.duration_since(self.refilled).as_secs_f64() * rate;
        self.refilled = now;
        self.allowance = (self.allowance + earned).min((rate * BURST_SECONDS).max(1.0));
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }

    /// Stores one append and returns its offset.
    pub(crate) fn append(&mut self, name: &str, data: Bytes, now: Instant) -> u64 {
        self.counts.appends += 1;
        self.counts.bytes += data.len() as u64;
        let stream = self.streams.entry(name.to_string()).or_default();
        let offset = stream.head();
        stream.records.push_back(Stored { data, at: now });
        stream.expire(&self.settings, now);
        self.counts.heads.insert(name.to_string(), stream.head());
        offset
    }

    /// The stream as it stands at `now`.
    pub(crate) fn stream(&mut self, name: &str, now: Instant) -> &Stream {
        let stream = self.streams.entry(name.to_string()).or_default();
        stream.expire(&self.settings, now);
        stream
    }
}
