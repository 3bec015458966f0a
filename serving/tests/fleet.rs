//! Tests of the fleet's state: changes of entries and the grace period after an outage of the
//! registry.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::{
    fleet::{Change, Entry, History, Reads, State},
    id::{Service, Upstream, Version},
    time::Millis,
};

fn entry(started: u64, draining: bool) -> Entry {
    Entry {
        service: "model".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "here".into(),
        version: "v1".into(),
        slots: 8,
        draining,
        started,
    }
}

fn id() -> Upstream {
    Upstream::from("replica")
}

#[test]
fn removed_entry_is_gone_immediately_while_the_registry_answers() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), Some(Change::Added(id())));
    state.record_registry_read(Millis(400));
    assert_eq!(state.remove(Millis(400), &id()), Some(Change::Gone(id())));
}

#[test]
fn entry_that_expired_in_a_registry_outage_may_return() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(Millis(0), id(), entry(1, false));
    state.record_registry_read(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), None);
    assert!(state.entries().contains_key(&id()));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), None);
    assert!(state.expire(Millis(20_000)).is_empty());
}

#[test]
fn entry_that_does_not_return_is_gone_after_the_grace_period() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(Millis(0), id(), entry(1, false));
    state.record_registry_read(Millis(6_000));
    state.remove(Millis(6_000), &id());
    assert!(state.expire(Millis(8_000)).is_empty());
    assert_eq!(state.expire(Millis(8_500)), vec![Change::Gone(id())]);
    assert!(state.entries().is_empty());
}

/// Guards against a node that was cut off from the registry alone and sends requests to upstreams that
/// left meanwhile, because it takes its own cut for an outage of the registry.
#[test]
fn grace_period_ends_within_three_seconds_of_the_last_failed_read() {
    for (failed_at, grace) in [(5_900, 2_500), (4_900, 1_700), (0, 0)] {
        let mut state = State::default();
        state.record_registry_read(Millis(0));
        state.upsert(Millis(0), id(), entry(1, false));
        state.record_registry_failure(Millis(failed_at));
        state.record_registry_read(Millis(6_000));
        let gone = state.remove(Millis(6_000), &id());
        let gone = gone.into_iter().chain(state.expire(Millis(6_000 + grace)));
        assert_eq!(gone.collect::<Vec<_>>(), [Change::Gone(id())], "failed at {failed_at}");
        let mut state = State::default();
        state.record_registry_read(Millis(0));
        state.upsert(Millis(0), id(), entry(1, false));
        state.record_registry_failure(Millis(failed_at));
        state.record_registry_read(Millis(6_000));
        state.remove(Millis(6_000), &id());
        let early = state.expire(Millis(6_000 + grace) - Millis(1));
        assert_eq!(early, [], "failed at {failed_at}");
    }
}

#[test]
fn draining_upstream_has_no_grace_period() {
    let mut state = State::default();
    state.record_registry_read(Millis(0));
    state.upsert(Millis(0), id(), entry(1, true));
    state.record_registry_read(Millis(6_000));
    assert_eq!(state.remove(Millis(6_000), &id()), Some(Change::Gone(id())));
}

#[test]
fn each_change_is_reported_once() {
    let mut state = State::default();
    state.upsert(Millis(0), id(), entry(1, false));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, true)), None);
    assert_eq!(state.upsert(Millis(0), id(), entry(2, false)), Some(Change::Restarted(id())));
}

#[test]
fn full_read_removes_entries_that_it_does_not_contain() {
    let mut state = State::default();
    state.upsert(Millis(0), id(), entry(1, false));
    let other = Upstream::from("other");
    let seen = BTreeMap::from([(other.clone(), entry(1, false))]);
    let changes = state.replace(Millis(0), seen);
    assert_eq!(changes, vec![Change::Gone(id()), Change::Added(other)]);
}

/// An upstream that stops draining or gets another number of slots must be reported, because load
/// balancing depends on both.
#[test]
fn end_of_draining_and_new_slots_are_reported() {
    let mut state = State::default();
    state.upsert(Millis(0), id(), entry(1, false));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, true)), Some(Change::Draining(id())));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), Some(Change::Updated(id())));
    assert_eq!(state.upsert(Millis(0), id(), entry(1, false)), None);
    let smaller = Entry { slots: 4, ..entry(1, false) };
    assert_eq!(state.upsert(Millis(0), id(), smaller), Some(Change::Updated(id())));
}

