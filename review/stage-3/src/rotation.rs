//! The only key of a tenant that sends above its limit is taken away, and the next configuration brings another
//! one: the tenant's burst is lent a second time.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
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

const NODES: u8 = 3;
const ENGINES: usize = 3;
const SLOTS: u32 = 32;
const HOST: &str = "ficu95.example";
const KEYS: [&str; 2] = ["thhkmgjqnirth5mgjy5r", "cpihhacruddedev3nax7"];
/// The tenant and the partition that its name falls into, of 12.
const TENANT: (&str, u16) = ("heron", 5);
const RATE_PER_S: f64 = 60.0;
const BURST: f64 = 120.0;
/// `quota_window_s`, `quota_over` and `quota_slack`, as on the sheet of the deployment.
const WINDOW: Duration = Duration::from_secs(5);
const OVER: f64 = 0.1;
const SLACK: f64 = 20.0;
const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 4000\nack_ms = 6000\n\
    catch_up_s = 6\ndrain_ms = 3000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 3000\n\
    rollback_slack_ms = 250\nouter_ms = 6000\nstrict_revoke = true\nrevoke_ms = 5000\n\
    quota_window_s = 5\nquota_over = 0.1\nquota_slack = 20\nrecover_s = 15\npass_ms = 200\nagain_s = 0\n\
    finish_s = 18\nstatus_s = 120\ncancel_ms = 3000\nsettle_ms = 1000";
/// Requests a second at each node while the tenant is hot: 4.5 times its limit at all of them together,
/// 7.2 times its usual rate, which a limit exceeds by a factor of 1.6.
const HOT_PER_S: f64 = 90.0;
/// Threads of callers at each node.
const CALLERS: usize = 30;
const HOT: Duration = Duration::from_millis(6_500);
/// When the key is taken away, and how long after that the next version comes.
const TAKEN_AFTER: Duration = Duration::from_millis(900);
const VERSIONS_APART: Duration = Duration::from_millis(500);

struct Sent {
    id: String,
    node: usize,
    at: Instant,
    status: u16,
}

pub fn run(record: &Path, folder: &Path, is_troubled: bool) -> Result<bool, String> {
    let key: Arc<Mutex<&'static str>> = Arc::new(Mutex::new(KEYS[0]));
    let fail = |error: std::io::Error| error.to_string();
    let log = Log::new(12);
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let kind = Kind { version: "v1".to_string(), work: Duration::from_millis(20), events: 0 };
        let engine = Engine::start(&format!("i-{index:08x}"), kind);
        engines.push(engine.map_err(fail)?);
    }
    for engine in &engines {
        log.put("keyed.servers", &engine.id, &engine.entry("huvo11a", SLOTS, 1));
    }
    log.put("keyed.op", "config", &configuration(7, &[KEYS[0]]));
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
        let name = format!("front-sul-br-a-{}", index + 1);
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

    // A calm time: a few requests of the tenant at each node.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let calm = callers(&nodes, &sent, &key, 3.0, 3, Duration::from_secs(14));
    for caller in calm {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    let calm_served =
        sent.lock().expect("no panic").iter().filter(|sent| sent.status == 200).count();
    if calm_served < 60 {
        return Err(format!("only {calm_served} requests were served in the calm time"));
    }

    let owner = log.owner("jobs", TENANT.1).ok_or("the partition has no owner")?;
    let started = Instant::now();
    let hot = callers(&nodes, &sent, &key, HOT_PER_S, CALLERS, HOT);
    if is_troubled {
        thread::sleep(TAKEN_AFTER.saturating_sub(started.elapsed()));
        log.put("keyed.op", "config", &configuration(8, &[]));
        thread::sleep(VERSIONS_APART);
        log.put("keyed.op", "config", &configuration(9, &[KEYS[1]]));
        *key.lock().expect("no panic") = KEYS[1];
    }
    for caller in hot {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    is_over.store(true, Ordering::Relaxed);
    drop(nodes);
    heartbeats.join().map_err(|_| "the heartbeats panicked")?;
    let sent = sent.lock().expect("no panic");

    let mut arrived: BTreeMap<String, Instant> = BTreeMap::new();
    for engine in &engines {
        for run in engine.runs.lock().expect("no panic").iter() {
            arrived.entry(run.id.clone()).or_insert(run.at);
        }
    }
    let ran: Vec<(&Sent, Instant)> =
        sent.iter().filter_map(|sent| Some((sent, *arrived.get(&sent.id)?))).collect();
    let count_from = |start: Instant| {
        let is_in = |(sent, at): &&(&Sent, Instant)| sent.at >= start && *at < start + WINDOW;
        ran.iter().filter(is_in).count()
    };
    let (most, from) =
        ran.iter().map(|(sent, _)| (count_from(sent.at), sent.at)).max().unwrap_or((0, started));
    let bound = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVER) + SLACK;
    let in_window = |node: usize| {
        let is_in = |(sent, at): &&(&Sent, Instant)| {
            sent.node == node && sent.at >= from && *at < from + WINDOW
        };
        ran.iter().filter(is_in).count()
    };
    let ms = |at: Instant| match at.checked_duration_since(started) {
        Some(after) => after.as_millis() as i64,
        None => -(started.duration_since(at).as_millis() as i64),
    };
    let mut text = String::new();
    let _ = writeln!(text, "trouble: {is_troubled}");
    let _ = writeln!(text, "owner of the tenant's partition: {owner}");
    if is_troubled {
        let (taken, given) = (TAKEN_AFTER.as_millis(), (TAKEN_AFTER + VERSIONS_APART).as_millis());
        let _ = writeln!(text, "key taken away at {taken} ms, another one given at {given} ms");
    }
    let _ = writeln!(
        text,
        "most requests of the tenant that ran in {} s: {most}, from {} ms on",
        WINDOW.as_secs(),
        ms(from)
    );
    let _ = writeln!(
        text,
        "of these by the node that took them: {:?}",
        (0..usize::from(NODES)).map(in_window).collect::<Vec<_>>()
    );
    let _ = writeln!(text, "bound: {bound}");
    let _ = writeln!(text, "requests: {}, ran: {}", sent.len(), ran.len());
    let _ = writeln!(text, "\nsent_ms id node status ran_ms");
    for sent in sent.iter() {
        let ran = arrived.get(&sent.id).map_or("-".to_string(), |at| ms(*at).to_string());
        let _ = writeln!(text, "{} {} {} {} {ran}", ms(sent.at), sent.id, sent.node, sent.status);
    }
    std::fs::write(record, &text).map_err(fail)?;
    print!("{}", text.split("\n\n").next().unwrap_or_default());
    println!();
    Ok(most as f64 <= bound)
}

