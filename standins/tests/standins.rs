//! The stand-ins fail as they are told to, and only then.

use std::{net::SocketAddr, time::Duration};

use bulrushspread::{
    id::{Offset, Stream},
    journal::{
        Store,
        http::Http,
        store::{Append, Error},
    },
    time::Millis,
    upstream::{Client as _, Generate, Order, http::Http as Engine},
};
use futures_util::StreamExt;
use http::Method;
use serde_json::{Value, json};
use standins::{
    client::{Call, Client},
    engine::{self, text},
    log_service, plain, proxy, vm_list,
    wait::wait_until,
};
use tokio::net::TcpListener;

const BOUND: Duration = Duration::from_secs(5);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn start_log(settings: log_service::Settings) -> (Http, SocketAddr) {
    let (listener, address) = listener().await;
    tokio::spawn(log_service::serve(listener, settings));
    (Http::new(address), address)
}

async fn start_engine(settings: engine::Settings) -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(engine::serve(listener, settings));
    address
}

async fn control(address: SocketAddr, body: Value) -> Value {
    let call = Call::new(Method::POST, "/control").json(&body);
    let answer = Client::default().send(address, call).await.expect("an answer");
    answer.success().expect("accepted").json().expect("JSON")
}

async fn counts(address: SocketAddr) -> Value {
    let answer = Client::default().send(address, Call::get("/control")).await.expect("an answer");
    answer.json().expect("JSON")
}

fn generate(id: &str, prompt: &str, from: u32, resume_text: Vec<String>) -> Generate {
    let (model, max_tokens) = ("m".to_string(), 6);
    Generate { id: id.into(), model, prompt: prompt.into(), max_tokens, from, resume_text }
}

/// The text that arrived, and whether the stream came to its end.
async fn read_stream(address: SocketAddr, generate: Generate) -> (String, bool) {
    let mut events =
        Engine::default().generate(address, generate).await.expect("the engine accepts");
    let (mut text, mut ended) = (String::new(), false);
    while let Some(Ok(event)) = events.next().await {
        text.push_str(&event.text);
        ended |= event.finish.is_some();
    }
    (text, ended)
}

#[tokio::test]
async fn lost_and_late_answers_still_take_effect() {
    let (log, address) = start_log(log_service::Settings::default()).await;
    let stream = Stream::from("s");
    control(address, json!({ "lost_answers": 1 })).await;
    let lost = log.append(&stream, b"a".to_vec()).await;
    assert!(matches!(lost, Err(Error::Unknown { .. })), "{lost:?}");
    let page = log.read(&stream, Offset(0), Millis(0)).await.expect("a page");
    assert_eq!(page.appends, [Append { offset: Offset(0), data: b"a".to_vec() }]);

    control(address, json!({ "late_effects": 1, "late_ms": 50 })).await;
    let late = log.append(&stream, b"b".to_vec()).await;
    assert!(matches!(late, Err(Error::Unknown { .. })), "{late:?}");
    let page = log.read(&stream, Offset(1), Millis(2_000)).await.expect("a page");
    assert_eq!(page.appends, [Append { offset: Offset(1), data: b"b".to_vec() }]);
}

#[tokio::test]
async fn refused_appends_have_no_effect() {
    let settings = log_service::Settings { appends_per_s: 1.0, ..Default::default() };
    let (log, address) = start_log(settings).await;
    let stream = Stream::from("s");
    log.append(&stream, b"a".to_vec()).await.expect_err("the allowance starts below one");
    control(address, json!({ "appends_per_s": 400.0, "outage": "refuse" })).await;
    let refused = log.append(&stream, b"a".to_vec()).await;
    assert!(matches!(refused, Err(Error::Refused { .. })), "{refused:?}");
    control(address, json!({ "outage": "none" })).await;
    let page = log.read(&stream, Offset(0), Millis(0)).await.expect("a page");
    assert_eq!(page.head, Offset(0));
}

#[tokio::test]
async fn expired_records_are_named() {
    let settings = log_service::Settings { retain_records: Some(2), ..Default::default() };
    let (log, _) = start_log(settings).await;
    let stream = Stream::from("s");
    for _ in 0..5 {
        log.append(&stream, b"a".to_vec()).await.expect("appended");
    }
    let expired = log.read(&stream, Offset(0), Millis(0)).await;
    assert_eq!(expired, Err(Error::Expired { first: Offset(3) }));
}

