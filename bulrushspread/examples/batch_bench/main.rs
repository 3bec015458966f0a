//! Measures the decisions of the batch component on one core and prints the figures as JSON.
//!
//! `cargo run --release -p bulrushspread --example batch_bench`

mod commit;
mod memory;
mod records;
mod recovery;

use serde_json::json;

/// Items that the commit measurement carries.
const COMMIT_ITEMS: u32 = 240_000;
/// Jobs of one day at the target size.
const DAY_JOBS: usize = 47_000;

fn main() {
    let partitions = [10, 100, 1_000].map(memory::partition);
    let running = [1_000, 10_000, 100_000].map(memory::running);
    let jobs = [DAY_JOBS / 10, DAY_JOBS / 3, DAY_JOBS].map(memory::jobs);
    let report = json!({
        "commit": commit::measure(COMMIT_ITEMS),
        "recovery": recovery::measure(DAY_JOBS),
        "jobs_memory": jobs,
        "lane_memory": partitions,
        "running_memory": running,
    });
    println!("{report:#}");
}
