//! Calls that must not be repeated run at most once, and "not run" is true.

use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use standins::{
    client::Call,
    fleet::{Fleet, Plan, Program, Result},
    wait::wait_until,
};

const BOUND: Duration = Duration::from_secs(20);
/// Times after which the node is killed: while the intent is appended and read back, while the
/// call runs, and about its end.
const KILL_TIMES_MS: [u64; 6] = [10, 50, 90, 130, 170, 210];

fn plan() -> Plan {
    let mut plan = Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")));
    plan.plains = 2;
    plan
}

fn offer(key: &str, body: &str) -> Call {
    Call::new(Method::POST, "/offers").header("idempotency-key", key).body(body.to_string())
}

/// Executions of a key over all replicas of the plain service.
async fn executions(fleet: &Fleet, key: &str) -> u64 {
    let mut sum = 0;
    for plain in &fleet.plains {
        sum += plain.standin.count(&format!("/executions/{key}")).await.unwrap_or_default();
    }
    sum
}

/// Calls that run now.
async fn active(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for plain in &fleet.plains {
        sum += plain.standin.count("/active").await.unwrap_or_default();
    }
    sum
}

async fn wait_idle(fleet: &Fleet) -> Result<()> {
    wait_until("no call runs", BOUND, || async { (active(fleet).await == 0).then_some(()) }).await
}

#[tokio::test]
async fn lost_answer_is_said_to_be_unknown_and_not_repeated() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let call =
            Call::new(Method::POST, "/offers").header("x-request-id", "keyless").body("<drop>");
        let answer = fleet.caller(0).service(call).await?;
        assert!(!answer.status.is_success(), "{}", answer.text());
        assert_eq!(answer.json::<Value>()?["not_run"], false);
        assert_eq!(executions(fleet, "keyless").await, 1);

        for node in [0, 1, 0] {
            let answer = fleet.caller(node).service(offer("keyed", "<drop>")).await?;
            assert!(!answer.status.is_success(), "{}", answer.text());
            assert_eq!(answer.json::<Value>()?["not_run"], false);
        }
        assert_eq!(executions(fleet, "keyed").await, 1);
        Ok(())
    })
    .await
}

#[tokio::test]
async fn resends_at_all_nodes_get_the_one_answer() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let bodies: Vec<Value> = {
            let mut bodies = Vec::new();
            for node in 0..fleet.nodes.len() {
                let answer = fleet.caller(node).service(offer("offer-1", "bed 4")).await?;
                bodies.push(answer.success()?.json()?);
            }
            bodies
        };
        assert_eq!(bodies[0]["executions"], 1);
        assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
        assert_eq!(executions(fleet, "offer-1").await, 1);
        Ok(())
    })
    .await
}

#[tokio::test]
async fn node_killed_mid_call_and_resend_elsewhere_run_once() -> Result<()> {
    let mut plan = plan();
    plan.plain.latency_ms = 400;
    Fleet::run(plan, async |fleet| {
        let caller = fleet.caller(0);
        let first = tokio::spawn(async move { caller.service(offer("offer-2", "bed 5")).await });
        wait_until("the call runs", BOUND, || async { (active(fleet).await > 0).then_some(()) })
            .await?;
        fleet.nodes[0].process.kill().await?;
        assert!(first.await?.is_err(), "the node died before its answer");
        let resent = fleet.caller(1).service(offer("offer-2", "bed 5")).await?;
        assert_ne!(resent.json::<Value>()?["not_run"], true, "the first call runs");
        wait_idle(fleet).await?;
        fleet.caller(2).service(offer("offer-2", "bed 5")).await?;
        assert_eq!(executions(fleet, "offer-2").await, 1);
        Ok(())
    })
    .await
}

#[tokio::test]
async fn node_killed_at_any_step_never_leads_to_a_second_run() -> Result<()> {
    let mut plan = plan();
    plan.plain.latency_ms = 100;
    Fleet::run(plan, async |fleet| {
        fleet.log.set(json!({ "delay_ms": 40 })).await?;
        for kill_after_ms in KILL_TIMES_MS {
            let key = format!("step-{kill_after_ms}");
            let caller = fleet.caller(0);
            let call = offer(&key, "bed 6");
            let first = tokio::spawn(async move { caller.service(call).await });
            tokio::time::sleep(Duration::from_millis(kill_after_ms)).await;
            fleet.nodes[0].process.kill().await?;
            let _ = first.await?;
            let resent = fleet.caller(1).service(offer(&key, "bed 6")).await?;
            wait_idle(fleet).await?;
            let runs = executions(fleet, &key).await;
            let claims_not_run = resent.json::<Value>()?["not_run"] == true;
            let at_most = if claims_not_run { 0 } else { 1 };
            assert!(runs <= at_most, "{key}: {runs} runs, then {}", resent.text());
            fleet.nodes[0].restart().await?;
        }
        Ok(())
    })
    .await
}
