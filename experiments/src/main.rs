//! Arranges real agents and entries on loopback with stand-ins, and measures them.
//!
//! Every experiment prints one JSON object as its last line, with what was measured and, where
//! there is one, a plain baseline measured in the same run.

mod burst;
mod faults;

use std::process::ExitCode;

use argh::FromArgs;

/// Measure the system on loopback.
#[derive(Debug, FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Experiment {
    Burst(burst::Arguments),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("experiments: {e}");
            return ExitCode::FAILURE;
        }
    };
    let result = match &arguments.experiment {
        Experiment::Burst(arguments) => runtime.block_on(burst::run(arguments)),
    };
    match result {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("experiments: {e}");
            ExitCode::FAILURE
        }
    }
}
