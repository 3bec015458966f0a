//! What is emulated.

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serving::{balance, batch};

/// A day and the fleet that serves it. Times are milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Requests arrive from 0 to this time.
    pub length_ms: u64,
    /// Batch items may end within this time after `length_ms`.
    pub tail_ms: u64,
    pub nodes: usize,
    /// Nodes and replicas stand in turn in so many data centres.
    pub data_centres: usize,
    /// One way between data centres.
    pub link_ms: u64,
    /// Whether nodes measure the delay to engines. Otherwise it is unknown to them.
    pub measures_delays: bool,
    /// Share of the packets that are lost; an event whose packet is lost is late.
    pub loss: f64,
    pub news: News,
    pub engine: Engine,
    pub replicas: Vec<Replica>,
    pub noise: Noise,
    /// Engines state their load and pace with the first event of each answer.
    pub states_load: bool,
    /// Times at which no node runs.
    pub nodes_away: Vec<Outage>,
    pub online: Online,
    pub batch: Batch,
    /// The rate of online requests over time.
    pub shape: Shape,
    pub balance: balance::Settings,
    pub batching: batch::Settings,
}

impl Default for Scenario {
    /// Twelve nodes before nine engines, with bursts of twice the mean rate.
    fn default() -> Scenario {
        Scenario {
            length_ms: 34_000,
            tail_ms: 20_000,
            nodes: 12,
            data_centres: 4,
            link_ms: 4,
            measures_delays: true,
            loss: 0.0,
            news: News::default(),
            engine: Engine::default(),
            replicas: (0..9)
                .map(|index| Replica::new(if index % 3 == 2 { 1.3 } else { 1.0 }))
                .collect(),
            noise: Noise::default(),
            states_load: false,
            nodes_away: Vec::new(),
            online: Online::default(),
            batch: Batch::default(),
            shape: Shape::default(),
            balance: balance::Settings::default(),
            batching: batch::Settings::default(),
        }
    }
}

impl Scenario {
    /// 88 nodes in four data centres before 60 engines with factors of 0.55 and 1.2 on the time of
    /// their steps, which slow down at random and state their load. Collectors exchange loads every
    /// `collect_ms`.
    pub fn uneven(collect_ms: u64) -> Scenario {
        let speed = |index: usize| if index.is_multiple_of(4) { 0.55 } else { 1.2 };
        Scenario {
            nodes: 88,
            link_ms: 1,
            news: News { interval_ms: 450, fan_out: 18, collect_ms, ..News::default() },
            // Engine `index` is in data centre `index % 4`. The fast ones are spread over all four.
            replicas: (0..60).map(|index| Replica::new(speed(index / 4 + index % 4))).collect(),
            noise: Noise { share: 0.15, factor: 2.5, period_ms: 600 },
            states_load: true,
            online: Online {
                per_s: 300.0,
                prompt_tokens: 2_500,
                events: 19.0,
                ..Online::default()
            },
            batch: Batch { jobs_per_s: 1.3, ..Batch::default() },
            ..Scenario::default()
        }
    }
}

/// Random slowdowns of single engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Noise {
    /// Share of the time for which an engine is slow.
    pub share: f64,
    /// Factor on the time of its steps while it is slow.
    pub factor: f64,
    /// Time after which it is drawn again whether an engine is slow.
    pub period_ms: u64,
}

impl Default for Noise {
    fn default() -> Noise {
        Noise { share: 0.0, factor: 1.0, period_ms: 600 }
    }
}

impl Noise {
    /// The factor of an engine at `now`. Engines change at different times.
    pub(super) fn factor(&self, seed: u64, engine: usize, now: u64) -> f64 {
        if self.share == 0.0 {
            return 1.0;
        }
        let seed = seed ^ ((engine as u64 + 1) << 40);
        let phase = SmallRng::seed_from_u64(seed).random_range(0..self.period_ms);
        let period = (now + phase) / self.period_ms;
        let draw: f64 = SmallRng::seed_from_u64(seed ^ (period + 1)).random();
        if draw < self.share { self.factor } else { 1.0 }
    }
}

