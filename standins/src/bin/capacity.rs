//! Measures what a node spends on control, at several sizes of the fleet.

use std::{process::ExitCode, time::Duration};

use bpaf::Bpaf;
use standins::{
    capacity::{self, Options},
    fleet::Program,
    role,
};

/// What a node spends on control, at several sizes of the fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// A number of nodes to measure; may be given several times.
    #[bpaf(argument("N"), some("give at least one number of nodes"), fallback(vec![3, 6, 12, 24]))]
    nodes: Vec<usize>,
    /// A number of engines to measure; may be given several times.
    #[bpaf(argument("N"), some("give at least one number of engines"), fallback(vec![2, 12, 24]))]
    engines: Vec<usize>,
    /// Seconds that each size is measured.
    #[bpaf(argument("N"), fallback(10))]
    seconds: u64,
    /// Writes the report as one JSON line instead of a table.
    #[bpaf(switch)]
    json: bool,
}

fn main() -> ExitCode {
    if let Some(code) = role::reenter() {
        return code;
    }
    match execute(arguments().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(arguments: Arguments) -> anyhow::Result<()> {
    let Arguments { nodes, engines, seconds, json } = arguments;
    let program = Program::current()?;
    let options = Options { program, nodes, engines, span: Duration::from_secs(seconds) };
    let report = tokio::runtime::Runtime::new()?.block_on(capacity::measure(options))?;
    match json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => print!("{report}"),
    }
    Ok(())
}
