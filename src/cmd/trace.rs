//! `medlarproxy trace`: lists the recorded decisions about one request from collected logs.

use std::fs;

use record::Trace;

use super::CommandResult;
use crate::cli::TraceArguments;

pub(crate) fn run(arguments: &TraceArguments) -> CommandResult {
    let mut trace = Trace::default();
    for file in &arguments.files {
        let text =
            fs::read(file).map_err(|e| format!("{}: cannot be read: {e}", file.display()))?;
        trace.add_lines(&String::from_utf8_lossy(&text));
    }
    let steps = trace.steps_of_request(&arguments.request);
    if arguments.json {
        println!("{}", serde_json::to_string(&steps)?);
    } else {
        for step in &steps {
            println!("{step}");
        }
    }
    if trace.unreadable_lines() > 0 {
        eprintln!("{} lines could not be read", trace.unreadable_lines());
    }
    if steps.is_empty() {
        return Err(format!("no line speaks of request {:?}", arguments.request).into());
    }
    Ok(())
}
