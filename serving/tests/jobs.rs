//! Owners of partitions on a log that fails, answers late or loses answers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http::HeaderMap;
use serving::{
    access::Guard,
    balance,
    batch::{
        Admission, Group, Handle, Location, Settings, TOPIC, Unavailable,
        ledger::Ledger,
        partition_for,
        record::{self, Head, Item},
    },
    catalog::{self, Catalog, Kind, Limits, Route, Share},
    exchange::Context,
    fleet::Entry,
    forward::Forwarders,
    id::{Job as JobId, Workspace},
    log_store::{Partition, Producer, Store},
    metrics::Metrics,
    origins::Origins,
    parts::{self, Prompt},
    quarantine::Quarantine,
    shutdown::Shutdown,
    tenure::Epochs,
    time::{Clock, Millis},
    upstream::{self, Codec, Options, Pool, Request},
};
use standins::keyed_log::{Fault, Log};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinSet,
};

const HOST: &str = "a.example";
const PARTITIONS: u16 = 4;

struct NoHeaders;

impl Codec for NoHeaders {
    fn encode(&self, _: &Request, _: Options<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn read_prompt(&self, _: &HeaderMap) -> Prompt {
        Prompt::default()
    }

    fn decode(&self, _: &http::response::Parts) -> upstream::Head {
        upstream::Head::default()
    }
}

/// Panics when the first request is encoded.
#[derive(Default)]
struct PanicsOnce {
    has_panicked: AtomicBool,
}

impl Codec for PanicsOnce {
    fn encode(&self, _: &Request, _: Options<'_>) -> HeaderMap {
        assert!(self.has_panicked.swap(true, Ordering::Relaxed), "the first request");
        HeaderMap::new()
    }

    fn read_prompt(&self, _: &HeaderMap) -> Prompt {
        Prompt::default()
    }

