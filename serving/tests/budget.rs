//! Limits on reads of partitions that a node doesn't own.

use serving::{batch::budget::Budget, time::Millis};

/// Counts the reads that begin within `length_ms` if a caller requests one every millisecond and
/// each read takes `read_ms`.
fn count_reads(length_ms: u64, read_ms: u64, succeeds: bool) -> usize {
    let mut budget = Budget::default();
    let mut read_end = None;
    let mut reads = 0;
    for now in 0..length_ms {
        if read_end == Some(now) {
            budget.end(Millis(now), succeeds);
            read_end = None;
        }
        if budget.begin(Millis(now)) {
            reads += 1;
            read_end = Some(now + read_ms);
        }
    }
    reads
}

/// After a restart of all nodes, callers request results from every node while the log is
/// saturated. Their reads must leave its bandwidth to the new owners.
#[test]
fn reads_are_rare_while_the_log_is_slow_and_failing() {
    let reads = count_reads(10_000, 1_000, false);
    assert!(reads <= 2, "{reads} reads of a whole partition in 10 s");
}

/// A node that can't reach the other nodes while the log is fast has to answer its callers from
/// the log.
#[test]
fn reads_are_frequent_while_the_log_is_fast() {
    let reads = count_reads(10_000, 30, true);
    assert!((20..=40).contains(&reads), "{reads}");
}

#[test]
fn one_read_at_a_time() {
    let mut budget = Budget::default();
    assert!(budget.begin(Millis(0)));
    assert!(!budget.begin(Millis(5_000)));
}

#[test]
fn successful_read_ends_the_long_pauses() {
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