/// A stream may be resumed without knowing what began it only while all upstreams that can have
/// begun it had one version.
#[test]
fn only_version_covers_upstreams_that_have_gone() {
    const LIFETIME: Millis = Millis(5_000);
    let service = Service::from("model");
    let entry = |version: &str| Entry { version: version.into(), ..entry(1, false) };
    let mut state = State::default();
    state.replace(Millis(0), BTreeMap::from([(id(), entry("v1"))]));
    let only = |state: &State, now| state.only_version(Millis(now), &service, LIFETIME);
    assert_eq!(only(&state, 4_999), None, "the registry was not followed long enough");
    assert_eq!(only(&state, 5_000), Some("v1".into()));
    state.upsert(Millis(6_000), "new".into(), entry("v2"));
    assert_eq!(only(&state, 6_000), None);
    state.remove(Millis(7_000), &id());
    assert_eq!(only(&state, 11_999), None, "streams of the upstream that left can be resumed");
    assert_eq!(only(&state, 12_000), Some("v2".into()));
    state.upsert(Millis(13_000), "new".into(), Entry { started: 9, ..entry("v3") });
    assert_eq!(only(&state, 13_000), None, "the upstream restarted with another version");
    assert_eq!(only(&state, 18_000), Some("v3".into()));
}

fn versioned(version: u8) -> Entry {
    Entry { version: format!("v{version}").as_str().into(), ..entry(1, false) }
}

/// Guards against a reach that is longer than what the log still holds.
#[test]
fn history_reaches_as_far_as_renewals_of_two_upstreams_show() {
    let record = |upstream: &str, version| (Upstream::from(upstream), Some(versioned(version)));
    let mut records = vec![record("a", 1); 11];
    records.extend(vec![record("b", 1); 6]);
    records.push((Upstream::from("c"), None));
    let reach = |records: &[_], heartbeat| {
        History::new(records.iter().cloned(), Some(Millis(heartbeat))).reach
    };
    assert_eq!(reach(&records, 1_000), Millis(4_000), "5 renewals of b, less the margin");
    assert_eq!(reach(&records[..11], 1_000), Millis(8_000), "the only upstream");
    assert_eq!(reach(&records, 0), Millis(0));
    assert_eq!(History::new(records.clone(), None).reach, Millis(0));
    records.extend([record("a", 2), record("a", 2)]);
    let history = History::new(records, Some(Millis(1_000)));
    assert_eq!(history.software.len(), 2);
    assert_eq!(history.reach, Millis(4_000));
}

#[test]
fn history_extends_what_is_known_of_the_past() {
    let (service, lifetime) = (Service::from("model"), Millis(5_000));
    let history = |version| {
        let record = (id(), Some(versioned(version)));
        History::new(vec![record; 11], Some(Millis(1_000)))
    };
    let mut state = State::default();
    state.add_history(Millis(20_000), history(1));
    assert_eq!(state.only_version(Millis(20_000), &service, lifetime), None, "nothing was read");
    state.replace(Millis(20_000), BTreeMap::from([(id(), versioned(1))]));
    let mut other = state.clone();
    state.add_history(Millis(20_000), history(1));
    assert_eq!(state.only_version(Millis(20_000), &service, lifetime), Some("v1".into()));
    assert_eq!(state.only_version(Millis(20_000), &service, Millis(8_001)), None);
    other.add_history(Millis(20_000), history(2));
    assert_eq!(other.only_version(Millis(20_000), &service, lifetime), None);
}

/// A resume must not take a read that was sent before it arrived for a new one.
#[tokio::test]
async fn waiting_resumes_share_the_next_read() {
    let reads = Reads::default();
    reads.record(Millis(100));
    reads.wait(Millis(100)).await;
    let reader = async {
        reads.wanted().await;
        reads.record(Millis(199));
        reads.record(Millis(50));
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        reads.record(Millis(201));
    };
    let started = tokio::time::Instant::now();
    tokio::join!(reads.wait(Millis(200)), reads.wait(Millis(201)), reader);
    assert!(started.elapsed().as_millis() >= 50, "waits for a read that was sent later");
}

/// What one node knows of a registry that changes, with the log away or slow at times.
#[derive(Default)]
struct Reader {
    state: State,
    /// Number of records that were read, if the node has read any.
    next: Option<usize>,
}

/// A registry whose records are kept from `first` on. Every record renews or replaces an entry.
#[derive(Default)]
struct Registry {
    records: Vec<(Upstream, Option<Entry>)>,
    first: usize,
}

impl Registry {
    fn entries(&self, end: usize) -> BTreeMap<Upstream, Entry> {
        let mut entries = BTreeMap::new();
        for (upstream, entry) in &self.records[..end] {
            match entry {
                Some(entry) => entries.insert(upstream.clone(), entry.clone()),
                None => entries.remove(upstream),
            };
        }
        entries
    }

