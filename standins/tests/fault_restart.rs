//! Nodes are replaced one after the other under load, and no caller notices.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::{bail, ensure};
use futures_util::future::join_all;
use http::StatusCode;
use serde_json::Value;
use standins::{
    client::{Call, Client},
    engine::text,
    fleet::{CALLER_KEY, Caller, Fleet, Plan, Program, Result},
};

const CALLERS: usize = 6;
const TOKENS: u32 = 8;
const STOP_BOUND: Duration = Duration::from_secs(20);

/// How one node answered.
enum Reply {
    Whole,
    /// The node did not take the request; another one may.
    NotTaken,
}

async fn ask(caller: &Caller, name: &str) -> Result<Reply> {
    let body = serde_json::json!({
        "model": "svetovalec",
        "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": format!("<id:{name}>") }],
    });
    let call = Call::new(http::Method::POST, "/v1/chat/completions").json(&body);
    let answer = match caller.call(call).await {
        Ok(answer) => answer,
        Err(error) => {
            let cause = error.downcast_ref::<hyper_util::client::legacy::Error>();
            ensure!(cause.is_some_and(|cause| cause.is_connect()), "cut off: {error:#}");
            return Ok(Reply::NotTaken);
        }
    };
    let body: Value = answer.json()?;
    match answer.status {
        StatusCode::OK => {
            let expected = text::whole(name, TOKENS);
            ensure!(body["choices"][0]["message"]["content"] == expected, "not whole: {body}");
            Ok(Reply::Whole)
        }
        StatusCode::SERVICE_UNAVAILABLE if body["not_run"] == true => Ok(Reply::NotTaken),
        status => bail!("status {status}: {body}"),
    }
}

/// What the balancer asks before it sends a request to a node.
async fn is_ready(caller: &Caller) -> bool {
    let answer = caller.call(Call::get("/ready")).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Asks node after node until told to stop. Returns the number of whole answers.
async fn load(addresses: Vec<SocketAddr>, name: String, stop: Arc<AtomicBool>) -> Result<usize> {
    let mut whole = 0;
    for (round, address) in addresses.iter().cycle().enumerate() {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let caller = Caller::new(Client::default(), *address, CALLER_KEY);
        if !is_ready(&caller).await {
            continue;
        }
        if let Reply::Whole = ask(&caller, &format!("{name}-{round}")).await? {
            whole += 1;
        }
    }
    Ok(whole)
}

#[tokio::test]
async fn rolling_restart_cuts_off_no_request() -> Result<()> {
    Fleet::run(Plan::new(Program::at(env!("CARGO_BIN_EXE_standin"))), async |fleet| {
        let addresses: Vec<_> = fleet.nodes.iter().map(|node| node.ready.gateway).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|caller| {
            tokio::spawn(load(addresses.clone(), format!("caller-{caller}"), stop.clone()))
        });
        let callers: Vec<_> = callers.collect();
        for node in 0..fleet.nodes.len() {
            fleet.nodes[node].process.terminate()?;
            let status = fleet.nodes[node].process.wait(STOP_BOUND).await?;
            assert!(status.success(), "node {node} ended with {status}");
            fleet.nodes[node].restart().await?;
            fleet.wait_ready().await?;
        }
        stop.store(true, Ordering::Relaxed);
        let mut whole = 0;
        for caller in join_all(callers).await {
            whole += caller??;
        }
        assert!(whole > CALLERS, "only {whole} answers");
        Ok(())
    })
    .await
}