/// How nodes tell each other their loads.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct News {
    pub interval_ms: u64,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Nodes that get each message; all when there are fewer.
    pub fan_out: usize,
    /// Interval at which nodes and the collectors of data centres exchange loads; 0 if there are no
    /// collectors.
    pub collect_ms: u64,
    /// Number of collectors in a data centre.
    pub collectors: usize,
}

impl Default for News {
    fn default() -> News {
        News { interval_ms: 32, loss: 0.0015, fan_out: usize::MAX, collect_ms: 0, collectors: 2 }
    }
}

impl News {
    /// The news of a large fleet, where collectors exchange loads.
    pub fn collected() -> News {
        News { collect_ms: 50, ..News::default() }
    }
}

/// A model of an engine with continuous batching.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engine {
    pub slots: usize,
    /// A step makes one token of each running request.
    pub step_ms: f64,
    /// Added to a step by each running request.
    pub step_ms_per_request: f64,
    pub prefill_tokens_per_ms: f64,
    /// From the start of a request to its first token at least.
    pub first_ms: f64,
    /// Tokens in one event.
    pub stride: u32,
}

impl Default for Engine {
    fn default() -> Engine {
        Engine {
            slots: 8,
            step_ms: 3.27,
            step_ms_per_request: 0.0823,
            prefill_tokens_per_ms: 125.0,
            first_ms: 62.0,
            stride: 6,
        }
    }
}

/// One engine of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Multiplies the time of each step.
    pub speed: f64,
    pub away: Vec<Outage>,
    /// Times at which steps take `x` times as long.
    pub slow: Vec<(Outage, f64)>,
}

impl Replica {
    pub fn new(speed: f64) -> Replica {
        Replica { speed, away: Vec::new(), slow: Vec::new() }
    }

    /// The factor on the time of a step, or `None` while the replica is away.
    pub(super) fn factor(&self, now: u64) -> Option<f64> {
        if self.away.iter().any(|outage| outage.holds(now)) {
            return None;
        }
        let slow = self.slow.iter().filter(|(outage, _)| outage.holds(now));
        Some(slow.fold(self.speed, |factor, (_, x)| factor * x))
    }
}

/// A span of time from `from` up to `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    pub from: u64,
    pub to: u64,
}

impl Outage {
    pub(super) fn holds(&self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// Requests of callers, all of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Online {
    pub per_s: f64,
    pub prompt_tokens: u32,
    /// Events of an answer on average; a quarter of it is the spread.
    pub events: f64,
    /// Milliseconds to the first event for which an answer is in time.
    pub objective_ms: u64,
    /// Milliseconds after which a caller gives up.
    pub patience_ms: u64,
    pub worth: f64,
    pub worth_late: f64,
}

impl Default for Online {
    fn default() -> Online {
        Online {
            per_s: 41.0,
            prompt_tokens: 450,
            events: 31.4,
            objective_ms: 300,
            patience_ms: 5_000,
            worth: 3.4,
            worth_late: 0.5,
        }
    }
}

/// Batch jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Batch {
    pub jobs_per_s: f64,
    /// Items of a job on average; four tenths of it is the spread.
    pub items: f64,
    pub prompt_tokens: u32,
    pub events: f64,
    /// Milliseconds after the submission for which a result is in time.
    pub due_ms: u64,
    pub worth: f64,
    pub worth_late: f64,
}

impl Default for Batch {
    fn default() -> Batch {
        Batch {
            jobs_per_s: 0.515,
            items: 10.0,
            prompt_tokens: 350,
            events: 216.0,
            due_ms: 18_000,
            worth: 21.0,
            worth_late: 2.1,
        }
    }
}

/// The rate of online requests as a multiple of the mean, from each time on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shape(pub Vec<(u64, f64)>);

impl Default for Shape {
    /// Bursts of 2.4 s, every 5.8 s.
    fn default() -> Shape {
        let period = |index: u64| [(index * 5_800, 0.383), (index * 5_800 + 3_400, 1.87)];
        Shape((0..20).flat_map(period).collect())
    }
}

impl Shape {
    pub(super) fn at(&self, now: u64) -> f64 {
        let begun = self.0.iter().take_while(|(from, _)| *from <= now);
        begun.last().map_or(1.0, |(_, factor)| *factor)
    }
}
