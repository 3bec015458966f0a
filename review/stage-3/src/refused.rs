//! A large job whose records fill one append almost exactly: the platform's store takes that append and then
//! turns callers away. The job is refused at each attempt. Then the owner of its partition is stopped.

use std::{
    fmt::Write as _,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Kind},
    http::Client,
    log::{base64, Log},
    node::{addresses, Node},
};

const NODES: u8 = 3;
const ENGINES: usize = 3;
const SLOTS: u32 = 8;
const HOST: &str = "ficu95.example";
const JOB: &str = "7c41e09b52d6a3f8";
const PATH: &str = "/pule252/7c41e0";
const ITEMS: usize = 24;
/// Length of the job in the log, with which all its chunks fit into one append and the record after them
/// doesn't.
const ENCODED_BYTES: usize = 2_095_770;
const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
    catch_up_s = 4.6\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n\
    rollback_slack_ms = 250\nouter_ms = 5000\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 18\n\
    status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1";
/// How long the store is busy.
const BUSY: Duration = Duration::from_millis(4_500);
/// How long the client waits for the answer to all its attempts.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Length of the day after the store is back.
const REST: Duration = Duration::from_secs(25);

fn item_id(index: usize) -> String {
    format!("e5b2907c14da6f{index:02x}")
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-m4htkue\",\"host\":\"{HOST}\",\"path_prefix\":\"/pule252/\",\
         \"kind\":\"batch\",\"timeout_ms\":15000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"huvo11a\",\
         \"max_attempts\":3,\"run_aim_ms\":18000,\"retention_s\":60,\"max_count\":2000000,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":370}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// The submission, and the total size of the bodies of its items.
fn submission() -> (String, usize) {
    let path = "/pule252/3/stream";
    let header = ("X-Bulrushspread-Token-Usage", "350,128");
    // What the items cost in the log beside their bodies: lengths take one byte, those of bodies three.
    let head = 1 + HOST.len() + 1 + PATH.len() + 6 + 1 + 1;
    let item = 1 + 16 + 1 + path.len() + 1 + 1 + header.0.len() + 1 + header.1.len() + 3 + 2;
    let bodies = ENCODED_BYTES - head - ITEMS * item;
    let each = bodies / ITEMS;
    let mut items = Vec::new();
    for index in 0..ITEMS {
        let length = if index + 1 == ITEMS { bodies - each * (ITEMS - 1) } else { each };
        let body = base64(&vec![b'a' + (index % 26) as u8; length]);
        items.push(format!(
            "{{\"id\":\"{}\",\"path\":\"{path}\",\"headers\":{{\"{}\":\"{}\"}},\"body\":\"{body}\",\"tokens\":478}}",
            item_id(index), header.0, header.1
        ));
    }
    (format!("{{\"items\":[{}]}}", items.join(",")), bodies)
}

