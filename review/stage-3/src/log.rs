//! The platform's log, as PROTOCOL.md describes it: keyed topics, fenced producers and groups.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request};

type Record = (Vec<u8>, Vec<u8>);

#[derive(Default)]
struct Part {
    records: Vec<Record>,
    epoch: Option<u64>,
    sequence: Option<u64>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
    owners: BTreeMap<u16, String>,
    /// Members that have yet to give a partition up.
    pending: BTreeMap<u16, String>,
}

impl Group {
    /// Deals the partitions evenly. One that moves goes to its new owner when the old one has given it up.
    fn deal(&mut self, parts: u16) {
        self.generation += 1;
        let members: Vec<String> = self.members.keys().cloned().collect();
        if members.is_empty() {
            return self.owners.clear();
        }
        let most = usize::from(parts).div_ceil(members.len());
        let mut counts: BTreeMap<String, usize> =
            members.iter().map(|name| (name.clone(), 0)).collect();
        let mut open = Vec::new();
        for part in 0..parts {
            let owner = self.owners.get(&part).cloned();
            match owner.as_ref().and_then(|owner| counts.get_mut(owner)) {
                Some(count) if *count < most => *count += 1,
                _ => open.push((part, owner)),
            }
        }
        for (part, old) in open {
            let next = counts.iter().min_by_key(|(_, count)| **count).map(|(name, _)| name.clone());
            let next = next.expect("there is a member");
            *counts.get_mut(&next).expect("it is counted") += 1;
            self.owners.insert(part, next.clone());
            if let Some(old) = old.filter(|old| *old != next && self.members.contains_key(old)) {
                self.pending.entry(part).or_insert(old);
            }
        }
    }

    fn expire(&mut self, parts: u16) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() < before {
            self.deal(parts);
        }
        let members = &self.members;
        self.pending.retain(|_, holder| members.contains_key(holder));
    }
}

#[derive(Default)]
struct State {
    parts: BTreeMap<(String, u16), Part>,
    groups: BTreeMap<String, Group>,
}

pub struct Log {
    parts: u16,
    state: Mutex<State>,
    /// Since when every new call is answered with 503.
    busy_since: Mutex<Option<Instant>>,
    /// Size of the largest append that has arrived, in bytes.
    pub largest_append: AtomicU64,
}

fn json_text(body: &str, name: &str) -> String {
    let rest = body.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest).trim_start();
    let rest = rest.trim_start_matches('[').trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or_default().to_string(),
        None => rest.split([',', '}', ']']).next().unwrap_or_default().trim().to_string(),
    }
}

fn json_number(body: &str, name: &str) -> u64 {
    json_text(body, name).parse().unwrap_or(0)
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> Vec<u8> {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        if *first == b'%' && after.len() >= 2 {
            let digits = std::str::from_utf8(&after[..2]).unwrap_or("00");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            rest = &after[2..];
        } else {
            bytes.push(*first);
            rest = after;
        }
    }
    bytes
}

fn json(status: u16, body: String) -> Vec<u8> {
    http::response(status, &[("Content-Type", "application/json")], body.as_bytes())
}

impl Log {
    pub fn new(parts: u16) -> Arc<Log> {
        let (state, busy_since) = (Mutex::default(), Mutex::default());
        Arc::new(Log { parts, state, busy_since, largest_append: AtomicU64::new(0) })
    }

    /// Answers every call that arrives from now on with 503, or ends that. The times to live of members
    /// pause meanwhile.
    pub fn set_busy(&self, is_busy: bool) {
        let mut busy_since = self.busy_since.lock().expect("no thread has panicked");
        if is_busy {
            *busy_since = Some(Instant::now());
        } else if let Some(since) = busy_since.take() {
            let mut state = self.state.lock().expect("no thread has panicked");
            let members = state.groups.values_mut().flat_map(|group| group.members.values_mut());
            members.for_each(|until| *until += since.elapsed());
        }
    }

    fn is_busy(&self) -> bool {
        self.busy_since.lock().expect("no thread has panicked").is_some()
    }

    /// The partition of a topic that holds a key with this beginning.
    pub fn partition_of(&self, topic: &str, beginning: &str) -> Option<u16> {
        let state = self.state.lock().expect("no thread has panicked");
        let is_in =
            |part: &Part| part.records.iter().any(|(key, _)| key.starts_with(beginning.as_bytes()));
        let mut parts = state.parts.iter().filter(|((name, _), part)| name == topic && is_in(part));
        parts.next().map(|((_, number), _)| *number)
    }

