//! Parts of prompts that crash upstreams, as believed by many nodes with late and lost gossip.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serving::{
    fleet::Software,
    id::Process,
    parts::{Attempt, Change, Part, Prompt, Report, Revision, State},
    time::Millis,
};

/// Step of the simulation.
const STEP_MS: u64 = 5;
/// Time after the fifth crash from which sends with the bad part count, and from which the sends
/// of a node that has started count.
const LEARNING_MS: u64 = 3_000;
/// Crashes after which a bad part counts as known.
const KNOWN_AFTER_CRASHES: usize = 5;
const MAX_BAD_SENDS: usize = 3;
/// Interval between gossip messages without changes, and with changes.
const HEARTBEAT_MS: u64 = 250;
const CHANGE_MS: u64 = 35;
const FIRST_PARTS: u64 = 6;
const SECOND_PARTS: u64 = 200;

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    nodes: usize,
    engines: usize,
    duration_ms: u64,
    /// Time at which requests with bad parts begin to come.
    bad_from_ms: u64,
    bad_interval_ms: u64,
    /// The bad parts, 0 to 2 of them.
    bad_parts: usize,
    /// Whether the bad part has been answered before it turns bad.
    was_sound: bool,
    sound_interval_ms: u64,
    gossip_delay_ms: u64,
    /// Lost messages in percent.
    loss: u64,
    /// Interval at which a node restarts, if any does.
    restart_interval_ms: Option<u64>,
    /// Interval at which a rack of several engines fails at once, if any does.
    rack_interval_ms: Option<u64>,
}

struct Engine {
    process: u32,
    version: &'static str,
    returns_at: u64,
}

struct Running {
    node: usize,
    node_start: u64,
    engine: usize,
    prompt: Prompt,
    request: u32,
    revision: Revision,
    ends_at: u64,
    is_bad: bool,
    retries: u32,
}

struct Node {
    state: State,
    started_at: u64,
    next_gossip: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Crashes by bad parts.
    crashes: usize,
    /// Sends with bad parts from the learning time on, by part.
    bad_sends: BTreeMap<Part, usize>,
    sound_sent: usize,
    /// Sound requests that were refused from twice the learning time after the fifth crash on.
    sound_refused: usize,
    sound_asked: usize,
    /// Parts other than bad ones that were ever blocked.
    wrongly_blocked: BTreeSet<Part>,
}

fn bad_part(index: usize) -> Part {
    Part(0xbad0 + index as u64)
}

fn software(version: &str) -> Software {
    Software { service: "model".into(), version: version.into() }
}