pub fn run(record: &Path, folder: &Path, is_troubled: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let log = Log::new(12);
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let kind = Kind { version: "v1".to_string(), work: Duration::from_millis(20), events: 20 };
        let engine = Engine::start(&format!("i-{index:08x}"), kind);
        engines.push(engine.map_err(fail)?);
    }
    for engine in &engines {
        log.put("keyed.servers", &engine.id, &engine.entry("huvo11a", SLOTS, 1));
    }
    log.put("keyed.op", "config", &configuration());
    let is_over = Arc::new(AtomicBool::new(false));
    let heartbeats = {
        let (log, engines, is_over) = (Arc::clone(&log), engines.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                for engine in &engines {
                    log.put("keyed.servers", &engine.id, &engine.entry("huvo11a", SLOTS, sequence));
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
    let until = Instant::now() + Duration::from_secs(10);
    while log.settled_members("jobs") != Some(usize::from(NODES)) {
        if Instant::now() > until {
            return Err("the partitions have no stable owners".to_string());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(3));

    let (body, bodies) = submission();
    let started = Instant::now();
    let busy = {
        let log = Arc::clone(&log);
        thread::spawn(move || {
            if !is_troubled {
                return;
            }
            // The store goes busy while it works on the append that holds the job.
            while log.largest_append.load(Ordering::SeqCst) < 2_000_000 {
                if started.elapsed() > DEADLINE {
                    return;
                }
                thread::sleep(Duration::from_millis(1));
            }
            thread::sleep(Duration::from_millis(30));
            log.set_busy(true);
            thread::sleep(BUSY);
            log.set_busy(false);
        })
    };
    // The client tries once, and once more at another node.
    let mut attempts = Vec::new();
    for attempt in 0..2 {
        let left = DEADLINE.saturating_sub(started.elapsed());
        let node = &nodes[attempt];
        let mut client = Client::new(node.front);
        let deadline = left.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("X-Bulrushspread-Attempt-Id", JOB),
            ("X-Bulrushspread-Deadline-Ms", &*deadline),
            ("Content-Type", "application/json"),
        ];
        let sent_at = started.elapsed();
        let answer = client.send("POST", PATH, &headers, body.as_bytes(), left);
        let status = answer.as_ref().map_or(0, |(status, ..)| *status);
        attempts.push((sent_at, started.elapsed(), status));
        if status == 202 {
            break;
        }
        let retry_after = answer.and_then(|(_, headers, _)| {
            let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
            found.and_then(|(_, value)| value.parse::<f64>().ok())
        });
        thread::sleep(Duration::from_secs_f64(retry_after.unwrap_or(0.3)));
    }
    busy.join().map_err(|_| "the store panicked")?;
    thread::sleep(Duration::from_secs(1));
    let keys = log.keys("keyed.jobs");

    // The machine that owns the job's partition is stopped, as for a new release.
    let part =
        log.partition_of("keyed.jobs", &format!("h/{JOB}/")).ok_or("no record of the job")?;
    let owner = log.owner("jobs", part).ok_or("the partition has no owner")?;
    let stopped = nodes.iter().position(|node| owner.starts_with(&format!("{}:", node.ip)));
    let stopped = stopped.ok_or("the owner is no known node")?;
    let mut stopped_at = None;
    if is_troubled {
        stopped_at = Some(started.elapsed());
        nodes[stopped].terminate();
        thread::sleep(Duration::from_secs(8));
        nodes[stopped].kill();
    }
    thread::sleep(REST.saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::Relaxed);
    let reader = &nodes[(stopped + 1) % nodes.len()];
    let mut client = Client::new(reader.front);
    let read = client.send(
        "GET",
        &format!("/api/lots/{JOB}?after=0"),
        &[("Host", HOST)],
        b"",
        Duration::from_secs(3),
    );
    drop(nodes);
    heartbeats.join().map_err(|_| "the heartbeats panicked")?;

    let mut runs = Vec::new();
    for engine in &engines {
        for run in engine.runs.lock().expect("no panic").iter() {
            runs.push((run.at.duration_since(started), run.id.clone(), engine.id.clone()));
        }
    }
    runs.sort();
    let mut text = String::new();
    let _ = writeln!(text, "trouble: {is_troubled}");
    let _ = writeln!(
        text,
        "job {JOB}: {ITEMS} items, {bodies} bytes of bodies, {} bytes sent",
        body.len()
    );
    for (sent_at, at, status) in &attempts {
        let _ = writeln!(
            text,
            "attempt at {} ms: status {status} at {} ms",
            sent_at.as_millis(),
            at.as_millis()
        );
    }
    let _ = writeln!(text, "records of jobs in the log after the attempts: {keys:?}");
    if let Some(at) = stopped_at {
        let _ = writeln!(
            text,
            "SIGTERM to the owner of partition {part}, {owner}, at {} ms",
            at.as_millis()
        );
    }
    let _ = writeln!(text, "runs of the job's items: {}", runs.len());
    let _ = writeln!(
        text,
        "read of the job at the end: {:?}",
        read.as_ref().map(|(status, ..)| *status)
    );
    if let Some((_, _, body)) = &read {
        let body = String::from_utf8_lossy(body);
        let _ = writeln!(text, "{}", body.chars().take(300).collect::<String>());
    }
    let _ = writeln!(text);
    for (at, id, engine) in &runs {
        let _ = writeln!(text, "{} ms: item {id} ran at {engine}", at.as_millis());
    }
    std::fs::write(record, &text).map_err(fail)?;
    println!("{}", text.split("\n\n").next().unwrap_or_default());
    let is_promised = |status: &u16| [429, 503, 408, 421].contains(status);
    let is_refused = attempts.iter().all(|(_, _, status)| is_promised(status));
    match is_troubled && !is_refused {
        true => Err("the store was not busy at the right moment".to_string()),
        false => Ok(!is_refused || runs.is_empty()),
    }
}