    /// The keys of the records that a topic holds.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.state.lock().expect("no thread has panicked");
        let mut keys: BTreeMap<String, bool> = BTreeMap::new();
        for (_, part) in state.parts.iter().filter(|((name, _), _)| name == topic) {
            for (key, value) in &part.records {
                keys.insert(String::from_utf8_lossy(key).into_owned(), !value.is_empty());
            }
        }
        keys.into_iter().filter(|(_, is_set)| *is_set).map(|(key, _)| key).collect()
    }

    /// Writes a record as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("no thread has panicked");
        let part = state.parts.entry((topic.to_string(), 0)).or_default();
        part.records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
    }

    /// The member that owns a partition.
    pub fn owner(&self, group: &str, part: u16) -> Option<String> {
        let state = self.state.lock().expect("no thread has panicked");
        state.groups.get(group)?.owners.get(&part).cloned()
    }

    /// Number of members that own partitions which no other one has yet to give up; `None` while some are
    /// being handed over.
    pub fn settled_members(&self, group: &str) -> Option<usize> {
        let state = self.state.lock().expect("no thread has panicked");
        let group = state.groups.get(group)?;
        group.pending.is_empty().then_some(group.members.len())
    }

    /// Serves one node.
    pub fn serve(self: &Arc<Log>) -> std::io::Result<SocketAddr> {
        let log = Arc::clone(self);
        http::listen("127.0.0.1:0".parse().expect("an address"), move |stream| {
            log.serve_connection(stream);
        })
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = http::read_request(&mut stream, &mut buffer) {
            if stream.write_all(&self.handle(&request)).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request) -> Vec<u8> {
        if self.is_busy() {
            return json(503, "{}".to_string());
        }
        if request.path() == "/api/log-append" {
            self.largest_append.fetch_max(request.body.len() as u64, Ordering::SeqCst);
            return self.append(request);
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match request.path() {
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            "/api/log-join" => self.join(&body),
            "/api/log-leave" => {
                let mut state = self.state.lock().expect("no thread has panicked");
                let group = state.groups.entry(json_text(&body, "group")).or_default();
                let member = json_text(&body, "member");
                if group.members.remove(&member).is_some() {
                    group.deal(self.parts);
                }
                group.pending.retain(|_, holder| *holder != member);
                json(200, "{}".to_string())
            }
            "/api/log-owners" => {
                let state = self.state.lock().expect("no thread has panicked");
                let owners = state.groups.get(request.query("group").unwrap_or_default());
                let rows = owners.into_iter().flat_map(|group| &group.owners);
                let rows = rows.map(|(part, name)| format!("[\"keyed.jobs\",{part},\"{name}\",0]"));
                json(200, format!("{{\"parts\":[{}]}}", rows.collect::<Vec<_>>().join(",")))
            }
            _ => json(404, "{}".to_string()),
        }
    }

    fn key(request: &Request) -> (String, u16) {
        let part = request.query("part").and_then(|part| part.parse().ok()).unwrap_or(0);
        (request.query("topic").unwrap_or_default().to_string(), part)
    }

    fn append(&self, request: &Request) -> Vec<u8> {
        // An append takes 2 ms, and a partition takes 20 MB a second.
        let ms = 2 + request.body.len() as u64 / 20_000;
        thread::sleep(Duration::from_millis(ms));
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let mut state = self.state.lock().expect("no thread has panicked");
        let part = state.parts.entry(Log::key(request)).or_default();
        if let (Some(epoch), Some(sequence)) = (number("epoch"), number("sequence")) {
            if part.epoch.is_some_and(|known| epoch < known) {
                return json(409, "{\"why\":\"fenced\"}".to_string());
            }
            if part.epoch != Some(epoch) {
                (part.epoch, part.sequence) = (Some(epoch), None);
            }
            if request.body.is_empty() {
                return json(200, format!("{{\"offset\":{0},\"end\":{0}}}", part.records.len()));
            }
            if let Some(last) = part.sequence {
                if sequence <= last && sequence + 5 > last {
                    return json(200, "{\"offset\":0,\"end\":0}".to_string());
                }
                if sequence != last + 1 {
                    let expected = last + 1;
                    return json(409, format!("{{\"why\":\"seq\",\"sequence\":{expected}}}"));
                }
            }
            part.sequence = Some(sequence);
        }
        let offset = part.records.len();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key = usize::from(record[0]);
            part.records.push((record[1..1 + key].to_vec(), record[1 + key..].to_vec()));
            rest = &rest[4 + length..];
        }
        json(200, format!("{{\"offset\":{offset},\"end\":{}}}", part.records.len()))
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let (from, wait) = (number("from").unwrap_or(0) as usize, number("wait_ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let mut state = self.state.lock().expect("no thread has panicked");
                let part = state.parts.entry(Log::key(request)).or_default();
                if part.records.len() > from || Instant::now() >= until {
                    let mut bytes = (part.records.len() as u64).to_be_bytes().to_vec();
                    bytes.extend(0u64.to_be_bytes());
                    for (key, value) in part.records.iter().skip(from) {
                        if bytes.len() > 1 << 20 {
                            break;
                        }
                        bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                        bytes.push(key.len() as u8);
                        bytes.extend(key);
                        bytes.extend(value);
                    }
                    return http::response(200, &[], &bytes);
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }

    fn newest(&self, request: &Request) -> Vec<u8> {
        let mut state = self.state.lock().expect("no thread has panicked");
        let part = state.parts.entry(Log::key(request)).or_default();
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in part.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let after = request.query("after").map(percent_decode);
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in newest {
            if after.as_ref().is_some_and(|after| key <= &after[..]) {
                continue;
            }
            if items.len() >= 500 || (bytes + value.len() > 1 << 20 && !items.is_empty()) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (String::from_utf8_lossy(key), base64(value));
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (items, end) = (items.join(","), part.records.len());
        json(200, format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}"))
    }

    fn join(&self, body: &str) -> Vec<u8> {
        let (name, member) = (json_text(body, "group"), json_text(body, "member"));
        let (ttl, known) = (json_number(body, "ttl_ms"), json_number(body, "generation"));
        let mut state = self.state.lock().expect("no thread has panicked");
        let group = state.groups.entry(name).or_default();
        group.expire(self.parts);
        let until = Instant::now() + Duration::from_millis(ttl);
        let is_new = group.members.insert(member.clone(), until).is_none();
        if known >= group.generation {
            group.pending.retain(|_, holder| *holder != member);
        }
        if is_new {
            group.deal(self.parts);
        }
        let held = group
            .owners
            .iter()
            .filter(|(part, owner)| **owner == member && !group.pending.contains_key(part));
        let rows: Vec<String> =
            held.map(|(part, _)| format!("[\"keyed.jobs\",{part},0]")).collect();
        let (generation, rows) = (group.generation, rows.join(","));
        json(200, format!("{{\"generation\":{generation},\"ttl_ms\":{ttl},\"parts\":[{rows}]}}"))
    }
}
