//! Owners of partitions over a log that misbehaves.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::HeaderMap;
use serving::{
    balance,
    batch::{
        Accepted, Group, Handle, Place, Settings, TOPIC, Unavailable, partition,
        record::{Head, Item},
    },
    catalog::{self, Catalog, Kind, Limits, Route, Share},
    exchange::Context,
    id::Job as JobId,
    log_store::{Partition, Producer, Store},
    metrics::Metrics,
    quarantine::Quarantine,
    time::{Clock, Millis},
    upstream::{self, Codec, Options, Pool, Request},
};
use standins::keyed_log::{Fault, Log};

const HOST: &str = "a.example";
const PARTITIONS: u16 = 4;

struct NoHeaders;

impl Codec for NoHeaders {
    fn encode(&self, _: &Request, _: Options<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn decode(&self, _: &http::response::Parts) -> upstream::Head {
        upstream::Head::default()
    }
}

fn route(quota: u64) -> Route {
    Route {
        id: "batch".into(),
        host: HOST.to_string(),
        prefix: "/jobs/".to_string(),
        kind: Kind::Batch,
        split: vec![Share { service: "model".into(), weight: 1 }],
        timeout: Millis(5_000),
        latency_objective: Millis(400),
        max_attempts: 3,
        priority: 2,
        results_due: Millis(18_000),
        abandon_after: Millis(60_000),
        token_quota: quota,
    }
}

fn head(items: usize) -> Head {
    let item = |index| Item {
        id: format!("item-{index}"),
        path: "/jobs/1".to_string(),
        headers: BTreeMap::new(),
        body: b"body".to_vec(),
        tokens: 100,
    };
    Head {
        host: HOST.to_string(),
        path: "/jobs/1".to_string(),
        accepted: Clock::default().wall_time().0,
        config: 0,
        items: (0..items).map(item).collect(),
    }
}

/// One node's part in the group, with its own view of the log.
struct Node {
    group: Arc<Group>,
    log: Log,
    /// Milliseconds since another node was heard.
    silence: Arc<AtomicU64>,
}

impl Node {
    fn start(log: &Log, index: u8, quota: u64) -> Node {
        let log = log.view();
        let context = Context {
            clock: Clock::default(),
            balance: Mutex::new(balance::State::new(
                balance::Settings::default(),
                "here".into(),
                1,
            )),
            quarantine: Mutex::new(Quarantine::new(Millis(60_000))),
            pool: Arc::new(Pool::new(upstream::Settings::default())),
            codec: Arc::new(NoHeaders),
            metrics: Arc::new(Metrics::default()),
        };
        let catalog = catalog::Handle::default();
        catalog.update(Catalog::new(1, Limits::default(), vec![route(quota)]));
        let settings = Settings {
            partitions: PARTITIONS,
            membership_ms: 400,
            renewal_ms: 50,
            isolation_ms: 500,
            proof_ms: 200,
            ..Settings::default()
        };
        let address: SocketAddr = format!("10.0.0.{index}:7000").parse().unwrap();
        let group = Group::new(
            Arc::new(context),
            catalog,
            Arc::new(log.clone()),
            Arc::new(Pool::new(upstream::Settings::default())),
            settings,
            address,
            u64::from(index),
        );
        let group = Arc::new(group);
        let running = Arc::clone(&group);
        let silence = Arc::new(AtomicU64::new(0));
        let heard = Arc::clone(&silence);
        tokio::spawn(async move {
            running.run(|_| {}, || Some(Millis(heard.load(Ordering::Relaxed)))).await;
        });
        Node { group, log, silence }
    }

    /// The owner of job `a` at this node, once there is one.
    async fn owner(&self) -> Handle {
        for _ in 0..500 {
            if let Place::Here(handle) = self.group.place("a") {
                return handle;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the node never owned the partition of job a");
    }
}

fn job(id: &str) -> JobId {
    JobId::from(id)
}

#[tokio::test]
async fn job_is_accepted_once_and_found_by_the_next_owner() {
    let log = Log::new(PARTITIONS);
    let first = Node::start(&log, 1, 0);
    let owner = first.owner().await;
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Accepted::Durable));
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Accepted::Durable));
    first.group.leave().await;
    let second = Node::start(&log, 2, 0);
    let owner = second.owner().await;
    let page = owner.read(job("a"), 0, Millis(0)).await.unwrap().unwrap();
    assert_eq!(page.total, 3);
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Accepted::Durable));
    assert_eq!(owner.body(job("a"), "item-1".to_string()).await.unwrap().unwrap(), "body");
}

