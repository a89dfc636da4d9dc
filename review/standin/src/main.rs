//! Plays the cases of the review that are scripts. Run from the repository's root:
//! `review-standin CASE FOLDER`. With `TROUBLE=0` in the environment, the disruption is left out.
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.

#![recursion_limit = "256"]

mod cut_answers;
mod http;
mod large_uploads;
mod platform;
mod process;
mod record;
mod restored_keys;
mod restored_list;
mod silent_stream;
mod spoilt_piece;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// The end of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs to run.
pub struct Case {
    pub record: Record,
    pub has_trouble: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let record = match Record::create(&folder) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    let case = Case {
        record: record.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    record.line(format!("case {name}, disruption: {}", case.has_trouble));
    let verdict = match name.as_str() {
        "cut-answers" => cut_answers::run(case).await,
        "restored-list" => restored_list::run(case).await,
        "large-uploads" => large_uploads::run(case).await,
        "silent-stream" => silent_stream::run(case).await,
        "spoilt-piece" => spoilt_piece::run(case).await,
        "restored-keys" => restored_keys::run(case).await,
        other => Err(format!("there is no case {other}")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.line(format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
