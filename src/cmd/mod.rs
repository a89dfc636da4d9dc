//! One file for each subcommand.

mod agent;
mod audit;
mod check;
mod demo;
mod entry;
mod pack;
mod process;

use std::error::Error;

use crate::cli::Command;

/// What a subcommand returns; `main` shows the error.
pub(crate) type Outcome = Result<(), Box<dyn Error>>;

/// Runs a subcommand.
pub(crate) fn run(command: Command) -> Outcome {
    match command {
        Command::Entry(arguments) => entry::run(&arguments),
        Command::Agent(arguments) => agent::run(&arguments),
        Command::Check(arguments) => check::run(&arguments),
        Command::Audit(arguments) => audit::run(&arguments),
        Command::Pack(arguments) => pack::run(&arguments),
        Command::Demo(arguments) => demo::run(&arguments),
    }
}
