//! `medlarproxy check`: checks a document without using it.

use std::error::Error;
use std::path::Path;

use sheet::Sheet;

use super::Outcome;
use crate::cli::{
    CheckArguments,
    CheckDocument, //
};

pub(crate) fn run(arguments: &CheckArguments) -> Outcome {
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
            let sheet = read_sheet(&check.file, check.after.as_deref())?;
            println!("{}: sheet version {}", check.file.display(), sheet.version);
        }
    }
    Ok(())
}

/// Reads and checks the sheet in `file`, and that it may follow the one in `after`.
pub(super) fn read_sheet(file: &Path, after: Option<&Path>) -> Result<Sheet, Box<dyn Error>> {
    let sheet = parse_sheet(file)?;
    if let Some(after) = after {
        let last = parse_sheet(after)?;
        sheet::check_successor(&last, &sheet).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(sheet)
}

/// Reads and checks the sheet in `file` by itself.
pub(super) fn parse_sheet(file: &Path) -> Result<Sheet, Box<dyn Error>> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("{}: cannot be read: {e}", file.display()))?;
    let sheet = sheet::parse(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(sheet)
}
