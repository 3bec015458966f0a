//! The lease on keys, and the decision on a request by its key.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    access::{
        Denial, Directory, Guard, Member, Presented,
        lease::{Lease, Reading, Scope, Settings},
    },
    catalog::{Catalog, Handle, Limits},
    time::{Clock, Millis},
};

const REVOKE: Millis = Millis(5_000);

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, also while the machine is suspended.
    Pause(u64),
    /// The log confirms a configuration to the operator.
    Write { is_valid: bool },
    /// A read is sent, and answered after `delay` with what the log had when it arrived.
    Read { scope: Scope, is_complete: bool, delay: u64 },
    /// A complete read is answered from a log without the configuration in force.
    ReadRewound(Scope),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let scope = || prop_oneof![Just(Scope::Everything), Just(Scope::Changes)];
    let step = prop_oneof![
        (0u64..4_000).prop_map(Step::Pause),
        prop::bool::weighted(0.8).prop_map(|is_valid| Step::Write { is_valid }),
        (scope(), prop::bool::weighted(0.8), 0u64..3_000)
            .prop_map(|(scope, is_complete, delay)| Step::Read { scope, is_complete, delay }),
        scope().prop_map(Step::ReadRewound),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(22), failure_persistence: None, cases: 2_000, ..Config::default()
    })]

    /// Guards against keys that are used later than `revoke_ms` after a newer configuration was
    /// confirmed, whatever the node read, missed or slept through.
    #[test]
    fn superseded_keys_are_never_used_after_the_limit(steps in steps()) {
        let mut lease = Lease::default();
        let mut now = 10_000;
        // When each version was confirmed, from version 1 on, and whether it can be decoded.
        let mut written = vec![(now, true)];
        let mut in_force = None;
        let mut seen = 0;
        let mut is_rewound = false;
        for step in steps {
            match step {
                Step::Pause(ms) => now += ms,
                Step::Write { is_valid } => written.push((now, is_valid)),
                Step::Read { scope, is_complete, delay } => {
                    // After a rewound read, only a complete read finds the records again.
                    if is_rewound && scope == Scope::Changes {
                        continue;
                    }
                    let from = if scope == Scope::Everything { 0 } else { seen };
                    let until = if is_complete { written.len() } else { from };
                    let newest = (until > from).then_some(until as u64);
                    let valid = (from..until).rev().find(|index| written[*index].1);
                    in_force = in_force.max(valid.map(|index| index as u64 + 1));
                    seen = seen.max(until);
                    is_rewound &= !(scope == Scope::Everything && is_complete);
                    let reading = Reading { sent_at: Millis(now), scope, is_complete, newest };
                    now += delay;
                    lease.record(reading, in_force);
                }
                Step::ReadRewound(scope) => {
                    let newest = match scope {
                        Scope::Everything => {
                            is_rewound = true;
                            in_force.and_then(|version: u64| version.checked_sub(1))
                        }
                        Scope::Changes if is_rewound => None,
                        Scope::Changes => continue,
                    };
                    let sent_at = Millis(now);
                    lease.record(Reading { sent_at, scope, is_complete: true, newest }, in_force);
                }
            }
            let newer = written.iter().skip(in_force.unwrap_or(0) as usize);
            let is_superseded = newer.clone().any(|(at, _)| at + REVOKE.0 <= now);
            prop_assert!(!is_superseded || !lease.is_younger(Millis(now), REVOKE));
        }
    }
}

/// Guards against a node that reaches the log and lapses, because reads wait for long or two in a
/// row are lost.
#[test]
fn node_in_touch_with_the_log_keeps_its_lease() {
    let mut lease = Lease::default();
    let reading = |sent_at| Reading {
        sent_at: Millis(sent_at),
        scope: Scope::Changes,
        is_complete: true,
        newest: Some(1),
    };
    // A read that waits 1,000 ms and takes 250 ms, one that is lost until its timeout, and one that
    // doesn't wait and is lost as well; 250 ms pass before each retry.
    assert!(lease.record(reading(0), Some(1)));
    let (lost, lost_again, answered) = (1_250, 1_250 + 2_000 + 250, 3_500 + 1_000 + 250);
    assert!(lost < lost_again && lease.is_younger(Millis(answered + 240), REVOKE));
    assert!(lease.record(reading(answered), Some(1)));
    assert!(lease.is_younger(Millis(answered + 4_999), REVOKE));
    assert!(!lease.is_younger(Millis(answered + 5_000), REVOKE));
}

