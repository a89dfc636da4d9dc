//! The audit: checks collected record lines against the published sheets and a set of rules.

mod at_most_once;
mod chains;
mod placement;
mod report;
mod targets;

use std::time::Duration;

use sheet::Sheet;
use utils::Name;

use crate::chain::RecordLine;

pub use report::{
    Finding,
    Report,
    Rule, //
};

/// Time after its publication within which a sheet must be active everywhere.
pub const MAX_ADOPTION_DELAY: Duration = Duration::from_secs(8);

/// A line with its position: the file and the line number, from one.
#[derive(Clone, Debug)]
struct LocatedLine {
    file: Name,
    number: usize,
    line: RecordLine,
}

/// An audit in progress.
#[derive(Debug)]
pub struct Audit {
    sheets: Vec<Sheet>,
    lines: Vec<LocatedLine>,
    report: Report,
}

impl Audit {
    /// Starts an audit against the published sheets.
    pub fn new(mut sheets: Vec<Sheet>) -> Self {
        sheets.sort_by_key(|sheet| sheet.version);
        Self {
            sheets,
            lines: Vec::new(),
            report: Report::default(),
        }
    }

    /// Reads the lines of one file. Lines that do not belong to the record are counted and skipped.
    pub fn read(&mut self, file: &str, text: &str) {
        let file = Name::from(file);
        for (index, text) in text.lines().enumerate() {
            let number = index + 1;
            // The file may also contain ordinary log lines.
            if !text.contains("\"decision\":") {
                self.report.skipped_lines += u64::from(!text.trim().is_empty());
                continue;
            }
            match RecordLine::parse(text) {
                Ok(line) => self.lines.push(LocatedLine {
                    file: file.clone(),
                    number,
                    line,
                }),
                Err(e) => {
                    self.report
                        .add_finding(Rule::Chain, &file, number, e.to_string());
                }
            }
        }
    }

    /// Checks all rules and returns the findings.
    pub fn finish(mut self) -> Report {
        self.report.lines = self.lines.len() as u64;
        chains::check(&self.lines, &mut self.report);
        // The remaining rules depend on the order of events across processes.
        self.lines
            .sort_by(|a, b| sort_key(&a.line).cmp(&sort_key(&b.line)));
        placement::check(&self.lines, &self.sheets, &mut self.report);
        at_most_once::check(&self.lines, &mut self.report);
        targets::check(&self.lines, &mut self.report);
        self.report.sort();
        self.report
    }
}

fn sort_key(line: &RecordLine) -> (u64, &Name, u64, u64) {
    (line.at_ms, &line.process, line.incarnation, line.sequence)
}
