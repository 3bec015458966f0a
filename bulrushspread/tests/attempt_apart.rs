//! Suspects run apart from one another, and only deaths that show something count.

use bulrushspread::{
    attempt::{
        Fingerprint,
        apart::{Reservations, Ticket, Verdict},
        quarantine::{self, Quarantine},
    },
    id::{Incarnation, Upstream, Vm, Workspace},
    time::Millis,
};

const NOW: Millis = Millis(10_000);

fn ticket(upstream: &str, number: u64) -> Ticket {
    let (upstream, holder) = (Upstream::from(upstream), Vm::from("entry-1"));
    Ticket { upstream, holder, incarnation: Incarnation(1), number }
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(&Workspace::from("zadruga"), b"body")
}

#[test]
fn one_suspect_at_a_time_holds_an_upstream() {
    let mut reservations = Reservations::default();
    assert_eq!(reservations.reserve(NOW, ticket("a", 1)), Verdict::Granted);
    assert_eq!(reservations.reserve(NOW, ticket("a", 1)), Verdict::Granted);
    assert_eq!(reservations.reserve(NOW, ticket("a", 2)), Verdict::Taken);
    assert_eq!(reservations.reserve(NOW, ticket("b", 2)), Verdict::Granted);
    reservations.release(&ticket("a", 2));
    assert_eq!(reservations.reserve(NOW, ticket("a", 3)), Verdict::Taken);
    reservations.release(&ticket("a", 1));
    assert_eq!(reservations.reserve(NOW, ticket("a", 3)), Verdict::Granted);
}

#[test]
fn reservation_that_is_never_given_back_ends() {
    let mut reservations = Reservations::default();
    reservations.reserve(NOW, ticket("a", 1));
    let later = NOW + Millis(60_000);
    assert_eq!(reservations.reserve(later, ticket("a", 2)), Verdict::Granted);
}

#[test]
fn second_death_apart_quarantines_and_one_beside_others_does_not() {
    let (first, second, third) = (Upstream::from("a"), Upstream::from("b"), Upstream::from("c"));
    let mut apart = Quarantine::new(Millis(600_000));
    assert_eq!(apart.record_crash(NOW, fingerprint(), &first), quarantine::Status::Suspect);
    assert_eq!(apart.record_crash(NOW, fingerprint(), &second), quarantine::Status::Quarantined);

    let mut beside = Quarantine::new(Millis(600_000));
    beside.record_crash(NOW, fingerprint(), &first);
    let verdict = beside.record_shared_crash(NOW, fingerprint(), &second);
    assert_eq!(verdict, quarantine::Status::Suspect);
    let verdict = beside.record_shared_crash(NOW, fingerprint(), &third);
    assert_eq!(verdict, quarantine::Status::Quarantined);
}
