//! A plain service: answers any path and counts how often each request was executed.
//!
//! A request is known by `Idempotency-Key`, else `x-request-id`, else by its path and body.
//! Markers in the body: `<die>` ends the process after the execution, before the answer;
//! `<drop>` closes the connection in the same place.

use std::{
    collections::BTreeMap,
    process,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushspread::upstream::Report;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use crate::web::{self, Hangup, Request, Response, Result};

/// Ends the process after an execution.
pub const DIE_MARKER: &str = "<die>";
/// Closes the connection after an execution.
pub const DROP_MARKER: &str = "<drop>";
/// Exit code after [`DIE_MARKER`].
const DIE_CODE: i32 = 13;

/// How the service behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time that one execution takes.
    pub latency_ms: u64,
    /// Requests at once before 503.
    pub slots: u32,
    /// The service is being taken down.
    pub leaving: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { latency_ms: 2, slots: 64, leaving: false }
    }
}

struct State {
    settings: Settings,
    executions: BTreeMap<String, u32>,
    active: u32,
    peak_active: u32,
}

/// Counts a request as active until dropped.
struct Active(Arc<Mutex<State>>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.lock().unwrap().active -= 1;
    }
}

/// Serves requests until the listener fails.
pub async fn serve(listener: TcpListener, settings: Settings) -> anyhow::Result<()> {
    let state = State { settings, executions: BTreeMap::new(), active: 0, peak_active: 0 };
    web::serve(listener, Arc::new(Mutex::new(state)), handle).await
}

async fn handle(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    match (request.method.clone(), request.path.as_str()) {
        (Method::GET, "/load") => Ok(report(&state.lock().unwrap())),
        (Method::GET, "/control") => Ok(describe(&state.lock().unwrap())),
        (Method::POST, "/control") => Ok(control(&state, &request)),
        _ => execute(state, request).await,
    }
}

async fn execute(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    let Some((active, latency)) = enter(&state) else {
        return Ok(web::refuse_for(StatusCode::SERVICE_UNAVAILABLE, 1, "all slots are taken"));
    };
    let name = name(&request);
    let text = String::from_utf8_lossy(&request.body).to_string();
    let execution = tokio::spawn(async move {
        tokio::time::sleep(latency).await;
        let mut state = active.0.lock().unwrap();
        let count = state.executions.entry(name).or_default();
        *count += 1;
        *count
    });
    let executions = execution.await.map_err(|_| Hangup)?;
    if text.contains(DIE_MARKER) {
        process::exit(DIE_CODE);
    }
    if text.contains(DROP_MARKER) {
        return Err(Hangup);
    }
    let body = json!({
        "method": request.method.as_str(),
        "path": request.path,
        "body": text,
        "executions": executions,
    });
    Ok(web::ok(&body))
}

fn enter(state: &Arc<Mutex<State>>) -> Option<(Active, Duration)> {
    let mut locked = state.lock().unwrap();
    if locked.active >= locked.settings.slots {
        return None;
    }
    locked.active += 1;
    locked.peak_active = locked.peak_active.max(locked.active);
    let latency = Duration::from_millis(locked.settings.latency_ms);
    Some((Active(state.clone()), latency))
}

fn name(request: &Request) -> String {
    let key = request.header("idempotency-key").or(request.header("x-request-id"));
    match key {
        Some(key) => key.to_string(),
        None => format!("{} {}", request.path, String::from_utf8_lossy(&request.body)),
    }
}

fn report(state: &State) -> Response {
    let report = Report {
        active: state.active,
        slots: state.settings.slots,
        leaving: state.settings.leaving,
        ..Report::default()
    };
    web::ok(&report)
}

fn control(state: &Mutex<State>, request: &Request) -> Response {
    let mut state = state.lock().unwrap();
    match web::merge(&state.settings, &request.body) {
        Ok(settings) => state.settings = settings,
        Err(response) => return *response,
    }
    describe(&state)
}

fn describe(state: &State) -> Response {
    let body = json!({
        "settings": state.settings,
        "executions": state.executions,
        "active": state.active,
        "peak_active": state.peak_active,
    });
    web::ok(&body)
}
