//! Requests that crash upstreams are quarantined at all nodes, and no other requests are.

use bulrushspread::{
    attempt::{
        Fingerprint,
        quarantine::{Quarantine, Status},
    },
    id::{Upstream, Workspace},
    time::Millis,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const EXPIRY: Millis = Millis(60_000);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() }
}

fn fingerprint(body: u32) -> Fingerprint {
    Fingerprint::of(&Workspace::from("zadruga"), &body.to_le_bytes())
}

fn upstream(index: usize) -> Upstream {
    Upstream(format!("engine-{index}"))
}

/// Sends the updates of one node to the others.
fn gossip(now: Millis, nodes: &mut [Quarantine], from: usize) {
    let updates = nodes[from].take_updates(now);
    for (index, node) in nodes.iter_mut().enumerate() {
        if index != from {
            node.merge(now, updates.clone());
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// One request crashes each upstream that runs it; the other requests were in flight at the
    /// first one. All nodes quarantine that request after the second crash, and never the others.
    /// Every crash reaches all nodes before the next dispatch of the same request.
    #[test]
    fn only_the_crashing_request_is_quarantined_at_all_nodes(
        others in 1_u32..20,
        dispatches in prop::collection::vec((0_usize..3, 6_000_u64..9_000), 2..6),
    ) {
        let mut nodes = vec![Quarantine::new(EXPIRY); 3];
        let crashing = fingerprint(0);
        let (mut now, mut crashes) = (Millis(0), 0);
        for (index, (node, pause)) in dispatches.into_iter().enumerate() {
            if nodes[node].status(now, &crashing) == Status::Quarantined {
                break;
            }
            crashes += 1;
            nodes[node].record_crash(now, crashing, &upstream(index));
            if index == 0 {
                for other in 1..=others {
                    let status =
                        nodes[node].record_crash(now, fingerprint(other), &upstream(index));
                    prop_assert_eq!(status, Status::Suspect);
                }
            }
            gossip(now, &mut nodes, node);
            for other in 1..=others {
                nodes[node].record_success(&fingerprint(other));
            }
            gossip(now, &mut nodes, node);
            now = now + Millis(pause);
        }
        prop_assert_eq!(crashes, 2);
        for node in &nodes {
            prop_assert_eq!(node.status(now, &crashing), Status::Quarantined);
            for other in 1..=others {
                prop_assert_eq!(node.status(now, &fingerprint(other)), Status::Clear);
            }
        }
        let expired = now + EXPIRY + Millis(1);
        prop_assert_eq!(nodes[0].status(expired, &crashing), Status::Clear);
    }
}

#[test]
fn one_crash_reported_by_several_nodes_counts_once() {
    let mut nodes = vec![Quarantine::new(EXPIRY); 2];
    let request = fingerprint(1);
    for (index, now) in [(0, Millis(0)), (1, Millis(300)), (1, Millis(400))] {
        nodes[index].record_crash(now, request, &upstream(0));
        gossip(now, &mut nodes, index);
    }
    assert_eq!(nodes[0].status(Millis(500), &request), Status::Suspect);
    assert_eq!(nodes[1].status(Millis(500), &request), Status::Suspect);
}

#[test]
fn crashes_of_a_whole_rack_count_against_no_request() {
    let mut node = Quarantine::new(EXPIRY);
    let request = fingerprint(1);
    for index in 0..4 {
        node.record_crash(Millis(100), fingerprint(10 + index), &upstream(index as usize));
    }
    assert_eq!(node.record_crash(Millis(200), request, &upstream(4)), Status::Clear);
    assert_eq!(node.record_crash(Millis(300), request, &upstream(5)), Status::Clear);
}

/// A request that crashes every upstream that runs it is sent again so fast that its crashes look
/// like the failure of a rack.
#[test]
fn request_that_crashes_five_upstreams_at_once_is_quarantined() {
    let mut node = Quarantine::new(EXPIRY);
    let request = fingerprint(1);
    for index in 0..4 {
        node.record_crash(Millis(100), fingerprint(10 + index), &upstream(index as usize));
    }
    for index in 4..6 {
        assert_eq!(node.record_crash(Millis(200), request, &upstream(index)), Status::Clear);
    }
    assert_eq!(node.record_crash(Millis(300), request, &upstream(6)), Status::Quarantined);
}
