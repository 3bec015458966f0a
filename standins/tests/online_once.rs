//! Calls under an idempotency key run at most once, whatever fails on their way.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use standins::{
    client::{Answer, Call},
    fleet::{Fleet, Plan, Program},
    proxy::Mode,
    wait::wait_until,
};

const BOUND: Duration = Duration::from_secs(15);
const KEY: &str = "order-1";

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

async fn start(plan: Plan) -> Fleet {
    Fleet::start(plan).await.expect("the fleet starts")
}

fn bill() -> Call {
    Call::new(Method::POST, "/bill").header("idempotency-key", KEY).body("order 1")
}

fn code(answer: &Answer) -> String {
    let body: Value = answer.json().unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or_default().to_string()
}

async fn executions(fleet: &Fleet) -> u64 {
    let pointer = format!("/executions/{KEY}");
    fleet.plains[0].standin.count(&pointer).await.expect("counts")
}

/// Sends the call at a node until its outcome is final: answered or said to be unknown.
async fn send_until_final(fleet: &Fleet, node: usize) -> Answer {
    let caller = fleet.caller(node);
    wait_until("a final outcome", BOUND, || async {
        let answer = caller.service(bill()).await.ok()?;
        let known = answer.status == StatusCode::OK || code(&answer) == "outcome_unknown";
        known.then_some(answer)
    })
    .await
    .expect("a final outcome")
}

/// Kills the node that runs the call after `delay`, then sends the call again at another.
async fn check_kill(delay: Duration) {
    let mut plan = plan();
    plan.log.delay_ms = 40;
    plan.plain.latency_ms = 150;
    let mut fleet = start(plan).await;
    let first = fleet.caller(0);
    let lost = tokio::spawn(async move { first.service(bill()).await });
    tokio::time::sleep(delay).await;
    fleet.nodes[0].process.kill().await.expect("killed");
    drop(lost.await);
    let answer = send_until_final(&fleet, 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let count = executions(&fleet).await;
    assert!(count <= 1, "{count} after {delay:?}");
    if answer.status == StatusCode::OK {
        assert_eq!(count, 1, "after {delay:?}");
    }
    let again = send_until_final(&fleet, 2).await;
    assert_eq!((again.status, again.text()), (answer.status, answer.text()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_killed_at_any_step_leads_to_no_second_run() {
    for delay_ms in [5, 60, 130, 220, 320, 450] {
        check_kill(Duration::from_millis(delay_ms)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_answers_of_the_log_lead_to_no_second_run() {
    for faults in [json!({ "lost_answers": 2 }), json!({ "late_effects": 1, "late_ms": 700 })] {
        let fleet = start(plan()).await;
        fleet.log.set(faults.clone()).await.expect("set");
        let (first, second) =
            tokio::join!(send_until_final(&fleet, 0), send_until_final(&fleet, 1));
        assert_eq!(first.status, StatusCode::OK, "{faults}");
        assert_eq!(first.text(), second.text(), "{faults}");
        assert_eq!(executions(&fleet).await, 1, "{faults}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_dies_after_the_execution_is_not_called_again() {
    let mut plan = plan();
    plan.plains = 2;
    let fleet = start(plan).await;
    let call = || Call::new(Method::POST, "/bill").body("<die> order 2");
    let answer = fleet.caller(0).service(call()).await.expect("an answer");
    assert_eq!(code(&answer), "outcome_unknown");
    let mut left = 0;
    for plain in &fleet.plains {
        left += usize::from(plain.standin.state().await.is_ok());
    }
    assert_eq!(left, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_does_not_undo_the_run() {
    let mut plan = plan();
    plan.plain.latency_ms = 600;
    let fleet = start(plan).await;
    let caller = fleet.caller(0);
    let left = tokio::spawn(async move { caller.service(bill()).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    left.abort();
    let answer = send_until_final(&fleet, 1).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(executions(&fleet).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cut_on_its_link_goes_on_whole() {
    let mut plan = plan();
    plan.proxied.upstreams = true;
    let fleet = start(plan).await;
    let caller = fleet.caller(0);
    let expected = caller.chat("a long story", 150).await.expect("an answer");
    let stream = tokio::spawn(async move { caller.stream("a long story", 150).await });
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        for engine in &fleet.engines {
            let proxy = engine.proxy.as_ref().expect("a proxy");
            proxy.set_mode(Mode::Refuse).await.expect("cut");
        }
        for engine in &fleet.engines {
            let proxy = engine.proxy.as_ref().expect("a proxy");
            proxy.set_mode(Mode::Pass).await.expect("mended");
        }
    }
    let chat = stream.await.expect("a task").expect("a whole stream");
    assert_eq!((chat.text, chat.events), (expected, 150));
    let mut requests = 0;
    for engine in &fleet.engines {
        requests += engine.standin.count("/counts/requests").await.expect("counts");
    }
    assert!(requests >= 4, "the stream was cut less than twice: {requests}");
}
