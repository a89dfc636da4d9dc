//! `medlarproxy status`: shows how a running process is.

use serde_json::{
    json,
    Value, //
};

use super::operator::{
    ask,
    show, //
};
use super::Outcome;
use crate::cli::StatusArguments;

pub(crate) fn run(arguments: &StatusArguments) -> Outcome {
    let token = arguments.token_file.as_deref();
    let status = ask(arguments.address, "/v1/status", &[], token)?;
    let targets = ask(arguments.address, "/v1/targets", &[], token)?;
    if arguments.json {
        println!("{}", json!({ "status": status, "targets": targets }));
        return Ok(());
    }
    let sheet = &status["sheet"];
    println!(
        "{} {} in {}: {}",
        show(&status["role"]),
        show(&status["instance"]),
        show(&status["data_centre"]),
        if status["ready"] == true {
            "ready"
        } else {
            "not ready"
        }
    );
    println!(
        "sheet {} in force, digest {}",
        show(&sheet["version"]),
        show(&sheet["digest"])
    );
    if !sheet["refused"].is_null() {
        println!("last refused: {}", show(&sheet["refused"]));
    }
    for target in targets.as_array().into_iter().flatten() {
        println!("  {}", target_line(target));
    }
    Ok(())
}

fn target_line(target: &Value) -> String {
    let status = &target["status"];
    let why = match &target["why"] {
        Value::Null => String::new(),
        why => format!(", takes no work: {}", show(why)),
    };
    format!(
        "{}: {} {}, {} running of {}, {} waiting{why}",
        show(&target["name"]),
        show(&status["phase"]),
        show(&status["version"]),
        show(&status["running"]),
        show(&status["limit"]),
        show(&status["queued"]),
    )
}
