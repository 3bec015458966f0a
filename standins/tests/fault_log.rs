//! The log is down, slow or loses its answers: nothing that was accepted is lost or doubled.

use std::{collections::BTreeMap, time::Duration};

use http::StatusCode;
use serde_json::{Value, json};
use standins::{
    engine::text,
    fleet::{Fleet, Items, Outcome, Plan, Program, Result},
};

const ITEMS: usize = 100;
const TOKENS: u32 = 16;
const BOUND: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

fn whole() -> Outcome {
    let names = (0..ITEMS).map(|index| format!("note-{index}"));
    let answered = names.map(|name| (name.clone(), text::whole(&name, TOKENS))).collect();
    Outcome { answered, failed: BTreeMap::new() }
}

#[tokio::test]
async fn outage_holds_up_neither_online_requests_nor_what_was_accepted() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let caller = fleet.caller(0);
        let job = caller.submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        let file = caller.upload_items(&Items::numbered("later", 1, TOKENS)).await?;
        caller.wait_completed(&job, 10, BOUND).await?;
        fleet.log.set(json!({ "outage": "refuse" })).await?;

        for node in 0..fleet.nodes.len() {
            let name = format!("online-{node}");
            let text = fleet.caller(node).chat(&format!("<id:{name}>"), 10).await?;
            assert_eq!(text, text::whole(&name, 10));
        }
        let refused = caller.create_job(&file, None, &json!({})).await?;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{}", refused.text());
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(refused.json::<Value>()?["not_run"], true);

        fleet.log.set(json!({ "outage": "none" })).await?;
        assert_eq!(caller.wait_job(&job, BOUND).await?, whole());
        Ok(())
    })
    .await
}

#[tokio::test]
async fn lost_answers_double_nothing() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        fleet.log.set(json!({ "lost_probability": 0.2 })).await?;
        let job = fleet.caller(0).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        assert_eq!(fleet.caller(1).wait_job(&job, BOUND).await?, whole());
        assert!(fleet.log.count("/counts/answers_lost").await? > 0);
        Ok(())
    })
    .await
}

#[tokio::test]
async fn node_killed_during_an_outage_loses_nothing() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let job = fleet.caller(0).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        fleet.caller(0).wait_completed(&job, 10, BOUND).await?;
        fleet.log.set(json!({ "outage": "hang" })).await?;
        fleet.nodes[1].process.kill().await?;
        fleet.caller(0).chat("<tokens:4>", 4).await?;
        fleet.log.set(json!({ "outage": "none" })).await?;
        assert_eq!(fleet.caller(0).wait_job(&job, BOUND).await?, whole());
        Ok(())
    })
    .await
}
