//! The daemon of an entry VM.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use bulrushspread::{node, settings::Settings, telemetry};

/// Serves online and batch inference on one fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Runs a node with the settings in FILE.
    #[bpaf(command)]
    Run {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks the settings in FILE and says what is wrong with them.
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the JSON Schema of the settings file.
    #[bpaf(command)]
    Schema {
        /// Prints a Markdown table of all settings instead.
        table: bool,
    },
}

fn main() -> ExitCode {
    match execute(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Run { file } => {
            let settings = Settings::load(&file)?;
            telemetry::start_log(&settings.telemetry.log);
            tokio::runtime::Runtime::new()?.block_on(node::run(settings))
        }
        Command::Check { file } => {
            Settings::load(&file)?;
            println!("{} is valid", file.display());
            Ok(())
        }
        Command::Schema { table: true } => {
            print!("{}", Settings::table());
            Ok(())
        }
        Command::Schema { table: false } => {
            println!("{}", serde_json::to_string_pretty(&Settings::schema())?);
            Ok(())
        }
    }
}
