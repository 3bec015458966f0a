//! A request that crashes each engine that runs it is given up; its neighbours are not, and neither
//! are items of jobs.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context;
use futures_util::future::join_all;
use http::StatusCode;
use serde_json::{Value, json};
use standins::{
    client::Call,
    engine::text,
    fleet::{Fleet, Items, MODEL, Outcome, Plan, Program, Result},
    wait::wait_until,
};
use tokio::time::timeout;

const ENGINES: usize = 4;
/// Engines that one request may take down.
const CRASH_LIMIT: usize = 2;
/// Time within which a caller must be answered.
const ANSWER_BOUND: Duration = Duration::from_secs(10);
/// Time after which a request between nodes fails. Longer than `ANSWER_BOUND`, so that waiting for
/// the frozen node fails the test.
const PEER_TIMEOUT_MS: u64 = 60_000;
const TOKENS: u32 = 60;
/// Time that a packet to or from a node behind a slow link takes.
const LINK_DELAY_MS: u64 = 50;
const PROMPT: &str = "<id:poison> <crash>";
/// Crashes of engines under one item.
const ITEM_CRASHES: usize = 4;
/// Time for which a crashed engine is away, in which its runner finds that it doesn't listen.
const AWAY: Duration = Duration::from_millis(800);
const JOB_BOUND: Duration = Duration::from_secs(30);

fn plan() -> Plan {
    let mut plan = Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")));
    plan.engines = ENGINES;
    plan
}

async fn send_poison(fleet: &Fleet, node: usize) -> Result<(StatusCode, Value)> {
    let body = json!({
        "model": MODEL,
        "max_tokens": 4,
        "messages": [{ "role": "user", "content": PROMPT }],
    });
    let call = Call::new(http::Method::POST, "/v1/chat/completions").json(&body);
    let answer = fleet.caller(node).call(call).await?;
    Ok((answer.status, answer.json()?))
}

/// Engines that have ended so far.
fn crashed(fleet: &mut Fleet) -> usize {
    let ended = fleet
        .engines
        .iter_mut()
        .filter_map(|engine| engine.standin.process.has_ended().then_some(()));
    ended.count()
}

#[tokio::test]
async fn crashing_request_is_quarantined_and_its_neighbours_finish() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let neighbours = (0..12).map(|index| {
            let caller = fleet.caller(index % fleet.nodes.len());
            tokio::spawn(async move {
                let name = format!("neighbour-{index}");
                let chat = caller.stream(&format!("<id:{name}>"), TOKENS).await?;
                assert_eq!(chat.text, text::whole(&name, TOKENS));
                Result::Ok(())
            })
        });
        let neighbours: Vec<_> = neighbours.collect();
        fleet.wait_active("neighbour-0").await?;

        let (status, body) = send_poison(fleet, 0).await?;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{body}");
        assert_eq!(body["error"]["retryable"], false);
        for neighbour in join_all(neighbours).await {
            neighbour??;
        }
        assert!(crashed(fleet) <= CRASH_LIMIT, "{} engines crashed", crashed(fleet));

        for node in 0..fleet.nodes.len() {
            let (status, body) = send_poison(fleet, node).await?;
            assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "at node {node}: {body}");
        }
        assert!(crashed(fleet) <= CRASH_LIMIT, "{} engines crashed", crashed(fleet));
        Ok(())
    })
    .await
}

/// Guards against giving up an item because engines crashed before its first token and were back
/// before the crash could be told from a broken connection.
#[tokio::test]
async fn item_under_which_engines_restarted_at_once_is_still_completed() -> Result<()> {
    const FEW_TOKENS: u32 = 2;
    let mut plan = Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")));
    plan.engines = 1;
    plan.engine.step_ms = 1_500.0;
    Fleet::run(plan, async |fleet| {
        let caller = fleet.caller(0);
        let job = caller.submit(&Items::numbered("note", 1, FEW_TOKENS)).await?;
        for _ in 0..ITEM_CRASHES {
            wait_until("the item runs", JOB_BOUND, || async {
                (fleet.engine_count("/active").await > 0).then_some(())
            })
            .await?;
            fleet.engines[0].standin.restart().await?;
        }
        let answered = [("note-0".to_string(), text::whole("note-0", FEW_TOKENS))].into();
        let outcome = caller.wait_job(&job, JOB_BOUND).await?;
        assert_eq!(outcome, Outcome { answered, failed: BTreeMap::new() });
        Ok(())
    })
    .await
}

/// Guards against an answer that reaches the caller before the other nodes know of the crashes:
/// the caller sends the request again, to a node behind a slow link.
#[tokio::test]
async fn quarantine_is_known_behind_a_slow_link_once_the_caller_is_answered() -> Result<()> {
    let mut plan = plan();
    plan.proxied.peers = true;
    Fleet::run(plan, async |fleet| {
        let proxy = fleet.nodes[1].peer_proxy.as_ref().expect("a proxy");
        proxy.set(json!({ "delay_ms": LINK_DELAY_MS })).await?;
        for node in [0, 1] {
            let (status, body) = send_poison(fleet, node).await?;
            assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "at node {node}: {body}");
        }
        assert_eq!(crashed(fleet), CRASH_LIMIT);
        Ok(())
    })
    .await
}

/// Guards against giving up an item because engines crashed under it.
#[tokio::test]
async fn item_under_which_engines_crashed_is_still_completed() -> Result<()> {
    let mut plan = Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")));
    plan.engines = 1;
    plan.engine.step_ms = 20.0;
    Fleet::run(plan, async |fleet| {
        let caller = fleet.caller(0);
        let job = caller.submit(&Items::numbered("note", 1, TOKENS)).await?;
        for _ in 0..ITEM_CRASHES {
            fleet.wait_active("note-0").await?;
            let engine = &mut fleet.engines[0].standin;
            engine.process.kill().await?;
            tokio::time::sleep(AWAY).await;
            engine.restart().await?;
        }
        let answered = [("note-0".to_string(), text::whole("note-0", TOKENS))].into();
        let outcome = caller.wait_job(&job, JOB_BOUND).await?;
        assert_eq!(outcome, Outcome { answered, failed: BTreeMap::new() });
        Ok(())
    })
    .await
}

/// Guards against a frozen node that holds back the answer, or the news for the other nodes.
#[tokio::test]
async fn frozen_node_holds_back_neither_the_answer_nor_the_quarantine() -> Result<()> {
    let mut plan = plan();
    plan.node = json!({ "peer": { "timeout_ms": PEER_TIMEOUT_MS } });
    Fleet::run(plan, async |fleet| {
        fleet.nodes[1].process.freeze()?;
        for node in [0, 2] {
            let answer = timeout(ANSWER_BOUND, send_poison(fleet, node)).await;
            let (status, body) = answer.context("an answer")??;
            assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "at node {node}: {body}");
        }
        assert_eq!(crashed(fleet), CRASH_LIMIT);
        Ok(())
    })
    .await
}