fn run(scenario: &Scenario) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut outcome = Outcome::default();
    let new_node = |seed, now| Node { state: State::new(seed), started_at: now, next_gossip: now };
    let mut nodes: Vec<Node> = (0..scenario.nodes).map(|index| new_node(index as u64, 0)).collect();
    let mut next_process = 0;
    let mut engines = Vec::new();
    for _ in 0..scenario.engines {
        next_process += 1;
        engines.push(Engine { process: next_process, version: "v1", returns_at: 0 });
    }
    let mut running: Vec<Running> = Vec::new();
    let mut messages: Vec<(u64, usize, Report)> = Vec::new();
    let mut crash_times: BTreeMap<Part, Vec<u64>> = BTreeMap::new();
    let mut next_request = 0;
    let bad_parts: Vec<Part> = (0..scenario.bad_parts).map(bad_part).collect();
    for now in (0..scenario.duration_ms).step_by(STEP_MS as usize) {
        let time = Millis(now);
        let is_due = |interval: u64| now % interval < STEP_MS;
        if let Some(interval) = scenario.restart_interval_ms
            && is_due(interval)
            && now > 0
        {
            let index = rng.random_range(0..nodes.len());
            nodes[index] = new_node(index as u64, now);
        }
        let mut crashed: BTreeSet<usize> = BTreeSet::new();
        if let Some(interval) = scenario.rack_interval_ms
            && is_due(interval)
            && now > 0
        {
            let count = scenario.engines / 2 + 1;
            crashed.extend((0..count).filter(|engine| engines[*engine].returns_at <= now));
        }
        // New requests, as sound or bad ones, and those that are sent again.
        let mut sends: Vec<(Prompt, u32, bool, u32)> = Vec::new();
        if is_due(scenario.sound_interval_ms) {
            next_request += 1;
            let first = Part(rng.random_range(1..=FIRST_PARTS));
            let second = Part(1_000 + rng.random_range(0..SECOND_PARTS));
            let is_turning = scenario.was_sound
                && now < scenario.bad_from_ms
                && rng.random_range(0..10) == 0
                && !bad_parts.is_empty();
            let second = if is_turning { bad_parts[0] } else { second };
            sends.push((Prompt::new([first, second]), next_request, false, 1));
        }
        if now >= scenario.bad_from_ms && is_due(scenario.bad_interval_ms) {
            for part in &bad_parts {
                next_request += 1;
                let first = Part(rng.random_range(1..=FIRST_PARTS));
                sends.push((Prompt::new([first, *part]), next_request, true, 1));
            }
        }
        for index in (0..running.len()).rev() {
            if running[index].ends_at > now {
                continue;
            }
            let run = running.swap_remove(index);
            if run.is_bad {
                crashed.insert(run.engine);
                running.push(run);
                continue;
            }
            let node = &mut nodes[run.node];
            if node.started_at != run.node_start {
                continue;
            }
            let software = software(engines[run.engine].version);
            let attempt = Attempt {
                prompt: &run.prompt,
                software: &software,
                request: run.request,
                revision: run.revision,
            };
            let changes = node.state.record_answer(time, attempt);
            note_blocks(&changes, &bad_parts, &mut outcome);
        }
        for engine in crashed {
            let (lost, kept): (Vec<Running>, Vec<Running>) =
                running.into_iter().partition(|run| run.engine == engine);
            running = kept;
            let causes: BTreeSet<Part> = lost
                .iter()
                .filter(|run| run.is_bad && run.ends_at <= now)
                .flat_map(|run| run.prompt.shared().to_vec())
                .filter(|part| bad_parts.contains(part))
                .collect();
            for part in causes {
                outcome.crashes += 1;
                crash_times.entry(part).or_default().push(now);
            }
            let software = software(engines[engine].version);
            for run in lost {
                let node = &mut nodes[run.node];
                if node.started_at != run.node_start {
                    continue;
                }
                let attempt = Attempt {
                    prompt: &run.prompt,
                    software: &software,
                    request: run.request,
                    revision: run.revision,
                };
                let process = Process(engines[engine].process);
                let changes = node.state.record_crash(time, attempt, process);
                note_blocks(&changes, &bad_parts, &mut outcome);
                if run.retries > 0 {
                    sends.push((run.prompt, run.request, run.is_bad, run.retries - 1));
                }
            }
            next_process += 1;
            let returns_at = now + rng.random_range(1_000..3_000);
            engines[engine] = Engine { process: next_process, version: "v1", returns_at };
        }
        for (prompt, request, is_bad, retries) in sends {
            let index = rng.random_range(0..nodes.len());
            let node = &mut nodes[index];
            let known = crash_times.values().filter_map(|at| at.get(KNOWN_AFTER_CRASHES - 1));
            let is_late = known.max().is_some_and(|at| now >= at + 2 * LEARNING_MS);
            let is_blocked = node.state.remaining_block(time, &prompt).is_some();
            if !is_bad {
                outcome.sound_sent += 1;
                outcome.sound_asked += usize::from(is_late);
                outcome.sound_refused += usize::from(is_late && is_blocked);
            }
            let up: Vec<usize> =
                (0..engines.len()).filter(|engine| engines[*engine].returns_at <= now).collect();
            if is_blocked || up.is_empty() {
                continue;
            }
            let engine = up[rng.random_range(0..up.len())];
            let has_settled = node.started_at == 0 || now >= node.started_at + LEARNING_MS;
            if is_bad && has_settled {
                for part in prompt.shared().iter().filter(|part| bad_parts.contains(part)) {
                    let fifth =
                        crash_times.get(part).and_then(|at| at.get(KNOWN_AFTER_CRASHES - 1));
                    if fifth.is_some_and(|at| now > at + LEARNING_MS) {
                        *outcome.bad_sends.entry(*part).or_default() += 1;
                    }
                }
            }
            let duration = match is_bad {
                true => rng.random_range(100..300),
                false => rng.random_range(200..900),
            };
            running.push(Running {
                node: index,
                node_start: node.started_at,
                engine,
                prompt,
                request,
                revision: node.state.revision(),
                ends_at: now + duration,
                is_bad,
                retries,
            });
        }
        let due: Vec<(u64, usize, Report)> =
            messages.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, to, report) in due {
            let changes = nodes[to].state.merge(time, report);
            note_blocks(&changes, &bad_parts, &mut outcome);
        }
        for index in 0..nodes.len() {
            let node = &mut nodes[index];
            let interval = if node.state.has_updates() { CHANGE_MS } else { HEARTBEAT_MS };
            if now < node.next_gossip + interval {
                continue;
            }
            node.next_gossip = now;
            let report = node.state.take_report(time);
            for to in (0..nodes.len()).filter(|to| *to != index) {
                if rng.random_range(0..100) >= scenario.loss {
                    let delay = rng.random_range(1..=scenario.gossip_delay_ms);
                    messages.push((now + delay, to, report.clone()));
                }
            }
        }
    }
    outcome
}

