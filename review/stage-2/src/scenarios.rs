//! The scenarios, one for each case. Rules are checked as RULES.md writes them, from what clients and
//! servers see.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, Item, Page, HOST},
    http::Message,
    node::{self, Node},
    record::Record,
    server::{Reply, Run, Script, Server, SLOTS},
    store::Store,
};

pub enum Fail {
    Broken(String),
    CannotRun(String),
}

type Verdict = Result<(), Fail>;

/// `finish_s`: what batch jobs have after the last one was submitted.
const FINISH: Duration = Duration::from_secs(18);
/// `settle_ms`.
const SETTLE_MS: u64 = 1_000;
/// `stable_window_ms`.
const STABLE: Duration = Duration::from_millis(3_000);
/// `config_ms`, and half a second for the clients.
const CONFIG: Duration = Duration::from_millis(2_500);
/// LOST: the span in which no server had an unlisted item.
const IDLE_MS: u64 = 5_000;

/// LOST: the span in which no item was finished.
const QUIET_MS: u64 = 3_000;
const MODEL_SERVERS: usize = 2;

/// Service of the model replicas, and that of an application.
const MODEL: &str = "huvo11a";
const APPLICATION: &str = "wuno96b";
/// A second service of model replicas, which shares a batch route with the first.
const CANARY: &str = "huvo11b";
const SUBMIT_WITHIN: Duration = Duration::from_secs(8);

pub fn run(scenario: &str, has_trouble: bool, record: &Record, folder: &Path) -> Verdict {
    match scenario {
        "spoiled" => spoiled(has_trouble, record, folder),
        "revived" => revived(has_trouble, record, folder),
        "sub-route" => sub_route(has_trouble, record, folder),
        "canary" => canary(has_trouble, record, folder),
        "headers" => headers(has_trouble, record, folder),
        other => Err(Fail::CannotRun(format!("no scenario {other}"))),
    }
}

/// A small deployment: the store, servers of a model and of an application, nodes, and a client.
struct Stage {
    store: Store,
    address: SocketAddr,
    record: Record,
    servers: Vec<Server>,
    nodes: Vec<Node>,
    client: Client,
    /// Accepted jobs with the ids of their items.
    accepted: BTreeMap<String, Vec<String>>,
}

impl Stage {
    fn start(record: &Record, folder: &Path, nodes: usize, model: Script) -> Result<Stage, Fail> {
        let store = Store::default();
        let address = store.serve();
        let mut servers: Vec<Server> = (0..MODEL_SERVERS)
            .map(|index| {
                Server::start(
                    &format!("i-model-{index}"),
                    MODEL,
                    &store,
                    record,
                    Arc::clone(&model),
                )
            })
            .collect();
        let page: Script =
            Arc::new(|request: &Message| match request.path().starts_with("/puxa403/") {
                true => Reply::Page { status: 200, body: b"status of a cylinder".to_vec() },
                false => Reply::Page { status: 404, body: b"no such page".to_vec() },
            });
        servers.push(Server::start("i-application-0", APPLICATION, &store, record, page));
        configure(&store, 1, &[]);
        let nodes: Vec<Node> = (0..nodes)
            .map(|index| Node::start(&format!("front-{index}"), address, folder))
            .collect();
        if let Some(node) = nodes.iter().find(|node| !node.wait_ready()) {
            return Err(Fail::CannotRun(format!("{} is not ready", node.name)));
        }
        // The nodes find each other, and the partitions are dealt among them.
        sleep(Duration::from_millis(3_000));
        record.line("all nodes are ready");
        let client = Client { record: record.clone() };
        let (record, accepted) = (record.clone(), BTreeMap::new());
        Ok(Stage { store, address, record, servers, nodes, client, accepted })
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.front).collect()
    }

    fn note(&self, text: &str) {
        self.record.line(text);
    }

    /// Submits a job at the nodes until it is accepted.
    fn submit(&mut self, path: &str, job: &str, items: &[Item]) -> bool {
        let is_accepted =
            self.client.submit(&self.fronts(), path, job, items, SUBMIT_WITHIN) == 202;
        if is_accepted {
            let ids = items.iter().map(|item| item.id.clone()).collect();
            self.accepted.insert(job.to_string(), ids);
        }
        is_accepted
    }

    /// Reads all accepted jobs until their items are listed or `finish_s` is over. Returns the items
    /// that are lost, as LOST counts them.
    fn wait_for_lost(&self) -> Vec<String> {
        let deadline = Instant::now() + FINISH;
        let fronts = self.fronts();
        let mut open = self.accepted.clone();
        loop {
            for job in open.keys().cloned().collect::<Vec<String>>() {
                for front in &fronts {
                    let Page::Results { results, .. } = self.client.read(*front, &job, 0) else {
                        continue;
                    };
                    let is_listed = |id: &String| results.iter().any(|result| result.id == *id);
                    if let Some(items) = open.get_mut(&job) {
                        items.retain(|id| !is_listed(id));
                    }
                }
            }
            open.retain(|_, items| !items.is_empty());
            if open.is_empty() {
                return Vec::new();
            }
            if Instant::now() >= deadline {
                break;
            }
            sleep(Duration::from_millis(500));
        }
        self.count_lost(&open)
    }

    /// The items of `open` that LOST counts: no server has had an unlisted item of the job in the last
    /// 5 s, the model's servers were under half full then, and no item was finished in the last 3 s.
    fn count_lost(&self, open: &BTreeMap<String, Vec<String>>) -> Vec<String> {
        let now = self.record.ms();
        let (idle_since, quiet_since) = (now.saturating_sub(IDLE_MS), now.saturating_sub(QUIET_MS));
        let runs = self.runs();
        // A run that its sender ends within a second doesn't count as had.
        let is_had = |run: &&Run| {
            run.ended.is_none_or(|(ended, is_whole)| {
                ended >= idle_since && (is_whole || ended - run.began > 1_000)
            })
        };
        let had: Vec<&Run> = runs.iter().filter(is_had).collect();
        let finished = runs.iter().filter(|run| {
            run.ended.is_some_and(|(ended, is_whole)| is_whole && ended >= quiet_since)
        });
        let finished = finished.count();
        self.note(&format!(
            "servers: {} requests in the last 5 s, {finished} finished in the last 3 s",
            had.len()
        ));
        let is_calm = had.len() < MODEL_SERVERS * SLOTS / 2 && finished == 0;
        let mut lost = Vec::new();
        for (job, items) in open {
            let is_excused = had.iter().any(|run| items.contains(&run.id));
            for item in items {
                let whole = runs.iter().filter(|run| {
                    run.id == *item && run.ended.is_some_and(|(_, is_whole)| is_whole)
                });
                let (whole, all) =
                    (whole.count(), runs.iter().filter(|run| run.id == *item).count());
                self.note(&format!(
                    "item {item} of job {job} is not listed: {all} runs, {whole} of them whole; a server had an unlisted item of the job in the last 5 s: {is_excused}"
                ));
                if is_calm && !is_excused {
                    lost.push(format!("{item} of {job}"));
                }
            }
        }
        lost
    }

    fn runs(&self) -> Vec<Run> {
        self.servers.iter().flat_map(|server| server.runs.lock().unwrap().clone()).collect()
    }
}

