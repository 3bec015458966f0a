//! Requests that crash upstreams are recognised, and only those.

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

const KEEP: Millis = Millis(60_000);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() }
}

fn fingerprint(body: u32) -> Fingerprint {
    Fingerprint::of(&Workspace::from("zadruga"), &body.to_le_bytes())
}

fn upstream(index: usize) -> Upstream {
    Upstream(format!("engine-{index}"))
}

fn spread(now: Millis, nodes: &mut [Quarantine], from: usize) {
    let news = nodes[from].take_updates(now);
    for (index, node) in nodes.iter_mut().enumerate() {
        if index != from {
            node.merge(now, news.clone());
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// A crasher beside innocents: it is refused at all nodes after its second upstream, they
    /// never are. Every death reaches the nodes before the next dispatch of the same request.
    #[test]
    fn only_the_crasher_is_quarantined_and_everywhere(
        innocents in 1_u32..20,
        dispatches in prop::collection::vec((0_usize..3, 6_000_u64..9_000), 2..6),
    ) {
        let mut nodes = vec![Quarantine::new(KEEP); 3];
        let crasher = fingerprint(0);
        let (mut now, mut deaths) = (Millis(0), 0);
        for (index, (node, pause)) in dispatches.into_iter().enumerate() {
            if nodes[node].status(now, &crasher) == Status::Quarantined {
                break;
            }
            deaths += 1;
            nodes[node].record_crash(now, crasher, &upstream(index));
            if index == 0 {
                for innocent in 1..=innocents {
                    let verdict = nodes[node].record_crash(now, fingerprint(innocent), &upstream(index));
                    prop_assert_eq!(verdict, Status::Suspect);
                }
            }
            spread(now, &mut nodes, node);
            for innocent in 1..=innocents {
                nodes[node].record_success(&fingerprint(innocent));
            }
            spread(now, &mut nodes, node);
            now = now + Millis(pause);
        }
        prop_assert_eq!(deaths, 2);
        for node in &nodes {
            prop_assert_eq!(node.status(now, &crasher), Status::Quarantined);
            for innocent in 1..=innocents {
                prop_assert_eq!(node.status(now, &fingerprint(innocent)), Status::Clear);
            }
        }
        let expired = now + KEEP + Millis(1);
        prop_assert_eq!(nodes[0].status(expired, &crasher), Status::Clear);
    }
}

#[test]
fn one_death_seen_by_many_counts_once() {
    let mut nodes = vec![Quarantine::new(KEEP); 2];
    let request = fingerprint(1);
    for (index, now) in [(0, Millis(0)), (1, Millis(300)), (1, Millis(400))] {
        nodes[index].record_crash(now, request, &upstream(0));
        spread(now, &mut nodes, index);
    }
    assert_eq!(nodes[0].status(Millis(500), &request), Status::Suspect);
    assert_eq!(nodes[1].status(Millis(500), &request), Status::Suspect);
}

#[test]
fn a_failed_rack_blames_no_request() {
    let mut node = Quarantine::new(KEEP);
    let request = fingerprint(1);
    for index in 0..4 {
        node.record_crash(Millis(100), fingerprint(10 + index), &upstream(index as usize));
    }
    assert_eq!(node.record_crash(Millis(200), request, &upstream(4)), Status::Clear);
    assert_eq!(node.record_crash(Millis(300), request, &upstream(5)), Status::Clear);
}
