//! The HTTP side of the log service.

use std::{
    future,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

use crate::web::{self, Hangup, Request, Response, Result};

use super::{
    Outage, Settings,
    state::{Fate, State, Stream},
};

/// Bytes of data that one page of a read carries, unless its first record is longer.
const PAGE_BYTES: usize = 4 << 20;
/// Longest wait of a read.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

struct Service {
    state: Mutex<State>,
    /// Grows with each append and each change of settings.
    version: watch::Sender<u64>,
}

impl Service {
    fn changed(&self) {
        self.version.send_modify(|version| *version += 1);
    }

    fn append(&self, stream: &str, data: Bytes) -> u64 {
        let offset = self.state.lock().unwrap().append(stream, data, Instant::now());
        self.changed();
        offset
    }
}

/// Serves the log until the listener fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> anyhow::Result<()> {
    let service = Service { state: Mutex::new(State::new(settings)), version: watch::channel(0).0 };
    web::serve(listener, Arc::new(service), handle).await
}

async fn handle(service: Arc<Service>, request: Request) -> Result<Response> {
    let method = request.method.clone();
    match (method, request.segments().as_slice()) {
        (Method::GET, ["control"]) => Ok(describe(&service)),
        (Method::POST, ["control"]) => Ok(control(&service, &request)),
        (Method::POST, ["streams", stream, "records"]) => {
            append(service.clone(), stream, request.body.clone()).await
        }
        (Method::GET, ["streams", stream, "records"]) => read(&service, stream, &request).await,
        _ => Ok(web::refuse(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn describe(service: &Service) -> Response {
    let state = service.state.lock().unwrap();
    web::ok(&json!({ "settings": state.settings, "counts": state.counts }))
}

fn control(service: &Service, request: &Request) -> Response {
    {
        let mut state = service.state.lock().unwrap();
        match web::merge(&state.settings, &request.body) {
            Ok(settings) => state.settings = settings,
            Err(response) => return *response,
        }
    }
    service.changed();
    describe(service)
}

async fn append(service: Arc<Service>, stream: &str, data: Bytes) -> Result<Response> {
    if let Some(refusal) = pass_outage(&service).await {
        return Ok(refusal);
    }
    let fate = service.state.lock().unwrap().draw_fate(Instant::now());
    match fate {
        Fate::RateLimited => {
            Ok(web::refuse_for(StatusCode::TOO_MANY_REQUESTS, 1, "too many appends"))
        }
        Fate::Answered => Ok(web::ok(&json!({ "offset": service.append(stream, data) }))),
        Fate::AnswerLost => {
            service.append(stream, data);
            Err(Hangup)
        }
        Fate::Late(delay) => {
            let stream = stream.to_string();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                service.append(&stream, data);
            });
            Err(Hangup)
        }
    }
}

async fn read(service: &Service, stream: &str, request: &Request) -> Result<Response> {
    let from = request.number("from");
    let wait = Duration::from_millis(request.number("wait_ms")).min(WAIT_LIMIT);
    let deadline = tokio::time::Instant::now() + wait;
    let mut version = service.version.subscribe();
    service.state.lock().unwrap().counts.reads += 1;
    loop {
        if let Some(refusal) = pass_outage(service).await {
            return Ok(refusal);
        }
        if let Some(answer) = page(service, stream, from) {
            return Ok(answer);
        }
        if tokio::time::timeout_at(deadline, version.changed()).await.is_err() {
            return Ok(empty_page(service, stream));
        }
    }
}

/// Waits as the settings say; an answer where the service is out of order.
async fn pass_outage(service: &Service) -> Option<Response> {
    let (outage, delay) = {
        let mut state = service.state.lock().unwrap();
        let outage = state.outage();
        state.counts.refused += u64::from(outage != Outage::None);
        (outage, state.settings.delay_ms)
    };
    match outage {
        Outage::None => {
            tokio::time::sleep(Duration::from_millis(delay)).await;
            None
        }
        Outage::Refuse => Some(web::refuse(StatusCode::SERVICE_UNAVAILABLE, "out of order")),
        Outage::Hang => future::pending().await,
    }
}

/// The answer to a read, unless it has to wait for a record.
fn page(service: &Service, name: &str, from: u64) -> Option<Response> {
    let mut state = service.state.lock().unwrap();
    let stream = state.stream(name, Instant::now());
    if from < stream.first {
        return Some(web::json(StatusCode::GONE, &json!({ "first": stream.first })));
    }
    if from >= stream.head() {
        return None;
    }
    Some(answer(stream, records(stream, from)))
}

fn empty_page(service: &Service, name: &str) -> Response {
    let mut state = service.state.lock().unwrap();
    answer(state.stream(name, Instant::now()), Vec::new())
}

fn answer(stream: &Stream, records: Vec<Value>) -> Response {
    web::ok(&json!({ "first": stream.first, "head": stream.head(), "records": records }))
}

fn records(stream: &Stream, from: u64) -> Vec<Value> {
    let mut bytes = 0;
    let mut lines = Vec::new();
    for (index, stored) in stream.records.iter().enumerate().skip((from - stream.first) as usize) {
        bytes += stored.data.len();
        if bytes > PAGE_BYTES && !lines.is_empty() {
            break;
        }
        let offset = stream.first + index as u64;
        lines.push(json!({ "offset": offset, "data": STANDARD.encode(&stored.data) }));
    }
    lines
}
