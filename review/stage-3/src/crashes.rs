//! A request that crashes the servers that run it comes again each time all machines have lost power.

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
    engine::{Engine, Kind, POISON},
    http::Client,
    log::Log,
    node::{addresses, Node},
};

const NODES: u8 = 3;
const ENGINES: usize = 9;
const SLOTS: u32 = 8;
const HOST: &str = "ficu95.example";
const SERVICE: &str = "svetovalec";
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which a server that has crashed is back.
const CRASHED: Duration = Duration::from_millis(2_500);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// How long the machines are without power.
const DARK: Duration = Duration::from_millis(1_400);
/// From the return of the machines until the request comes again: they are in touch by then.
const IN_TOUCH: Duration = Duration::from_millis(5_000);
/// How often the request comes in a row, before and after each loss of power.
const ROUNDS: usize = 4;
/// The request comes this often in a row, and the pause between.
const REPEATS: usize = 4;
const PAUSE: Duration = Duration::from_millis(500);
const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
    catch_up_s = 4.6\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n\
    rollback_slack_ms = 250\nouter_ms = 5000\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 18\n\
    status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1";

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-h6k78ki\",\"host\":\"{HOST}\",\"path_prefix\":\"/lohu930/\",\
         \"kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":300,\"session_affinity\":true}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":370}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn kind() -> Kind {
    Kind { version: "v1".to_string(), work: Duration::from_millis(20), events: 20 }
}

pub fn run(record: &Path, folder: &Path, is_troubled: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let log = Log::new(12);
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        engines.push(Engine::start(&format!("i-{index:08x}"), kind()).map_err(fail)?);
    }
    for engine in &engines {
        log.put("keyed.servers", &engine.id, &engine.entry(SERVICE, SLOTS, 1));
    }
    log.put("keyed.op", "config", &configuration());
    let is_over = Arc::new(AtomicBool::new(false));
    let running: Arc<Mutex<Vec<Arc<Engine>>>> = Arc::new(Mutex::new(engines.clone()));
    let all: Arc<Mutex<Vec<Arc<Engine>>>> = Arc::new(Mutex::new(engines));
    // Servers report as long as they run, and are back some seconds after a crash.
    let keeper = {
        let (log, running, all, is_over) =
            (Arc::clone(&log), Arc::clone(&running), Arc::clone(&all), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut down: Vec<Option<Instant>> = vec![None; ENGINES];
            let mut reported_at = Instant::now();
            let mut sequence = 1;
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
                let is_due = reported_at.elapsed() >= HEARTBEAT;
                if is_due {
                    reported_at = Instant::now();
                    sequence += 1;
                }
                let mut running = running.lock().expect("no panic");
                for (engine, down) in running.iter_mut().zip(&mut down) {
                    let mut is_new = false;
                    if engine.is_down() {
                        let since = *down.get_or_insert_with(Instant::now);
                        if since.elapsed() < CRASHED {
                            continue;
                        }
                        let Ok(next) = Engine::start_at(&engine.id, engine.address, kind()) else {
                            continue;
                        };
                        (*down, is_new) = (None, true);
                        all.lock().expect("no panic").push(Arc::clone(&next));
                        *engine = next;
                    }
                    if is_due || is_new {
                        log.put(
                            "keyed.servers",
                            &engine.id,
                            &engine.entry(SERVICE, SLOTS, sequence),
                        );
                    }
                }
            }
        })
    };
    let ips = addresses(NODES);
    let mut stores = Vec::new();
    for _ in 0..NODES {
        stores.push(log.serve().map_err(fail)?);
    }
    let start_all = || -> Result<Vec<Node>, String> {
        let mut nodes = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("front-ljubljana-a-{}", index + 1);
            nodes.push(Node::start(&name, *ip, stores[index], folder, BOUNDS).map_err(fail)?);
        }
        for node in &nodes {
            if !node.wait_ready(Duration::from_secs(15)) {
                return Err(format!("{} isn't ready", node.name));
            }
        }
        Ok(nodes)
    };
    let mut nodes = start_all()?;
    thread::sleep(IN_TOUCH);
    let started = Instant::now();
    let mut sent: Vec<(String, usize, Instant, u16)> = Vec::new();
    let mut powered: Vec<Duration> = Vec::new();
    let mut next = 1;
    for round in 0..ROUNDS {
        if round > 0 && is_troubled {
            powered.push(started.elapsed());
            nodes.iter_mut().for_each(Node::kill);
            drop(nodes);
            thread::sleep(DARK);
            nodes = start_all()?;
        }
        thread::sleep(IN_TOUCH);
        for repeat in 0..REPEATS {
            let index = repeat % nodes.len();
            let id = format!("{next:016x}");
            next += 1;
            let headers = [
                ("Host", HOST),
                ("X-Bulrushspread-Attempt-Id", &*id),
                ("X-Bulrushspread-Deadline-Ms", "5000"),
            ];
            let at = Instant::now();
            let mut client = Client::new(nodes[index].front);
            let answer =
                client.send("POST", "/lohu930/stream", &headers, POISON, Duration::from_secs(6));
            sent.push((id, index, at, answer.map_or(0, |(status, ..)| status)));
            thread::sleep(PAUSE);
        }
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    drop(nodes);
    keeper.join().map_err(|_| "the servers panicked")?;

    let mut runs = Vec::new();
    for engine in all.lock().expect("no panic").iter() {
        for run in engine.runs.lock().expect("no panic").iter() {
            runs.push((run.at, run.id.clone(), engine.id.clone()));
        }
    }
    runs.sort();
    let third = runs.get(2).map(|(at, ..)| *at);
    let sent_at = |id: &str| sent.iter().find(|(known, ..)| known == id).map(|(_, _, at, _)| *at);
    let is_late = |id: &str| {
        let (Some(third), Some(at)) = (third, sent_at(id)) else { return false };
        at > third + STABLE_WINDOW
    };
    let late = runs.iter().filter(|(_, id, _)| is_late(id)).count();
    let ms = |at: Instant| at.saturating_duration_since(started).as_millis();
    let mut text = String::new();
    let _ = writeln!(text, "trouble: {is_troubled}");
    for at in &powered {
        let _ = writeln!(
            text,
            "all machines lost power at {} ms for {} ms",
            at.as_millis(),
            DARK.as_millis()
        );
    }
    let _ = writeln!(text, "servers that the request reached and crashed: {}", runs.len());
    let _ = writeln!(
        text,
        "of these by retries sent later than {} ms after the third crash: {late}\n",
        STABLE_WINDOW.as_millis()
    );
    for (id, node, at, status) in &sent {
        let _ = writeln!(text, "{} ms: request {id} at node {node}: status {status}", ms(*at));
    }
    for (at, id, engine) in &runs {
        let _ = writeln!(text, "{} ms: request {id} crashed {engine}", ms(*at));
    }
    std::fs::write(record, &text).map_err(fail)?;
    println!("{}", text.split("\n\n").next().unwrap_or_default());
    match runs.is_empty() {
        true => Err("the request reached no server".to_string()),
        false => Ok(late <= 3),
    }
}
