//! Links that delay, lose and cut: streams and jobs still end whole.

use std::{collections::BTreeMap, time::Duration};

use serde_json::json;
use standins::{
    engine::text,
    fleet::{Fleet, Items, Outcome, Plan, Program, Proxied, Result},
    proxy::Mode,
};

const ITEMS: usize = 80;
const TOKENS: u32 = 16;
const BOUND: Duration = Duration::from_secs(60);

fn plan() -> Plan {
    let mut plan = Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")));
    plan.proxied = Proxied { log: true, peers: true, upstreams: true };
    plan
}

fn whole() -> Outcome {
    let names = (0..ITEMS).map(|index| format!("note-{index}"));
    let answered = names.map(|name| (name.clone(), text::whole(&name, TOKENS))).collect();
    Outcome { answered, failed: BTreeMap::new() }
}

async fn check_stream(fleet: &Fleet, node: usize, name: &str) -> Result<()> {
    let chat = fleet.caller(node).stream(&format!("<id:{name}>"), 40).await?;
    assert_eq!(chat.text, text::whole(name, 40));
    Ok(())
}

#[tokio::test]
async fn slow_and_lossy_links_change_no_result() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let faults = json!({ "delay_ms": 4, "jitter_ms": 6, "loss": 0.02, "seed": 7 });
        for node in &fleet.nodes {
            for proxy in node.peer_proxy.iter().chain(&node.log_proxy) {
                proxy.set(faults.clone()).await?;
            }
        }
        for proxy in fleet.engines.iter().filter_map(|engine| engine.proxy.as_ref()) {
            proxy.set(faults.clone()).await?;
        }
        let job = fleet.caller(0).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        for node in 0..fleet.nodes.len() {
            check_stream(fleet, node, &format!("online-{node}")).await?;
        }
        assert_eq!(fleet.caller(1).wait_job(&job, BOUND).await?, whole());
        Ok(())
    })
    .await
}

#[tokio::test]
async fn node_cut_off_from_log_and_peers_neither_loses_nor_doubles() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let job = fleet.caller(0).submit(&Items::numbered("note", ITEMS, TOKENS)).await?;
        fleet.caller(0).wait_completed(&job, 10, BOUND).await?;
        set_links(fleet, 1, Mode::Blackhole).await?;
        check_stream(fleet, 1, "cut-off").await?;
        assert_eq!(fleet.caller(0).wait_job(&job, BOUND).await?, whole());
        set_links(fleet, 1, Mode::Pass).await?;
        assert_eq!(fleet.caller(1).wait_job(&job, BOUND).await?, whole());
        Ok(())
    })
    .await
}

/// Sets the mode of a node's links to the log and from its peers.
async fn set_links(fleet: &Fleet, node: usize, mode: Mode) -> Result<()> {
    let node = &fleet.nodes[node];
    for proxy in node.peer_proxy.iter().chain(&node.log_proxy) {
        proxy.set_mode(mode).await?;
    }
    Ok(())
}

#[tokio::test]
async fn stream_survives_a_cut_to_its_engine() -> Result<()> {
    Fleet::run(plan(), async |fleet| {
        let caller = fleet.caller(0);
        let stream = tokio::spawn(async move { caller.stream("<id:cut>", 80).await });
        fleet.wait_active("cut").await?;
        for engine in &fleet.engines {
            if engine.standin.count("/counts/names/cut/started").await? > 0 {
                let proxy = engine.proxy.as_ref().expect("engines are proxied");
                proxy.set_mode(Mode::Refuse).await?;
            }
        }
        assert_eq!(stream.await??.text, text::whole("cut", 80));
        Ok(())
    })
    .await
}
