//! The platform's weight store: `GET /weights/{model}`, limited in its rate.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Instant,
};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use crate::web::{self, Request, Response, Result};

/// What the store allows and how it fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Reads a second before 429.
    pub reads_per_s: f64,
    /// Reads that may come at once.
    pub burst: f64,
    /// Bytes of one model's weights.
    pub weight_bytes: usize,
    /// Whether the store answers with 503.
    pub outage: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { reads_per_s: 2.0, burst: 2.0, weight_bytes: 1_024, outage: false }
    }
}

struct State {
    settings: Settings,
    reads: BTreeMap<String, u64>,
    rate_limited: u64,
    allowance: f64,
    refilled: Instant,
}

impl State {
    fn take_allowance(&mut self, now: Instant) -> bool {
        let earned = now.duration_since(self.refilled).as_secs_f64() * self.settings.reads_per_s;
        self.refilled = now;
        self.allowance = (self.allowance + earned).min(self.settings.burst);
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}

/// Serves the store until the listener fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> anyhow::Result<()> {
    let state = State {
        allowance: settings.burst,
        settings,
        reads: BTreeMap::new(),
        rate_limited: 0,
        refilled: Instant::now(),
    };
    web::serve(listener, Arc::new(Mutex::new(state)), handle).await
}

async fn handle(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    let mut state = state.lock().unwrap();
    let method = request.method.clone();
    let response = match (method, request.segments().as_slice()) {
        (Method::GET, ["weights", model]) => read(&mut state, model),
        (Method::GET, ["control"]) => describe(&state),
        (Method::POST, ["control"]) => match web::merge(&state.settings, &request.body) {
            Ok(settings) => {
                state.settings = settings;
                describe(&state)
            }
            Err(response) => *response,
        },
        _ => web::refuse(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(response)
}

fn read(state: &mut State, model: &str) -> Response {
    if state.settings.outage {
        return web::refuse(StatusCode::SERVICE_UNAVAILABLE, "out of order");
    }
    if !state.take_allowance(Instant::now()) {
        state.rate_limited += 1;
        return web::refuse_for(StatusCode::TOO_MANY_REQUESTS, 1, "too many reads");
    }
    *state.reads.entry(model.to_string()).or_default() += 1;
    web::bytes(StatusCode::OK, vec![0; state.settings.weight_bytes])
}

fn describe(state: &State) -> Response {
    let body = json!({
        "settings": state.settings,
        "reads": state.reads,
        "rate_limited": state.rate_limited,
    });
    web::ok(&body)
}