    fn decode(&self, _: &http::response::Parts) -> upstream::Head {
        upstream::Head::default()
    }
}

/// Starts an upstream that answers every request with 422.
async fn start_upstream() -> SocketAddr {
    const ANSWER: &[u8] = b"HTTP/1.1 422 Unprocessable Entity\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
                    if stream.write_all(ANSWER).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn route(quota: u64) -> Route {
    Route {
        id: "batch".into(),
        host: HOST.to_string(),
        prefix: "/jobs/".to_string(),
        is_public: false,
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

/// A route to a service without upstreams.
fn idle_route() -> Route {
    let split = vec![Share { service: "absent".into(), weight: 1 }];
    Route { id: "idle".into(), prefix: "/idle/".to_string(), split, ..route(0) }
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
        workspace: None,
        route: None,
    }
}

/// A member of the group with its own view of the log.
struct Node {
    group: Arc<Group>,
    log: Log,
    /// Milliseconds since the last message from another node.
    silence: Arc<AtomicU64>,
}

impl Node {
    fn start(log: &Log, index: u8, quota: u64) -> Node {
        Node::start_with(log, index, quota, Arc::new(NoHeaders), None)
    }

    /// Starts a node that runs items at `upstream`, if there is one.
    fn start_with(
        log: &Log,
        index: u8,
        quota: u64,
        codec: Arc<dyn Codec>,
        upstream: Option<SocketAddr>,
    ) -> Node {
        Node::start_with_settings(log, index, quota, codec, upstream, Settings::default())
    }

    /// Starts a node that writes jobs of more than a few hundred bytes in several appends.
    fn start_with_small_appends(log: &Log, index: u8) -> Node {
        let small = Settings { record_bytes: 64, append_bytes: 200, ..Settings::default() };
        Node::start_with_settings(log, index, 0, Arc::new(NoHeaders), None, small)
    }

    fn start_with_settings(
        log: &Log,
        index: u8,
        quota: u64,
        codec: Arc<dyn Codec>,
        upstream: Option<SocketAddr>,
        settings: Settings,
    ) -> Node {
        let log = log.view();
        let mut balance = balance::State::new(balance::Settings::default(), "here".into(), 1);
        if let Some(address) = upstream {
            let entry = Entry {
                service: "model".into(),
                address,
                data_centre: "here".into(),
                version: "v1".into(),
                slots: 8,
                draining: false,
                started: 1,
            };
            balance.upsert(&"engine".into(), &entry);
        }
        let (clock, fleet) = (Clock::default(), Arc::default());
        let context = Context {
            access: Guard::default(),
            origins: Arc::new(Origins::new(clock.clone(), Arc::clone(&fleet))),
            clock,
            fleet,
            balance: Mutex::new(balance),
            quarantine: Mutex::new(Quarantine::new(Millis(60_000))),
            parts: Mutex::new(parts::State::new(1)),
            uplink: Mutex::default(),
            forwarders: Forwarders::default(),
            epochs: Epochs::default(),
            shutdown: Shutdown::default(),
            pool: Arc::new(Pool::new(upstream::Settings::default())),
            codec,
            metrics: Arc::new(Metrics::default()),
        };
        let catalog = catalog::Handle::default();
        catalog.update(Catalog::new(1, Limits::default(), vec![route(quota), idle_route()]));
        let settings = Settings {
            partitions: PARTITIONS,
            membership_ms: 400,
            renewal_ms: 50,
            isolation_ms: 500,
            proof_ms: 200,
            ..settings
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
        let member = Arc::clone(&group);
        let silence = Arc::new(AtomicU64::new(0));
        let silence_ms = Arc::clone(&silence);
        tokio::spawn(async move {
            member.run(|_| {}, || Some(Millis(silence_ms.load(Ordering::Relaxed)))).await;
        });
        Node { group, log, silence }
    }

    /// Waits until this node owns the partition of job `a`, and returns the owner.
    async fn owner(&self) -> Handle {
        for _ in 0..500 {
            if let Location::Here(handle) = self.group.locate(&job("a")) {
                return handle;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the node did not become the owner of the partition of job a");
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
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Admission::Durable));
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Admission::Durable));
    first.group.leave().await;
    let second = Node::start(&log, 2, 0);
    let owner = second.owner().await;
    let page = owner.read(job("a"), 0, Millis(0)).await.unwrap().unwrap();
    assert_eq!(page.total, 3);
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Admission::Durable));
    assert_eq!(owner.body(job("a"), "item-1".to_string()).await.unwrap().unwrap(), "body");
}

/// Guards against partitions without an owner after all nodes were killed, until the memberships of
/// the killed processes expire.
#[tokio::test]
async fn restarted_node_takes_over_the_partitions_of_the_process_before_it() {
    let log = Log::new(PARTITIONS);
    let ttl = Millis(600_000);
    for predecessor in ["10.0.0.1:7000/0", "10.0.0.2:7000/0"] {
        log.join("jobs", predecessor, TOPIC, 0, ttl).await.unwrap();
    }
    let nodes = [Node::start(&log, 1, 0), Node::start(&log, 2, 0)];
    for _ in 0..500 {
        let owners = log.owners("jobs", TOPIC).await.unwrap();
        let count = |member: &str| owners.iter().filter(|(_, owner)| owner == member).count();
        if count("10.0.0.1:7000/1") + count("10.0.0.2:7000/2") == usize::from(PARTITIONS) {
            drop(nodes);
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("partitions stay with processes that are gone");
}

/// A node that can't reach the log keeps running its owners. A later owner at another node accepts
/// a job; the earlier owner must not answer that there is no such job.
#[tokio::test]
async fn owner_that_is_cut_off_does_not_deny_what_a_later_owner_accepted() {
    let log = Log::new(PARTITIONS);
    let cut_off = Node::start(&log, 1, 0);
    let earlier = cut_off.owner().await;
    assert_eq!(earlier.read(job("a"), 0, Millis(0)).await, Ok(None));
    cut_off.log.set_fault(Fault::Down);
    let other = Node::start(&log, 2, 0);
    let later = other.owner().await;
    assert_eq!(later.submit(job("a"), head(3)).await, Ok(Admission::Durable));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(earlier.read(job("a"), 0, Millis(0)).await, Err(Unavailable::NotAccepted));
    assert_eq!(earlier.body(job("a"), "item-0".to_string()).await, Err(Unavailable::NotAccepted));
    assert_eq!(earlier.cancel(job("a")).await, Err(Unavailable::NotAccepted));
}

/// Guards against a node that was cut off and goes on with its old state of a partition, which another
/// node has held and released meanwhile, without a message between the two.
#[tokio::test]
async fn owner_whose_partition_was_held_by_another_node_meanwhile_reads_it_again() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 0);
    node.owner().await;
    node.log.set_fault(Fault::Down);
    let second = Node::start(&log, 2, 0);
    let accepted = second.owner().await.submit(job("a"), head(3)).await;
    assert_eq!(accepted, Ok(Admission::Durable));
    second.group.leave().await;
    node.log.set_fault(Fault::None);
    eventually("the node owns all partitions", || node.group.reports().len() == 4).await;
    for _ in 0..20 {
        let page = node.owner().await.read(job("a"), 0, Millis(0)).await;
        assert!(!matches!(page, Ok(None)), "the node denies an accepted job");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let page = node.owner().await.read(job("a"), 0, Millis(0)).await;
    assert_eq!(page.map(|page| page.map(|page| page.total)), Ok(Some(3)));
}

/// Guards against an owner that misses that its partition was with another node, because the group
/// was dealt anew twice between two of its renewals.
#[tokio::test]
async fn owner_proves_its_ownership_when_the_group_has_changed() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 0);
    let owner = node.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    let number = partition_for("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    // An owner of the generation between the two deals.
    let later = Producer { name: "owner".to_string(), epoch: 2 << 10, sequence: 1 };
    let id = job("a");
    let records = record::encode_head(&id, &head(3), 1 << 10).unwrap();
    log.append(&partition, &later, &records).await.unwrap();
    log.deal_anew("jobs");
    log.deal_anew("jobs");
    let mut is_found = false;
    for _ in 0..100 {
        let page = node.owner().await.read(id.clone(), 0, Millis(0)).await;
        is_found = matches!(&page, Ok(Some(page)) if page.total == 3);
        if is_found {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(is_found, "the node never reads the partition again");
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
    let number = partition_for("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    assert!(log.records(&partition).is_empty());
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Admission::Durable));
}

#[tokio::test]
async fn append_whose_answer_was_lost_is_repeated_without_a_second_record() {
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
    assert!(
        !submitting.is_finished(),
        "the submission was answered while the outcome of its append was unknown"
    );
    node.log.set_fault(Fault::None);
    assert_eq!(submitting.await.unwrap(), Ok(Admission::Durable));
    let number = partition_for("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    let keys: Vec<String> = log.records(&partition).into_iter().map(|record| record.key).collect();
    assert_eq!(keys, ["h/a/000000", "t/a"], "the head and the route, each once");
}

/// An append of an earlier owner reaches the log only after a later owner has claimed the
/// partition. The log must reject it, so that the job of the append isn't accepted.
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
    assert_ne!(submitting.await.unwrap(), Ok(Admission::Durable));
    assert_eq!(later.read(job("a"), 0, Millis(0)).await, Ok(None));
    let number = partition_for("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    assert!(log.records(&partition).is_empty());
}

/// What happens to an owner after it has answered a submission.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// It goes on, and the log answers again.
    GoesOn,
    /// It releases its partitions while the log answers again.
    Leaves,
    /// It never reaches the log again, and another node takes over.
    CutOff,
}

/// Delay of late appends.
const LATE: Millis = Millis(300);

/// Submits a job of one item with a body of `body` bytes. The fault begins at the append number `index` of
/// the submission. Returns what is wrong with what the next owner makes of the job, and of its repeat.
async fn submit_during_fault(
    fault: Fault,
    index: usize,
    body: usize,
    ending: Ending,
) -> Option<String> {
    let log = Log::new(PARTITIONS);
    let first = Node::start_with_small_appends(&log, 1);
    let owner = first.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    let submitted = || {
        let mut head = head(1);
        head.items[0].body = vec![7; body];
        head
    };
    first.log.set_fault_after(index, fault);
    let submitting = owner.submit(job("a"), submitted());
    let answer = tokio::time::timeout(Duration::from_millis(1_000), submitting).await;
    let is_refused =
        matches!(answer, Ok(Err(Unavailable::NotAccepted) | Ok(Admission::Invalid(_))));
    let second = match ending {
        Ending::GoesOn => {
            first.log.set_fault(Fault::None);
            None
        }
        Ending::Leaves => {
            first.log.set_fault(Fault::None);
            first.group.leave().await;
            Some(Node::start_with_small_appends(&log, 2))
        }
        Ending::CutOff => {
            first.log.set_fault(Fault::Down);
            Some(Node::start_with_small_appends(&log, 2))
        }
    };
    let reader = second.as_ref().unwrap_or(&first);
    let find = async || {
        for _ in 0..200 {
            if let Ok(page) = reader.owner().await.read(job("a"), 0, Millis(0)).await {
                return page.is_some();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no owner answers");
    };
    let mut is_found = find().await;
    tokio::time::sleep(LATE.duration()).await;
    is_found |= find().await;
    if is_refused && is_found {
        return Some(format!("the job was answered {answer:?} and is accepted"));
    }
    if answer == Ok(Ok(Admission::Durable)) && !is_found {
        return Some("the accepted job is lost".to_string());
    }
    let mut repeated = Err(Unavailable::Unknown);
    for _ in 0..100 {
        repeated = reader.owner().await.submit(job("a"), submitted()).await;
        if repeated == Ok(Admission::Durable) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Deletions that are still on their way must not reach the repeated job.
    tokio::time::sleep(LATE.duration()).await;
    let number = partition_for("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    let records = log.read_latest(&partition).await.unwrap().records;
    let ledger = Ledger::restore(&records, 0, Millis(0), |_| Millis(0));
    let stored = ledger.job(&job("a")).map(|job| job.head.items.clone());
    let is_stored = stored.is_some_and(|items| items == submitted().items);
    (repeated != Ok(Admission::Durable) || !is_stored).then(|| {
        format!("answered {answer:?}; the repeat is answered {repeated:?}, stored: {is_stored}")
    })
}

/// Guards against a refused job that a later owner takes for an accepted one, because what was written
/// of it looks complete, and against a repeat that is harmed by what the refused attempt left behind.
#[tokio::test]
async fn refused_job_is_no_job_to_any_later_owner() {
    let faults = [
        Fault::Down,
        Fault::Invalid,
        Fault::LostAnswers,
        Fault::LateAppends(LATE),
        Fault::LateThenInvalid(LATE),
        Fault::Fenced,
    ];
    let mut cases = Vec::new();
    for fault in faults {
        for index in 0..4 {
            for ending in [Ending::GoesOn, Ending::Leaves, Ending::CutOff] {
                cases.push((fault, index, 300, ending));
            }
        }
    }
    // The route has an append of its own at some of these sizes, if it comes last.
    cases.extend((0..200).map(|body| (Fault::Down, 1, body, Ending::CutOff)));
    cases.extend((200..360).map(|body| (Fault::Down, 2, body, Ending::CutOff)));
    let mut wrong = Vec::new();
    for batch in cases.chunks(80) {
        let mut running = JoinSet::new();
        for (fault, index, body, ending) in batch.iter().copied() {
            running.spawn(async move {
                let problem = submit_during_fault(fault, index, body, ending).await?;
                Some(format!("{fault:?} {index} {body} {ending:?}: {problem}"))
            });
        }
        wrong.extend(running.join_all().await.into_iter().flatten());
    }
    assert!(wrong.is_empty(), "{} of {} cases:\n{}", wrong.len(), cases.len(), wrong.join("\n"));
}

/// Guards against a submission that waits behind the deletion of an earlier one while the log refuses
/// appends, and against records of refused jobs that are kept for good.
#[tokio::test]
async fn refusal_does_not_wait_for_the_deletion_of_an_earlier_job() {
    let log = Log::new(PARTITIONS);
    let node = Node::start_with_small_appends(&log, 1);
    let owner = node.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    node.log.set_fault_after(1, Fault::Down);
    assert_eq!(owner.submit(job("a"), head(7)).await, Err(Unavailable::NotAccepted));
    let partition = Partition { topic: TOPIC.to_string(), number: partition_for("a", PARTITIONS) };
    let records = async || log.read_latest(&partition).await.unwrap().records;
    assert!(!records().await.is_empty(), "the first append of the job was written");
    for _ in 0..5 {
        let submitting = owner.submit(job("a"), head(7));
        let answer = tokio::time::timeout(Duration::from_millis(50), submitting).await;
        assert_eq!(answer, Ok(Err(Unavailable::NotAccepted)));
    }
    node.log.set_fault(Fault::None);
    for _ in 0..1_000 {
        if records().await.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the records of the refused job are still there: {:?}", records().await);
}

/// Guards against the cancellation of a refused job that applies to a later submission.
#[tokio::test]
async fn cancellation_of_a_refused_job_does_not_apply_to_its_repeat() {
    let log = Log::new(PARTITIONS);
    let first = Node::start(&log, 1, 0);
    let owner = first.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    first.log.set_fault_after(0, Fault::SlowlyDown(Millis(200)));
    let submitting = tokio::spawn({
        let owner = owner.clone();
        async move { owner.submit(job("a"), head(3)).await }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let cancelling = tokio::spawn({
        let owner = owner.clone();
        async move { owner.cancel(job("a")).await }
    });
    assert_eq!(submitting.await.unwrap(), Err(Unavailable::NotAccepted));
    first.log.set_fault(Fault::None);
    assert_eq!(cancelling.await.unwrap(), Err(Unavailable::NotAccepted));
    assert_eq!(owner.submit(job("a"), head(3)).await, Ok(Admission::Durable));
    first.group.leave().await;
    let second = Node::start(&log, 2, 0);
    let body = second.owner().await.body(job("a"), "item-0".to_string()).await;
    assert!(matches!(body, Ok(Some(_))), "the repeat was restored as cancelled: {body:?}");
}

/// The group reassigns all partitions several times while jobs are submitted.
#[tokio::test]
async fn burst_of_jobs_survives_reassignments_of_partitions() {
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
            let owner = nodes.iter().find_map(|node| match node.group.locate(&id) {
                Location::Here(handle) => Some(handle),
                Location::Peer(_) | Location::Unknown => None,
            });
            let Some(owner) = owner else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if owner.submit(id.clone(), head(2)).await == Ok(Admission::Durable) {
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
                let Location::Here(owner) = node.group.locate(id) else { continue };
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
    // No job is accepted until all partitions have reported.
    let mut first = owner.submit(job("a"), head(3)).await;
    while first == Err(Unavailable::NotAccepted) {
        tokio::time::sleep(Duration::from_millis(10)).await;
        first = owner.submit(job("a"), head(3)).await;
    }
    let Location::Here(other) = node.group.locate(&job("b")) else {
        panic!("the node does not own all partitions")
    };
    let second = other.submit(job("b"), head(3)).await;
    assert_eq!((first, second), (Ok(Admission::Durable), Ok(Admission::OverQuota)));
}

/// Guards against jobs that fit by far and are refused for as long as the coordinator of their quota
/// lacks the report of a partition, as after the loss of all nodes.
#[tokio::test]
async fn jobs_that_fit_are_accepted_while_the_coordinator_lacks_a_report() {
    let log = Log::new(PARTITIONS);
    // A member that never reports holds some of the partitions.
    let mut generation = 0;
    let mut join = async || {
        let joined = log.join("jobs", "10.0.0.9:7000/0", TOPIC, generation, Millis(600_000)).await;
        generation = joined.unwrap().generation;
    };
    join().await;
    let node = Node::start(&log, 1, 100_000);
    while node.group.reports().len() < 2 {
        join().await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let ids = (0..).map(|index| job(&format!("job-{index}")));
    let owned = ids.filter_map(|id| match node.group.locate(&id) {
        Location::Here(owner) => Some((id, owner)),
        Location::Peer(_) | Location::Unknown => None,
    });
    // The share of a partition is a quarter of a tenth of the quota.
    let mut room = BTreeMap::new();
    for (id, owner) in owned.take(20) {
        let room = room.entry(partition_for(&id.0, PARTITIONS)).or_insert(2_500);
        let expected = match *room >= 700 {
            true => Ok(Admission::Durable),
            false => Err(Unavailable::NotAccepted),
        };
        assert_eq!(owner.submit(id, head(7)).await, expected, "room for {room} tokens");
        *room -= if expected.is_ok() { 700 } else { 0 };
    }
    assert!(room.values().all(|room| *room < 700), "{room:?}");
}

/// Guards against a workspace that takes up the quota of another one or of callers without one, and
/// against jobs of one id that are taken for the same in two workspaces.
#[tokio::test]
async fn each_workspace_has_its_own_jobs_and_quota() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 500);
    node.owner().await;
    let submit = async |workspace: &str, id: &str| {
        let workspace = Some(Workspace::from(workspace)).filter(|name| !name.0.is_empty());
        let id = JobId::scoped(workspace.as_ref(), id);
        loop {
            let Location::Here(owner) = node.group.locate(&id) else {
                panic!("the node does not own all partitions")
            };
            let head = Head { workspace: workspace.clone(), ..head(3) };
            let submitted = owner.submit(id.clone(), head).await;
            if submitted != Err(Unavailable::NotAccepted) {
                return submitted;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    for workspace in ["one", "two", ""] {
        assert_eq!(submit(workspace, "a").await, Ok(Admission::Durable));
        assert_eq!(submit(workspace, "a").await, Ok(Admission::Durable), "submitted again");
        assert_eq!(submit(workspace, "b").await, Ok(Admission::OverQuota), "{workspace}");
    }
    let reported: u64 =
        node.group.reports().iter().flat_map(|(_, report)| report.waiting.values()).sum();
    assert_eq!(reported, 300, "gossip holds only tokens of jobs without a workspace");
}

/// Guards against an item that counts as running for ever because the task that ran it panicked.
#[tokio::test]
async fn item_whose_run_panicked_is_run_again() {
    let log = Log::new(PARTITIONS);
    let address = start_upstream().await;
    let node = Node::start_with(&log, 1, 0, Arc::new(PanicsOnce::default()), Some(address));
    let owner = node.owner().await;
    assert_eq!(owner.submit(job("a"), head(1)).await, Ok(Admission::Durable));
    let page = owner.read(job("a"), 0, Millis(3_000)).await.unwrap().unwrap();
    assert_eq!(page.results.len(), 1, "the item was not run again");
}

/// Guards against items that wait for room at another service although their own has room.
#[tokio::test]
async fn items_of_a_service_without_upstreams_hold_up_no_others() {
    let log = Log::new(PARTITIONS);
    let address = start_upstream().await;
    let node = Node::start_with(&log, 1, 0, Arc::new(NoHeaders), Some(address));
    let owner = node.owner().await;
    let other = ["b", "c", "d", "e"]
        .into_iter()
        .find(|id| partition_for(id, PARTITIONS) != partition_for("a", PARTITIONS));
    let other = other.expect("a job in another partition");
    let Location::Here(other_owner) = node.group.locate(&job(other)) else {
        panic!("the node does not own all partitions")
    };
    let waiting = Head { path: "/idle/1".to_string(), ..head(50) };
    assert_eq!(other_owner.submit(job(other), waiting).await, Ok(Admission::Durable));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(owner.submit(job("a"), head(1)).await, Ok(Admission::Durable));
    let page = owner.read(job("a"), 0, Millis(3_000)).await.unwrap().unwrap();
    assert_eq!(page.results.len(), 1, "the item did not run");
}

/// Guards against an item whose headers don't fit into a request: it ended each owner of its partition.
#[tokio::test]
async fn item_with_too_many_headers_ends_no_owner() {
    let log = Log::new(PARTITIONS);
    let upstream = start_upstream().await;
    let node = Node::start_with(&log, 1, 0, Arc::new(NoHeaders), Some(upstream));
    let owner = node.owner().await;
    let mut odd = head(1);
    odd.items[0].headers = (0..24_600).map(|index| (format!("x{index}"), String::new())).collect();
    assert_eq!(owner.submit(job("a"), odd).await, Ok(Admission::Durable));
    let page = owner.read(job("a"), 0, Millis(3_000)).await.unwrap().unwrap();
    assert_eq!(page.results.len(), 1, "the item has not ended");
    let partition = partition_for("a", PARTITIONS);
    let next = (0..).map(|index| format!("b{index}"));
    let next = next.into_iter().find(|id| partition_for(id, PARTITIONS) == partition).unwrap();
    assert_eq!(owner.submit(job(&next), head(1)).await, Ok(Admission::Durable));
    let page = owner.read(job(&next), 0, Millis(3_000)).await.unwrap().unwrap();
    assert_eq!(page.results.len(), 1, "an item behind it has not run");
}

#[tokio::test]
async fn fenced_owner_accepts_nothing() {
    let log = Log::new(PARTITIONS);
    let node = Node::start(&log, 1, 0);
    let owner = node.owner().await;
    assert_eq!(owner.read(job("a"), 0, Millis(0)).await, Ok(None));
    let number = partition_for("a", PARTITIONS);
    let partition = Partition { topic: TOPIC.to_string(), number };
    let later = Producer { name: "owner".to_string(), epoch: u64::MAX / 2, sequence: 0 };
    log.append(&partition, &later, &[]).await.unwrap();
    assert_eq!(owner.submit(job("a"), head(3)).await, Err(Unavailable::NotAccepted));
    assert!(log.records(&partition).is_empty());
}

fn owns_partitions(node: &Node) -> bool {
    !node.group.reports().is_empty()
}

/// Waits up to five seconds until a condition is met.
async fn eventually(condition: &str, mut is_met: impl FnMut() -> bool) {
    for _ in 0..500 {
        if is_met() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met in time: {condition}");
}

/// A node that reaches the log but no other node would own jobs that other nodes can't read.
#[tokio::test]
async fn node_that_is_isolated_from_other_nodes_releases_its_partitions() {
    let log = Log::new(PARTITIONS);
    let nodes = [Node::start(&log, 1, 0), Node::start(&log, 2, 0)];
    eventually("both nodes own partitions", || nodes.iter().all(owns_partitions)).await;
    nodes[0].silence.store(600, Ordering::Relaxed);
    eventually("the other node owns all partitions", || nodes[1].group.reports().len() == 4).await;
    assert!(!owns_partitions(&nodes[0]));
    nodes[0].silence.store(0, Ordering::Relaxed);
    eventually("both nodes own partitions again", || nodes.iter().all(owns_partitions)).await;
}

/// A node that left the group because it heard no other node must come back once the group has no
/// other member, or nobody runs the jobs.
#[tokio::test]
async fn isolated_node_takes_the_partitions_when_all_others_have_stopped() {
    let log = Log::new(PARTITIONS);
    let nodes = [Node::start(&log, 1, 0), Node::start(&log, 2, 0)];
    eventually("both nodes own partitions", || nodes.iter().all(owns_partitions)).await;
    nodes[0].silence.store(600, Ordering::Relaxed);
    eventually("the other node owns all partitions", || nodes[1].group.reports().len() == 4).await;
    nodes[1].group.leave().await;
    eventually("the isolated node owns all partitions", || nodes[0].group.reports().len() == 4)
        .await;
}

#[tokio::test]
async fn only_node_keeps_its_partitions_without_messages_from_others() {
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
    eventually("both nodes own partitions", || owns_partitions(&owner) && owns_partitions(&other))
        .await;
    let (owner, other) = match owner.group.locate(&job("a")) {
        Location::Here(_) => (owner, other),
        Location::Peer(_) | Location::Unknown => (other, owner),
    };
    let handle = owner.owner().await;
    assert_eq!(handle.submit(job("a"), head(3)).await, Ok(Admission::Durable));
    let page = other.group.read_log(&job("a"), 0).await.unwrap().unwrap();
    assert_eq!((page.total, page.next), (3, 0));
    let wait_for_budget = || async { tokio::time::sleep(Duration::from_millis(400)).await };
    wait_for_budget().await;
    assert_eq!(other.group.read_log(&job("none"), 0).await, Ok(None));
    other.log.set_fault(Fault::Down);
    wait_for_budget().await;
    assert_eq!(other.group.read_log(&job("a"), 0).await, Err(Unavailable::NotAccepted));
}
