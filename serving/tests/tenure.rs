//! How long an owner may act for its partition.

use serving::{
    tenure::{Claim, Epochs, Ownership, Tenure},
    time::{Clock, Millis},
};

const OWNERSHIP: Ownership = Ownership { partition: 3, epoch: 2_049 };
const LENGTH: Millis = Millis(2_000);

/// A tenure whose last confirmation is `age` old.
fn tenure(age: Millis) -> Tenure {
    let clock = Clock::default();
    let now = clock.boot_time();
    Tenure::new(clock, OWNERSHIP, LENGTH, now - age)
}

#[test]
fn tenure_ends_by_itself_and_goes_on_when_it_is_confirmed() {
    assert!(tenure(Millis(500)).remaining().is_some_and(|left| left <= Millis(1_500)));
    let lapsed = tenure(LENGTH);
    assert_eq!(lapsed.remaining(), None);
    lapsed.confirm(Clock::default().boot_time());
    assert!(lapsed.remaining().is_some());
}

/// Guards against an answer that arrives late and shortens the tenure.
#[test]
fn earlier_confirmation_changes_nothing() {
    let tenure = tenure(Millis(100));
    tenure.confirm(Clock::default().boot_time() - LENGTH);
    assert!(tenure.remaining().is_some());
}

#[test]
fn tenure_of_a_replaced_owner_has_ended_for_good() {
    let tenure = tenure(Millis(0));
    let shared = tenure.clone();
    assert!(tenure.end());
    assert!(!shared.end(), "only the first end is new");
    shared.confirm(Clock::default().boot_time());
    assert_eq!(shared.remaining(), None);
}

#[test]
fn later_epochs_replace_owners_whatever_the_order_of_reports() {
    let epochs = Epochs::default();
    assert!(!epochs.is_replaced(OWNERSHIP));
    epochs.record(OWNERSHIP);
    assert!(!epochs.is_replaced(OWNERSHIP));
    epochs.record(Ownership { epoch: 3_073, ..OWNERSHIP });
    epochs.record(OWNERSHIP);
    assert!(epochs.is_replaced(OWNERSHIP));
    assert!(!epochs.is_replaced(Ownership { partition: 4, epoch: 1 }));
}

#[test]
fn claim_is_read_as_it_was_written() {
    let claim = Claim { ownership: OWNERSHIP, remaining: Millis(1_234) };
    assert_eq!(claim.to_string(), "3/2049/1234");
    assert_eq!(claim.to_string().parse(), Ok(claim));
    for text in ["", "3", "3/2049", "3/2049/", "3/2049/-1", "3/2049/1/1", "65536/1/1", "a/b/c"] {
        assert!(text.parse::<Claim>().is_err(), "{text}");
    }
}

/// Guards against an owner that takes an assignment for proof that no other node held its partition
/// while it was suspended or cut off.
#[test]
fn assignment_after_a_gap_confirms_nothing_until_an_append_was_accepted() {
    let tenure = tenure(LENGTH);
    let now = Clock::default().boot_time();
    tenure.doubt(now);
    tenure.renew(now);
    assert_eq!(tenure.remaining(), None);
    tenure.confirm(now - Millis(1));
    assert!(tenure.needs_proof(), "an append from before the gap proves nothing");
    tenure.confirm(now);
    assert!(!tenure.needs_proof());
    assert!(tenure.remaining().is_some());
    tenure.renew(now + Millis(1_000));
    assert_eq!(tenure.remaining(), Some(LENGTH));
}
