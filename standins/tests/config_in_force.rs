//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use anyhow::ensure;
use bulrushspread::id::Team;
use futures_util::future::join_all;
use http::StatusCode;
use serde_json::{Value, json};
use standins::{
    client::Call,
    fleet::{Fleet, Plan, Program, Result},
    proxy::Mode,
    wait::wait_until,
};

/// Time within which a change must be in force on every live node.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

fn plan() -> Plan {
    let program = Program::at(env!("CARGO_BIN_EXE_standin"));
    Plan { engines: 0, plains: 0, ..Plan::new(program) }
}

fn service(name: &str) -> Value {
    json!({ "services": { name: {} } })
}

async fn put(fleet: &Fleet, node: usize, team: &str, base: Value, piece: Value) -> (u16, Value) {
    let body = json!({ "base": base, "piece": piece, "author": format!("operator {node}") });
    let answer = fleet.nodes[node].put_piece(&fleet.client, &Team::from(team), &body).await;
    let answer = answer.expect("the operators' listener answers");
    (answer.status.as_u16(), answer.json().expect("JSON"))
}

/// Waits until a node has the version of a piece in force.
async fn wait_version(fleet: &Fleet, node: usize, team: &str, version: u64) -> Result<()> {
    let what = format!("node {node} has version {version} of {team} in force");
    wait_until(&what, IN_FORCE_BOUND, || async {
        let document = fleet.nodes[node].document(&fleet.client).await.ok()?;
        (document["pieces"][team]["version"] == version).then_some(())
    })
    .await
}

async fn offsets(fleet: &Fleet) -> Vec<u64> {
    let documents = fleet.nodes.iter().map(|node| node.document(&fleet.client));
    let documents = join_all(documents).await.into_iter();
    documents.map(|it| it.map_or(0, |it| it["offset"].as_u64().unwrap_or(0))).collect()
}

#[tokio::test]
async fn a_node_that_cannot_read_the_log_gets_changes_from_its_peers() -> Result<()> {
    let mut plan = plan();
    plan.proxied.log = true;
    Fleet::run(plan, async |fleet| {
        let proxy = fleet.nodes[2].log_proxy.as_ref().expect("the plan asks for proxies");
        proxy.set_mode(Mode::Blackhole).await?;
        for version in 1..4u64 {
            let base = if version == 1 { Value::Null } else { json!(version - 1) };
            let started = Instant::now();
            let (status, answer) = put(fleet, 0, "depot", base, service("depot")).await;
            ensure!(status == 200 && answer["version"] == version, "{status} {answer}");
            for node in 0..3 {
                wait_version(fleet, node, "depot", version).await?;
            }
            ensure!(started.elapsed() < IN_FORCE_BOUND, "took {:?}", started.elapsed());
        }
        Ok(())
    })
    .await
}

#[tokio::test]
async fn a_new_node_during_an_outage_of_the_log_takes_the_document_from_peers() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let (status, answer) = put(fleet, 1, "depot", Value::Null, service("depot")).await;
        ensure!(status == 200, "{answer}");
        fleet.log.set(json!({ "outage": "refuse" })).await?;
        fleet.add_node().await?;
        wait_version(fleet, 3, "depot", 1).await?;
        let ready = fleet.nodes[3].operate(&fleet.client, Call::get("/v1/ready")).await?;
        ensure!(ready.status == StatusCode::OK, "the new node is not ready");
        let (status, answer) = put(fleet, 3, "other", Value::Null, service("other")).await;
        ensure!(status == 503 && answer["not_run"] == true, "{status} {answer}");
        let (status, answer) = put(fleet, 0, "other", Value::Null, service("other")).await;
        ensure!(status == 503, "{status} {answer}");
        Ok(())
    })
    .await
}

#[tokio::test]
async fn racing_operators_have_one_winner_whom_the_others_are_told() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let fleet: &Fleet = fleet;
        let puts = (0..9).map(|index| async move {
            let piece = service(&format!("s{index}"));
            put(fleet, index % 3, "depot", Value::Null, piece).await
        });
        let answers = join_all(puts).await;
        let accepted: Vec<_> = answers.iter().filter(|(status, _)| *status == 200).collect();
        ensure!(accepted.len() == 1, "{answers:?}");
        let winners: BTreeSet<String> = answers
            .iter()
            .filter(|(status, _)| *status == 409)
            .map(|(_, answer)| answer["winner"].to_string())
            .collect();
        ensure!(winners.len() == 1 && answers.len() == 9, "{answers:?}");
        let mut documents = BTreeSet::new();
        for node in 0..3 {
            wait_version(fleet, node, "depot", 1).await?;
            let document = fleet.nodes[node].document(&fleet.client).await?;
            documents.insert(document["document"].to_string());
        }
        ensure!(documents.len() == 1, "{documents:?}");
        Ok(())
    })
    .await
}

#[tokio::test]
async fn a_change_whose_answer_the_log_lost_is_accepted_once() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        fleet.log.set(json!({ "lost_answers": 1 })).await?;
        let (status, answer) = put(fleet, 0, "depot", Value::Null, service("depot")).await;
        ensure!(status == 200 && answer["version"] == 1, "{status} {answer}");
        let (status, answer) = put(fleet, 1, "depot", json!(1), service("depot")).await;
        ensure!(status == 200 && answer["version"] == 2, "{status} {answer}");
        Ok(())
    })
    .await
}

#[tokio::test]
async fn no_offset_goes_back_while_records_expire_and_nodes_restart() -> Result<()> {
    let mut plan = plan();
    plan.node = json!({ "config": { "checkpoint_ms": 400 } });
    Fleet::run(plan, async |fleet| {
        let (status, answer) = put(fleet, 0, "depot", Value::Null, service("depot")).await;
        ensure!(status == 200, "{answer}");
        fleet.log.set(json!({ "retain_records": 2 })).await?;
        let mut before = offsets(fleet).await;
        for round in 0..4 {
            tokio::time::sleep(Duration::from_millis(700)).await;
            let node = round % 3;
            fleet.nodes[node].process.kill().await?;
            fleet.nodes[node].restart().await?;
            wait_version(fleet, node, "depot", 1).await?;
            before[node] = 0;
            let now = offsets(fleet).await;
            ensure!(now.iter().zip(&before).all(|(now, before)| now >= before), "{now:?}");
            before = now;
        }
        ensure!(before.iter().all(|offset| *offset > 4), "no checkpoints: {before:?}");
        Ok(())
    })
    .await
}