fn note_blocks(changes: &[Change], bad_parts: &[Part], outcome: &mut Outcome) {
    for change in changes {
        if let Change::Blocked { part, .. } = change
            && !bad_parts.contains(part)
        {
            outcome.wrongly_blocked.insert(*part);
        }
    }
}

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(26), failure_persistence: None, ..Config::default() }
}

prop_compose! {
    fn scenario()(
        seed in any::<u64>(),
        nodes in 2_usize..14,
        engines in 4_usize..12,
        bad_interval_ms in 60_u64..900,
        bad_parts in 1_usize..=2,
        was_sound in any::<bool>(),
        sound_interval_ms in 15_u64..60,
        gossip_delay_ms in 2_u64..600,
        loss in 0_u64..40,
        restart_interval_ms in proptest::option::of(900_u64..4_000),
    ) -> Scenario {
        Scenario {
            seed, nodes, engines, duration_ms: 25_000, bad_from_ms: 3_000, bad_interval_ms, bad_parts,
            was_sound, sound_interval_ms, gossip_delay_ms, loss, restart_interval_ms,
            rack_interval_ms: None,
        }
    }
}

proptest! {
    #![proptest_config(config(48))]

    /// Requests with a bad part, no two alike, reach upstreams from all nodes again and again, and
    /// blocking a part that sound requests share would refuse those.
    #[test]
    fn bad_parts_are_blocked_soon_and_sound_ones_are_not(scenario in scenario()) {
        let outcome = run(&scenario);
        for (part, sends) in &outcome.bad_sends {
            prop_assert!(*sends <= MAX_BAD_SENDS, "{part}: {sends} sends, {outcome:?}");
        }
        prop_assert!(
            outcome.sound_refused * 20 <= outcome.sound_asked,
            "sound requests are refused: {outcome:?}"
        );
    }

    /// Engines of a rack crash at once under sound requests with popular parts.
    #[test]
    fn crashes_of_a_rack_block_no_part(scenario in scenario(), rack in 2_000_u64..6_000) {
        let scenario = Scenario { bad_parts: 0, rack_interval_ms: Some(rack), ..scenario };
        let outcome = run(&scenario);
        prop_assert!(outcome.wrongly_blocked.is_empty(), "{outcome:?}");
    }
}

/// A caller that invents parts must not use up the memory of nodes, or datagrams that are too long.
#[test]
fn invented_parts_keep_memory_and_reports_bounded() {
    const MAX_PARTS: usize = 1_024;
    const MAX_REPORT_BYTES: usize = 6 << 10;
    let mut state = State::new(1);
    let software = software("v1");
    for index in 0..2_000 {
        let now = Millis(index);
        let prompt = Prompt::new((0..32).map(|part| Part(index * 16 + part)));
        let (request, revision) = (index as u32, state.revision());
        let attempt = Attempt { prompt: &prompt, software: &software, request, revision };
        state.record_answer(now, attempt);
        state.record_crash(now, attempt, Process((index / 4) as u32));
        assert!(state.part_count() <= MAX_PARTS);
        let report = state.take_report(now);
        assert!(postcard::to_stdvec(&report).unwrap().len() <= MAX_REPORT_BYTES);
    }
    let messages = (0..MAX_PARTS).take_while(|index| {
        state.take_report(Millis(*index as u64));
        state.has_updates()
    });
    // Eight parts in each message, three times.
    assert!(messages.count() <= MAX_PARTS * 3 / 8);
}

/// Evidence that was removed for lack of space and comes again must be reported again.
#[test]
fn evidence_that_comes_again_is_reported() {
    let mut state = State::new(1);
    let software = software("v1");
    let crash = |state: &mut State, now: u64, parts: std::ops::Range<u64>, process: u32| {
        let prompt = Prompt::new(parts.map(Part));
        let (request, revision) = (process, state.revision());
        let attempt = Attempt { prompt: &prompt, software: &software, request, revision };
        state.record_crash(Millis(now), attempt, Process(process));
    };
    for round in 0..3 {
        crash(&mut state, round * 1_000, 0..1, round as u32);
        for index in 1..100 {
            let first = index * 32;
            let process = (round * 1_000 + index) as u32;
            crash(&mut state, round * 1_000 + index, first..first + 32, process);
        }
    }
    crash(&mut state, 4_000, 0..1, 9_999);
    let reports = (0..4_000).map(|index| state.take_report(Millis(4_000 + index)));
    let parts: Vec<Part> = reports.flat_map(|report| report.parts).map(|part| part.0).collect();
    assert!(parts.contains(&Part(0)));
}

