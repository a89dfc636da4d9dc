//! `medlarproxy audit`: proves or refutes what the record can show.

use std::fs;
use std::path::Path;

use record::Audit;
use sheet::Sheet;

use super::check::parse_sheet;
use super::Outcome;
use crate::cli::AuditArguments;

pub(crate) fn run(arguments: &AuditArguments) -> Outcome {
    let mut audit = Audit::new(read_sheets(&arguments.sheets)?);
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

fn read_sheets(folder: &Path) -> Result<Vec<Sheet>, Box<dyn std::error::Error>> {
    let entries =
        fs::read_dir(folder).map_err(|e| format!("{}: cannot be read: {e}", folder.display()))?;
    let mut sheets = Vec::new();
    for entry in entries {
        let path = entry?.path();
        let is_sheet = path
            .extension()
            .is_some_and(|end| end == "yaml" || end == "yml");
        if is_sheet {
            sheets.push(parse_sheet(&path)?);
        }
    }
    if sheets.is_empty() {
        return Err(format!("{}: holds no sheet (*.yaml)", folder.display()).into());
    }
    Ok(sheets)
}
