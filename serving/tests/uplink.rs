//! Tests of what a node knows of its own path to the upstreams.

use serving::{
    time::Millis,
    uplink::{Change, Health, Sign, State},
};

/// A failure at one upstream starts a check, which decides whether the path or the upstream failed.
#[test]
fn check_after_a_failure_decides_about_the_path() {
    for sign in [Sign::ConnectFailed, Sign::ConnectionBroke, Sign::Silence] {
        let mut state = State::default();
        assert!(state.record_sign(Millis(5_000), sign), "{sign:?}");
        assert_eq!(state.health(), Health::Suspect);
        assert!(!state.record_sign(Millis(5_001), Sign::ConnectFailed), "a check is in progress");
        assert_eq!(state.record_check(Millis(5_010), true), None);
        assert_eq!(state.health(), Health::Up);
        assert!(state.record_sign(Millis(7_000), sign), "{sign:?}");
        assert_eq!(state.record_check(Millis(7_300), false), Some(Change::Lost));
        assert_eq!(state.health(), Health::Down);
        assert!(!state.record_sign(Millis(7_400), sign), "probes have begun");
        assert_eq!(state.record_check(Millis(9_000), true), Some(Change::Regained(Millis(2_000))));
    }
}

/// Many silent upstreams, or a crash that breaks many connections, don't start a check each.
#[test]
fn frequent_signs_share_a_check() {
    for (sign, interval) in [(Sign::Silence, 1_000), (Sign::ConnectionBroke, 200)] {
        let mut state = State::default();
        assert!(state.record_sign(Millis(100), sign));
        state.record_check(Millis(105), true);
        assert!(!state.record_sign(Millis(99 + interval), sign), "{sign:?}");
        assert_eq!(state.health(), Health::Up);
        assert!(state.record_sign(Millis(100 + interval), sign), "{sign:?}");
    }
    let mut state = State::default();
    assert!(state.record_sign(Millis(100), Sign::Silence));
    state.record_check(Millis(105), true);
    assert!(
        state.record_sign(Millis(106), Sign::ConnectFailed),
        "no path is left for a connection"
    );
}

/// A node offers to forward requests unless its path is down or a check takes longer than on a path
/// that works.
#[test]
fn node_without_a_path_does_not_offer_to_forward() {
    let mut state = State::default();
    assert!(state.can_forward(Millis(0)));
    state.record_sign(Millis(1_000), Sign::ConnectFailed);
    assert!(state.can_forward(Millis(1_010)));
    assert!(!state.can_forward(Millis(1_100)));
    state.record_check(Millis(1_300), false);
    assert!(!state.can_forward(Millis(1_300)));
    state.record_check(Millis(2_000), true);
    assert!(state.can_forward(Millis(2_000)));
}
