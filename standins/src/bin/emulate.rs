//! Emulates days of a fleet over many seeds, and prints what was earned beside an ideal schedule.

use std::{fs, path::PathBuf, process::ExitCode};

use anyhow::Context;
use bpaf::Bpaf;
use standins::emulator::{self, Scenario, Tally};

/// Emulated days: what the decisions of the nodes earn of what an ideal schedule would.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Days to play, with seeds from 1 on.
    #[bpaf(argument("N"), fallback(20))]
    seeds: u64,
    /// Prints the default scenario as JSON and ends.
    #[bpaf(switch)]
    default: bool,
    /// Plays upstreams of uneven speed and pace before 88 nodes.
    #[bpaf(switch)]
    uneven: bool,
    /// Scenarios as JSON; the default one where none is given. Fields that are left out have their
    /// defaults.
    #[bpaf(positional("FILE"), many)]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emulate: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> anyhow::Result<()> {
    if options.default {
        println!("{}", serde_json::to_string_pretty(&Scenario::default())?);
        return Ok(());
    }
    println!(
        "| scenario | schedule | worth | online in time, late, refused | batch in time, late | pauses an item | messages a node and s | first event p50, p99 ms | busiest over mean | connections, pairs a day | online and batch events from elsewhere |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    if options.uneven {
        for collect_ms in [50, 200, 300] {
            let name = format!("uneven, collectors every {collect_ms} ms");
            compare(&name, &Scenario::uneven(collect_ms), options.seeds);
        }
        return Ok(());
    }
    if options.files.is_empty() {
        compare("default", &Scenario::default(), options.seeds);
    }
    for file in &options.files {
        let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
        let scenario = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
        let name = file.file_stem().unwrap_or(file.as_os_str()).to_string_lossy();
        compare(&name, &scenario, options.seeds);
    }
    Ok(())
}

fn compare(name: &str, scenario: &Scenario, seeds: u64) {
    let sum = |play: fn(&Scenario, u64) -> Tally| {
        let mut sum = Tally::default();
        for seed in 1..=seeds {
            sum += &play(scenario, seed);
        }
        sum
    };
    print(name, "nodes", scenario, seeds, &sum(emulator::play));
    print(name, "ideal", scenario, seeds, &sum(emulator::ideal));
}

fn print(name: &str, schedule: &str, scenario: &Scenario, seeds: u64, tally: &Tally) {
    let (online, batch) = (&tally.online, &tally.batch);
    let share = |part: u32, count: u32| f64::from(part) / f64::from(count.max(1));
    let seconds = (scenario.length_ms + scenario.tail_ms) as f64 / 1_000.0;
    println!(
        "| {name} | {schedule} | {:.3} | {:.3} {:.3} {:.3} | {:.3} {:.3} | {:.2} | {:.0} | {} {} | {:.2} | {} {} | {:.3} {:.3} |",
        tally.worth(),
        share(online.in_time, online.count),
        share(online.late + online.lost_packet, online.count),
        share(online.refused, online.count),
        share(batch.in_time, batch.count),
        share(batch.late, batch.count),
        share(tally.pauses, batch.count),
        tally.messages as f64 / seconds / scenario.nodes as f64 / seeds as f64,
        tally.first_ms_within(0.5),
        tally.first_ms_within(0.99),
        tally.busiest_over_mean(),
        tally.connections / seeds,
        tally.pairs / seeds,
        tally.online_events.remote_share(),
        tally.batch_events.remote_share(),
    );
}
