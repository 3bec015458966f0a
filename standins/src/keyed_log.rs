//! A log in memory with keyed topics, fenced producers and groups, and faults set at run time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use serving::{
    id::Offset,
    log_store::{Assignment, Error, Page, Partition, Producer, Record, Result, Snapshot, Store},
    time::{Clock, Millis},
};

/// Maximum size of a record: the length of its key, the key and the value.
const MAX_RECORD_BYTES: usize = 256 << 10;
/// Maximum size of the records of one append, with their lengths.
const MAX_APPEND_BYTES: usize = 2 << 20;
/// Responses of a partition that are repeated for a repeated append.
const REPEATABLE: u64 = 5;

/// How the log misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Refuses every call.
    Down,
    /// Refuses every call after some time.
    SlowlyDown(Millis),
    /// Answers nothing, and does nothing.
    Silent,
    /// Carries appends out and loses their answers.
    LostAnswers,
    /// Answers nothing, and carries appends out later if their condition still holds.
    LateAppends(Millis),
    /// Refuses appends as ones that it can't accept.
    Invalid,
    /// Leaves the first append without an answer, carries it out later if its condition still holds, and
    /// refuses the ones after it as ones that it can't accept.
    LateThenInvalid(Millis),
    /// A later owner claims the partition of the next append before it arrives.
    Fenced,
}

#[derive(Default)]
struct Part {
    records: Vec<Record>,
    /// Offset of the first record that is kept.
    first: u64,
    epoch: u64,
    /// The sequence number that the next append of the epoch must have; any for the first one.
    next_sequence: Option<u64>,
}

impl Part {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct Membership {
    generation: u64,
    /// Members and when they lapse.
    members: BTreeMap<String, Millis>,
    owners: BTreeMap<u16, String>,
    /// Owners that have yet to give a partition up.
    pending: BTreeMap<u16, String>,
}

#[derive(Default)]
struct State {
    parts: BTreeMap<Partition, Part>,
    groups: BTreeMap<String, Membership>,
}

/// The log. Clones share it.
#[derive(Clone)]
pub struct Log {
    clock: Clock,
    partitions: u16,
    state: Arc<Mutex<State>>,
    fault: Arc<Mutex<Fault>>,
    /// Appends of submissions that are carried out before a fault begins, and the fault.
    next_fault: Arc<Mutex<Option<(usize, Fault)>>>,
    max_record_bytes: Arc<AtomicUsize>,
}

impl Log {
    /// A log whose topics have `partitions` partitions each.
    pub fn new(partitions: u16) -> Log {
        Log {
            clock: Clock::default(),
            partitions,
            state: Arc::default(),
            fault: Arc::default(),
            next_fault: Arc::default(),
            max_record_bytes: Arc::new(AtomicUsize::new(MAX_RECORD_BYTES)),
        }
    }

    /// Refuses records of more than `bytes`, whatever nodes are told.
    pub fn limit_records(&self, bytes: usize) {
        self.max_record_bytes.store(bytes, Ordering::Relaxed);
    }

    /// The same log as another caller sees it, with faults of its own.
    pub fn view(&self) -> Log {
        Log { fault: Arc::default(), next_fault: Arc::default(), ..self.clone() }
    }

    /// Sets the fault that begins now, in place of one that was to begin later.
    pub fn set_fault(&self, fault: Fault) {
        *self.next_fault.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.begin_fault(fault);
    }

    fn begin_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets a fault that begins after `appends` more appends of a submitted job.
    pub fn set_fault_after(&self, appends: usize, fault: Fault) {
        *self.next_fault.lock().unwrap_or_else(PoisonError::into_inner) = Some((appends, fault));
    }

    /// Counts an append towards the next fault, and begins that fault if it is due.
    fn count_append(&self, records: &[Record]) {
        let is_submitted = |record: &Record| {
            record.value.is_some() && (record.key.starts_with("h/") || record.key.starts_with("t/"))
        };
        if !records.iter().any(is_submitted) {
            return;
        }
        let mut next = self.next_fault.lock().unwrap_or_else(PoisonError::into_inner);
        *next = match *next {
            Some((0, fault)) => {
                self.begin_fault(fault);
                None
            }
            Some((appends, fault)) => Some((appends - 1, fault)),
            None => None,
        };
    }

    /// Writes a record as the platform itself does, whatever the fault.
    pub fn put(&self, topic: &str, key: &str, value: Option<Bytes>) {
        let partition = Partition { topic: topic.to_string(), number: 0 };
        let record = Record { key: key.to_string(), value };
        self.lock().parts.entry(partition).or_default().records.push(record);
    }

