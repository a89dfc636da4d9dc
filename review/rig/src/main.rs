//! Stand-ins and drivers of the scripts in `review/6` to `review/10`. Each subcommand plays one case.

mod clients;
mod crash;
mod drill;
mod engine;
mod parts;
mod record;
mod spoilt;
mod system;
mod trusted;

#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let code = match words.as_slice() {
        ["engine", address, id, record, framing, first_token_ms] => {
            runtime.block_on(engine::run(address, id, record, framing, first_token_ms))
        }
        ["crash", folder] => runtime.block_on(crash::run(folder.as_ref(), &crash::UNFRAMED)),
        ["leave", folder] => runtime.block_on(crash::run(folder.as_ref(), &crash::CALLER_LEAVES)),
        ["parts", folder] => runtime.block_on(parts::run(folder.as_ref())),
        ["spoilt", folder] => runtime.block_on(spoilt::run(folder.as_ref())),
        ["trusted", folder] => runtime.block_on(trusted::run(folder.as_ref())),
        ["drill", folder] => runtime.block_on(drill::run(folder.as_ref())),
        _ => {
            eprintln!("usage: rig crash|leave|parts|spoilt|trusted|drill FOLDER");
            2
        }
    };
    std::process::exit(code);
}