/// Writes a configuration with the routes of a small deployment and `more` ones, each as JSON.
fn configure(store: &Store, version: u64, more: &[String]) {
    let mut routes = vec![
        route("r-stream", "/lohu930/", "streaming", MODEL, "\"timeout_ms\":5000,\"target_latency_ms\":300,\"max_attempts\":2,\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":300"),
        route("r-batch", "/pule252/", "batch", MODEL, BATCH),
        route("r-safe", "/puxa403/", "safe", APPLICATION, SAFE),
    ];
    routes.extend_from_slice(more);
    let service = |name: &str, channels: u32| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":{channels},\"protocol\":\"h1\",\"tls\":false}}")
    };
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{},{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        service(MODEL, 370),
        service(CANARY, 370),
        service(APPLICATION, 110)
    );
    store.put("keyed.op", "config", config.as_bytes());
}

const BATCH: &str = "\"timeout_ms\":15000,\"target_latency_ms\":400,\"max_attempts\":3,\"run_aim_ms\":18000,\"retention_s\":60,\"max_count\":2000000,\"session_affinity\":true";
const SAFE: &str = "\"timeout_ms\":1500,\"target_latency_ms\":200,\"max_attempts\":2";

fn route(name: &str, prefix: &str, kind: &str, service: &str, rest: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"priority\":0,\"service\":\"{service}\",{rest}}}"
    )
}

/// A model that streams `count` events, each after `pause_ms`.
fn words(count: usize, pause_ms: u64) -> Script {
    Arc::new(move |request: &Message| {
        let id = request.header("X-Bulrushspread-Attempt-Id").unwrap_or_default().to_string();
        let data = (1..=count).map(|event| format!("{id} word {event}").into_bytes()).collect();
        Reply::Events { data, pause: Duration::from_millis(pause_ms) }
    })
}

/// Items `PREFIX-0`, `PREFIX-1`, …
fn items(prefix: &str, count: usize) -> Vec<Item> {
    (0..count).map(|index| Item::new(&format!("{prefix}-{index}"), "/pule252/3/91c4")).collect()
}

/// Id of a job, as the platform draws them.
fn job_id(index: usize) -> String {
    format!("7c41e09b52d6{index:04x}")
}

