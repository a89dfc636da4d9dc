//! The audit: reads collected lines and the sheets, and proves or refutes what the record can show.

mod chains;
mod orders;
mod placement;
mod report;
mod targets;

use std::time::Duration;

use sheet::Sheet;
use utils::Name;

use crate::chain::Line;

pub use report::{
    Finding,
    Report,
    Rule, //
};

/// How long after publication a sheet may not be in force yet.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

/// A line and where it stands.
#[derive(Clone, Debug)]
struct Placed {
    file: Name,
    number: usize,
    line: Line,
}

/// An audit in progress.
#[derive(Debug)]
pub struct Audit {
    sheets: Vec<Sheet>,
    lines: Vec<Placed>,
    report: Report,
}

impl Audit {
    /// Starts an audit against the sheets that were published.
    pub fn new(mut sheets: Vec<Sheet>) -> Self {
        sheets.sort_by_key(|sheet| sheet.version);
        Self {
            sheets,
            lines: Vec::new(),
            report: Report::default(),
        }
    }

    /// Reads the lines of one file. Lines that are not of the record are passed over, but counted.
    pub fn read(&mut self, file: &str, text: &str) {
        let file = Name::from(file);
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            // Other log lines may stand between those of the record.
            if !text.contains("\"decision\":") {
                self.report.passed_over += u64::from(!text.trim().is_empty());
                continue;
            }
            match Line::parse(text) {
                Ok(line) => self.lines.push(Placed {
                    file: file.clone(),
                    number,
                    line,
                }),
                Err(e) => self.report.find(Rule::Chain, &file, number, e.to_string()),
            }
        }
    }

    /// Checks every rule.
    pub fn finish(mut self) -> Report {
        self.report.lines = self.lines.len() as u64;
        chains::check(&self.lines, &mut self.report);
        // Rules speak of what happened in turn, across processes.
        self.lines
            .sort_by(|a, b| order(&a.line).cmp(&order(&b.line)));
        placement::check(&self.lines, &self.sheets, &mut self.report);
        orders::check(&self.lines, &mut self.report);
        targets::check(&self.lines, &mut self.report);
        self.report.sort();
        self.report
    }
}

fn order(line: &Line) -> (u64, &Name, u64, u64) {
    (line.at_ms, &line.process, line.incarnation, line.sequence)
}
