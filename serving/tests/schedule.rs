//! Which batch items start and which are paused, over all owners.

use std::collections::BTreeMap;

use serving::{
    balance::Refusal,
    batch::{
        ledger::ItemId,
        order::{Urgency, WaitingItem},
        schedule::{
            Capacity, RunningItem, count_starts, select_pauses, stays_with_service,
            waits_for_software,
        },
    },
    id::Upstream,
    time::Millis,
};

fn item(index: u32) -> ItemId {
    ItemId { job: "job".into(), index }
}

fn urgency(due: u64) -> Urgency {
    Urgency { late: false, due }
}

fn waiting_items(dues: &[u64]) -> Vec<WaitingItem> {
    let entry = |(index, due): (u32, &u64)| {
        let remaining = Millis(1_000);
        WaitingItem { urgency: urgency(*due), remaining, item: item(index) }
    };
    (0..).zip(dues).map(entry).collect()
}

fn running_item(index: u32, upstream: &str, due: u64) -> RunningItem {
    RunningItem { item: item(index), upstream: Upstream::from(upstream), due: Millis(due) }
}

/// Two owners have waiting items; an owner starts only those of its items that are among the most
/// urgent of both.
#[test]
fn owners_share_free_slots_by_urgency() {
    let own_waiting = waiting_items(&[100, 300, 500]);
    let other_dues = [200, 250];
    let ahead =
        |urgency: Urgency| other_dues.iter().filter(|due| **due < urgency.due).count() as u32;
    assert_eq!(count_starts(&own_waiting, 3, ahead), 1, "the item due at 300 is the fourth one");
    assert_eq!(count_starts(&own_waiting, 4, ahead), 2);
    assert_eq!(count_starts(&own_waiting, 0, ahead), 0);
    assert_eq!(count_starts(&own_waiting, 9, ahead), 3);
}

/// Online requests overfill one upstream by two; its batch items that are due last are paused.
#[test]
fn items_that_are_due_last_are_paused_at_an_overfull_upstream() {
    let items = vec![
        running_item(0, "a", 100),
        running_item(1, "a", 400),
        running_item(2, "a", 300),
        running_item(3, "b", 900),
    ];
    let overfull = BTreeMap::from([(Upstream::from("a"), 2)]);
    assert_eq!(select_pauses(items, overfull), vec![item(1), item(2)]);
}

#[test]
fn no_items_are_paused_at_upstreams_with_room() {
    let items = vec![running_item(0, "a", 100), running_item(1, "b", 100)];
    assert_eq!(select_pauses(items, BTreeMap::new()), Vec::new());
}

/// An item must not lose its progress because the upstreams that could resume it limit their rate
/// of requests for the moment.
#[test]
fn item_waits_for_software_whose_rate_is_limited() {
    let retry_after = Millis(200);
    let refusals = [
        Refusal::Full { in_flight: 8, slots: 8, retry_after },
        Refusal::Limited { retry_after },
        Refusal::NoUpstream { retry_after },
    ];
    let waits = |waited| refusals.map(|refusal| waits_for_software(refusal, Millis(waited)));
    assert_eq!(waits(1_999), [true, true, false]);
    assert_eq!(waits(2_000), [false, false, false]);
}

/// Guards against items that wait for good for a service without healthy upstreams, and against items
/// that start over although nothing else could run them.
#[test]
fn item_leaves_the_service_that_began_it_only_for_one_that_can_run_it() {
    use Capacity::{Free, Full, None};
    for best in [None, Full, Free] {
        for own in [None, Full, Free] {
            assert!(stays_with_service(own, best, Millis(400)), "{own:?} {best:?}");
            let stays = match (own, best) {
                (Free, _) | (_, None) | (Full, Full) => true,
                (None, Full | Free) | (Full, Free) => false,
            };
            assert_eq!(stays_with_service(own, best, Millis(2_000)), stays, "{own:?} {best:?}");
        }
    }
    assert!(!stays_with_service(None, Free, Millis(500)));
    assert!(stays_with_service(Full, Free, Millis(1_999)));
}
