//! Jobs that are sent again or cancelled.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use standins::{
    fleet::{Fleet, Items, Plan, Program, Result, job_id},
    wait::wait_until,
};

const BOUND: Duration = Duration::from_secs(30);

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

#[tokio::test]
async fn job_resent_at_two_nodes_at_once_is_one_job() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let (first, second) = (fleet.caller(0), fleet.caller(1));
        let file = first.upload_items(&Items::numbered("letter", 10, 4)).await?;
        let key = Some("letters-monday");
        let extra = json!({});
        let (one, two) = tokio::join!(
            first.create_job(&file, key, &extra),
            second.create_job(&file, key, &extra),
        );
        let job = job_id(one?)?;
        assert_eq!(job, job_id(two?)?);
        assert_eq!(first.wait_job(&job, BOUND).await?.answered.len(), 10);
        assert_eq!(job, job_id(second.create_job(&file, key, &extra).await?)?);

        let other = first.upload_items(&Items::numbered("other", 1, 4)).await?;
        let conflict = second.create_job(&other, key, &extra).await?;
        assert_eq!(conflict.status, StatusCode::CONFLICT, "{}", conflict.text());
        Ok(())
    })
    .await
}

#[tokio::test]
async fn cancelled_job_stops_and_starts_nothing_more() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let items = (0..60).fold(Items::default(), |items, index| {
            items.chat(&format!("endless-{index}"), "<id:endless> <endless>", 16)
        });
        let job = fleet.caller(0).submit(&items).await?;
        fleet.wait_active("endless").await?;
        fleet.caller(1).cancel_job(&job).await?.success()?;
        let started = fleet.engine_count("/counts/names/endless/started").await;
        let outcome = fleet.caller(2).wait_job(&job, BOUND).await?;
        assert!(outcome.answered.is_empty());
        wait_until("the engines are idle", BOUND, || async {
            let active = fleet.engine_count("/active").await + fleet.engine_count("/queued").await;
            (active == 0).then_some(())
        })
        .await?;
        assert_eq!(fleet.engine_count("/counts/names/endless/started").await, started);
        Ok(())
    })
    .await
}

#[tokio::test]
async fn node_behind_a_slow_link_knows_the_files_and_jobs_of_others() -> Result<()> {
    let mut plan = plan();
    plan.proxied.log = true;
    Fleet::run(plan, async |fleet| {
        let (near, far) = (fleet.caller(0), fleet.caller(1));
        let link = fleet.nodes[1].log_proxy.as_ref().expect("links to the log are proxied");
        link.set(json!({ "delay_ms": 150 })).await?;
        let file = near.upload_items(&Items::numbered("letter", 1, 4)).await?;
        job_id(far.create_job(&file, None, &json!({})).await?)?;
        let job = job_id(near.create_job(&file, None, &json!({})).await?)?;
        assert_eq!(far.job(&job).await?["id"], job);
        Ok(())
    })
    .await
}
