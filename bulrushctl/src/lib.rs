//! The command-line tool of operators and callers.
//!
//! Each module is one group of commands. Operators' commands go to a node's operators' listener,
//! `file` and `job` to a node's callers' listener.

pub mod arguments;
mod client;
mod config;
pub mod failure;
mod file;
mod fleet;
mod job;
mod output;

use arguments::{Arguments, Command};
use client::{Client, Target};
use output::Output;

pub use failure::Failure;

pub type Result<T> = std::result::Result<T, Failure>;

/// Carries out a command.
pub async fn run(arguments: Arguments) -> Result<()> {
    let output = Output::new(arguments.json);
    let operators = Target::new("--server", arguments.server, arguments.token);
    let callers = Target::new("--gateway", arguments.gateway, arguments.key);
    match arguments.command {
        Command::Config { config } => config::run(&Client::new(operators), output, config).await,
        Command::Members => fleet::members(&Client::new(operators), output).await,
        Command::Upstreams => fleet::upstreams(&Client::new(operators), output).await,
        Command::Health => fleet::health(&Client::new(operators), output).await,
        Command::File { file } => file::run(&Client::new(callers), output, file).await,
        Command::Job { job } => job::run(&Client::new(callers), output, job).await,
    }
}
