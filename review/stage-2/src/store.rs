//! The platform's metadata store, as PROTOCOL.md describes it: a log with keyed topics, fenced
//! producers and groups. It loses nothing that it has acknowledged and keeps all history.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{self, Value},
};

pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
pub const PARTS: u16 = 12;
/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
const NEWEST_PER_PAGE: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

type Part = (String, u16);

#[derive(Clone)]
struct Record {
    key: Vec<u8>,
    value: Vec<u8>,
}

#[derive(Default)]
struct Log {
    records: Vec<Record>,
    newest: BTreeMap<Vec<u8>, (usize, Vec<u8>)>,
    producers: BTreeMap<String, Writer>,
}

#[derive(Default)]
struct Writer {
    epoch: u64,
    /// Sequence number of the last append of the epoch, if there was one.
    last: Option<u64>,
    /// First responses of the last five appends.
    answers: Vec<(u64, String)>,
}

struct Member {
    until: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    owners: BTreeMap<u16, String>,
    /// Partitions that their former owner has yet to give up, with the generation that took them.
    pending: BTreeMap<u16, (String, u64)>,
}

#[derive(Default)]
struct State {
    logs: BTreeMap<Part, Log>,
    groups: BTreeMap<String, Group>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store on a free loopback port.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        http::serve(listener, move |request, stream| store.handle(request, stream));
        address
    }

    /// Writes a keyed record, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = Record { key: key.as_bytes().to_vec(), value: value.to_vec() };
        let mut state = self.0 .0.lock().unwrap();
        state.logs.entry((topic.to_string(), 0)).or_default().add(record, true);
        self.0 .1.notify_all();
    }

    /// The members that own partitions of the group, by partition.
    pub fn owners(&self, group: &str) -> BTreeMap<u16, String> {
        let mut state = self.0 .0.lock().unwrap();
        let group = state.groups.entry(group.to_string()).or_default();
        group.expire();
        group.owners.clone()
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<bool> {
        sleep(ANSWER);
        let (status, body) = self.answer(request);
        http::write(stream, status, &[], &body)?;
        Ok(true)
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        match request.path() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            "/api/log-join" => self.join(request),
            "/api/log-leave" => self.leave(request),
            "/api/log-owners" => self.list_owners(request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some((topic, part)) = part_of(request) else { return (400, Vec::new()) };
        if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
            return (403, Vec::new());
        }
        let is_keyed = topic.starts_with("keyed.");
        let Some(records) = split_records(&request.body, is_keyed) else {
            return (400, Vec::new());
        };
        let size =
            |record: &Record| record.value.len() + if is_keyed { record.key.len() + 1 } else { 0 };
        if records.iter().any(|record| size(record) > RECORD_BYTES)
            || request.body.len() > CALL_BYTES
        {
            return (413, Vec::new());
        }
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let mut state = self.0 .0.lock().unwrap();
        let log = state.logs.entry((topic, part)).or_default();
        if number("at").is_some_and(|at| at != log.records.len() as u64) {
            return (412, format!("{{\"end\":{}}}", log.records.len()).into_bytes());
        }
        let end = log.records.len() + records.len();
        let answer = format!("{{\"offset\":{},\"end\":{end}}}", log.records.len());
        if let (Some(name), Some(epoch)) = (request.query("producer"), number("epoch")) {
            let sequence = number("sequence").unwrap_or(0);
            let writer = log.producers.entry(name).or_default();
            if epoch < writer.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > writer.epoch {
                *writer = Writer { epoch, ..Writer::default() };
            }
            if let Some((_, first)) = writer.answers.iter().find(|(known, _)| *known == sequence) {
                return (200, first.clone().into_bytes());
            }
            if let Some(last) = writer.last.filter(|last| sequence != last + 1) {
                return (
                    409,
                    format!("{{\"why\":\"seq\",\"sequence\":{}}}", last + 1).into_bytes(),
                );
            }
            writer.last = Some(sequence);
            writer.answers.push((sequence, answer.clone()));
            if writer.answers.len() > 5 {
                writer.answers.remove(0);
            }
        }
        for record in records {
            log.add(record, is_keyed);
        }
        self.0 .1.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some(part) = part_of(request) else { return (400, Vec::new()) };
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let limit = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let deadline =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let is_keyed = part.0.starts_with("keyed.");
        let mut state = self.0 .0.lock().unwrap();
        loop {
            let log = state.logs.entry(part.clone()).or_default();
            let now = Instant::now();
            if log.records.len() > from || now >= deadline {
                let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in log.records.iter().skip(from) {
                    let content = record.encode(is_keyed);
                    body.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    body.extend_from_slice(&content);
                    if body.len() > limit {
                        break;
                    }
                }
                return (200, body);
            }
            state = self.0 .1.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some(part) = part_of(request) else { return (400, Vec::new()) };
        let after = request.query("after").map(String::into_bytes);
        let mut state = self.0 .0.lock().unwrap();
        let log = state.logs.entry(part).or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &log.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= NEWEST_PER_PAGE || (bytes > 0 && bytes + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (json::quote(&String::from_utf8_lossy(key)), json::base64(value));
            items.push(format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (items, end) = (items.join(","), log.records.len());
        (200, format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}").into_bytes())
    }

    fn join(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some(body) = json::parse(&request.body) else { return (400, Vec::new()) };
        let text =
            |name: &str| body.get(name).and_then(Value::text).unwrap_or_default().to_string();
        let number = |name: &str| body.get(name).and_then(Value::number).unwrap_or(0.0) as u64;
        let (member, generation) = (text("member"), number("generation"));
        let topic =
            body.get("topics").and_then(|topics| topics.list().first()).and_then(Value::text);
        let topic = topic.unwrap_or_default().to_string();
        let ttl = Duration::from_millis(number("ttl_ms").max(1_000));
        let mut state = self.0 .0.lock().unwrap();
        let group = state.groups.entry(text("group")).or_default();
        group.expire();
        let is_new = group
            .members
            .insert(member.clone(), Member { until: Instant::now() + ttl, ttl })
            .is_none();
        group.pending.retain(|_, (holder, since)| *holder != member || generation < *since);
        if is_new {
            group.deal();
        }
        let rows = group
            .owners
            .iter()
            .filter(|(part, owner)| **owner == member && !group.pending.contains_key(part));
        let rows: Vec<String> =
            rows.map(|(part, _)| format!("[{},{part},0]", json::quote(&topic))).collect();
        let ttl = group.members[&member].ttl.as_millis();
        let body = format!(
            "{{\"generation\":{},\"ttl_ms\":{ttl},\"parts\":[{}]}}",
            group.generation,
            rows.join(",")
        );
        (200, body.into_bytes())
    }

    fn leave(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some(body) = json::parse(&request.body) else { return (400, Vec::new()) };
        let text =
            |name: &str| body.get(name).and_then(Value::text).unwrap_or_default().to_string();
        let mut state = self.0 .0.lock().unwrap();
        let group = state.groups.entry(text("group")).or_default();
        group.expire();
        if group.members.remove(&text("member")).is_some() {
            group.pending.retain(|_, (holder, _)| *holder != text("member"));
            group.deal();
        }
        (200, b"{}".to_vec())
    }

    fn list_owners(&self, request: &Message) -> (u16, Vec<u8>) {
        let owners = self.owners(&request.query("group").unwrap_or_default());
        let row = |(part, member): (&u16, &String)| {
            format!("[\"keyed.jobs\",{part},{},0]", json::quote(member))
        };
        let rows: Vec<String> = owners.iter().map(row).collect();
        (200, format!("{{\"parts\":[{}]}}", rows.join(",")).into_bytes())
    }
}

impl Log {
    fn add(&mut self, record: Record, is_keyed: bool) {
        if is_keyed {
            match record.value.is_empty() {
                true => drop(self.newest.remove(&record.key)),
                false => {
                    let entry = (self.records.len(), record.value.clone());
                    self.newest.insert(record.key.clone(), entry);
                }
            }
        }
        self.records.push(record);
    }
}

impl Record {
    fn encode(&self, is_keyed: bool) -> Vec<u8> {
        match is_keyed {
            true => [&[self.key.len() as u8][..], &self.key, &self.value].concat(),
            false => self.value.clone(),
        }
    }
}

impl Group {
    /// Removes members that have sent nothing for their time to live.
    fn expire(&mut self) {
        let now = Instant::now();
        let lapsed: BTreeSet<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        if lapsed.is_empty() {
            return;
        }
        self.members.retain(|name, _| !lapsed.contains(name));
        self.pending.retain(|_, (holder, _)| !lapsed.contains(holder));
        self.deal();
    }

    /// Deals the partitions evenly; one stays with its owner where it can.
    fn deal(&mut self) {
        self.generation += 1;
        if self.members.is_empty() {
            self.owners.clear();
            self.pending.clear();
            return;
        }
        let most = usize::from(PARTS).div_ceil(self.members.len());
        let mut counts: BTreeMap<String, usize> =
            self.members.keys().map(|name| (name.clone(), 0)).collect();
        let mut open = Vec::new();
        for part in 0..PARTS {
            let owner = self.owners.get(&part).cloned();
            match owner.as_ref().and_then(|owner| counts.get_mut(owner)) {
                Some(count) if *count < most => *count += 1,
                _ => open.push((part, owner)),
            }
        }
        for (part, old) in open {
            let Some((member, count)) = counts.iter_mut().min_by_key(|(_, count)| **count) else {
                return;
            };
            *count += 1;
            self.owners.insert(part, member.clone());
            if let Some(old) = old.filter(|old| old != member && self.members.contains_key(old)) {
                self.pending.entry(part).or_insert((old, self.generation));
            }
        }
    }
}

fn part_of(request: &Message) -> Option<Part> {
    Some((request.query("topic")?, request.query("part")?.parse().ok()?))
}

fn split_records(mut body: &[u8], is_keyed: bool) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let (content, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        body = rest;
        if !is_keyed {
            records.push(Record { key: Vec::new(), value: content.to_vec() });
            continue;
        }
        let (length, content) = content.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(*length))?;
        records.push(Record { key: key.to_vec(), value: value.to_vec() });
    }
    Some(records)
}
