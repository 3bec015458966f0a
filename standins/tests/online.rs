//! The online path through real processes: whole answers, true refusals, calls that run once.

use std::{collections::BTreeSet, time::Duration};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use standins::{
    client::{Answer, Call},
    fleet::{Fleet, Plan, Program},
    wait::wait_until,
};

const BOUND: Duration = Duration::from_secs(10);

fn plan() -> Plan {
    Plan::new(Program::at(env!("CARGO_BIN_EXE_standin")))
}

async fn start(plan: Plan) -> Fleet {
    Fleet::start(plan).await.expect("the fleet starts")
}

fn post(path: &str, key: Option<&str>, body: &str) -> Call {
    let call = Call::new(Method::POST, path).body(body.to_string());
    match key {
        Some(key) => call.header("idempotency-key", key),
        None => call,
    }
}

fn code(answer: &Answer) -> String {
    let body: Value = answer.json().expect("a refusal is JSON");
    body["error"]["code"].as_str().unwrap_or_default().to_string()
}

fn not_run(answer: &Answer) -> bool {
    answer.json::<Value>().expect("a refusal is JSON")["not_run"] == json!(true)
}

async fn executions(fleet: &Fleet, name: &str) -> u64 {
    let mut sum = 0;
    for plain in &fleet.plains {
        sum += plain.standin.count(&format!("/executions/{name}")).await.expect("counts");
    }
    sum
}

