//! The emulator earns what its load and fleet allow, and the same each time.

use standins::emulator::{Batch, Online, Outage, Scenario, Tally, ideal, play};

/// A short day, so that the test stays fast.
fn day() -> Scenario {
    Scenario { length_ms: 12_000, tail_ms: 12_000, ..Scenario::default() }
}

#[test]
fn same_seed_gives_the_same_day() {
    assert_eq!(play(&day(), 3), play(&day(), 3));
    assert_ne!(play(&day(), 3), play(&day(), 4));
}

#[test]
fn calm_day_is_served() {
    let online = Online { per_s: 20.0, ..Online::default() };
    let batch = Batch { jobs_per_s: 0.2, ..Batch::default() };
    let scenario = Scenario { online, batch, ..day() };
    let tally = play(&scenario, 1);
    assert!(tally.worth() > 0.99, "{tally:?}");
    assert_eq!(tally.online.refused, 0);
}

/// Twice what the fleet can do: nodes earn less than an ideal schedule, and both less than all.
#[test]
fn ideal_schedule_bounds_an_overload() {
    let online = Online { per_s: 90.0, ..Online::default() };
    let scenario = Scenario { online, ..day() };
    let (nodes, bound) = (play(&scenario, 1), ideal(&scenario, 1));
    assert!(nodes.worth() <= bound.worth(), "{nodes:?} {bound:?}");
    assert!(bound.worth() < 1.0, "{bound:?}");
    assert!(nodes.online.refused > 0, "{nodes:?}");
    assert_eq!(nodes.online.count, bound.online.count);
}

/// A crash of a third of the engines for three seconds: requests go on elsewhere.
#[test]
fn crash_of_engines_loses_little() {
    let mut scenario = day();
    scenario.online.per_s = 20.0;
    for replica in scenario.replicas.iter_mut().take(3) {
        replica.away = vec![Outage { from: 4_000, to: 7_000 }];
    }
    let tally = play(&scenario, 1);
    assert!(tally.online.in_time * 100 > tally.online.count * 85, "{tally:?}");
}

#[test]
fn lost_packets_make_answers_late() {
    let online = Online { per_s: 20.0, ..Online::default() };
    let scenario = Scenario { loss: 0.0015, online, ..day() };
    let tally = play(&scenario, 1);
    let share = f64::from(tally.online.lost_packet) / f64::from(tally.online.count);
    assert!((0.03..0.2).contains(&share), "{share}");
}

/// Reports are so old that nodes which all choose the least loaded upstream overrun it, as they do without
/// paces.
#[test]
fn uneven_upstreams_are_not_overrun() {
    let mut scenario = Scenario { length_ms: 11_600, tail_ms: 1_000, ..Scenario::uneven(200) };
    scenario.batch.jobs_per_s = 0.0;
    let late = |scenario: &Scenario| {
        let tally = play(scenario, 1);
        f64::from(tally.online.late) / f64::from(tally.online.count)
    };
    let stated = late(&scenario);
    scenario.states_load = false;
    let unstated = late(&scenario);
    assert!(stated < 0.6 * unstated, "{stated} with paces, {unstated} without");
}

/// Bursts of 1.87 times the mean for 2.4 s every 5.8 s, while batch items hold free slots: the items are
/// paused before online requests are late.
#[test]
fn batch_items_give_way_in_bursts() {
    let mut scenario = Scenario { length_ms: 11_600, tail_ms: 1_000, ..Scenario::uneven(50) };
    scenario.batch.jobs_per_s = 3.0;
    let with_items = play(&scenario, 1);
    scenario.batch.jobs_per_s = 0.0;
    let without = play(&scenario, 1);
    let late = |tally: &Tally| {
        f64::from(tally.online.late + tally.online.refused) / f64::from(tally.online.count)
    };
    assert!(with_items.pauses > 0, "{with_items:?}");
    assert!(late(&with_items) < late(&without) + 0.02, "{} {}", late(&with_items), late(&without));
}
