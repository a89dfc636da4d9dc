//! Distributes new model weights to hundreds of instances while live requests continue.

mod cli;
mod cmd;
mod logging;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: cli::Arguments = argh::from_env();
    match cmd::run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("medlarproxy: {e}");
            ExitCode::FAILURE
        }
    }
}