#[tokio::test]
async fn vm_list_shows_the_past() {
    let (listener, address) = listener().await;
    tokio::spawn(vm_list::serve(listener, vm_list::Settings { lag_ms: 300, outage: false }));
    let entry = json!({
        "vm": "engine-0", "address": "127.0.0.1:1", "data_centre": "kranj-c",
        "phase": "leaving", "role": "upstream", "serves": "svetovalec",
    });
    let call = Call::new(Method::POST, "/control/vms").json(&json!([entry]));
    Client::default().send(address, call).await.expect("an answer").success().expect("accepted");
    let shown = async || {
        let answer = Client::default().send(address, Call::get("/vms")).await.expect("an answer");
        answer.json::<Value>().expect("JSON")["vms"].clone()
    };
    assert_eq!(shown().await, json!([]));
    let later = wait_until("the entry shows", BOUND, || async {
        Some(shown().await).filter(|vms| *vms != json!([]))
    });
    assert_eq!(later.await.expect("shown"), json!([entry]));
}

#[tokio::test]
async fn broken_stream_resumes_here_and_at_another_engine() {
    let (first, second) =
        (start_engine(Default::default()).await, start_engine(Default::default()).await);
    let prompt = "<id:p> <break:3>";
    let (head, ended) = read_stream(first, generate("s", prompt, 0, Vec::new())).await;
    assert_eq!((head.as_str(), ended), (text::whole("p", 3).as_str(), false));
    for (address, resume_text) in [(first, vec![]), (second, vec!["t".to_string(); 3])] {
        let (tail, ended) = read_stream(address, generate("s", prompt, 3, resume_text)).await;
        assert_eq!((format!("{head}{tail}"), ended), (text::whole("p", 6), true));
    }
}

#[tokio::test]
async fn slots_bound_the_batch_and_cancel_frees_one() {
    let address = start_engine(engine::Settings { slots: 1, ..Default::default() }).await;
    let endless = Engine::default().generate(address, generate("e", "<endless>", 0, vec![])).await;
    let mut endless = endless.expect("accepted");
    endless.next().await.expect("an event").expect("a token");
    let waiting = tokio::spawn(read_stream(address, generate("w", "<id:w>", 0, vec![])));
    wait_until("the second waits", BOUND, || async {
        (counts(address).await["queued"] == 1).then_some(())
    })
    .await
    .expect("queued");
    Engine::default().cancel(address, "e").await.expect("cancelled");
    assert_eq!(waiting.await.expect("joined"), (text::whole("w", 6), true));
    assert_eq!(counts(address).await["counts"]["peak_active"], 1);
}

#[tokio::test]
async fn old_fencing_numbers_are_refused_where_checked() {
    for (checks_fence, accepted) in [(true, 1), (false, 2)] {
        let address = start_engine(engine::Settings { checks_fence, ..Default::default() }).await;
        let order = Order::Load { model: "m".to_string() };
        for fence in [7, 6] {
            let _ = Engine::default().order(address, order.clone(), fence).await;
        }
        let orders = counts(address).await["orders"].clone();
        assert_eq!(orders.as_array().map(Vec::len), Some(accepted), "{orders}");
    }
}

#[tokio::test]
async fn proxy_delays_cuts_and_holds_back() {
    let (listener, target) = listener().await;
    tokio::spawn(plain::serve(listener, plain::Settings::default()));
    let sockets = proxy::Sockets::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("bound");
    let (address, faults) = (sockets.address().expect("bound"), sockets.control().expect("bound"));
    let settings = proxy::Settings { target: Some(target), delay_ms: 30, ..Default::default() };
    tokio::spawn(proxy::serve(sockets, settings));
    let client = Client::default();

    let start = std::time::Instant::now();
    client.send(address, Call::get("/a")).await.expect("an answer");
    assert!(start.elapsed() >= Duration::from_millis(60), "both directions are delayed");

    control(faults, json!({ "mode": "refuse", "delay_ms": 0 })).await;
    client.send(address, Call::get("/b")).await.expect_err("cut");

    control(faults, json!({ "mode": "freeze" })).await;
    let held = tokio::spawn(async move { Client::default().send(address, Call::get("/c")).await });
    control(faults, json!({ "mode": "pass" })).await;
    held.await.expect("joined").expect("held back, not lost");
    let executions = counts(target).await["executions"].clone();
    assert_eq!(executions, json!({ "/a ": 1, "/c ": 1 }));
}
