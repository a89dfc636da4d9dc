//! `medlarproxy status`: shows the status of a running process.

use serde_json::{
    json,
    Value, //
};

use super::admin_client::{
    format_value,
    query_admin, //
};
use super::CommandResult;
use crate::cli::StatusArguments;

pub(crate) fn run(arguments: &StatusArguments) -> CommandResult {
    let token = arguments.token_file.as_deref();
    let status = query_admin(arguments.address, "/v1/status", &[], token)?;
    let targets = query_admin(arguments.address, "/v1/targets", &[], token)?;
    if arguments.json {
        println!("{}", json!({ "status": status, "targets": targets }));
        return Ok(());
    }
    let sheet = &status["sheet"];
    println!(
        "{} {} in {}: {}",
        format_value(&status["role"]),
        format_value(&status["instance"]),
        format_value(&status["data_centre"]),
        if status["ready"] == true {
            "ready"
        } else {
            "not ready"
        }
    );
    println!(
        "sheet {} in force, digest {}",
        format_value(&sheet["version"]),
        format_value(&sheet["digest"])
    );
    if !sheet["refused"].is_null() {
        println!("last refused: {}", format_value(&sheet["refused"]));
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
        why => format!(", takes no work: {}", format_value(why)),
    };
    format!(
        "{}: {} {}, {} running of {}, {} waiting{why}",
        format_value(&target["name"]),
        format_value(&status["phase"]),
        format_value(&status["version"]),
        format_value(&status["running"]),
        format_value(&status["limit"]),
        format_value(&status["queued"]),
    )
}
