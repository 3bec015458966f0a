//! How often a node reads partitions that it doesn't own.

use serving::{batch::budget::Budget, time::Millis};

/// Reads that begin within `length` milliseconds if a caller asks each millisecond and each read
/// takes `span`.
fn reads(length: u64, span: u64, succeed: bool) -> usize {
    let mut budget = Budget::default();
    let mut ends = None;
    let mut count = 0;
    for now in 0..length {
        if ends == Some(now) {
            budget.end(Millis(now), succeed);
            ends = None;
        }
        if budget.begin(Millis(now)) {
            count += 1;
            ends = Some(now + span);
        }
    }
    count
}

/// All nodes were killed; callers ask all of them for their results, and the log is saturated.
#[test]
fn readers_of_a_restarted_fleet_leave_the_log_to_its_owners() {
    let by_node = reads(10_000, 1_000, false);
    assert!(by_node <= 2, "{by_node} reads of a whole partition in 10 s");
}

/// One node is cut off from the others while the log answers it at once.
#[test]
fn node_that_is_cut_off_reads_for_its_callers() {
    let by_node = reads(10_000, 30, true);
    assert!((20..=40).contains(&by_node), "{by_node}");
}

#[test]
fn one_read_at_a_time() {
    let mut budget = Budget::default();
    assert!(budget.begin(Millis(0)));
    assert!(!budget.begin(Millis(5_000)));
}

#[test]
fn answers_of_the_log_end_the_long_rests() {
    let mut budget = Budget::default();
    for round in 0..8 {
        assert!(budget.begin(Millis(round * 10_000)));
        budget.end(Millis(round * 10_000 + 1_000), false);
    }
    assert!(budget.begin(Millis(90_000)));
    budget.end(Millis(90_030), true);
    assert!(!budget.begin(Millis(90_200)));
    assert!(budget.begin(Millis(90_400)));
}
