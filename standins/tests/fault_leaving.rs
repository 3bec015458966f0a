//! An upstream that is leaving receives no new work after a few seconds.

use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::{Fleet, Plan, Program, Result};

/// Time after which a leaving upstream receives nothing.
const GRACE: Duration = Duration::from_secs(3);
/// Time for which requests go on after that.
const WATCH: Duration = Duration::from_secs(1);
const REQUESTS: &str = "/counts/requests";

/// Sends requests at all nodes in turn until a point in time.
async fn load_until(fleet: &Fleet, end: Instant) -> Result<()> {
    for node in (0..fleet.nodes.len()).cycle() {
        if Instant::now() >= end {
            break;
        }
        fleet.caller(node).chat("<id:load>", 2).await?;
    }
    Ok(())
}

/// The engine that got most requests.
async fn busiest(fleet: &Fleet) -> Result<usize> {
    let first = fleet.engines[0].standin.count(REQUESTS).await?;
    let second = fleet.engines[1].standin.count(REQUESTS).await?;
    assert!(first + second > 0);
    Ok(usize::from(second > first))
}

/// Checks that a leaving engine receives nothing once the grace is over.
async fn check_idle(fleet: &Fleet, leaving: usize) -> Result<()> {
    let engine = &fleet.engines[leaving].standin;
    load_until(fleet, Instant::now() + GRACE).await?;
    let before = engine.count(REQUESTS).await?;
    load_until(fleet, Instant::now() + WATCH).await?;
    assert_eq!(engine.count(REQUESTS).await?, before);
    Ok(())
}

#[tokio::test]
async fn leaving_engine_receives_no_new_work() -> Result<()> {
    Fleet::run(Plan::new(Program::at(env!("CARGO_BIN_EXE_standin"))), async |fleet| {
        load_until(fleet, Instant::now() + WATCH).await?;
        let leaving = busiest(fleet).await?;
        fleet.mark_engine_leaving(leaving).await?;
        check_idle(fleet, leaving).await
    })
    .await
}

#[tokio::test]
async fn engine_that_says_it_leaves_receives_no_new_work() -> Result<()> {
    Fleet::run(Plan::new(Program::at(env!("CARGO_BIN_EXE_standin"))), async |fleet| {
        load_until(fleet, Instant::now() + WATCH).await?;
        let leaving = busiest(fleet).await?;
        fleet.engines[leaving].standin.set(json!({ "leaving": true })).await?;
        check_idle(fleet, leaving).await
    })
    .await
}
