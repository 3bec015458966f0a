//! A server restarts in place with another version and crashes before its entry in the store has changed: the
//! streams that it began go on at servers of the version that the store still names for it.
//!
//! With `VERSION=same` the server comes back with the version that it had.
//! With `REPORT=at-once` the entry changes as the server starts. With `STORE=busy` the server also reports as it
//! starts, but the store answers every call with 503 from the first crash on.

use std::{
    fmt::Write as _,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Kind},
    http::Client,
    log::Log,
    node::{addresses, Node},
};

const NODES: u8 = 2;
const ENGINES: usize = 9;
const SLOTS: u32 = 8;
const HOST: &str = "ficu95.example";
const SERVICE: &str = "svetovalec";
const EVENTS: u32 = 31;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// From the first crash until the server runs again.
const DOWN: Duration = Duration::from_millis(500);
/// From a change at a server until its entry in the store has changed, as in the site file.
const LAG: Duration = Duration::from_millis(800);
/// From the start of the server until it crashes again: it goes down and up by turns.
const UP: Duration = Duration::from_millis(750);
/// When clients send, after the server runs again.
const SENT_AFTER: Duration = Duration::from_millis(100);
const CLIENTS: usize = 54;
/// Streams that may be joined from two versions.
const ALLOWED: usize = 2;
const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
    catch_up_s = 4.6\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n\
    rollback_slack_ms = 250\nouter_ms = 5000\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 18\n\
    status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1";

fn kind(version: &str) -> Kind {
    Kind { version: version.to_string(), work: EVENT_INTERVAL, events: EVENTS }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-h6k78ki\",\"host\":\"{HOST}\",\"path_prefix\":\"/lohu930/\",\
         \"kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":300,\"session_affinity\":true}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":370}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

struct Answer {
    id: String,
    status: u16,
    /// The data of all events; `None` if the answer isn't complete.
    texts: Option<Vec<String>>,
}

fn stream(front: std::net::SocketAddr, id: String) -> Answer {
    let mut client = Client::new(front);
    let headers = [
        ("Host", HOST),
        ("X-Bulrushspread-Attempt-Id", &*id),
        ("X-Bulrushspread-Deadline-Ms", "5000"),
        ("X-Bulrushspread-Model", "m"),
        ("X-Bulrushspread-Token-Usage", "450,186"),
    ];
    let answer =
        client.send("POST", "/lohu930/stream", &headers, b"question", Duration::from_secs(6));
    let status = answer.as_ref().map_or(0, |(status, ..)| *status);
    let texts = answer.map(|(_, _, body)| {
        let body = String::from_utf8_lossy(&body).into_owned();
        body.lines().filter_map(|line| line.strip_prefix("data: ").map(str::to_string)).collect()
    });
    Answer { id, status, texts }
}

