//! The platform's VM list, which lags behind the truth.
//!
//! * `GET /vms` shows the entries as they stood `lag_ms` ago.
//! * `POST /control/vms` replaces all entries, true or wrong.
//! * `POST /control` sets the lag, `GET /control` reads settings, counts and current entries.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bulrushspread::vms::Listed;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use crate::web::{self, Request, Response, Result};

/// How the list fails.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Age of what the list shows.
    pub lag_ms: u64,
    /// Whether the list answers with 503.
    pub outage: bool,
}

/// The entries since a point in time.
struct Version {
    since: Instant,
    vms: Vec<Listed>,
}

struct State {
    settings: Settings,
    reads: u64,
    /// In order of time; the last is current.
    versions: Vec<Version>,
}

impl State {
    fn visible(&self, now: Instant) -> Vec<Listed> {
        let lag = Duration::from_millis(self.settings.lag_ms);
        let old_enough = |version: &&Version| now.duration_since(version.since) >= lag;
        let shown = self.versions.iter().rev().find(old_enough);
        shown.map(|version| version.vms.clone()).unwrap_or_default()
    }

    fn current(&self) -> &[Listed] {
        self.versions.last().map(|version| version.vms.as_slice()).unwrap_or_default()
    }
}

/// Serves the list until the listener fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> anyhow::Result<()> {
    let state = State { settings, reads: 0, versions: Vec::new() };
    web::serve(listener, Arc::new(Mutex::new(state)), handle).await
}

async fn handle(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    let mut state = state.lock().unwrap();
    let method = request.method.clone();
    let response = match (method, request.segments().as_slice()) {
        (Method::GET, ["vms"]) => list(&mut state),
        (Method::GET, ["control"]) => describe(&state),
        (Method::POST, ["control"]) => match web::merge(&state.settings, &request.body) {
            Ok(settings) => {
                state.settings = settings;
                describe(&state)
            }
            Err(response) => *response,
        },
        (Method::POST, ["control", "vms"]) => replace(&mut state, &request),
        _ => web::refuse(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(response)
}

fn list(state: &mut State) -> Response {
    state.reads += 1;
    if state.settings.outage {
        return web::refuse(StatusCode::SERVICE_UNAVAILABLE, "out of order");
    }
    web::ok(&json!({ "vms": state.visible(Instant::now()) }))
}

fn replace(state: &mut State, request: &Request) -> Response {
    match serde_json::from_slice(&request.body) {
        Ok(vms) => {
            state.versions.push(Version { since: Instant::now(), vms });
            describe(state)
        }
        Err(error) => web::refuse(StatusCode::BAD_REQUEST, error),
    }
}

fn describe(state: &State) -> Response {
    let body = json!({ "settings": state.settings, "reads": state.reads, "vms": state.current() });
    web::ok(&body)
}
