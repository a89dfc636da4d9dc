//! `medlarproxy pack`: splits a sheet into the index and the sections that operators publish.

use std::fs;

use super::check::load_successor_sheet;
use super::CommandResult;
use crate::cli::PackArguments;

pub(crate) fn run(arguments: &PackArguments) -> CommandResult {
    let sheet = load_successor_sheet(&arguments.file, arguments.after.as_deref())?;
    let packed = sheet::pack(&sheet);
    let sections = arguments.out.join("sections");
    let write = |path: &std::path::Path, text: &[u8]| {
        fs::write(path, text).map_err(|e| format!("{}: cannot be written: {e}", path.display()))
    };
    fs::create_dir_all(&sections)
        .map_err(|e| format!("{}: cannot be created: {e}", sections.display()))?;
    for (digest, text) in &packed.sections {
        write(&sections.join(digest.to_string()), text)?;
    }
    write(&arguments.out.join("index"), &packed.index)?;
    println!(
        "sheet version {}: publish the {} sections first, then the index",
        sheet.version,
        packed.sections.len()
    );
    Ok(())
}