fn catalog(version: u64, keys: &[(&str, &str)]) -> Catalog {
    let entry = |(workspace, key): &(&str, &str)| {
        let member = Member { workspace: (*workspace).into(), ..Member::default() };
        (member, vec![(*key).to_string()])
    };
    let mut catalog = Catalog::new(version, Limits::default(), Vec::new());
    catalog.workspaces = Some(Directory::new(keys.iter().map(entry).collect()));
    catalog
}

/// Guards against a final refusal by a node whose keys may be outdated, and against one that uses
/// keys without a confirmation.
#[test]
fn request_is_judged_by_its_key_only_while_the_keys_are_confirmed() {
    let (clock, handle) = (Clock::default(), Handle::default());
    let settings = Settings { is_strict: true, ..Settings::default() };
    let guard = Guard::new(settings, clock.clone(), handle.clone());
    let keys = catalog(1, &[("one", "key-1"), ("two", "shared"), ("three", "shared")]);
    handle.update(keys.clone());
    let key = |key: &str| Presented::Key(key.to_string());
    let admit = |is_public, presented: &Presented| {
        let admitted = guard.admit(&keys, is_public, presented);
        admitted.map(|caller| caller.map(|caller| caller.member.workspace.0.clone()))
    };
    assert_eq!(admit(false, &key("key-1")), Err(Denial::Stale));
    assert_eq!(admit(false, &Presented::Nothing), Err(Denial::Stale));
    assert_eq!(admit(true, &key("key-1")), Err(Denial::Stale));
    assert_eq!(admit(true, &Presented::Nothing), Ok(None));
    let confirm = |age| {
        let sent_at = clock.boot_time() - Millis(age);
        let (scope, newest) = (Scope::Everything, Some(1));
        guard.record(Reading { sent_at, scope, is_complete: true, newest })
    };
    // Old enough that the key may have been added since, and not yet expired.
    assert!(confirm(4_000));
    assert_eq!(admit(false, &key("key-1")), Ok(Some("one".to_string())));
    assert_eq!(admit(false, &key("key-2")), Err(Denial::Stale));
    assert_eq!(admit(false, &Presented::Malformed), Err(Denial::UnknownKey));
    assert!(confirm(0));
    assert_eq!(admit(false, &key("key-2")), Err(Denial::UnknownKey));
    assert_eq!(admit(false, &key("shared")), Err(Denial::UnknownKey));
    assert_eq!(admit(true, &key("key-2")), Ok(None));
    assert_eq!(admit(true, &key("key-1")), Ok(Some("one".to_string())));
}

/// Guards against nodes that refuse each other's requests while their configurations differ, and
/// against requests between nodes that change without workspaces.
#[test]
fn nodes_recognise_each_other_while_keys_change() {
    let node = || {
        let handle = Handle::default();
        (Guard::new(Settings::default(), Clock::default(), handle.clone()), handle)
    };
    let (old, new, bare) = (node(), node(), node());
    let update = |(guard, handle): &(Guard, Handle), catalog| {
        handle.update(catalog);
        guard.update_tokens();
    };
    let signed = |(guard, _): &(Guard, Handle)| {
        let mut headers = http::HeaderMap::new();
        guard.sign(&mut headers);
        headers
    };
    update(&bare, Catalog::new(1, Limits::default(), Vec::new()));
    assert!(signed(&bare).is_empty() && bare.0.accepts(&signed(&new)));
    update(&old, catalog(1, &[("one", "key-1")]));
    assert!(!old.0.accepts(&signed(&bare)));
    for version in 1..6 {
        let key = format!("key-{version}");
        update(&new, catalog(version, &[("one", &key)]));
        assert!(new.0.accepts(&signed(&new)));
        // The older node is one version behind, then more.
        assert_eq!(old.0.accepts(&signed(&new)), version <= 2, "{version}");
        assert_eq!(new.0.accepts(&signed(&old)), version <= 4, "{version}");
    }
    // The token doesn't depend on the version, and nobody can derive one without keys.
    update(&old, catalog(9, &[("two", "key-5")]));
    assert!(new.0.accepts(&signed(&old)));
    update(&bare, catalog(2, &[]));
    assert!(signed(&bare).is_empty() && !bare.0.accepts(&signed(&new)));
}
