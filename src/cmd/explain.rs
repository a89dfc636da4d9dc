//! `medlarproxy explain`: shows where an entry would send a request.

use super::admin_client::{
    format_value,
    query_admin, //
};
use super::CommandResult;
use crate::cli::ExplainArguments;

pub(crate) fn run(arguments: &ExplainArguments) -> CommandResult {
    let query = [
        ("work", arguments.work.as_str()),
        ("prompt", arguments.prompt.as_str()),
    ];
    let token = arguments.token_file.as_deref();
    let response = query_admin(arguments.address, "/v1/explain", &query, token)?;
    if arguments.json {
        println!("{response}");
        return Ok(());
    }
    let explanation = &response["explanation"];
    println!(
        "{} would go to {} by rule {}; {} targets are in service",
        arguments.work,
        format_value(&explanation["target"]),
        format_value(&explanation["rule"]),
        format_value(&explanation["targets"]),
    );
    for candidate in explanation["candidates"].as_array().into_iter().flatten() {
        println!(
            "  {} in {}: live {}, rests {}, load {}",
            format_value(&candidate["name"]),
            format_value(&candidate["data_centre"]),
            format_value(&candidate["is_live"]),
            format_value(&candidate["rests"]),
            format_value(&candidate["load"]),
        );
    }
    Ok(())
}
