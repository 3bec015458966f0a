//! A server restarts in place with another version. The streams that it begins before its entry in the store has
//! changed are broken off much later, as the node of their clients is killed, and the clients resume them at another
//! node.
//!
//! With `VERSION=same` the server comes back with the version that it had.
//! With `REPORT=at-once` the entry changes as the server starts.

use std::{
    fmt::Write as _,
    io::{Read, Write as _},
    net::{SocketAddr, TcpStream},
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
    log::Log,
    node::{addresses, Node},
};

const NODES: u8 = 2;
const ENGINES: usize = 9;
const SLOTS: u32 = 8;
const HOST: &str = "ficu95.example";
const SERVICE: &str = "svetovalec";
const EVENTS: u32 = 31;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// From the first crash until the server runs again.
const DOWN: Duration = Duration::from_millis(500);
/// From a change at a server until its entry in the store has changed, as in the site file.
const LAG: Duration = Duration::from_millis(800);
/// From the start of the server until the node of the clients is killed.
const KILLED_AFTER: Duration = Duration::from_millis(2_000);
/// From the end of its channel, or a refusal, until a client resumes its stream.
const PAUSE: Duration = Duration::from_millis(300);
/// How often a client tries to resume its stream.
const RESUMES: usize = 3;
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

/// One try of a client.
struct Try {
    id: String,
    status: u16,
    /// Ids and data of the events that came.
    events: Vec<(u32, String)>,
    is_complete: bool,
}

/// Sends a request and reads its answer until the end, or until the channel breaks.
fn send(front: SocketAddr, id: &str, resumes: Option<(&str, u32)>, left: Duration) -> Try {
    let mut answer = Try { id: id.to_string(), status: 0, events: Vec::new(), is_complete: false };
    let mut head = format!(
        "POST /lohu930/stream HTTP/1.1\r\nHost: {HOST}\r\nX-Bulrushspread-Attempt-Id: {id}\r\n\
         X-Bulrushspread-Deadline-Ms: {}\r\nX-Bulrushspread-Model: m\r\n\
         X-Bulrushspread-Token-Usage: 450,186\r\n",
        left.as_millis()
    );
    if let Some((first, event)) = resumes {
        head += &format!("Last-Event-Id: {event}\r\nResumes: {first}\r\n");
    }
    head += "Content-Length: 8\r\n\r\nquestion";
    let mut bytes = Vec::new();
    if let Ok(mut channel) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
        let _ = channel.set_read_timeout(Some(Duration::from_secs(2)));
        let mut chunk = [0; 4096];
        let mut is_open = channel.write_all(head.as_bytes()).is_ok();
        while is_open && !bytes.ends_with(b"\r\n0\r\n\r\n") {
            let read = channel.read(&mut chunk).unwrap_or(0);
            bytes.extend_from_slice(&chunk[..read]);
            is_open = read > 0 && !bytes.ends_with(b"Content-Length: 0\r\n\r\n");
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let Some((head, mut rest)) = text.split_once("\r\n\r\n") else { return answer };
    answer.status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        answer.is_complete = size == 0;
        let Some(chunk) = after.get(..size) else { break };
        body += chunk;
        rest = after.get(size + 2..).unwrap_or_default();
    }
    for event in body.split("\n\n") {
        if let Some((id, text)) = event.split_once('\n') {
            let id = id.strip_prefix("id: ").and_then(|id| id.parse().ok());
            if let (Some(id), Some(text)) = (id, text.strip_prefix("data: ")) {
                answer.events.push((id, text.to_string()));
            }
        }
    }
    answer
}

