//! Runs real agents and entries on loopback with stand-in targets, and measures them.
//!
//! Every experiment prints one JSON object as its last line, with its measurements and, where there
//! is one, those of a baseline from the same run.

mod burst;
mod cold_start;
mod control;
mod data_centre;
mod orders;
mod overload;
mod poison;
mod route;
mod setup;

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
    DataCentre(data_centre::Arguments),
    ColdStart(cold_start::Arguments),
    Orders(orders::Arguments),
    Poison(poison::Arguments),
    Overload(overload::Arguments),
    Route(route::Arguments),
    Control(control::Arguments),
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
    let result = runtime.block_on(run(&arguments.experiment));
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

async fn run(experiment: &Experiment) -> Result<serde_json::Value, String> {
    match experiment {
        Experiment::Burst(arguments) => burst::run(arguments).await,
        Experiment::DataCentre(arguments) => data_centre::run(arguments).await,
        Experiment::ColdStart(arguments) => cold_start::run(arguments).await,
        Experiment::Orders(arguments) => orders::run(arguments).await,
        Experiment::Poison(arguments) => poison::run(arguments).await,
        Experiment::Overload(arguments) => overload::run(arguments).await,
        Experiment::Route(arguments) => route::run(arguments).await,
        Experiment::Control(arguments) => control::run(arguments).await,
    }
}
