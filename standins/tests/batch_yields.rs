//! Batch work gives way to online work on real processes.

use std::time::Duration;

use futures_util::StreamExt;
use serde_json::{Value, json};
use standins::{
    engine::text,
    fleet::{Fleet, Items, Plan, Program},
    wait::wait_until,
};

const ITEMS: usize = 8;
const TOKENS: u32 = 60;
/// Tokens that every item has when online work arrives.
const TOKENS_BEFORE: u64 = 20;
const BOUND: Duration = Duration::from_secs(40);

async fn states(fleet: &Fleet) -> Vec<Value> {
    let mut states = Vec::new();
    for engine in &fleet.engines {
        states.push(engine.standin.state().await.expect("the engine answers"));
    }
    states
}

/// Sums a count of the runs of one name over all engines.
fn sum(states: &[Value], name: &str, count: &str) -> u64 {
    let counts = states.iter().map(|state| &state["counts"]["names"][name][count]);
    counts.filter_map(Value::as_u64).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn cancels_batch_streams_for_online_work_and_resumes_them_at_their_position() {
    let mut plan = Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")));
    plan.engines = 1;
    plan.engine.step_ms = 30.0;
    plan.node = json!({ "batch": { "runner": { "hold_ms": 300, "hold_limit_ms": 300 } } });
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let caller = fleet.caller(0);
    let job = caller.submit(&Items::numbered("note", ITEMS, TOKENS)).await.expect("a job");
    wait_until("all items run", BOUND, || async {
        let states = states(&fleet).await;
        let tokens = |item| sum(&states, &format!("note-{item}"), "tokens");
        (0..ITEMS).all(|item| tokens(item) >= TOKENS_BEFORE).then_some(())
    })
    .await
    .expect("items run");

    let online = fleet.caller(1).open_stream("<id:member> deposit?", 5).await.expect("a stream");
    let events: Vec<_> = online.collect().await;
    assert!(events.iter().all(Result::is_ok), "{events:?}");
    let cut = states(&fleet).await;
    let cancelled: u64 =
        (0..ITEMS).map(|item| sum(&cut, &format!("note-{item}"), "cancelled")).sum();
    assert!(cancelled >= 1, "no batch stream was cancelled\n{}", fleet.diagnosis());

    let outcome = caller.wait_job(&job, BOUND).await.expect("the job ends");
    let states = states(&fleet).await;
    for item in 0..ITEMS {
        let name = format!("note-{item}");
        assert_eq!(outcome.answered[&name], text::whole(&name, TOKENS));
        // Only tokens on their way when the stream was cut are generated again.
        let tokens = sum(&states, &name, "tokens");
        let restarted = u64::from(TOKENS) + TOKENS_BEFORE;
        assert!(tokens < restarted, "{name} was restarted: {tokens} tokens");
    }
}
