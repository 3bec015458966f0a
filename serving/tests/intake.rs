//! Which connections are closed, and which bodies are refused, when callers press a node to its limits.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use serving::{
    intake::{
        Connection, Gate, Limits, Machine, Share, body,
        victim::{self, Candidate, MIN_IDLE, Need, Stage},
    },
    metrics::Metrics,
    time::{Clock, Millis},
};
use tokio_stream::StreamExt;

const HEAD_BYTES: usize = 16 << 10;
const PEER_HEAD_BYTES: usize = 32 << 10;
const BODY_BYTES: usize = 4 << 20;

fn candidate(stage: Stage, idle: u64) -> Candidate {
    Candidate { stage, idle: Millis(idle), has_served: false, body_bytes: 0 }
}

fn gate(connections: usize, body_bytes: usize) -> Arc<Gate> {
    let share = Share { connections, body_bytes, buffer_bytes: 8 << 10 };
    Gate::new("callers", share, Clock::default(), Arc::new(Metrics::default()))
}

/// The smallest machines in force, and a large one.
#[test]
fn limits_of_machines() {
    let limits = |memory_mb: usize, descriptors| {
        let machine = Machine { memory_bytes: memory_mb << 20, descriptors };
        Limits::new(machine, HEAD_BYTES, PEER_HEAD_BYTES)
    };
    insta::assert_debug_snapshot!([limits(88, 3_075), limits(512, 8_200)]);
}

/// Guards against shares that exceed the memory and the descriptors of a machine together, and against one
/// that has no room for a single request of legal size.
#[test]
fn shares_fit_the_machine_and_hold_a_request() {
    for (memory_mb, descriptors) in [(88, 3_075), (120, 4_096), (160, 4_100), (512, 8_200)] {
        let machine = Machine { memory_bytes: memory_mb << 20, descriptors };
        let Limits { callers, nodes, status, job_bytes } =
            Limits::new(machine, HEAD_BYTES, PEER_HEAD_BYTES);
        let shares = [callers, nodes, status];
        let of_share = |share: &Share| share.connections * share.buffer_bytes + share.body_bytes;
        let bytes = shares.iter().map(of_share).sum::<usize>() + job_bytes;
        assert!(bytes < machine.memory_bytes * 7 / 8, "{memory_mb} MB: {bytes}");
        let sockets: usize = shares.iter().map(|share| share.connections).sum();
        assert!(sockets < (descriptors - 200) * 7 / 8, "{descriptors}: {sockets}");
        assert!(callers.body_bytes >= 2 * BODY_BYTES && nodes.body_bytes >= 2 * BODY_BYTES);
    }
}

/// Load: silent connections and unfinished heads take all places. The longest without progress goes, not
/// the oldest, and connections that have served go last.
#[test]
fn connection_without_progress_for_the_longest_time_is_closed() {
    let served = Candidate { has_served: true, ..candidate(Stage::Request, 14_000) };
    let candidates = [
        served,
        candidate(Stage::Request, 700),
        candidate(Stage::Head, 2_900),
        candidate(Stage::Answer, 9_000),
        candidate(Stage::Body, 1_000),
    ];
    assert_eq!(victim::select(Need::Connection, candidates.into_iter()), Some(2));
    let rest = [served, candidate(Stage::Answer, 9_000)];
    assert_eq!(victim::select(Need::Connection, rest.into_iter()), Some(0));
    let all_active = [candidate(Stage::Answer, 9_000), candidate(Stage::Head, MIN_IDLE.0 - 1)];
    assert_eq!(victim::select(Need::Connection, all_active.into_iter()), None);
}

/// Load: bodies that stopped short of their end hold all memory. A request at its upstream keeps its body.
#[test]
fn only_bodies_that_wait_for_their_caller_give_memory_back() {
    let held = |stage, idle| Candidate { body_bytes: BODY_BYTES, ..candidate(stage, idle) };
    let candidates = [
        candidate(Stage::Request, 60_000),
        held(Stage::Answer, 8_000),
        held(Stage::Body, 600),
        held(Stage::Body, 5_000),
    ];
    assert_eq!(victim::select(Need::Memory, candidates.into_iter()), Some(3));
    assert_eq!(victim::select(Need::Memory, candidates[..2].iter().copied()), None);
}

