//! Runs one case of the review: `rig3 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod callers;
mod drill;
mod fleet;
mod http;
mod service;
mod site;
mod store;
mod tenant;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

use fleet::{
    Failure,
    Record, //
};

/// What a case showed.
pub enum Verdict {
    Held,
    /// The rule was broken, as this text says.
    Broken(String),
}

fn run() -> Result<Verdict, Failure> {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().ok_or("no case is named")?;
    let folder = PathBuf::from(arguments.next().ok_or("no folder is named")?);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder)?;
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let verdict = match case.as_str() {
        "last-tenant" => tenant::last_tenant(&record, has_trouble),
        "leaving-engine" => drill::leaving_engine(&record, has_trouble),
        _ => Err(format!("no case has the name {case}").into()),
    };
    match &verdict {
        Ok(Verdict::Held) => record.line("the rule held"),
        Ok(Verdict::Broken(text)) => record.line(&format!("the rule was broken: {text}")),
        Err(e) => record.line(&format!("the case could not run: {e}")),
    }
    verdict
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}
