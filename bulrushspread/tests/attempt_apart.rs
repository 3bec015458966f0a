//! Two suspects never hold a reservation of the same upstream, and a crash counts less against a
//! suspect that shared the upstream with other requests.

use bulrushspread::{
    attempt::{
        Fingerprint,
        quarantine::{self, Quarantine},
        reservation::{Decision, Reservations, Ticket},
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
    assert_eq!(reservations.reserve(NOW, ticket("a", 1)), Decision::Granted);
    assert_eq!(reservations.reserve(NOW, ticket("a", 1)), Decision::Granted);
    assert_eq!(reservations.reserve(NOW, ticket("a", 2)), Decision::Taken);
    assert_eq!(reservations.reserve(NOW, ticket("b", 2)), Decision::Granted);
    reservations.release(&ticket("a", 2));
    assert_eq!(reservations.reserve(NOW, ticket("a", 3)), Decision::Taken);
    reservations.release(&ticket("a", 1));
    assert_eq!(reservations.reserve(NOW, ticket("a", 3)), Decision::Granted);
}

#[test]
fn reservation_that_is_not_released_expires() {
    let mut reservations = Reservations::default();
    reservations.reserve(NOW, ticket("a", 1));
    let later = NOW + Millis(60_000);
    assert_eq!(reservations.reserve(later, ticket("a", 2)), Decision::Granted);
}

#[test]
fn second_crash_in_isolation_quarantines_and_second_shared_crash_does_not() {
    let (first, second, third) = (Upstream::from("a"), Upstream::from("b"), Upstream::from("c"));
    let mut isolated = Quarantine::new(Millis(600_000));
    assert_eq!(isolated.record_crash(NOW, fingerprint(), &first), quarantine::Status::Suspect);
    assert_eq!(isolated.record_crash(NOW, fingerprint(), &second), quarantine::Status::Quarantined);

    let mut shared = Quarantine::new(Millis(600_000));
    shared.record_crash(NOW, fingerprint(), &first);
    let status = shared.record_shared_crash(NOW, fingerprint(), &second);
    assert_eq!(status, quarantine::Status::Suspect);
    let status = shared.record_shared_crash(NOW, fingerprint(), &third);
    assert_eq!(status, quarantine::Status::Quarantined);
}