/// One answer of a model replica consists of wrong bytes. It is one of more than 50.
fn spoiled(has_trouble: bool, record: &Record, folder: &Path) -> Verdict {
    const JOBS: usize = 30;
    /// Pieces of the longest output, and the bytes of the longest piece, in the users' site file.
    const LONGEST: (usize, usize) = (345, 360);
    let model: Script = Arc::new(move |request: &Message| {
        let id = request.header("X-Bulrushspread-Attempt-Id").unwrap_or_default().to_string();
        if id != "long-0" {
            let data = (1..=60).map(|event| format!("{id} word {event}").into_bytes()).collect();
            return Reply::Events { data, pause: Duration::from_millis(25) };
        }
        let byte = if has_trouble { 0xff } else { b'x' };
        Reply::Events {
            data: vec![vec![byte; LONGEST.1]; LONGEST.0],
            pause: Duration::from_millis(5),
        }
    });
    let mut stage = Stage::start(record, folder, 2, model)?;
    let mut jobs = vec![("long".to_string(), 1)];
    jobs.extend((0..JOBS).map(|index| (format!("note{index}"), 2)));
    for (index, (prefix, count)) in jobs.iter().enumerate() {
        if !stage.submit("/pule252/7c41e0", &job_id(index), &items(prefix, *count)) {
            return Err(Fail::CannotRun(format!("the job of {prefix} is not accepted")));
        }
    }
    stage.note("all jobs are accepted");
    let mut lost = stage.wait_for_lost();
    // The item whose answer was spoiled is the server's fault.
    lost.retain(|item| !item.starts_with("long-0"));
    match lost.is_empty() {
        true => Ok(()),
        false => Err(Fail::Broken(format!("LOST: not listed after finish_s: {}", lost.join(", ")))),
    }
}

/// A machine stands still. Another one is added meanwhile, accepts a job, and leaves as planned.
fn revived(has_trouble: bool, record: &Record, folder: &Path) -> Verdict {
    const FREEZE: Duration = Duration::from_millis(4_000);
    let mut stage = Stage::start(record, folder, 1, words(60, 40))?;
    let started = Instant::now();
    if has_trouble {
        stage.nodes[0].signal(node::SIGSTOP);
        stage.note("front-0 stands still");
    }
    sleep(Duration::from_millis(2_300));
    let second = Node::start("front-1", stage.address, folder);
    stage.note("front-1 is added");
    if !second.wait_ready() {
        return Err(Fail::CannotRun("front-1 is not ready".to_string()));
    }
    let job = job_id(0);
    let items = items("note", 4);
    let status = stage.client.submit(
        &[second.front],
        "/pule252/7c41e0",
        &job,
        &items,
        Duration::from_millis(900),
    );
    let accepted_at = record.ms();
    second.signal(node::SIGTERM);
    stage.note("front-1 gets SIGTERM and leaves");
    if status != 202 {
        return Err(Fail::CannotRun("the job is not accepted".to_string()));
    }
    stage.accepted.insert(job.clone(), items.iter().map(|item| item.id.clone()).collect());
    if has_trouble {
        sleep(FREEZE.saturating_sub(started.elapsed()));
        let members = stage.store.owners("jobs");
        stage.nodes[0].signal(node::SIGCONT);
        stage.note("front-0 goes on");
        if started.elapsed() > FREEZE + Duration::from_millis(100) || !members.is_empty() {
            return Err(Fail::CannotRun("front-1 has not left in time".to_string()));
        }
    }
    sleep(STABLE + Duration::from_millis(200));
    stage.note("front-0 is in touch");
    let front = stage.nodes[0].front;
    let mut denials = 0;
    for _ in 0..10 {
        let sent = record.ms();
        if let Page::Status(404 | 410) = stage.client.read(front, &job, 0) {
            denials += usize::from(sent > accepted_at + SETTLE_MS);
        }
        sleep(Duration::from_millis(500));
    }
    let lost = stage.wait_for_lost();
    drop(second);
    match denials == 0 && lost.is_empty() {
        true => Ok(()),
        false => Err(Fail::Broken(format!(
            "LOST: {denials} of 10 reads of an accepted job were answered 404 or 410 in touch; not listed after finish_s: {}",
            lost.join(", ")
        ))),
    }
}