/// A node that is cut off from the log goes on believing that it owns its partitions. A later
/// owner accepts a job; the earlier one must not say that there is no such job.
#[tokio::test]
async fn owner_that_is_cut_off_does_not_deny_what_a_later_owner_accepted() {
    let log = Log::new(PARTITIONS);
    let cut_off = Node::start(&log, 1, 0);
    let earlier = cut_off.owner().await;
    assert_eq!(earlier.read(job("a"), 0, Millis(0)).await, Ok(None));
    cut_off.log.set_fault(Fault::Down);
    let other = Node::start(&log, 2, 0);
    let later = other.owner().await;
    assert_eq!(later.submit(job("a"), head(3)).await, Ok(Accepted::Durable));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(earlier.read(job("a"), 0, Millis(0)).await, Err(Unavailable::NotAccepted));
    assert_eq!(earlier.body(job("a"), "item-0".to_string()).await, Err(Unavailable::NotAccepted));
    assert_eq!(earlier.end(job("a")).await, Err(Unavailable::NotAccepted));
}

#[tokio::test]
async fn refused_append_accepts_nothing() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 0);
    let owner = node.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    node.log.set_fault(Fault::Down);
    assert_eq!(owner.submit(job("a"), head(3)).await, Err(Unavailable::NotAccepted));
    node.log.set_fault(Fault::None);
    let number = partition("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    assert!(log.records(&partition).is_empty());
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Accepted::Durable));
}

