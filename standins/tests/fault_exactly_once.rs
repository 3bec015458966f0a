//! Every accepted item ends exactly once, though nodes die with items in flight.

use std::{collections::BTreeMap, time::Duration};

use standins::{
    engine::text,
    fleet::{Fleet, Items, Outcome, Plan, Program, Result},
};

const ITEMS: usize = 120;
const TOKENS: u32 = 16;
const BOUND: Duration = Duration::from_secs(60);

fn whole() -> Outcome {
    let names = (0..ITEMS).map(|index| format!("note-{index}"));
    let answered = names.map(|name| (name.clone(), text::whole(&name, TOKENS))).collect();
    Outcome { answered, failed: BTreeMap::new() }
}

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

#[tokio::test]
async fn job_survives_nodes_that_are_killed_in_turn() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let job = fleet.caller(0).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        for (killed, completed) in [(1, 20), (2, 60)] {
            fleet.caller(0).wait_completed(&job, completed, BOUND).await?;
            fleet.nodes[killed].process.kill().await?;
        }
        assert_eq!(fleet.caller(0).wait_job(&job, BOUND).await?, whole());
        fleet.nodes[1].restart().await?;
        assert_eq!(fleet.caller(1).wait_job(&job, BOUND).await?, whole());
        Ok(())
    })
    .await
}

#[tokio::test]
async fn frozen_node_changes_nothing_when_it_wakes() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let job = fleet.caller(0).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        fleet.caller(0).wait_completed(&job, 20, BOUND).await?;
        fleet.nodes[1].process.freeze()?;
        let taken_over = fleet.caller(0).wait_job(&job, BOUND).await?;
        assert_eq!(taken_over, whole());
        fleet.nodes[1].process.wake()?;
        assert_eq!(fleet.caller(1).wait_job(&job, BOUND).await?, taken_over);
        assert_eq!(fleet.caller(0).wait_job(&job, BOUND).await?, taken_over);
        Ok(())
    })
    .await
}

#[tokio::test]
async fn acknowledged_job_survives_the_node_that_took_it() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let job = fleet.caller(2).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        fleet.nodes[2].process.kill().await?;
        assert_eq!(fleet.caller(0).wait_job(&job, BOUND).await?, whole());
        Ok(())
    })
    .await
}
