//! Pace of upstreams that state it, and the choice between upstreams by the time that a request is
//! expected to take there.
//!
//! A node with a few requests a second gets an answer of each of 60 upstreams once in 15 seconds, while
//! a pace lasts about 600 ms. So nodes pass on the paces that they read.

use std::{ops::RangeInclusive, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{id::Upstream, time::Millis};

use super::Digest;

/// Paces that an upstream can have: between four times as fast as usual, and sixteen times as slow. An
/// upstream that states 0 or an absurd pace must be neither avoided for good nor flooded.
pub const RANGE: RangeInclusive<u16> = 25..=1_600;
/// Time constant with which a stated pace is aged towards the mean of the upstream.
const LIFETIME: Duration = Duration::from_millis(600);
/// Reports of one statement reach a node over several ways, and their ages don't include the time on the
/// way. Statements no further apart than this are taken for the same.
const SAME_STATEMENT: Millis = Millis(30);
/// Least weight of a new pace in the mean; the first ones have equal weights.
const MIN_WEIGHT: f64 = 0.03;
/// Paces that differ from the expected one by at most this share aren't reported: receivers expect the
/// same without a report.
const MAX_ERROR: f64 = 0.2;
/// Least number of unseen requests, so that the time at one upstream at least lies below the level.
const MIN_UNSEEN: f64 = 0.01;

/// A pace that an upstream has stated, as nodes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub upstream: Digest,
    /// Percentage of the usual time that work takes.
    pub percent: u16,
    /// Milliseconds since the response.
    pub age: u16,
}

/// From where a node knows a pace, the closest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// From the response to a request of its own.
    Own,
    /// From the node that got the response.
    Node,
    /// From a collector.
    Fleet,
}

/// The latest pace that an upstream has stated.
#[derive(Clone, Copy, Debug)]
struct Stated {
    /// Within [`RANGE`].
    percent: f64,
    /// Time of the response.
    at: Millis,
    /// When this node learned of it.
    learned_at: Millis,
    origin: Origin,
    /// Whether it differs from what other nodes expect.
    is_news: bool,
}

/// Pace of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    stated: Option<Stated>,
    count: u32,
    /// Moving average of the paces stated. Positive after the first one.
    mean: f64,
}

impl Pace {
    /// Whether the upstream has stated a pace.
    pub(super) fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// Expected time of work at `now` relative to the mean of the upstream; 1 if nothing is stated. The
    /// mean of the run time includes the mean of the pace, so only the difference from it counts.
    pub(super) fn expected(&self, now: Millis) -> f64 {
        let Some(stated) = self.stated else { return 1.0 };
        let age = (now - stated.at).duration().as_secs_f64();
        let weight = (-age / LIFETIME.as_secs_f64()).exp();
        1.0 + weight * (stated.percent / self.mean - 1.0)
    }

    /// Records a pace that was stated at `at`, unless it or a later one is known.
    pub(super) fn record(&mut self, now: Millis, at: Millis, percent: u16, origin: Origin) {
        let known = self.stated.map(|stated| match origin {
            Origin::Own => stated.at,
            Origin::Node | Origin::Fleet => stated.at + SAME_STATEMENT,
        });
        if known.is_some_and(|known| at < known) {
            return;
        }
        let percent = f64::from(percent.clamp(*RANGE.start(), *RANGE.end()));
        let expected = self.mean * self.expected(now);
        let is_news = !self.is_stated() || (percent / expected - 1.0).abs() > MAX_ERROR;
        self.count = self.count.saturating_add(1);
        self.mean += (percent - self.mean) * (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        self.stated = Some(Stated { percent, at, learned_at: now, origin, is_news });
    }

    /// The pace, if this node has learned of it at `since` or later from an origin up to `farthest`, and
    /// it is news for other nodes.
    pub(super) fn report(
        &self,
        now: Millis,
        since: Millis,
        upstream: &Upstream,
        farthest: Origin,
    ) -> Option<Report> {
        let stated = self.stated?;
        let is_due = stated.is_news && stated.learned_at >= since && stated.origin <= farthest;
        let age = u16::try_from((now - stated.at).0).ok()?;
        let percent = stated.percent as u16;
        is_due.then(|| Report { upstream: Digest::of(upstream), percent, age })
    }
}

/// One of the upstreams between which a request chooses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Expected time of the request, in units of the mean time of a request of the service.
    pub(super) time: f64,
    /// By how much one more request lengthens this time. Positive.
    pub(super) time_per_request: f64,
}

/// Draws the position of the upstream for a request by a random number `draw` in `0..1`.
///
/// Nodes have placed `unseen` requests that their reports don't include. If all nodes chose the shortest
/// time that they know of, all of these would be at the same few upstreams. Instead they are placed by
/// water-filling: up to a level of time that is the same at all upstreams that get any. The request
/// is any one of them, so that an upstream is drawn in proportion to what it gets of them. The fewer
/// there are, the more certainly the shortest time is drawn.
pub(super) fn draw(candidates: &[Candidate], unseen: f64, draw: f64) -> Option<usize> {
    let unseen = unseen.max(MIN_UNSEEN);
    let level = level(candidates, unseen);
    let mut left = draw * unseen;
    let mut last = None;
    for (position, candidate) in candidates.iter().enumerate() {
        let share = (level - candidate.time) / candidate.time_per_request;
        if share > 0.0 {
            last = Some(position);
            left -= share;
            if left < 0.0 {
                break;
            }
        }
    }
    last
}

/// The time up to which `unseen` requests fill the candidates.
fn level(candidates: &[Candidate], unseen: f64) -> f64 {
    let mut sorted: Vec<&Candidate> = candidates.iter().collect();
    sorted.sort_by(|a, b| a.time.total_cmp(&b.time));
    let mut level = f64::INFINITY;
    let (mut requests_per_time, mut requests_below) = (0.0, 0.0);
    for candidate in sorted {
        if candidate.time >= level {
            break;
        }
        requests_per_time += 1.0 / candidate.time_per_request;
        requests_below += candidate.time / candidate.time_per_request;
        level = (unseen + requests_below) / requests_per_time;
    }
    level
}
