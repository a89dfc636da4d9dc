//! `medlarproxy explain`: shows where an entry would send a request.

use super::operator::{
    ask,
    show, //
};
use super::Outcome;
use crate::cli::ExplainArguments;

pub(crate) fn run(arguments: &ExplainArguments) -> Outcome {
    let query = [
        ("work", arguments.work.as_str()),
        ("prompt", arguments.prompt.as_str()),
    ];
    let token = arguments.token_file.as_deref();
    let answer = ask(arguments.address, "/v1/explain", &query, token)?;
    if arguments.json {
        println!("{answer}");
        return Ok(());
    }
    let explanation = &answer["explanation"];
    println!(
        "{} would go to {} by rule {}; {} targets are in service",
        arguments.work,
        show(&explanation["target"]),
        show(&explanation["rule"]),
        show(&explanation["targets"]),
    );
    for candidate in explanation["candidates"].as_array().into_iter().flatten() {
        println!(
            "  {} in {}: live {}, rests {}, load {}",
            show(&candidate["name"]),
            show(&candidate["data_centre"]),
            show(&candidate["is_live"]),
            show(&candidate["rests"]),
            show(&candidate["load"]),
        );
    }
    Ok(())
}
