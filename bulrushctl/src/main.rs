//! Parses the command line, runs the command and turns failures into exit codes.

use std::process::ExitCode;

use bpaf::Args;
use bulrushctl::{Failure, arguments::arguments, failure};

/// Columns of the help text where the terminal does not say.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let parsed = match arguments().run_inner(Args::current_args()) {
        Ok(parsed) => parsed,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure.exit_code() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::from(failure::USAGE),
            };
        }
    };
    let runtime = tokio::runtime::Runtime::new().map_err(|error| Failure::Local(error.to_string()));
    match runtime.and_then(|runtime| runtime.block_on(bulrushctl::run(parsed))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("error: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
