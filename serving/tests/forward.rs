//! Tests of the choice among the nodes that forward requests, in small and in large fleets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serving::{
    collector::DataCentreDigest,
    forward::{Notice, Offer, State},
    time::Millis,
};

const SEED: u64 = 7;

fn address(index: u16) -> SocketAddr {
    let [high, low] = index.to_be_bytes();
    ([10, 0, high, low], 7663).into()
}

fn data_centre(index: u16) -> DataCentreDigest {
    DataCentreDigest::of(&format!("dc-{}", index % 4).as_str().into())
}

fn offer(index: u16, can_forward: bool) -> Offer {
    Offer { address: address(index), can_forward }
}

fn none() -> BTreeSet<SocketAddr> {
    BTreeSet::new()
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(SEED)
}

/// A forwarder counts while it says that it can forward, and for some time after its last word.
#[test]
fn only_nodes_that_lately_said_so_forward() {
    let (mut state, mut rng) = (State::default(), rng());
    assert_eq!(state.choose(Millis(0), &[], &none(), &mut rng).map(|choice| choice.address), None);
    state.record_offer(Millis(0), offer(1, true), data_centre(1));
    assert_eq!(
        state.choose(Millis(1_999), &[], &none(), &mut rng).map(|choice| choice.address),
        Some(address(1))
    );
    assert_eq!(
        state.choose(Millis(2_000), &[], &none(), &mut rng).map(|choice| choice.address),
        None
    );
    state.record_offer(Millis(2_100), offer(1, true), data_centre(1));
    state.record_offer(Millis(2_200), offer(1, false), data_centre(1));
    assert_eq!(
        state.choose(Millis(2_200), &[], &none(), &mut rng).map(|choice| choice.address),
        None
    );
    // Others may pass on what it said before.
    let notice = Notice { address: address(1), data_centre: data_centre(1), age: Millis(150) };
    state.merge(Millis(2_250), address(0), &[notice]);
    assert_eq!(
        state.choose(Millis(2_250), &[], &none(), &mut rng).map(|choice| choice.address),
        None
    );
    state.merge(Millis(2_300), address(0), &[Notice { age: Millis(50), ..notice }]);
    assert_eq!(
        state.choose(Millis(2_300), &[], &none(), &mut rng).map(|choice| choice.address),
        Some(address(1))
    );
}

/// A forwarder that failed is used only if there is no other one for a while, and the node itself is
/// none.
#[test]
fn forwarder_that_failed_is_avoided() {
    let (mut state, mut rng) = (State::default(), rng());
    for index in [1, 2] {
        state.record_offer(Millis(0), offer(index, true), data_centre(0));
    }
    state.avoid(Millis(10), address(1));
    for _ in 0..10 {
        assert_eq!(
            state.choose(Millis(20), &[], &none(), &mut rng).map(|choice| choice.address),
            Some(address(2))
        );
    }
    let tried = BTreeSet::from([address(2)]);
    assert_eq!(
        state.choose(Millis(20), &[], &tried, &mut rng).map(|choice| choice.address),
        Some(address(1))
    );
    let tried = BTreeSet::from([address(1), address(2)]);
    assert_eq!(state.choose(Millis(20), &[], &tried, &mut rng).map(|choice| choice.address), None);
    let own = Notice { address: address(0), data_centre: data_centre(0), age: Millis(0) };
    state.merge(Millis(600), address(0), &[own]);
    assert_eq!(state.count(Millis(600)), 2);
}

/// A forwarder that responds to nothing is used only if there is no other one; one that is slow with a
/// single request is not left out.
#[test]
fn forwarder_that_does_not_respond_is_avoided() {
    let (mut state, mut rng) = (State::default(), rng());
    state.record_offer(Millis(0), offer(1, true), data_centre(0));
    let first = state.choose(Millis(0), &[], &none(), &mut rng).unwrap();
    let second = state.choose(Millis(10), &[], &none(), &mut rng).unwrap();
    for index in [1, 2] {
        state.record_offer(Millis(600), offer(index, true), data_centre(0));
    }
    for _ in 0..5 {
        let chosen = state.choose(Millis(600), &[], &none(), &mut rng).unwrap();
        assert_eq!(chosen.address, address(2));
        state.finish(Millis(600), chosen, false);
    }
    state.finish(Millis(600), second, true);
    let mut chosen = BTreeSet::new();
    for _ in 0..20 {
        let choice = state.choose(Millis(610), &[], &none(), &mut rng).unwrap();
        chosen.insert(choice.address);
    }
    assert_eq!(chosen.len(), 2);
    state.finish(Millis(620), first, true);
}

/// Bytes cross between data centres once rather than twice, unless the load on the near forwarders
/// is much higher.
#[test]
fn near_forwarders_come_first() {
    let (mut state, mut rng) = (State::default(), rng());
    for index in 0..8 {
        state.record_offer(Millis(0), offer(index, true), data_centre(index));
    }
    let near = [data_centre(1), data_centre(2)];
    let mut chosen: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for _ in 0..4 {
        *chosen
            .entry(state.choose(Millis(1), &near, &none(), &mut rng).unwrap().address)
            .or_default() += 1;
    }
    let expected = [1, 2, 5, 6].map(|index| (address(index), 1));
    assert_eq!(chosen, BTreeMap::from(expected));
    for _ in 0..28 {
        *chosen
            .entry(state.choose(Millis(1), &near, &none(), &mut rng).unwrap().address)
            .or_default() += 1;
    }
    assert!(chosen.values().all(|count| (2..=6).contains(count)), "{chosen:?}");
    assert_eq!(chosen.len(), 8);
}

/// All but a few of 350 nodes are cut. Within the time in which callers of cut nodes must be served
/// again, every node must know a forwarder, and the few must get equal shares of the load.
#[test]
fn few_forwarders_of_a_large_fleet_are_known_to_all_and_loaded_alike() {
    const NODES: u16 = 350;
    const ABLE: u16 = 6;
    const ROUND_MS: u64 = 450;
    let mut rng = rng();
    let mut states: Vec<State> = (0..NODES).map(|_| State::default()).collect();
    let is_able = |index: u16| index.is_multiple_of(NODES / ABLE + 1);
    for round in 0..6 {
        let now = Millis(round * ROUND_MS);
        for sender in 0..NODES {
            let notices = states[usize::from(sender)].notices(now, &mut rng);
            // As in a large fleet: the nodes that follow by 1, 2, 4, … places.
            let mut step = 1;
            while step < NODES {
                let recipient = (sender + step) % NODES;
                step *= 2;
                // Datagrams may be lost.
                if rng.random_bool(0.02) {
                    continue;
                }
                let state = &mut states[usize::from(recipient)];
                state.merge(now, address(recipient), &notices);
                state.record_offer(now, offer(sender, is_able(sender)), data_centre(sender));
            }
        }
    }
    let now = Millis(6 * ROUND_MS);
    let mut shares: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for (index, state) in (0..).zip(&mut states) {
        if is_able(index) {
            continue;
        }
        assert!(state.count(now) >= 2, "node {index} knows {}", state.count(now));
        for _ in 0..4 {
            let chosen = state.choose(now, &[], &none(), &mut rng).unwrap().address;
            *shares.entry(chosen).or_default() += 1;
        }
    }
    let mean = shares.values().sum::<u32>() / u32::from(ABLE);
    assert_eq!(shares.len(), usize::from(ABLE));
    assert!(shares.values().all(|share| *share < 2 * mean), "{shares:?}");
}
