//! Measures the harm that batch work does to online callers, and the batch throughput.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use standins::{
    experiment::{self, Harm},
    fleet::Program,
    role,
};

/// Experiments on fleets of real processes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Harm to online callers against batch throughput, for several policies.
    #[bpaf(command)]
    Harm {
        /// Seed of the arrivals and items.
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Seconds that each trial is measured.
        #[bpaf(argument("N"), fallback(30))]
        seconds: u64,
        /// Nodes of the fleet.
        #[bpaf(argument("N"), fallback(4))]
        nodes: usize,
        /// Replicas of the fleet.
        #[bpaf(argument("N"), fallback(10))]
        replicas: usize,
        /// Online requests a second in a burst.
        #[bpaf(argument("RATE"), fallback(150.0))]
        burst_rate: f64,
        /// File for an SVG plot of harm against batch share.
        #[bpaf(argument("FILE"), optional)]
        plot: Option<PathBuf>,
        /// Writes the report as one JSON line instead of a table.
        #[bpaf(switch)]
        json: bool,
        /// A policy to run; may be given several times. All where none is given.
        #[bpaf(argument("POLICY"), many)]
        only: Vec<String>,
    },
}

fn main() -> ExitCode {
    if let Some(code) = role::reenter() {
        return code;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match execute(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> anyhow::Result<()> {
    let Command::Harm { seed, seconds, nodes, replicas, burst_rate, plot, json, only } = command;
    let span = Duration::from_secs(seconds);
    let program = Program::current()?;
    let options = Harm { program, seed, span, nodes, replicas, burst_rate, plot, only };
    let report = tokio::runtime::Runtime::new()?.block_on(experiment::harm(options))?;
    match json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => print!("{report}"),
    }
    Ok(())
}
