//! Which software began a stream: what a node records, announces and learns.

use std::{collections::BTreeMap, net::SocketAddr};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    fleet::Software,
    origins::{Datagram, Digest, News, Origin, State, Withdrawal},
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
        assert_eq!(first.take_news(Millis(10), &[]).origins.len(), 1);
    }
    second.merge(Millis(90_000), first.take_news(Millis(10), &[]));
    assert_eq!(version(&second, Millis(90_000), "r1").as_deref(), Some("v1"));
    assert_eq!(version(&second, Millis(90_000) + EXPIRY - Millis(10), "r1"), None);
    assert!(first.take_news(Millis(20), &[]).origins.is_empty(), "announced three times");
    assert!(second.take_news(Millis(90_000), &[]).origins.is_empty(), "not announced by others");
}

/// A request that is sent to two upstreams before its first event changes its origin, and datagrams
/// overtake each other.
#[test]
fn later_revision_counts_in_any_order() {
    let mut first = State::default();
    first.record(Millis(0), Digest::of("r1"), origin("v1", 0), DEADLINE);
    let early = first.take_news(Millis(1), &[]);
    first.record(Millis(5), Digest::of("r1"), origin("v2", 1), DEADLINE);
    let late = first.take_news(Millis(6), &[]);
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
    assert!(state.take_news(Millis(30_000), &[]).origins.len() <= 200, "one datagram");
}

fn software(version: &str) -> Software {
    Software { service: "model".into(), version: version.into() }
}

/// Gossip address of a node.
fn address(node: u8) -> SocketAddr {
    ([10, 0, 0, node], 7660).into()
}

/// Nodes reply to questions at the port after the gossip port.
fn question_address(gossip: SocketAddr) -> SocketAddr {
    SocketAddr::new(gossip.ip(), gossip.port() + 1)
}

fn confirm(state: &mut State, request: Digest, revision: u32, node: u8) {
    state.confirm(request, revision, question_address, question_address(address(node)));
}

/// Guards against a stream that is resumed with the version of an earlier send of its request.
#[test]
fn request_moves_to_another_version_only_when_all_holders_have_confirmed() {
    let (mut first, mut second) = (State::default(), State::default());
    let request = Digest::of("r1");
    first.propose(Millis(0), request, software("v1"), DEADLINE);
    let news = first.take_news(Millis(1), &[address(2), address(3)]);
    second.merge(Millis(1), news.clone());
    assert_eq!(version(&second, Millis(1), "r1").as_deref(), Some("v1"));
    let Withdrawal { revision, remaining, holders } = first.withdraw(Millis(5), request).unwrap();
    assert_eq!(holders, [address(2), address(3)].into());
    second.merge_withdrawal(Millis(6), request, revision, remaining);
    confirm(&mut first, request, revision, 2);
    confirm(&mut first, request, revision - 1, 3);
    assert!(!first.is_withdrawn(request), "the third node has not confirmed this revision");
    confirm(&mut first, request, revision, 3);
    assert!(first.is_withdrawn(request));
    second.merge(Millis(7), news);
    assert_eq!(version(&second, Millis(7), "r1"), None, "a late announcement counts for nothing");
    first.settle(Millis(8), request, software("v2"), DEADLINE);
    second.merge(Millis(9), first.take_news(Millis(9), &[address(2)]));
    assert_eq!(version(&second, Millis(9), "r1").as_deref(), Some("v2"));
}

#[test]
fn request_that_was_not_announced_moves_at_once() {
    let mut state = State::default();
    let request = Digest::of("r1");
    state.propose(Millis(0), request, software("v1"), DEADLINE);
    assert!(!state.is_withdrawn(request));
    assert!(state.withdraw(Millis(1), request).unwrap().holders.is_empty());
    assert!(state.is_withdrawn(request));
    assert!(state.take_news(Millis(2), &[address(2)]).origins.is_empty());
}

