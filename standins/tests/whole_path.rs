//! Online requests, plain-service calls and a batch job, end to end through real processes.

use std::{collections::BTreeMap, time::Duration};

use http::Method;
use serde_json::Value;
use standins::{
    client::Call,
    engine::text,
    fleet::{Chat, Fleet, Items, Outcome, Plan, Program, Result},
};

const ITEMS: usize = 200;
const TOKENS: u32 = 8;
const JOB_BOUND: Duration = Duration::from_secs(60);

#[tokio::test]
async fn serves_online_and_batch_end_to_end() -> Result<()> {
    Fleet::run(Plan::new(Program::at(env!("CARGO_BIN_EXE_standin"))), async |fleet| {
        for node in 0..fleet.nodes.len() {
            check_stream(fleet, node).await?;
            check_service(fleet, node).await?;
        }
        check_job(fleet).await
    })
    .await
}

async fn check_stream(fleet: &Fleet, node: usize) -> Result<()> {
    let name = format!("stream-{node}");
    let chat = fleet.caller(node).stream(&format!("<id:{name}>"), 20).await?;
    let text = text::whole(&name, 20);
    assert_eq!(chat, Chat { text, finish: Some("length".to_string()), events: 20 });
    Ok(())
}

async fn check_service(fleet: &Fleet, node: usize) -> Result<()> {
    let path = format!("/cylinders/{node}");
    let call = Call::new(Method::POST, &path).body("status");
    let answer: Value = fleet.caller(node).service(call).await?.success()?.json()?;
    assert_eq!((&answer["path"], &answer["executions"]), (&Value::from(path), &Value::from(1)));
    Ok(())
}

async fn check_job(fleet: &Fleet) -> Result<()> {
    let job = fleet.caller(0).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
    let outcome = fleet.caller(0).wait_job(&job, JOB_BOUND).await?;
    let names = (0..ITEMS).map(|index| format!("note-{index}"));
    let answered: BTreeMap<String, String> =
        names.map(|name| (name.clone(), text::whole(&name, TOKENS))).collect();
    assert_eq!(outcome, Outcome { answered, failed: BTreeMap::new() });
    for node in 1..fleet.nodes.len() {
        assert_eq!(fleet.caller(node).wait_job(&job, JOB_BOUND).await?, outcome);
    }
    Ok(())
}