/// Sends a request and, if its channel breaks after an event, resumes it at another node, until it isn't refused.
fn stream(first: SocketAddr, second: SocketAddr, number: usize) -> Vec<Try> {
    let deadline = Instant::now() + Duration::from_millis(5_000);
    let begun = send(first, &format!("{number:016x}"), None, Duration::from_millis(5_000));
    let Some((event, _)) = begun.events.last().filter(|_| !begun.is_complete).cloned() else {
        return vec![begun];
    };
    let mut tries = vec![begun];
    for resume in 1..=RESUMES {
        thread::sleep(PAUSE);
        let left = deadline.saturating_duration_since(Instant::now());
        let id = format!("{:016x}", number + resume * 0x1000);
        let resumed = send(second, &id, Some((&tries[0].id, event)), left);
        let is_refused = resumed.status == 503;
        tries.push(resumed);
        if !is_refused {
            break;
        }
    }
    tries
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
    let calm = stream(nodes[0].front, nodes[1].front, 0xff);
    if !calm[0].is_complete || calm[0].events.len() != EVENTS as usize {
        return Err(format!("a calm stream was answered {}", calm[0].status));
    }
    thread::sleep(Duration::from_secs(1));

    let is_reported_at_once = std::env::var("REPORT").is_ok_and(|found| found == "at-once");
    let reports_after = if is_reported_at_once { Duration::ZERO } else { LAG };
    let started = Instant::now();
    let first = Arc::clone(&engines[0]);
    let is_same = std::env::var("VERSION").is_ok_and(|found| found == "same");
    let version = if is_same { "v1" } else { "v2" };
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
        let (log, server, reporting) =
            (Arc::clone(&log), Arc::clone(&second), Arc::clone(&reporting));
        thread::spawn(move || {
            thread::sleep(reports_after);
            if is_troubled {
                log.put("keyed.servers", &server.id, &server.entry(SERVICE, SLOTS, 1));
                reporting.lock().expect("no panic").push(server);
            }
        })
    };
    thread::sleep(SENT_AFTER);
    let mut clients = Vec::new();
    for index in 0..CLIENTS {
        let fronts = (nodes[0].front, nodes[1].front);
        clients.push(thread::spawn(move || stream(fronts.0, fronts.1, index + 1)));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep((back_at + KILLED_AFTER).saturating_sub(started.elapsed()));
    if is_troubled {
        nodes[0].kill();
    }
    let killed_at = started.elapsed();
    let killed = nodes[0].name.clone();
    reporter.join().map_err(|_| "the report panicked")?;
    let mut answers = Vec::new();
    for client in clients {
        answers.push(client.join().map_err(|_| "a client panicked")?);
    }
    is_over.store(true, Ordering::Relaxed);
    drop(nodes);
    heartbeats.join().map_err(|_| "the heartbeats panicked")?;

    let mut text = String::new();
    let _ = writeln!(text, "trouble: {is_troubled}");
    if is_troubled {
        let _ = writeln!(
            text,
            "server {}: crashed at 0 ms, runs again as {version} at {} ms; its entry changes {} ms later",
            first.id,
            back_at.as_millis(),
            reports_after.as_millis()
        );
        let _ = writeln!(text, "node {killed} killed at {} ms", killed_at.as_millis());
    }
    let begun = second.runs.lock().expect("no panic").iter().filter(|run| run.after == 0).count();
    let _ = writeln!(text, "streams that the server began: {begun}");
    let (mut joined, mut resumed) = (0, 0);
    let mut lines = String::new();
    for tries in &answers {
        let mut versions = Vec::new();
        for one in tries {
            let _ = writeln!(
                lines,
                "{}: status {} {}",
                one.id,
                one.status,
                if one.is_complete { "complete" } else { "cut" }
            );
            let texts = one.events.iter().map(|(id, text)| format!("{id}={text}"));
            let _ = writeln!(lines, "  {}", texts.collect::<Vec<_>>().join(" | "));
            let words = one.events.iter().filter_map(|(_, text)| text.split(' ').next());
            versions.extend(words.map(str::to_string));
        }
        versions.sort();
        versions.dedup();
        joined += usize::from(versions.len() > 1);
        resumed +=
            usize::from(tries.last().is_some_and(|last| tries.len() > 1 && last.is_complete));
    }
    let _ = writeln!(text, "streams that clients resumed and that went on to their end: {resumed}");
    let _ = writeln!(
        text,
        "streams joined from two versions: {joined} of {}; {ALLOWED} are allowed\n",
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
    match (begun, resumed) {
        (0, _) => Err("the server began no stream".to_string()),
        (_, 0) if is_troubled => Err("no stream was resumed".to_string()),
        _ => Ok(joined <= ALLOWED),
    }
}
