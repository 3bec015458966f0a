//! Streams arrive whole, though engines die, connections break and nodes stop.

use std::time::Duration;

use standins::{
    engine::text,
    fleet::{Fleet, Plan, Program, Result},
};

const TOKENS: u32 = 80;
const BOUND: Duration = Duration::from_secs(20);

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

#[tokio::test]
async fn broken_stream_is_resumed_whole() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let chat = fleet.caller(0).stream("<id:cut> <break:7>", TOKENS).await?;
        assert_eq!(chat.text, text::whole("cut", TOKENS));
        assert_eq!(fleet.engine_count("/counts/names/cut/tokens").await, u64::from(TOKENS));
        Ok(())
    })
    .await
}

#[tokio::test]
async fn stream_goes_on_at_another_engine_when_its_own_dies() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let caller = fleet.caller(0);
        let stream = tokio::spawn(async move { caller.stream("<id:moved>", TOKENS).await });
        fleet.wait_active("moved").await?;
        for engine in &mut fleet.engines {
            if engine.standin.count("/active").await? > 0 {
                engine.standin.process.kill().await?;
            }
        }
        assert_eq!(stream.await??.text, text::whole("moved", TOKENS));
        Ok(())
    })
    .await
}

#[tokio::test]
async fn planned_stop_cuts_off_no_stream() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let streams = (0..8).map(|index| {
            let caller = fleet.caller(0);
            let name = format!("last-{index}");
            tokio::spawn(async move {
                let chat = caller.stream(&format!("<id:{name}>"), TOKENS).await?;
                assert_eq!(chat.text, text::whole(&name, TOKENS));
                Result::Ok(())
            })
        });
        let streams: Vec<_> = streams.collect();
        for index in 0..streams.len() {
            fleet.wait_active(&format!("last-{index}")).await?;
        }
        fleet.nodes[0].process.terminate()?;
        for stream in streams {
            stream.await??;
        }
        assert!(fleet.nodes[0].process.wait(BOUND).await?.success());
        fleet.caller(1).chat("<id:after>", 4).await?;
        Ok(())
    })
    .await
}
