//! The order of batch items in bursts, lulls and overload.

use serving::{
    batch::{
        ledger::ItemId,
        order::{Bucket, Forecast, Urgency, WaitingItem, bucket_by_urgency},
        quota::{Report, State},
    },
    time::Millis,
};

const WALL: u64 = 1_000_000;

fn waiting_item(job: &str, due: u64, remaining: u64) -> WaitingItem {
    let remaining = Millis(remaining);
    let item = ItemId { job: job.into(), index: 0 };
    WaitingItem { urgency: Urgency::new(WALL, WALL + due, remaining), remaining, item }
}

fn order(mut items: Vec<WaitingItem>) -> Vec<String> {
    items.sort();
    items.into_iter().map(|waiting| waiting.item.job.to_string()).collect()
}

#[test]
fn burst_of_jobs_runs_by_due_time() {
    let items = vec![waiting_item("second", 9_000, 4_000), waiting_item("first", 6_000, 4_000)];
    assert_eq!(order(items), ["first", "second"]);
}

/// With more jobs than the fleet can finish in time, items that are late already must not make
/// others late.
#[test]
fn overload_does_not_spread_from_late_items() {
    let items = vec![
        waiting_item("lost", 1_000, 4_000),
        waiting_item("passed", 0, 1_000),
        waiting_item("in time", 8_000, 4_000),
    ];
    assert_eq!(order(items), ["in time", "passed", "lost"]);
}

/// Of items with the same due time, those closest to their end run first, so that fewer items are
/// left unfinished when the next burst begins.
#[test]
fn item_with_the_least_remaining_time_runs_first_when_due_times_are_equal() {
    let items = vec![waiting_item("begun", 9_000, 4_000), waiting_item("nearly done", 9_000, 200)];
    assert_eq!(order(items), ["nearly done", "begun"]);
}

#[test]
fn forecast_converges_to_the_observed_items() {
    let mut forecast = Forecast::default();
    for _ in 0..100 {
        forecast.observe_run(50, Millis(1_000));
        forecast.observe_completion(200);
    }
    let remaining = forecast.remaining(100).0;
    assert!((1_900..=2_100).contains(&remaining), "{remaining}");
    assert!(
        forecast.remaining(10_000).0 >= 1,
        "the forecast for an item with more events than the mean is not positive"
    );
}

/// Owners that have the same reports together start exactly as many items as there are free slots.
/// An older node reports the items of all services together.
#[test]
fn report_without_services_counts_for_each_service() {
    let urgency = |due| Urgency { late: false, due };
    let ready = vec![Bucket { urgency: urgency(50), count: 9 }];
    let mut state = State::new(2);
    state.apply_report(Millis(0), 1, Report { epoch: 1, ready, ..Report::default() });
    assert_eq!(state.count_ahead(0, &"model".into(), urgency(200)), 9);
}

#[test]
fn owners_share_room_by_urgency() {
    let urgency = |due| Urgency { late: false, due };
    let report = |due, count| Report {
        epoch: 1,
        ready_by_service: [("model".into(), vec![Bucket { urgency: urgency(due), count }])].into(),
        ..Report::default()
    };
    let mut state = State::new(3);
    state.apply_report(Millis(0), 0, report(300, 4));
    state.apply_report(Millis(0), 1, report(100, 2));
    state.apply_report(Millis(0), 2, report(200, 5));
    let ahead = |number, due| state.count_ahead(number, &"model".into(), urgency(due));
    assert_eq!(ahead(1, 100), 0);
    assert_eq!(ahead(2, 200), 2);
    assert_eq!(ahead(0, 300), 7);
    assert_eq!(state.count_ahead(0, &"other".into(), urgency(300)), 0);
    let free_slots = 6;
    let started: u32 = [(0, 300, 4), (1, 100, 2), (2, 200, 5)]
        .into_iter()
        .map(|(number, due, count): (u16, u64, u32)| {
            count.min(free_slots - ahead(number, due).min(free_slots))
        })
        .sum();
    assert_eq!(started, free_slots);
}

#[test]
fn last_bucket_counts_the_remaining_items() {
    let mut items: Vec<WaitingItem> =
        (0..20).map(|index| waiting_item("job", 6_000 + index / 2, 100)).collect();
    items.sort();
    let buckets = bucket_by_urgency(&items, 4);
    assert_eq!(buckets.len(), 4);
    assert_eq!(buckets.iter().map(|bucket| bucket.count).sum::<u32>(), 20);
}