fn dead_engines(fleet: &mut Fleet) -> usize {
    fleet.engines.iter_mut().map(|engine| usize::from(engine.standin.process.has_ended())).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_whole_and_streamed_at_every_node() {
    let fleet = start(plan()).await;
    for node in 0..3 {
        let caller = fleet.caller(node);
        assert_eq!(caller.models().await.expect("models"), ["svetovalec"]);
        let whole = caller.chat("deposit for argon", 12).await.expect("a whole answer");
        let streamed = caller.stream("deposit for argon", 12).await.expect("a streamed answer");
        assert_eq!(whole, streamed.text);
        assert_eq!(streamed.events, 12);
        let answer = caller.service(Call::get("/cylinders/7")).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_unknown_keys_models_and_large_bodies_as_not_run() {
    let fleet = start(plan()).await;
    let address = fleet.nodes[0].ready.gateway;
    let large = "x".repeat(2 << 20);
    let unknown_model = json!({ "model": "none", "prompt": "a" });
    let caller = fleet.caller(0);
    let answers = [
        fleet.client.send(address, Call::get("/v1/models")).await.expect("an answer"),
        caller.call(post("/v1/completions", None, &unknown_model.to_string())).await.expect("one"),
        caller.call(post("/v1/completions", None, &large)).await.expect("an answer"),
        caller.call(post("/services/none/a", None, "")).await.expect("an answer"),
    ];
    let codes: Vec<String> = answers.iter().map(code).collect();
    assert_eq!(codes, ["unauthorized", "not_found", "too_large", "not_found"]);
    assert!(answers.iter().all(not_run));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_engine_when_its_engine_dies() {
    let mut fleet = start(plan()).await;
    let caller = fleet.caller(0);
    let expected = caller.chat("a long story", 200).await.expect("an answer");
    let streams = (0..6).map(|_| {
        let caller = caller.clone();
        tokio::spawn(async move { caller.stream("a long story", 200).await })
    });
    let streams: Vec<_> = streams.collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.engines[0].standin.process.kill().await.expect("killed");
    for stream in streams {
        let chat = stream.await.expect("a task").expect("a whole stream");
        assert_eq!((chat.text.as_str(), chat.events), (expected.as_str(), 200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_stops_after_its_second_engine_everywhere() {
    let mut plan = plan();
    plan.engines = 5;
    let mut fleet = start(plan).await;
    let innocent = tokio::spawn({
        let caller = fleet.caller(0);
        async move { caller.stream("a long story", 150).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let body = json!({ "model": "svetovalec", "prompt": "<crash>", "max_tokens": 5 }).to_string();
    let first = fleet.caller(0).call(post("/v1/completions", None, &body)).await.expect("one");
    assert_eq!(
        (first.status, code(&first).as_str()),
        (StatusCode::UNPROCESSABLE_ENTITY, "quarantined")
    );
    assert_eq!(dead_engines(&mut fleet), 2);
    for node in [1, 2, 0] {
        let caller = fleet.caller(node);
        wait_until("the request is refused", BOUND, || async {
            let answer = caller.call(post("/v1/completions", None, &body)).await.ok()?;
            (code(&answer) == "quarantined").then_some(())
        })
        .await
        .expect("refused everywhere");
    }
    assert_eq!(dead_engines(&mut fleet), 2);
    let chat = innocent.await.expect("a task").expect("the innocent stream is whole");
    assert_eq!(chat.events, 150);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_not_be_repeated_runs_once_and_says_so() {
    let fleet = start(plan()).await;
    let answer = fleet.caller(0).service(post("/bill", None, "<drop> order 9")).await.expect("one");
    assert_eq!(code(&answer), "outcome_unknown");
    assert!(!not_run(&answer));
    let state = fleet.plains[0].standin.state().await.expect("counts");
    let counts = state["executions"].as_object().expect("counts");
    assert_eq!(counts.values().filter_map(Value::as_u64).sum::<u64>(), 1, "{state}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_over_all_nodes_and_resends_get_the_same_answer() {
    let fleet = start(plan()).await;
    let calls = (0..6).map(|index| {
        let caller = fleet.caller(index % 3);
        tokio::spawn(async move {
            wait_until("an answer", BOUND, || async {
                let call = post("/bill", Some("order-1"), "order 1");
                let answer = caller.service(call).await.ok()?;
                (answer.status == StatusCode::OK).then(|| answer.text())
            })
            .await
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut texts = BTreeSet::new();
    for call in calls {
        texts.insert(call.await.expect("a task").expect("an answer"));
    }
    assert_eq!(texts.len(), 1, "{texts:?}");
    assert_eq!(executions(&fleet, "order-1").await, 1);
    let other = fleet.caller(1).service(post("/bill", Some("order-1"), "order 2")).await;
    assert_eq!(code(&other.expect("an answer")), "conflict");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_node_died_is_never_run_again() {
    let mut plan = plan();
    plan.plain.latency_ms = 1_500;
    let mut fleet = start(plan).await;
    let first = fleet.caller(0);
    let lost =
        tokio::spawn(async move { first.service(post("/bill", Some("order-2"), "order 2")).await });
    wait_until("the call has been sent", BOUND, || async {
        (fleet.plains[0].standin.count("/active").await.ok()? > 0).then_some(())
    })
    .await
    .expect("sent");
    fleet.nodes[0].process.kill().await.expect("killed");
    assert!(lost.await.expect("a task").is_err());
    let caller = fleet.caller(1);
    wait_until("the outcome is said to be unknown", BOUND, || async {
        let answer = caller.service(post("/bill", Some("order-2"), "order 2")).await.ok()?;
        (code(&answer) == "outcome_unknown").then_some(())
    })
    .await
    .expect("a final answer");
    assert_eq!(executions(&fleet, "order-2").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_are_refused_as_not_run_while_the_log_is_down() {
    let fleet = start(plan()).await;
    fleet.log.set(json!({ "outage": "refuse" })).await.expect("an outage");
    let answer = fleet.caller(0).service(post("/bill", Some("order-3"), "order 3")).await;
    let answer = answer.expect("an answer");
    assert_eq!((code(&answer).as_str(), not_run(&answer)), ("log_unavailable", true));
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(executions(&fleet, "order-3").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_stream() {
    let fleet = start(plan()).await;
    let caller = fleet.caller(0);
    let stream = tokio::spawn(async move { caller.stream("a long story", 200).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.nodes[0].process.terminate().expect("told to stop");
    let chat = stream.await.expect("a task").expect("a whole stream");
    assert_eq!(chat.events, 200);
}