/// Callers that send `per_s` requests a second to each node, on kept connections.
fn callers(
    nodes: &[Node],
    sent: &Arc<Mutex<Vec<Sent>>>,
    key: &Arc<Mutex<&'static str>>,
    per_s: f64,
    count: usize,
    length: Duration,
) -> Vec<thread::JoinHandle<()>> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let mut handles = Vec::new();
    let started = Instant::now();
    let interval = Duration::from_secs_f64(count as f64 / per_s);
    for (index, node) in nodes.iter().enumerate() {
        for caller in 0..count {
            let (front, sent, key) = (node.front, Arc::clone(sent), Arc::clone(key));
            let first = started + interval.mul_f64(caller as f64 / count as f64);
            handles.push(thread::spawn(move || {
                let mut client = Client::new(front);
                let mut next = first;
                while next < started + length {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
                    let bearer = format!("Bearer {}", key.lock().expect("no panic"));
                    let headers = [
                        ("Host", HOST),
                        ("X-Bulrushspread-Attempt-Id", &*id),
                        ("X-Bulrushspread-Deadline-Ms", "2500"),
                        ("Authorization", &*bearer),
                    ];
                    let at = Instant::now();
                    let timeout = Duration::from_millis(2_500);
                    let answer = client.send("POST", "/puxa403/2f", &headers, b"status", timeout);
                    let status = answer.map_or(0, |(status, ..)| status);
                    sent.lock().expect("no panic").push(Sent { id, node: index, at, status });
                    next += interval;
                }
            }));
        }
    }
    handles
}

fn configuration(version: u32, keys: &[&str]) -> String {
    let (tenant, _) = TENANT;
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-m4htkue\",\"host\":\"{HOST}\",\"path_prefix\":\"/puxa403/\",\
         \"kind\":\"safe\",\"timeout_ms\":2500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"huvo11a\",\
         \"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":550}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{tenant}\",\"api_keys\":[{keys}],\"priority\":1,\"rate_per_s\":{RATE_PER_S},\"burst\":{BURST}}}]}}"
    )
}
