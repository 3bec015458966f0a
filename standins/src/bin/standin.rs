//! Runs one stand-in or one node in a process of its own.

use std::process::ExitCode;

use standins::role;

fn main() -> ExitCode {
    role::execute(role::role().run())
}
