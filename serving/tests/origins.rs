//! Which software began a stream: what a node records, announces and learns.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    fleet::Software,
    origins::{Digest, Origin, State},
    time::Millis,
};

const DEADLINE: Millis = Millis(5_000);
/// The end of what is kept: a caller may resume after the deadline of the request that began.
const EXPIRY: Millis = Millis(10_000);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..Config::default() }
}

fn origin(version: &str, revision: u32) -> Origin {
    let software = Software { service: "model".into(), version: version.into() };
    Origin { software, revision }
}

fn version(state: &State, now: Millis, request: &str) -> Option<String> {
    state.find(now, Digest::of(request)).map(|origin| origin.software.version.0.clone())
}

#[test]
fn origin_expires_some_time_after_the_deadline() {
    let mut state = State::default();
    state.record(Millis(0), Digest::of("r1"), origin("v1", 0), DEADLINE);
    assert_eq!(version(&state, EXPIRY - Millis(1), "r1").as_deref(), Some("v1"));
    assert_eq!(version(&state, EXPIRY, "r1"), None);
    state.record(EXPIRY, Digest::of("r2"), origin("v1", 0), EXPIRY);
    assert_eq!(state.len(), 1, "the expired origin is removed");
}

#[test]
fn other_node_learns_an_announced_origin_though_two_messages_are_lost() {
    let (mut first, mut second) = (State::default(), State::default());
    first.record(Millis(0), Digest::of("r1"), origin("v1", 0), DEADLINE);
    for _ in 0..2 {
        assert_eq!(first.take_news(Millis(10)).origins.len(), 1);
    }
    second.merge(Millis(90_000), first.take_news(Millis(10)));
    assert_eq!(version(&second, Millis(90_000), "r1").as_deref(), Some("v1"));
    assert_eq!(version(&second, Millis(90_000) + EXPIRY - Millis(10), "r1"), None);
    assert!(first.take_news(Millis(20)).origins.is_empty(), "announced three times");
    assert!(second.take_news(Millis(90_000)).origins.is_empty(), "not announced by others");
}

/// A request that is sent to two upstreams before its first event changes its origin, and datagrams
/// overtake each other.
#[test]
fn later_revision_counts_in_any_order() {
    let mut first = State::default();
    first.record(Millis(0), Digest::of("r1"), origin("v1", 0), DEADLINE);
    let early = first.take_news(Millis(1));
    first.record(Millis(5), Digest::of("r1"), origin("v2", 1), DEADLINE);
    let late = first.take_news(Millis(6));
    for order in [[&early, &late], [&late, &early]] {
        let mut second = State::default();
        order.into_iter().for_each(|news| second.merge(Millis(0), news.clone()));
        assert_eq!(version(&second, Millis(1), "r1").as_deref(), Some("v2"));
    }
}

#[test]
fn resume_extends_the_life_of_an_origin() {
    let mut state = State::default();
    state.record(Millis(0), Digest::of("r1"), origin("v1", 0), DEADLINE);
    state.record(Millis(4_000), Digest::of("r1"), origin("v1", 0), Millis(9_000));
    assert_eq!(version(&state, Millis(13_999), "r1").as_deref(), Some("v1"));
}

#[test]
fn number_of_origins_is_limited() {
    let mut state = State::default();
    for index in 0..30_000 {
        let request = Digest::of(&format!("r{index}"));
        state.record(Millis(index), request, origin("v1", 0), Millis(index) + Millis(100_000));
    }
    assert!(state.len() <= 20_000, "{}", state.len());
    assert_eq!(version(&state, Millis(30_000), "r29999").as_deref(), Some("v1"));
    assert!(state.take_news(Millis(30_000)).origins.len() <= 200, "one datagram");
}

proptest! {
    #![proptest_config(config())]

    /// Whatever is recorded and however the news is lost, repeated and reordered, another node knows
    /// no origin or the one of the latest revision that it has heard of.
    #[test]
    fn other_node_never_knows_an_older_origin_than_it_heard_of(
        steps in prop::collection::vec((0u8..3, 0u8..4, 0u8..3), 1..60),
    ) {
        let (mut first, mut second) = (State::default(), State::default());
        let mut revisions: BTreeMap<u8, u32> = BTreeMap::new();
        let mut heard: BTreeMap<u8, u32> = BTreeMap::new();
        let mut delayed = Vec::new();
        let digest = |request: u8| Digest::of(&request.to_string());
        for (step, request, choice) in steps {
            match step {
                0 => {
                    let revision = revisions.entry(request).or_default();
                    *revision += 1;
                    let recorded = origin(&format!("v{choice}"), *revision);
                    first.record(Millis(0), digest(request), recorded, DEADLINE);
                }
                1 => delayed.push(first.take_news(Millis(0))),
                _ if delayed.is_empty() => {}
                _ => {
                    let news = delayed.swap_remove(usize::from(choice) % delayed.len());
                    for request in 0..4 {
                        let revision = news
                            .origins
                            .iter()
                            .filter(|announced| announced.request == digest(request))
                            .map(|announced| announced.revision)
                            .max();
                        let known = heard.entry(request).or_default();
                        *known = (*known).max(revision.unwrap_or(0));
                    }
                    second.merge(Millis(0), news);
                }
            }
        }
        for (request, revision) in heard {
            let known = second.find(Millis(0), digest(request)).map(|origin| origin.revision);
            prop_assert_eq!(known.unwrap_or(0), revision);
        }
    }
}
