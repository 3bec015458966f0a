//! Emulates a day of engines, callers and nodes within one process, without sockets or clocks.
//!
//! The nodes run the decisions of `serving` (`balance`, `batch::{order, quota, schedule}`); the
//! engines, the links and the news between nodes are modelled. One day takes milliseconds of
//! processor time, so that policies are compared over many seeds.
//!
//! * `scenario` is what is emulated; `arrivals` draws the requests of one day from it.
//! * `engine` is a model of one engine; `fleet` holds all engines and nodes and passes the time.
//! * `owner` runs the batch items of one partition.
//! * `ideal` schedules the same requests with perfect knowledge, as a bound.
//! * `account` and `tally` count what was earned.

mod account;
mod arrivals;
mod engine;
mod fleet;
mod ideal;
mod owner;
mod scenario;
mod tally;

pub use scenario::{Batch, Engine, News, Noise, Online, Outage, Replica, Scenario, Shape};
pub use tally::{Account, Tally, Traffic};

/// Plays one day with the decisions of the nodes.
pub fn play(scenario: &Scenario, seed: u64) -> Tally {
    fleet::Fleet::new(scenario, arrivals::draw(scenario, seed), seed).play()
}

/// Schedules the same day with perfect knowledge: one pool of slots, no links, no news.
pub fn ideal(scenario: &Scenario, seed: u64) -> Tally {
    ideal::schedule(scenario, &arrivals::draw(scenario, seed))
}
