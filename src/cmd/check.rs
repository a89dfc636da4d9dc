//! `medlarproxy check`: validates a settings file or a sheet.

use std::error::Error;
use std::path::Path;

use sheet::Sheet;

use super::CommandResult;
use crate::cli::{
    CheckArguments,
    CheckDocument, //
};

pub(crate) fn run(arguments: &CheckArguments) -> CommandResult {
    match &arguments.document {
        CheckDocument::Settings(check) => {
            let settings = settings::load(&check.file)?;
            println!(
                "{}: settings of {}",
                check.file.display(),
                settings.instance
            );
        }
        CheckDocument::Sheet(check) => {
            let sheet = load_successor_sheet(&check.file, check.after.as_deref())?;
            println!("{}: sheet version {}", check.file.display(), sheet.version);
        }
    }
    Ok(())
}

/// Reads and validates the sheet in `file`, and checks that it is a valid successor of the one in
/// `after`.
pub(super) fn load_successor_sheet(
    file: &Path,
    after: Option<&Path>,
) -> Result<Sheet, Box<dyn Error>> {
    let sheet = load_sheet(file)?;
    if let Some(after) = after {
        let predecessor = load_sheet(after)?;
        sheet::check_successor(&predecessor, &sheet)
            .map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(sheet)
}

/// Reads and validates the sheet in `file`.
pub(super) fn load_sheet(file: &Path) -> Result<Sheet, Box<dyn Error>> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("{}: cannot be read: {e}", file.display()))?;
    let sheet = sheet::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(sheet)
}