/// Guards against a move after the origin of a settled stream, or of one that has expired.
#[test]
fn settled_and_expired_origins_cannot_be_withdrawn() {
    let mut state = State::default();
    let request = Digest::of("r1");
    state.propose(Millis(0), request, software("v1"), DEADLINE);
    assert_eq!(version(&state, Millis(0), "r1"), None, "the version may still change");
    state.settle(Millis(1), request, software("v1"), DEADLINE);
    assert_eq!(version(&state, Millis(1), "r1").as_deref(), Some("v1"));
    assert_eq!(state.withdraw(Millis(2), request), None);
    state.propose(Millis(2), Digest::of("r2"), software("v1"), DEADLINE);
    state.record(Millis(50_000), Digest::of("r3"), origin("v1", 0), Millis(50_000));
    assert_eq!(state.withdraw(Millis(50_000), Digest::of("r2")), None);
    assert!(!state.is_withdrawn(Digest::of("r2")));
}

/// Nodes of the previous version decode the datagrams without what is encoded after them.
#[test]
fn older_nodes_understand_replies() {
    let reply =
        |age| Datagram::Unknown { request: Digest::of("r1"), only_version: Some("v1".into()), age };
    let bytes = reply(Some(Millis(7))).encode().unwrap();
    assert_eq!(postcard::from_bytes::<Datagram>(&bytes).unwrap(), reply(None));
    assert_eq!(Datagram::decode(&bytes).unwrap(), reply(Some(Millis(7))));
    let older = postcard::to_stdvec(&reply(None)).unwrap();
    assert_eq!(Datagram::decode(&older).unwrap(), reply(None), "the claim of an older node");
}

/// A datagram between the node that runs the request and another one.
#[derive(Clone, Debug)]
enum Sent {
    News(u8, News),
    Withdraw(u8, Withdrawal),
    Withdrawn(u8, u32),
}

proptest! {
    #![proptest_config(config())]

    /// Whatever is lost, repeated and reordered while a request moves between versions: from its
    /// first event on, no node knows another version than the one that brought the event.
    #[test]
    fn no_node_knows_another_version_than_that_of_the_first_event(
        steps in prop::collection::vec((0u8..8, any::<u8>()), 1..80),
    ) {
        let request = Digest::of("r1");
        let mut nodes = [State::default(), State::default(), State::default()];
        nodes[0].propose(Millis(0), request, software("v0"), DEADLINE);
        let (mut bound, mut begun) = ("v0", None);
        let mut sent: Vec<Sent> = Vec::new();
        for (step, choice) in steps {
            match step {
                0 => {
                    let all = [address(1), address(2)];
                    let recipients = &all[..usize::from(choice % 3)];
                    let news = nodes[0].take_news(Millis(1), recipients);
                    sent.extend((1..=recipients.len() as u8).map(|to| Sent::News(to, news.clone())));
                }
                1 if begun.is_none() => {
                    let withdrawal = nodes[0].withdraw(Millis(1), request).unwrap();
                    sent.extend((1..3).map(|to| Sent::Withdraw(to, withdrawal.clone())));
                }
                2 if begun.is_none() => {
                    // Any version may bring the first event once the origin is withdrawn.
                    if nodes[0].is_withdrawn(request) {
                        bound = ["v0", "v1", "v2"][usize::from(choice % 3)];
                    }
                    nodes[0].settle(Millis(1), request, software(bound), DEADLINE);
                    begun = Some(bound);
                }
                1 | 2 => {}
                _ if sent.is_empty() => {}
                _ => {
                    let index = usize::from(choice) % sent.len();
                    let datagram = match choice % 2 {
                        0 => sent.swap_remove(index),
                        _ => sent[index].clone(),
                    };
                    match datagram {
                        Sent::News(to, news) => nodes[usize::from(to)].merge(Millis(1), news),
                        Sent::Withdraw(to, Withdrawal { revision, remaining, .. }) => {
                            let node = &mut nodes[usize::from(to)];
                            node.merge_withdrawal(Millis(1), request, revision, remaining);
                            sent.push(Sent::Withdrawn(to, revision));
                        }
                        Sent::Withdrawn(from, revision) => {
                            confirm(&mut nodes[0], request, revision, from);
                        }
                    }
                }
            }
            if let Some(begun) = begun {
                for node in &nodes {
                    let known = node.find(Millis(1), request).map(|origin| origin.software);
                    prop_assert!(known.is_none_or(|known| known == software(begun)));
                }
            }
        }
    }

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
                1 => delayed.push(first.take_news(Millis(0), &[])),
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
