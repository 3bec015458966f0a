//! Measures the online decisions and prints JSON.
//!
//! `cargo run --release -p bulrushspread --example decisions`
//!
//! * `cost`: microseconds of one decision at two sizes of the fleet.
//! * `choice`: duration of requests in milliseconds for three ways to choose a replica, with fake
//!   replicas and the same seed.

mod choice;
mod cost;
mod fake;

use serde_json::json;

const SEED: u64 = 17;

fn main() {
    let cost: Vec<cost::Line> =
        [(12, 10), (350, 600)].map(|(nodes, replicas)| cost::measure(nodes, replicas)).to_vec();
    let choice = choice::compare(SEED);
    println!("{}", json!({ "cost": cost, "seed": SEED, "choice": choice }));
}