    /// Drops the history of a partition; the newest record of each key stays.
    pub fn compact(&self, topic: &str) {
        let mut state = self.lock();
        for (partition, part) in &mut state.parts {
            if partition.topic == topic {
                let kept = newest(&part.records);
                let end = part.end();
                part.records = kept;
                part.first = end - part.records.len() as u64;
            }
        }
    }

    /// All records of a partition, for checks.
    pub fn records(&self, partition: &Partition) -> Vec<Record> {
        self.lock().parts.get(partition).map(|part| part.records.clone()).unwrap_or_default()
    }

    /// Deals all partitions of a group anew, as the platform does at times.
    pub fn deal_anew(&self, group: &str) {
        let mut state = self.lock();
        let Some(group) = state.groups.get_mut(group) else { return };
        group.generation += 1;
        let members: Vec<String> = group.members.keys().cloned().collect();
        let Some(shift) = members.len().checked_sub(1) else { return };
        for number in 0..self.partitions {
            let member = members[(usize::from(number) + shift) % members.len()].clone();
            if let Some(old) = group.owners.insert(number, member.clone())
                && old != member
            {
                group.pending.insert(number, old);
            }
        }
    }

    async fn fault(&self) -> Result<Fault> {
        let fault = *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            Fault::Down => Err(Error::Refused("the log is down".to_string())),
            Fault::SlowlyDown(delay) => {
                tokio::time::sleep(delay.duration()).await;
                Err(Error::Refused("the log is down".to_string()))
            }
            Fault::Silent => {
                // Callers give up long before.
                tokio::time::sleep(Duration::from_secs(3_600)).await;
                Err(Error::Unknown("no answer".to_string()))
            }
            Fault::None
            | Fault::LostAnswers
            | Fault::LateAppends(_)
            | Fault::Invalid
            | Fault::LateThenInvalid(_)
            | Fault::Fenced => Ok(fault),
        }
    }

    fn do_append(
        &self,
        partition: &Partition,
        producer: &Producer,
        records: &[Record],
    ) -> Result<()> {
        self.check_sizes(records)?;
        let mut state = self.lock();
        let part = state.parts.entry(partition.clone()).or_default();
        if producer.epoch < part.epoch {
            return Err(Error::Fenced);
        }
        if producer.epoch > part.epoch {
            part.epoch = producer.epoch;
            part.next_sequence = None;
        }
        if records.is_empty() {
            return Ok(());
        }
        if let Some(expected) = part.next_sequence {
            let is_repeat =
                producer.sequence < expected && producer.sequence + REPEATABLE >= expected;
            if is_repeat {
                return Ok(());
            }
            if producer.sequence != expected {
                return Err(Error::OutOfSequence(expected));
            }
        }
        part.next_sequence = Some(producer.sequence + 1);
        part.records.extend(records.iter().cloned());
        Ok(())
    }