#[tokio::test]
async fn new_connection_is_refused_only_while_all_others_make_progress() {
    let gate = gate(2, 0);
    let first = gate.admit().expect("a place");
    let second = gate.admit().expect("a place");
    assert!(gate.admit().is_none());
    tokio::time::sleep(MIN_IDLE.duration()).await;
    first.enter(Stage::Body);
    let third = gate.admit().expect("the place of the second");
    assert!(second.is_closing() && !first.is_closing());
    second.closed().await;
    drop(third);
    assert!(gate.admit().is_some());
}

/// Guards against a request that arrives while its connection is closed to make room, and is passed on
/// although its caller gets no answer.
#[tokio::test]
async fn request_on_a_connection_that_is_closed_is_not_passed_on() {
    let gate = gate(1, BODY_BYTES);
    let connection = gate.admit().expect("a place");
    tokio::time::sleep(MIN_IDLE.duration()).await;
    let _other = gate.admit().expect("the place of the first");
    for _ in 0..20 {
        let body = http_body_util::BodyExt::map_err(Full::default(), |never| match never {});
        let read = body::read(body, BODY_BYTES, &connection).await;
        assert!(matches!(read, Err(body::Error::Closed)), "{read:?}");
    }
}

/// Guards against bytes that are kept without a reservation, and against reservations that are not given
/// back.
#[tokio::test]
async fn bodies_reserve_memory_until_their_last_clone_is_gone() {
    let gate = gate(10, 100 << 10);
    let (first, second) = (gate.admit().expect("a place"), gate.admit().expect("a place"));
    let read = async |connection: &Connection, length: usize| {
        let body = Full::new(Bytes::from(vec![b'x'; length]));
        let body = http_body_util::BodyExt::map_err(body, |never| match never {});
        body::read(body, BODY_BYTES, connection).await
    };
    // A body that is alone may be longer than the share.
    let large = read(&first, 200 << 10).await.expect("a body that is alone");
    assert!(matches!(read(&second, 60 << 10).await, Err(body::Error::TooMuch(_))));
    let clone = large.clone();
    drop(large);
    assert!(matches!(read(&second, 60 << 10).await, Err(body::Error::TooMuch(_))));
    drop(clone);
    let small =
        [read(&second, 60 << 10).await.expect("room"), read(&first, 30 << 10).await.expect("room")];
    // A part is kept for small bodies.
    assert!(matches!(read(&second, 70 << 10).await, Err(body::Error::TooMuch(_))));
    drop(small);
    assert!(matches!(read(&second, BODY_BYTES + 1).await, Err(body::Error::TooLong(BODY_BYTES))));
}

/// Guards against a body that has stopped and holds the memory that others wait for.
#[tokio::test]
async fn stalled_body_makes_room_for_others() {
    let gate = gate(10, 100 << 10);
    let (stalled, other) = (gate.admit().expect("a place"), gate.admit().expect("a place"));
    stalled.enter(Stage::Body);
    let first = tokio_stream::iter([Ok(Frame::data(Bytes::from(vec![b'x'; 90 << 10])))]);
    let body = StreamBody::new(first.chain(tokio_stream::pending()));
    let reading = tokio::spawn(async move { body::read(body, BODY_BYTES, &stalled).await });
    tokio::time::sleep(MIN_IDLE.duration() + Duration::from_millis(50)).await;
    let body = Full::new(Bytes::from(vec![b'y'; 50 << 10]));
    let body = http_body_util::BodyExt::map_err(body, |never| match never {});
    let read = body::read(body, BODY_BYTES, &other).await;
    assert_eq!(read.expect("the memory of the stalled body").len(), 50 << 10);
    assert!(matches!(reading.await.unwrap(), Err(body::Error::Closed)));
}