pub fn run(record: &Path, folder: &Path, is_troubled: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let log = Log::new(12);
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        engines.push(Engine::start(&format!("i-{index:08x}"), kind("v1")).map_err(fail)?);
    }
    for engine in &engines {
        log.put("keyed.servers", &engine.id, &engine.entry(SERVICE, SLOTS, 1));
    }
    log.put("keyed.op", "config", &configuration());
    // Servers that have crashed report nothing.
    let reporting: Arc<Mutex<Vec<Arc<Engine>>>> = Arc::new(Mutex::new(engines.clone()));
    let is_over = Arc::new(AtomicBool::new(false));
    let heartbeats = {
        let (log, reporting, is_over) =
            (Arc::clone(&log), Arc::clone(&reporting), Arc::clone(&is_over));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                for engine in reporting.lock().expect("no panic").iter() {
                    log.put("keyed.servers", &engine.id, &engine.entry(SERVICE, SLOTS, sequence));
                }
            }
        })
    };
    let mut nodes = Vec::new();
    for (index, ip) in addresses(NODES).into_iter().enumerate() {
        let store = log.serve().map_err(fail)?;
        let name = format!("front-ljubljana-a-{}", index + 1);
        nodes.push(Node::start(&name, ip, store, folder, BOUNDS).map_err(fail)?);
    }
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} isn't ready", node.name));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let calm = stream(nodes[0].front, "00000000000000ff".to_string());
    if calm.status != 200 || calm.texts.as_ref().is_none_or(|texts| texts.len() != EVENTS as usize)
    {
        return Err(format!("a calm stream was answered {}", calm.status));
    }
    thread::sleep(Duration::from_secs(1));

    let is_set = |name: &str, value: &str| std::env::var(name).is_ok_and(|found| found == value);
    let is_busy = is_troubled && is_set("STORE", "busy");
    let reports_after = if is_busy || is_set("REPORT", "at-once") { Duration::ZERO } else { LAG };
    let started = Instant::now();
    log.set_busy(is_busy);
    let first = Arc::clone(&engines[0]);
    let version = if is_set("VERSION", "same") { "v1" } else { "v2" };
    let second = if is_troubled {
        reporting.lock().expect("no panic").remove(0);
        first.crash();
        thread::sleep(DOWN);
        Engine::start_at(&first.id, first.address, kind(version)).map_err(fail)?
    } else {
        Arc::clone(&first)
    };
    let back_at = started.elapsed();
    let reporter = {
        let (log, server) = (Arc::clone(&log), Arc::clone(&second));
        thread::spawn(move || {
            thread::sleep(reports_after);
            if is_troubled && !is_busy && !server.is_down() {
                log.put("keyed.servers", &server.id, &server.entry(SERVICE, SLOTS, 1));
            }
        })
    };
    thread::sleep(SENT_AFTER);
    let mut clients = Vec::new();
    for index in 0..CLIENTS {
        let front = nodes[index % nodes.len()].front;
        clients.push(thread::spawn(move || stream(front, format!("{:016x}", index + 1))));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep((back_at + UP).saturating_sub(started.elapsed()));
    if is_troubled {
        second.crash();
    }
    let crashed_at = started.elapsed();
    reporter.join().map_err(|_| "the report panicked")?;
    // The entry expires after three intervals of silence.
    let expires_at = 3 * HEARTBEAT;
    let expiring = {
        let (log, id) = (Arc::clone(&log), first.id.clone());
        thread::spawn(move || {
            thread::sleep(expires_at.saturating_sub(started.elapsed()));
            if is_troubled {
                log.put("keyed.servers", &id, "");
            }
        })
    };
    let mut answers = Vec::new();
    for client in clients {
        answers.push(client.join().map_err(|_| "a client panicked")?);
    }
    expiring.join().map_err(|_| "the store panicked")?;
    log.set_busy(false);
    is_over.store(true, Ordering::Relaxed);
    drop(nodes);
    heartbeats.join().map_err(|_| "the heartbeats panicked")?;

    let mut text = String::new();
    let _ = writeln!(text, "trouble: {is_troubled}");
    if is_troubled {
        let _ = writeln!(
            text,
            "server {}: crashed at 0 ms, runs again as {version} at {} ms, crashed at {} ms",
            first.id,
            back_at.as_millis(),
            crashed_at.as_millis()
        );
        let _ = writeln!(
            text,
            "store busy: {is_busy}; the server's entry changes {} ms after its start",
            reports_after.as_millis()
        );
    }
    let begun = second.runs.lock().expect("no panic").len();
    let _ = writeln!(text, "streams that it began meanwhile: {begun}");
    let mut joined = 0;
    let mut lines = String::new();
    for answer in &answers {
        let texts = answer.texts.clone().unwrap_or_default();
        let from = |version: &str| texts.iter().filter(|text| text.starts_with(version)).count();
        let is_joined =
            answer.texts.is_some() && answer.status == 200 && from("v1") > 0 && from("v2") > 0;
        joined += usize::from(is_joined);
        let state = if answer.texts.is_some() { "complete" } else { "cut" };
        let _ = writeln!(
            lines,
            "{}: status {} {state}, events of v1: {}, of v2: {}",
            answer.id,
            answer.status,
            from("v1"),
            from("v2")
        );
        if is_joined {
            let _ = writeln!(lines, "  {}", texts.join(" | "));
        }
    }
    let _ = writeln!(
        text,
        "complete answers joined from two versions: {joined} of {}; {ALLOWED} are allowed\n",
        answers.len()
    );
    for engine in &engines {
        for run in engine.runs.lock().expect("no panic").iter().filter(|run| run.after > 0) {
            let at = run.at.saturating_duration_since(started).as_millis();
            let _ = writeln!(
                lines,
                "{at} ms: {} went on with {} after event {}",
                engine.id, run.id, run.after
            );
        }
    }
    text += &lines;
    std::fs::write(record, &text).map_err(fail)?;
    println!("{}", text.split("\n\n").next().unwrap_or_default());
    match begun {
        0 => Err("the server began no stream".to_string()),
        _ => Ok(joined <= ALLOWED),
    }
}