#[tokio::test]
async fn lost_answer_is_settled_by_repeating_the_append() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 0);
    let owner = node.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    node.log.set_fault(Fault::LostAnswers);
    let submitting = tokio::spawn({
        let owner = owner.clone();
        async move { owner.submit(job("a"), head(3)).await }
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert!(!submitting.is_finished(), "nothing is promised while the outcome is unknown");
    node.log.set_fault(Fault::None);
    assert_eq!(submitting.await.unwrap(), Ok(Accepted::Durable));
    let number = partition("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    assert_eq!(log.records(&partition).len(), 1);
}

/// An append whose answer was lost takes effect after a later owner has begun.
#[tokio::test]
async fn late_append_of_an_earlier_owner_has_no_effect() {
    let log = Log::new(PARTITIONS);
    let frozen = Node::start(&log, 1, 0);
    let earlier = frozen.owner().await;
    assert_eq!(earlier.read(job("a"), 0, Millis(0)).await, Ok(None));
    frozen.log.set_fault(Fault::LateAppends(Millis(900)));
    let submitting = tokio::spawn(async move { earlier.submit(job("a"), head(3)).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    frozen.group.leave().await;
    let other = Node::start(&log, 2, 0);
    let later = other.owner().await;
    assert_eq!(later.read(job("none"), 0, Millis(0)).await, Ok(None));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_ne!(submitting.await.unwrap(), Ok(Accepted::Durable));
    assert_eq!(later.read(job("a"), 0, Millis(0)).await, Ok(None));
    let number = partition("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    assert!(log.records(&partition).is_empty());
}

/// All partitions are dealt anew while jobs come in a burst.
#[tokio::test]
async fn burst_of_jobs_survives_partitions_dealt_anew() {
    let log = Log::new(PARTITIONS);
    let nodes = [Node::start(&log, 1, 0), Node::start(&log, 2, 0), Node::start(&log, 3, 0)];
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut accepted = Vec::new();
    for round in 0..30 {
        if round % 10 == 5 {
            log.deal_anew("jobs");
        }
        let id = job(&format!("job-{round}"));
        for attempt in 0..200 {
            assert!(attempt < 199, "{id} was never accepted");
            let here = nodes.iter().find_map(|node| match node.group.place(&id.0) {
                Place::Here(handle) => Some(handle),
                Place::Peer(_) | Place::Unknown => None,
            });
            let Some(owner) = here else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if owner.submit(id.clone(), head(2)).await == Ok(Accepted::Durable) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        accepted.push(id);
    }
    let mut found = 0;
    for _ in 0..300 {
        found = 0;
        for node in &nodes {
            for id in &accepted {
                let Place::Here(owner) = node.group.place(&id.0) else { continue };
                found += usize::from(matches!(
                    owner.read(id.clone(), 0, Millis(0)).await,
                    Ok(Some(page)) if page.total == 2
                ));
            }
        }
        if found == accepted.len() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(found, accepted.len());
}

#[tokio::test]
async fn quota_counts_jobs_that_are_still_being_written() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 500);
    let owner = node.owner().await;
    // All partitions must have reported before any job is let in.
    let mut first = owner.submit(job("a"), head(3)).await;
    while first == Err(Unavailable::NotAccepted) {
        tokio::time::sleep(Duration::from_millis(10)).await;
        first = owner.submit(job("a"), head(3)).await;
    }
    let Place::Here(other) = node.group.place("b") else { panic!("the node owns all") };
    let second = other.submit(job("b"), head(3)).await;
    assert_eq!((first, second), (Ok(Accepted::Durable), Ok(Accepted::OverQuota)));
}

#[tokio::test]
async fn fenced_owner_accepts_nothing() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 0);
    let owner = node.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    let number = partition("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    let later = Producer { name: "owner".to_string(), epoch: u64::MAX / 2, sequence: 0 };
    log.append(&partition, &later, &[]).await.unwrap();
    assert_eq!(owner.submit(job("a"), head(3)).await, Err(Unavailable::NotAccepted));
    assert!(log.records(&partition).is_empty());
}

fn owns_something(node: &Node) -> bool {
    !node.group.reports().is_empty()
}

async fn eventually(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..500 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("this never came true: {what}");
}

/// A node that reaches the log and no other node would hold jobs that nobody can read.
#[tokio::test]
async fn node_that_hears_no_other_gives_its_partitions_back() {
    let log = Log::new(PARTITIONS);
    let nodes = [Node::start(&log, 1, 0), Node::start(&log, 2, 0)];
    eventually("both own some", || nodes.iter().all(owns_something)).await;
    nodes[0].silence.store(600, Ordering::Relaxed);
    eventually("the other owns all", || nodes[1].group.reports().len() == 4).await;
    assert!(!owns_something(&nodes[0]));
    nodes[0].silence.store(0, Ordering::Relaxed);
    eventually("both own some again", || nodes.iter().all(owns_something)).await;
}

#[tokio::test]
async fn last_node_keeps_its_partitions_in_silence() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 0);
    node.silence.store(60_000, Ordering::Relaxed);
    node.owner().await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(node.group.reports().len(), 4);
}

#[tokio::test]
async fn results_are_read_from_the_log_when_the_owner_cannot_be_reached() {
    let log = Log::new(PARTITIONS);
    let owner = Node::start(&log, 1, 0);
    let other = Node::start(&log, 2, 0);
    eventually("both own some", || owns_something(&owner) && owns_something(&other)).await;
    let (owner, other) = match owner.group.place("a") {
        Place::Here(_) => (owner, other),
        Place::Peer(_) | Place::Unknown => (other, owner),
    };
    let handle = owner.owner().await;
    assert_eq!(handle.submit(job("a"), head(3)).await, Ok(Accepted::Durable));
    let page = other.group.read_log(&job("a"), 0).await.unwrap().unwrap();
    assert_eq!((page.total, page.next), (3, 0));
    let rested = || async { tokio::time::sleep(Duration::from_millis(400)).await };
    rested().await;
    assert_eq!(other.group.read_log(&job("none"), 0).await, Ok(None));
    other.log.set_fault(Fault::Down);
    rested().await;
    assert_eq!(other.group.read_log(&job("a"), 0).await, Err(Unavailable::NotAccepted));
}
