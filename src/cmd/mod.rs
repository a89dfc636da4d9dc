//! The subcommands, one module each.

mod admin_client;
mod agent;
mod audit;
mod check;
mod demo;
mod entry;
mod explain;
mod pack;
mod platform;
mod process;
mod status;
mod trace;

use std::error::Error;

use crate::cli::Command;

/// The result of a subcommand; `main` prints the error.
pub(crate) type CommandResult = Result<(), Box<dyn Error>>;

/// Runs a subcommand.
pub(crate) fn run(command: Command) -> CommandResult {
    match command {
        Command::Entry(arguments) => entry::run(&arguments),
        Command::Agent(arguments) => agent::run(&arguments),
        Command::Check(arguments) => check::run(&arguments),
        Command::Trace(arguments) => trace::run(&arguments),
        Command::Audit(arguments) => audit::run(&arguments),
        Command::Pack(arguments) => pack::run(&arguments),
        Command::Status(arguments) => status::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Platform(arguments) => platform::run(&arguments),
        Command::Demo(arguments) => demo::run(&arguments),
    }
}