/// A configuration adds a route below the prefix of the batch route.
fn sub_route(has_trouble: bool, record: &Record, folder: &Path) -> Verdict {
    let mut stage = Stage::start(record, folder, 2, words(60, 40))?;
    if !stage.submit("/pule252/night/7c41e0", &job_id(0), &items("note", 40)) {
        return Err(Fail::CannotRun("the job is not accepted".to_string()));
    }
    sleep(Duration::from_millis(500));
    let prefix = if has_trouble { "/pule252/night/" } else { "/pabe711/night/" };
    configure(&stage.store, 5, &[route("r-new", prefix, "safe", APPLICATION, SAFE)]);
    stage.note(&format!("operator: version 5 adds the route {prefix} to {APPLICATION}"));
    let lost = stage.wait_for_lost();
    let strayed: Vec<String> =
        stage.servers[2].runs.lock().unwrap().iter().map(|run| run.id.clone()).collect();
    let distinct: std::collections::BTreeSet<&String> = strayed.iter().collect();
    match strayed.is_empty() && lost.is_empty() {
        true => Ok(()),
        false => Err(Fail::Broken(format!(
            "ROUTE: {} items of path /pule252/3/91c4 reached {APPLICATION} {} times; not listed after finish_s: {}",
            distinct.len(),
            strayed.len(),
            lost.len()
        ))),
    }
}

/// One item of a job has very many headers.
fn headers(has_trouble: bool, record: &Record, folder: &Path) -> Verdict {
    let mut stage = Stage::start(record, folder, 2, words(40, 40))?;
    for index in 0..10 {
        stage.submit("/pule252/7c41e0", &job_id(index), &items(&format!("first{index}"), 4));
    }
    let mut odd = Item::new("odd-0", "/pule252/3/91c4");
    let count = if has_trouble { 24_600 } else { 10 };
    odd.headers.extend((0..count).map(|index| (format!("x{index}"), String::new())));
    let status = stage.client.submit(
        &stage.fronts(),
        "/pule252/7c41e0",
        &job_id(100),
        &[odd],
        Duration::from_secs(1),
    );
    stage.note(&format!("the job of the odd item was answered {status}"));
    for index in 200..236 {
        stage.submit("/pule252/7c41e0", &job_id(index), &items(&format!("note{index}"), 1));
    }
    let lost = stage.wait_for_lost();
    // No part of the verdict: what a restart of all nodes makes of it.
    stage.note("all nodes are killed and start again");
    stage.nodes.iter_mut().for_each(Node::kill);
    stage.nodes.iter_mut().for_each(Node::launch);
    for node in &stage.nodes {
        node.wait_ready();
    }
    sleep(Duration::from_secs(5));
    let fronts = stage.fronts();
    let is_accepted = |index: &usize| {
        let (job, items) = (job_id(*index), items(&format!("later{index}"), 1));
        stage.client.submit(&fronts, "/pule252/7c41e0", &job, &items, Duration::from_millis(700))
            == 202
    };
    let accepted = (300..324).filter(is_accepted).count();
    stage.note(&format!("after the restart {accepted} of 24 jobs were accepted"));
    match lost.is_empty() {
        true => Ok(()),
        false => Err(Fail::Broken(format!(
            "LOST: not listed after finish_s: {}; after a restart of all nodes {accepted} of 24 jobs were accepted",
            lost.join(", ")
        ))),
    }
}

/// All servers of one of two services that share a batch route are lost for good: one server of six.
fn canary(has_trouble: bool, record: &Record, folder: &Path) -> Verdict {
    let model = words(80, 40);
    let mut stage = Stage::start(record, folder, 2, Arc::clone(&model))?;
    for index in MODEL_SERVERS..5 {
        let id = format!("i-model-{index}");
        stage.servers.push(Server::start(&id, MODEL, &stage.store, record, Arc::clone(&model)));
    }
    let canary = stage.servers.len();
    stage.servers.push(Server::start("i-canary-0", CANARY, &stage.store, record, model));
    let split = format!(
        "{{\"name\":\"r-split\",\"host\":\"{HOST}\",\"path_prefix\":\"/pule253/\",\"kind\":\"batch\",\"priority\":2,\"traffic_split\":[{{\"service\":\"{MODEL}\",\"weight\":80}},{{\"service\":\"{CANARY}\",\"weight\":20}}],{BATCH}}}"
    );
    configure(&stage.store, 2, &[split]);
    sleep(CONFIG);
    let mut items = items("note", 30);
    items.iter_mut().for_each(|item| item.path = "/pule253/3/91c4".to_string());
    if !stage.submit("/pule253/7c41e0", &job_id(0), &items) {
        return Err(Fail::CannotRun("the job is not accepted".to_string()));
    }
    sleep(Duration::from_millis(1_500));
    let begun = stage.servers[canary].runs.lock().unwrap().len();
    stage.note(&format!("{begun} items run at the server of {CANARY}"));
    if begun == 0 {
        return Err(Fail::CannotRun(format!("no item runs at {CANARY}")));
    }
    if has_trouble {
        stage.servers[canary].crash();
        stage.note(&format!("the server of {CANARY} is lost for good"));
    }
    let lost = stage.wait_for_lost();
    match lost.is_empty() {
        true => Ok(()),
        false => Err(Fail::Broken(format!("LOST: not listed after finish_s: {}", lost.join(", ")))),
    }
}