    fn versions(&self) -> BTreeSet<Version> {
        let entries = self.entries(self.records.len());
        entries.into_values().map(|entry| entry.version).collect()
    }

    /// Lets `reader` apply a read that was sent at `sent_at` and returned the records before `end`.
    fn read(
        &self,
        reader: &mut Reader,
        sent_at: Millis,
        now: Millis,
        end: usize,
        heartbeat: Millis,
    ) {
        match reader.next.filter(|next| *next >= self.first) {
            Some(next) => {
                for (upstream, entry) in &self.records[next..end.max(next)] {
                    match entry {
                        Some(entry) => {
                            drop(reader.state.upsert(now, upstream.clone(), entry.clone()))
                        }
                        None => drop(reader.state.remove(now, upstream)),
                    }
                }
            }
            None => {
                reader.state.replace(now, self.entries(end));
                let kept = self.records[self.first.min(end)..end].iter().cloned();
                reader.state.add_history(now, History::new(kept, Some(heartbeat)));
            }
        }
        reader.next = Some(end.max(reader.next.unwrap_or(0)));
        reader.state.confirm(sent_at);
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(22),
        failure_persistence: None,
        cases: 1_000,
        ..Config::default()
    })]

    /// Nodes start in any order, with the log away, slow or compacted, and upstreams come, go and
    /// restart with one or two versions. A version that a node takes for the only one, by its own
    /// view or by that of another node, is that of every stream that callers can still resume.
    #[test]
    fn only_version_is_never_a_wrong_one(
        versions in 1u8..3,
        steps in prop::collection::vec((0u8..9, any::<u8>(), 0u64..4), 20..200),
    ) {
        const HEARTBEAT: Millis = Millis(1_000);
        const LIFETIME: Millis = Millis(5_000);
        let service = Service::from("model");
        let mut registry = Registry::default();
        let mut readers = [Reader::default(), Reader::default(), Reader::default()];
        // When each version could last begin a stream.
        let mut begun: BTreeMap<Version, Millis> = BTreeMap::new();
        let mut now = Millis(100_000);
        for (step, choice, pause) in steps {
            let index = usize::from(choice % 3);
            let upstream = Upstream::from(["a", "b", "c"][index]);
            match step {
                0 => {
                    // A renewal takes a heartbeat, so an entry must change here.
                    let entry = versioned((choice / 3) % versions);
                    let entries = registry.entries(registry.records.len());
                    if entries.get(&upstream) != Some(&entry) {
                        registry.records.push((upstream, Some(entry)));
                    }
                }
                1 => registry.records.push((upstream, None)),
                // All upstreams renew their entries: a heartbeat passes.
                2..=4 => {
                    now = now + HEARTBEAT;
                    let entries = registry.entries(registry.records.len());
                    let renewed = entries.into_iter().map(|(id, entry)| (id, Some(entry)));
                    registry.records.extend(renewed);
                }
                5 if choice % 4 == 0 => readers[index] = Reader::default(),
                6 if choice % 8 == 0 => registry.first = registry.records.len(),
                // A slow read returns some records that were written after it was sent.
                _ => {
                    let (sent_at, end) = (now, registry.records.len());
                    now = now + Millis(pause * 100);
                    registry.read(&mut readers[index], sent_at, now, end, HEARTBEAT);
                }
            }
            for version in registry.versions() {
                begun.insert(version, now);
            }
            let can_resume: Vec<&Version> = begun
                .iter()
                .filter(|(_, at)| now - **at < LIFETIME)
                .map(|(version, _)| version)
                .collect();
            // A resume arrives: a node answers by its own view only if it reads now.
            let asked_at = now;
            let reader = &readers[index];
            let claims: Vec<(Version, Millis)> = readers
                .iter()
                .filter_map(|peer| {
                    let version = peer.state.only_version(now, &service, LIFETIME)?;
                    Some((version, now - peer.state.confirmed_at()?))
                })
                .collect();
            let mut confirmed = Reader { state: reader.state.clone(), next: reader.next };
            registry.read(&mut confirmed, asked_at, now, registry.records.len(), HEARTBEAT);
            let own = confirmed.state.only_version(now, &service, LIFETIME);
            let proved = claims.into_iter().filter(|(version, age)| {
                let since_claim = now - (asked_at - *age) + Millis(1);
                confirmed.state.only_version(now, &service, since_claim).as_ref() == Some(version)
            });
            for version in own.into_iter().chain(proved.map(|(version, _)| version)) {
                prop_assert!(
                    can_resume.iter().all(|begun| **begun == version),
                    "{version} is not the only one of {can_resume:?}"
                );
            }
        }
    }
}
