//! The HTTP side of the engine and the loop of its steps.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bulrushspread::upstream::{Event, Generate, Order, Report};
use futures_util::StreamExt;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
};
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::web::{self, Request, Response, Result};

use super::{
    Settings,
    batch::{Batch, Sequence},
    cache::Cache,
    counts::Counts,
    orders::{Orders, Verdict},
    text,
};

/// Streams whose state the engine remembers for a resume.
const KNOWN_LIMIT: usize = 10_000;

/// What the engine holds of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Known {
    prompt: String,
}

struct State {
    settings: Settings,
    batch: Batch,
    cache: Cache,
    counts: Counts,
    orders: Orders,
    known: BTreeMap<String, Known>,
    report: Report,
    reported: Instant,
}

struct Service {
    state: Mutex<State>,
    arrived: Notify,
}

/// Serves the engine until the listener fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> anyhow::Result<()> {
    let state = State {
        orders: Orders::new(&settings.loaded),
        batch: Batch::default(),
        cache: Cache::default(),
        counts: Counts::default(),
        known: BTreeMap::new(),
        report: Report { slots: settings.slots, ..Report::default() },
        reported: Instant::now(),
        settings,
    };
    let service = Arc::new(Service { state: Mutex::new(state), arrived: Notify::new() });
    service.state.lock().unwrap().refresh_report();
    tokio::spawn(run_steps(service.clone()));
    tokio::spawn(refresh_reports(service.clone()));
    web::serve(listener, service, handle).await
}

impl State {
    fn refresh_report(&mut self) {
        self.reported = Instant::now();
        self.report = Report {
            active: self.batch.active(),
            queued: self.batch.queued(),
            slots: self.settings.slots,
            loaded: self.orders.loaded.iter().cloned().collect(),
            age_ms: 0,
            leaving: self.settings.leaving,
        };
    }

    fn begin_step(&mut self) -> Option<Duration> {
        self.batch.begin_step(&self.settings, &mut self.cache, &mut self.counts)
    }
}

async fn run_steps(service: Arc<Service>) {
    loop {
        let step = service.state.lock().unwrap().begin_step();
        let Some(step) = step else {
            service.arrived.notified().await;
            continue;
        };
        tokio::time::sleep(step).await;
        let mut state = service.state.lock().unwrap();
        let State { batch, counts, .. } = &mut *state;
        batch.end_step(counts);
    }
}

async fn refresh_reports(service: Arc<Service>) {
    loop {
        let pause = service.state.lock().unwrap().settings.report_ms;
        tokio::time::sleep(Duration::from_millis(pause.max(1))).await;
        service.state.lock().unwrap().refresh_report();
    }
}