    fn check_sizes(&self, records: &[Record]) -> Result<()> {
        let size =
            |record: &Record| 1 + record.key.len() + record.value.as_ref().map_or(0, Bytes::len);
        let sizes: Vec<usize> = records.iter().map(size).collect();
        let total: usize = sizes.iter().map(|size| size + 4).sum();
        let limit = self.max_record_bytes.load(Ordering::Relaxed);
        if sizes.iter().any(|size| *size > limit) || total > MAX_APPEND_BYTES {
            return Err(Error::Invalid(format!("{} records of {total} bytes", records.len())));
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn newest(records: &[Record]) -> Vec<Record> {
    let mut by_key: BTreeMap<&str, &Record> = BTreeMap::new();
    for record in records {
        by_key.insert(&record.key, record);
    }
    by_key.into_values().filter(|record| record.value.is_some()).cloned().collect()
}

#[async_trait]
impl Store for Log {
    async fn append(
        &self,
        partition: &Partition,
        producer: &Producer,
        records: &[Record],
    ) -> Result<()> {
        self.count_append(records);
        match self.fault().await? {
            Fault::LostAnswers => {
                let _ = self.do_append(partition, producer, records);
                Err(Error::Unknown("the answer was lost".to_string()))
            }
            Fault::Invalid => Err(Error::Invalid("invalid".to_string())),
            Fault::Fenced => {
                self.set_fault(Fault::None);
                let later = Producer { epoch: producer.epoch + 1, ..producer.clone() };
                self.do_append(partition, &later, &[])?;
                self.do_append(partition, producer, records)
            }
            fault @ (Fault::LateAppends(delay) | Fault::LateThenInvalid(delay)) => {
                if fault != Fault::LateAppends(delay) {
                    self.set_fault(Fault::Invalid);
                }
                let (log, partition) = (self.clone(), partition.clone());
                let (producer, records) = (producer.clone(), records.to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay.duration()).await;
                    let _ = log.do_append(&partition, &producer, &records);
                });
                Err(Error::Unknown("the answer was lost".to_string()))
            }
            Fault::None | Fault::Down | Fault::SlowlyDown(_) | Fault::Silent => {
                self.do_append(partition, producer, records)
            }
        }
    }

    async fn append_unfenced(&self, partition: &Partition, records: &[Record]) -> Result<()> {
        self.fault().await?;
        let mut state = self.lock();
        let part = state.parts.entry(partition.clone()).or_default();
        part.records.extend(records.iter().cloned());
        Ok(())
    }

    async fn read(&self, partition: &Partition, from: Offset, wait: Millis) -> Result<Page> {
        self.fault().await?;
        let until = self.clock.now() + wait;
        loop {
            {
                let mut state = self.lock();
                let part = state.parts.entry(partition.clone()).or_default();
                if from.0 < part.first {
                    return Err(Error::Expired(Offset(part.first)));
                }
                let skip = (from.0 - part.first) as usize;
                let records: Vec<_> = part.records.iter().skip(skip).cloned().map(Some).collect();
                if !records.is_empty() || self.clock.now() >= until {
                    let next = Offset(from.0 + records.len() as u64);
                    return Ok(Page { next, end: Offset(part.end()), records });
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn read_latest(&self, partition: &Partition) -> Result<Snapshot> {
        self.fault().await?;
        let mut state = self.lock();
        let part = state.parts.entry(partition.clone()).or_default();
        let (end, records) = (Offset(part.end()), newest(&part.records));
        Ok(Snapshot { end, records, is_complete: true })
    }

    async fn join(
        &self,
        group: &str,
        member: &str,
        _: &str,
        generation: u64,
        ttl: Millis,
    ) -> Result<Assignment> {
        self.fault().await?;
        let now = self.clock.now();
        let mut state = self.lock();
        let group = state.groups.entry(group.to_string()).or_default();
        let is_new = group.members.insert(member.to_string(), now + ttl).is_none();
        let lapsed: BTreeSet<String> = group
            .members
            .iter()
            .filter(|(_, until)| **until < now)
            .map(|(name, _)| name.clone())
            .collect();
        group.members.retain(|name, _| !lapsed.contains(name));
        if generation >= group.generation {
            group.pending.retain(|_, holder| holder != member);
        }
        if is_new || !lapsed.is_empty() {
            group.deal(self.partitions);
        }
        group.pending.retain(|_, holder| !lapsed.contains(holder));
        let held = group.owners.iter().filter(|(number, owner)| {
            owner.as_str() == member && !group.pending.contains_key(number)
        });
        let partitions = held.map(|(number, _)| *number).collect();
        Ok(Assignment { generation: group.generation, partitions })
    }

    async fn leave(&self, group: &str, member: &str) -> Result<()> {
        self.fault().await?;
        let mut state = self.lock();
        let group = state.groups.entry(group.to_string()).or_default();
        group.members.remove(member);
        group.deal(self.partitions);
        group.pending.retain(|_, holder| holder != member);
        Ok(())
    }

    async fn owners(&self, group: &str, _: &str) -> Result<Vec<(u16, String)>> {
        self.fault().await?;
        let state = self.lock();
        let Some(group) = state.groups.get(group) else { return Ok(Vec::new()) };
        Ok(group.owners.iter().map(|(number, member)| (*number, member.clone())).collect())
    }
}

impl Membership {
    /// Deals the partitions evenly; a partition stays with its owner where it can.
    fn deal(&mut self, partitions: u16) {
        self.generation += 1;
        let Some(most) = usize::from(partitions).checked_div(self.members.len()) else {
            self.owners.clear();
            return;
        };
        let most = most + usize::from(usize::from(partitions) % self.members.len() > 0);
        let mut counts: BTreeMap<String, usize> =
            self.members.keys().map(|member| (member.clone(), 0)).collect();
        let mut open = Vec::new();
        for number in 0..partitions {
            let owner = self.owners.get(&number).cloned();
            match owner.as_ref().and_then(|owner| counts.get_mut(owner)) {
                Some(count) if *count < most => *count += 1,
                _ => open.push((number, owner)),
            }
        }
        for (number, old) in open {
            let Some((member, count)) = counts.iter_mut().min_by_key(|(_, count)| **count) else {
                return;
            };
            *count += 1;
            self.owners.insert(number, member.clone());
            if let Some(old) = old
                && old != *member
            {
                self.pending.insert(number, old);
            }
        }
    }
}
