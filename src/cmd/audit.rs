//! `medlarproxy audit`: checks the record of decisions against the guarantees of the system.

use std::fs;
use std::path::Path;

use record::Audit;
use sheet::Sheet;

use super::check::load_sheet;
use super::CommandResult;
use crate::cli::AuditArguments;

pub(crate) fn run(arguments: &AuditArguments) -> CommandResult {
    let mut audit = Audit::new(load_sheets(&arguments.sheets)?);
    for file in &arguments.files {
        let text = fs::read_to_string(file)
            .map_err(|e| format!("{}: cannot be read: {e}", file.display()))?;
        audit.read(&file.display().to_string(), &text);
    }
    let report = audit.finish();
    if arguments.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report}");
    }
    if report.is_clean() {
        Ok(())
    } else {
        Err(format!("{} lines break a rule", report.findings.len()).into())
    }
}

fn load_sheets(folder: &Path) -> Result<Vec<Sheet>, Box<dyn std::error::Error>> {
    let entries =
        fs::read_dir(folder).map_err(|e| format!("{}: cannot be read: {e}", folder.display()))?;
    let mut sheets = Vec::new();
    for entry in entries {
        let path = entry?.path();
        let is_sheet = path
            .extension()
            .is_some_and(|extension| extension == "yaml" || extension == "yml");
        if is_sheet {
            sheets.push(load_sheet(&path)?);
        }
    }
    if sheets.is_empty() {
        return Err(format!("{}: holds no sheet (*.yaml)", folder.display()).into());
    }
    Ok(sheets)
}