async fn handle(service: Arc<Service>, request: Request) -> Result<Response> {
    let method = request.method.clone();
    let response = match (method, request.segments().as_slice()) {
        (Method::POST, ["v1", "generate"]) => generate(&service, &request),
        (Method::DELETE, ["v1", "streams", id]) => cancel(&service, id),
        (Method::GET, ["v1", "load"]) => report(&service),
        (Method::POST, ["v1", "orders"]) => order(service.clone(), &request),
        (Method::GET, ["v1", "kv", id]) => export(&service, id),
        (Method::PUT, ["v1", "kv", id]) => import(&service, id, &request),
        (Method::GET, ["v1", "cache-events"]) => cache_events(&service, request.number("from")),
        (Method::GET, ["control"]) => describe(&service),
        (Method::POST, ["control"]) => control(&service, &request),
        _ => web::refuse(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(response)
}

fn generate(service: &Service, request: &Request) -> Response {
    let generate: Generate = match serde_json::from_slice(&request.body) {
        Ok(generate) => generate,
        Err(error) => return web::refuse(StatusCode::BAD_REQUEST, error),
    };
    let mut state = service.state.lock().unwrap();
    state.counts.requests += 1;
    if let Some(refusal) = refusal(&state, &generate) {
        state.counts.refused += 1;
        return refusal;
    }
    let resumed = match state.known.contains_key(&generate.id) {
        true => 0,
        false => generate.resume_text.iter().map(|text| text::count_tokens(text)).sum(),
    };
    let known = Known { prompt: generate.prompt.clone() };
    state.known.insert(generate.id.clone(), known);
    if state.known.len() > KNOWN_LIMIT {
        state.known.pop_first();
    }
    let (events, receiver) = mpsc::unbounded_channel();
    state.batch.push(Sequence::new(generate, resumed, events));
    drop(state);
    service.arrived.notify_one();
    web::events(UnboundedReceiverStream::new(receiver).map(encode))
}

fn encode(event: io::Result<Event>) -> io::Result<String> {
    Ok(serde_json::to_string(&event?)?)
}

/// Why a generation is not run.
fn refusal(state: &State, generate: &Generate) -> Option<Response> {
    let settings = &state.settings;
    if settings.outage {
        return Some(web::refuse_for(StatusCode::SERVICE_UNAVAILABLE, 1, "out of order"));
    }
    if state.batch.queued() >= settings.queue {
        return Some(web::refuse_for(StatusCode::TOO_MANY_REQUESTS, 1, "the queue is full"));
    }
    if settings.refuses_unloaded && !state.orders.loaded.contains(&generate.model) {
        return Some(web::refuse(StatusCode::SERVICE_UNAVAILABLE, "the model is not loaded"));
    }
    let known = state.known.contains_key(&generate.id);
    if !known && (generate.resume_text.len() as u32) < generate.from {
        return Some(web::refuse(StatusCode::CONFLICT, "the stream is not known here"));
    }
    if text::has(&generate.prompt, "fail") {
        return Some(web::refuse(StatusCode::INTERNAL_SERVER_ERROR, "the request failed"));
    }
    None
}

fn cancel(service: &Service, id: &str) -> Response {
    let mut state = service.state.lock().unwrap();
    let State { batch, counts, .. } = &mut *state;
    batch.cancel(id, counts);
    web::ok(&json!({}))
}

fn report(service: &Service) -> Response {
    let state = service.state.lock().unwrap();
    let age_ms = state.reported.elapsed().as_millis() as u64;
    web::ok(&Report { age_ms, ..state.report.clone() })
}

fn order(service: Arc<Service>, request: &Request) -> Response {
    let order: Order = match serde_json::from_slice(&request.body) {
        Ok(order) => order,
        Err(error) => return web::refuse(StatusCode::BAD_REQUEST, error),
    };
    let fence = request.header("x-fence").and_then(|text| text.parse().ok()).unwrap_or_default();
    let mut state = service.state.lock().unwrap();
    let checks_fence = state.settings.checks_fence;
    if state.orders.accept(order.clone(), fence, checks_fence) == Verdict::OldFence {
        return web::refuse(StatusCode::CONFLICT, "the fencing number is old");
    }
    let delay = match order {
        Order::Load { .. } => Duration::from_millis(state.settings.load_ms),
        Order::Unload { .. } | Order::Role { .. } => Duration::ZERO,
    };
    drop(state);
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        service.state.lock().unwrap().orders.apply(order);
    });
    web::ok(&json!({}))
}

fn export(service: &Service, id: &str) -> Response {
    match service.state.lock().unwrap().known.get(id) {
        Some(known) => web::ok(known),
        None => web::refuse(StatusCode::NOT_FOUND, "the stream is not known here"),
    }
}

fn import(service: &Service, id: &str, request: &Request) -> Response {
    let known: Known = match serde_json::from_slice(&request.body) {
        Ok(known) => known,
        Err(error) => return web::refuse(StatusCode::BAD_REQUEST, error),
    };
    let mut state = service.state.lock().unwrap();
    let capacity = state.settings.cache_blocks;
    state.cache.admit(&known.prompt, capacity);
    state.known.insert(id.to_string(), known);
    web::ok(&json!({}))
}

fn cache_events(service: &Service, from: u64) -> Response {
    let state = service.state.lock().unwrap();
    let lag = Duration::from_millis(state.settings.cache_event_lag_ms);
    web::ok(&json!({ "events": state.cache.events(from, lag, state.settings.cache_event_gap) }))
}

fn describe(service: &Service) -> Response {
    let state = service.state.lock().unwrap();
    let body = json!({
        "settings": state.settings,
        "counts": state.counts,
        "orders": state.orders.accepted,
        "role": state.orders.role,
        "active": state.batch.active(),
        "queued": state.batch.queued(),
        "cache": { "hit": state.cache.hit_blocks, "missed": state.cache.missed_blocks },
    });
    web::ok(&body)
}

fn control(service: &Service, request: &Request) -> Response {
    {
        let mut state = service.state.lock().unwrap();
        match web::merge(&state.settings, &request.body) {
            Ok(settings) => state.settings = settings,
            Err(response) => return *response,
        }
        state.refresh_report();
    }
    describe(service)
}
