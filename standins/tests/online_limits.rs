//! What callers meet at the bounds: limits, deadlines, slow bodies, engines that are all gone.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use standins::{
    client::{Answer, Call},
    fleet::{Fleet, Plan, Program, WORKSPACE},
    wait::wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

async fn start(plan: Plan) -> Fleet {
    Fleet::start(plan).await.expect("the fleet starts")
}

fn completion(max_tokens: u32) -> Call {
    let body = json!({ "model": "svetovalec", "prompt": "deposit", "max_tokens": max_tokens });
    Call::new(Method::POST, "/v1/completions").json(&body)
}

fn refusal(answer: &Answer) -> (String, bool) {
    let body: Value = answer.json().expect("a refusal is JSON");
    let code = body["error"]["code"].as_str().unwrap_or_default().to_string();
    (code, body["not_run"] == json!(true))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_refuses_as_not_run_with_a_time_to_come_back() {
    let mut plan = plan();
    plan.nodes = 1;
    let workspaces = &mut plan.piece.workspaces;
    workspaces.get_mut(&WORKSPACE.into()).expect("the workspace").requests_per_s = 2.0;
    let fleet = start(plan).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let caller = fleet.caller(0);
    let mut answers = Vec::new();
    for _ in 0..6 {
        answers.push(caller.call(completion(1)).await.expect("an answer"));
    }
    let served = answers.iter().filter(|answer| answer.status == StatusCode::OK).count();
    assert!((1..=3).contains(&served), "{served}");
    let refused = answers.last().expect("answers");
    assert_eq!(refusal(refused), ("rate_limited".to_string(), true));
    assert!(refused.headers.contains_key("retry-after"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deadline_that_has_passed_ends_the_request() {
    let fleet = start(plan()).await;
    let begun = Instant::now();
    let call = completion(1_000).header("x-deadline-ms", "300");
    let answer = fleet.caller(0).call(call).await.expect("an answer");
    assert_eq!(refusal(&answer), ("timeout".to_string(), false));
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_engines_is_refused_at_once_as_not_run() {
    let mut fleet = start(plan()).await;
    for engine in &mut fleet.engines {
        engine.standin.process.kill().await.expect("killed");
    }
    let begun = Instant::now();
    let answer = fleet.caller(0).call(completion(5)).await.expect("an answer");
    assert_eq!(refusal(&answer), ("no_upstream".to_string(), true));
    assert!(answer.headers.contains_key("retry-after"));
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_engines_are_all_gone_ends_with_an_error_event() {
    let mut fleet = start(plan()).await;
    let caller = fleet.caller(0);
    let stream = tokio::spawn(async move {
        let events = caller.open_stream("a long story", 400).await.expect("a stream");
        let events: Vec<_> = events.collect().await;
        events.into_iter().filter_map(Result::ok).collect::<Vec<Value>>()
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    for engine in &mut fleet.engines {
        engine.standin.process.kill().await.expect("killed");
    }
    let events = tokio::time::timeout(Duration::from_secs(8), stream).await;
    let events = events.expect("an end in time").expect("a task");
    let last = events.last().expect("events");
    assert!(last["error"]["code"].is_string(), "{last}");
    assert_eq!(last["not_run"], json!(false));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_frees_its_engine() {
    let fleet = start(plan()).await;
    let mut stream =
        Box::pin(fleet.caller(0).open_stream("a long story", 2_000).await.expect("a stream"));
    stream.next().await.expect("an event").expect("an event");
    drop(stream);
    wait_until("no engine runs the stream", Duration::from_secs(5), || async {
        for engine in &fleet.engines {
            let state = engine.standin.state().await.ok()?;
            let mut runs = state["counts"]["streams"].as_object()?.values();
            if runs.any(|run| run["cancelled"] == json!(1)) {
                return Some(());
            }
        }
        None
    })
    .await
    .expect("cancelled");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_arrives_too_slowly_is_refused() {
    let mut plan = plan();
    let gateway = json!({ "listen": "127.0.0.1:0", "body_timeout_ms": 300 });
    plan.node = json!({ "gateway": gateway });
    let fleet = start(plan).await;
    let mut connection =
        TcpStream::connect(fleet.nodes[0].ready.gateway).await.expect("a connection");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer caller-key\r\n\
                content-length: 100\r\n\r\n{";
    connection.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 1_024];
    let read = tokio::time::timeout(Duration::from_secs(3), connection.read(&mut answer)).await;
    let length = read.expect("an answer in time").expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..length]).to_string();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}