/// A part that is blocked is blocked again by its first crash after the end of the block.
#[test]
fn part_is_blocked_again_by_one_crash_after_its_block() {
    let mut state = State::new(1);
    let (software, prompt) = (software("v1"), Prompt::new([Part(1), Part(2)]));
    let crash = |state: &mut State, now: u64, index: u32| {
        let revision = state.revision();
        let attempt = Attempt { prompt: &prompt, software: &software, request: index, revision };
        state.record_crash(Millis(now), attempt, Process(index))
    };
    for index in 0..3 {
        crash(&mut state, u64::from(index) * 300, index);
    }
    let remaining = state.remaining_block(Millis(1_000), &prompt).unwrap();
    assert!(remaining >= Millis(599_000), "{remaining}");
    let end = 1_000 + remaining.0;
    assert_eq!(state.remaining_block(Millis(end), &prompt), None);
    let changes = crash(&mut state, end + 1_000, 3);
    let is_block = |change: &Change| matches!(change, Change::Blocked { .. });
    assert!(changes.iter().any(is_block), "{changes:?}");
    let remaining = state.remaining_block(Millis(end + 2_000), &prompt).unwrap();
    assert!(remaining >= Millis(1_190_000), "{remaining}");
}

/// Two harmful parts share a crash. One more crash under the second must not unblock the first.
#[test]
fn crash_under_one_part_keeps_another_one_blocked() {
    let mut state = State::new(1);
    let software = software("v1");
    let prompts = [Prompt::new([Part(1), Part(2)]), Prompt::new([Part(3), Part(4)])];
    let crash = |state: &mut State, now: u64, prompt: &Prompt, process: u32| {
        let (request, revision) = (now as u32, state.revision());
        let attempt = Attempt { prompt, software: &software, request, revision };
        state.record_crash(Millis(now), attempt, Process(process))
    };
    for (index, process) in [1, 2, 3].into_iter().enumerate() {
        crash(&mut state, index as u64, &prompts[0], process);
    }
    for (index, process) in [1, 4, 5, 6].into_iter().enumerate() {
        crash(&mut state, 10 + index as u64, &prompts[1], process);
        let remaining = state.remaining_block(Millis(20), &prompts[0]);
        assert!(remaining.is_some(), "after {} crashes under the other part", index + 1);
    }
    assert!(state.remaining_block(Millis(20), &prompts[1]).is_some());
}

/// Answers of one version say nothing about crashes of another.
#[test]
fn answers_of_another_version_disprove_no_crash() {
    let mut state = State::new(1);
    let (v1, v2, prompt) = (software("v1"), software("v2"), Prompt::new([Part(1)]));
    for index in 0..3 {
        let revision = state.revision();
        let attempt = Attempt { prompt: &prompt, software: &v2, request: index, revision };
        state.record_crash(Millis(0), attempt, Process(index));
        let revision = state.revision();
        let attempt = Attempt { prompt: &prompt, software: &v1, request: index, revision };
        state.record_answer(Millis(0), attempt);
    }
    assert!(state.remaining_block(Millis(1), &prompt).is_some());
}

/// A part that turns bad after it was answered, beside another bad one and restarts of nodes, must
/// not be sent on after it is known.
#[test]
fn part_that_turns_bad_beside_another_one_is_blocked_in_time() {
    let scenario = Scenario {
        seed: 906_119_082_455_582_311,
        nodes: 8,
        engines: 11,
        duration_ms: 25_000,
        bad_from_ms: 3_000,
        bad_interval_ms: 126,
        bad_parts: 2,
        was_sound: true,
        sound_interval_ms: 35,
        gossip_delay_ms: 181,
        loss: 26,
        restart_interval_ms: Some(1_863),
        rack_interval_ms: None,
    };
    let outcome = run(&scenario);
    for (part, sends) in &outcome.bad_sends {
        assert!(*sends <= MAX_BAD_SENDS, "{part}: {sends} sends, {outcome:?}");
    }
}

/// Guards against a workspace that gets the parts of another one blocked by using their ids.
#[test]
fn parts_of_one_id_differ_between_workspaces() {
    let prompt = || Prompt::new([Part(1), Part(2)]);
    let scoped = |name: &str| prompt().scoped(Some(&name.into()));
    assert_eq!(prompt().scoped(None), prompt());
    assert_eq!(scoped("one"), scoped("one"));
    let all: BTreeSet<Part> = [prompt(), scoped("one"), scoped("two")]
        .iter()
        .flat_map(|prompt| prompt.shared().to_vec())
        .collect();
    assert_eq!(all.len(), 6);
}
