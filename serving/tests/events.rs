//! Tests of the parser for server-sent events.

use std::time::{Duration, Instant};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use serving::exchange::events::{Event, Splitter};

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..Config::default() }
}

fn split(chunks: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        events.extend(splitter.by_ref());
    }
    (events, splitter.is_partial())
}

#[test]
fn event_ends_at_its_blank_line() {
    let (events, partial) = split(&[b"id: 7\ndata: a\ndata: b\n\nid: 8\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(7));
    assert_eq!(events[0].data(), b"a\nb");
    assert_eq!(&events[0].bytes[..], b"id: 7\ndata: a\ndata: b\n\n");
    assert!(partial, "an incomplete event stays buffered");
}

#[test]
fn carriage_returns_and_missing_spaces_are_accepted() {
    let (events, partial) = split(&[b"id:1\r\ndata:x\r\n\r\n"]);
    assert_eq!((events[0].id, events[0].data()), (Some(1), b"x".to_vec()));
    assert!(!partial);
}

#[test]
fn other_fields_are_not_data() {
    let (events, _) = split(&[b"x-weights: 3\nid: 1\ndata: x\n\n: comment\n\n"]);
    assert_eq!(events[0].data(), b"x");
    assert!(!events[1].has_data());
}

/// An event that arrived in small pieces was searched from its start for each of them, which kept
/// the node busy for seconds.
#[test]
fn event_in_single_bytes_takes_linear_time() {
    const EVENT_BYTES: usize = 128 << 10;
    let started = Instant::now();
    let mut splitter = Splitter::default();
    for _ in 0..EVENT_BYTES {
        splitter.push(b"a");
        assert!(splitter.next().is_none());
    }
    assert!(splitter.is_partial());
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

/// Many streams at once must not take up the memory of the node with one event each.
#[test]
fn event_of_more_than_64_kib_is_overlong() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'a'; 64 << 10]);
    assert!(splitter.next().is_none() && !splitter.is_overlong());
    splitter.push(b"a");
    assert!(splitter.next().is_none() && splitter.is_overlong());
}

proptest! {
    #![proptest_config(config())]

    /// The events don't depend on where the bytes are split.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        texts in prop::collection::vec("[a-z ]{0,20}", 1..20),
        cuts in prop::collection::vec(0usize..400, 0..20),
    ) {
        let mut stream = Vec::new();
        for (index, text) in texts.iter().enumerate() {
            stream.extend_from_slice(format!("id: {index}\ndata: {text}\n\n").as_bytes());
        }
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(stream.len())).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|cut| &stream[cut[0]..cut[1]]).collect();
        let (events, partial) = split(&chunks);
        prop_assert!(!partial);
        prop_assert_eq!(events, split(&[&stream]).0);
    }
}
