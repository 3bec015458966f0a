//! Draws the requests of one day.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::Scenario;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) at: u64,
    /// The node that it reaches first, and the one that it reaches when it comes back.
    pub(super) nodes: [usize; 2],
    pub(super) events: u32,
    /// One of its packets is lost, so that an event is late.
    pub(super) loses_packet: bool,
}

/// A job: the events of each of its items.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) at: u64,
    pub(super) items: Vec<u32>,
}

/// All requests of a day, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Day {
    pub(super) requests: Vec<Request>,
    pub(super) jobs: Vec<Job>,
}

pub(super) fn draw(scenario: &Scenario, seed: u64) -> Day {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut day = Day::default();
    for at in 0..scenario.length_ms {
        let online = scenario.online.per_s / 1_000.0 * scenario.shape.at(at);
        if rng.random::<f64>() < online {
            let events = around(&mut rng, scenario.online.events, 0.25);
            // Each event crosses two links.
            let kept = (1.0 - scenario.loss).powi(2 * events as i32);
            let loses_packet = rng.random::<f64>() > kept;
            let nodes = [0, 1].map(|_| rng.random_range(0..scenario.nodes));
            day.requests.push(Request { at, nodes, events, loses_packet });
        }
        if rng.random::<f64>() < scenario.batch.jobs_per_s / 1_000.0 {
            let count = around(&mut rng, scenario.batch.items, 0.4);
            let events = |_| around(&mut rng, scenario.batch.events, 0.25);
            let items = (0..count).map(events).collect();
            day.jobs.push(Job { at, items });
        }
    }
    day
}

/// A number about `mean`, evenly spread with the given relative deviation, at least 1.
fn around(rng: &mut SmallRng, mean: f64, spread: f64) -> u32 {
    let reach = 3f64.sqrt() * spread;
    (mean * rng.random_range(1.0 - reach..1.0 + reach)).round().max(1.0) as u32
}
