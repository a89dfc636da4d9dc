//! The rules and the report of an audit.

use std::fmt;

use serde::Serialize;
use utils::Name;

/// A rule that an audit checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The lines of each process are complete, unchanged and in order.
    Chain,
    /// A process never goes back to an older sheet.
    SheetNeverReverts,
    /// Every sheet that a line refers to was published.
    SheetKnown,
    /// Requests are routed to targets that the active sheet has in service for them.
    RouteBySheet,
    /// Requests run on targets that the active sheet has in service for them.
    RunBySheet,
    /// No new request runs on an instance where a sheet whose adoption period is over forbids it.
    NothingNewWhereOut,
    /// A ticket or key runs at most once.
    RunsOnce,
    /// A request whose caller was told that it did not run has not run.
    NotRunIsTrue,
    /// A target never runs more requests at once than its limit.
    WithinLimit,
    /// No request runs on a target between its removal from service and the end of loading.
    NotWhileLoading,
    /// A target is ordered to load a version only after all pieces have been verified.
    OrderedWhenWhole,
    /// Requests run on the version to which the target was switched.
    VersionAsSwitched,
    /// A request that crashed two targets is not run again by a process that knows of the crashes.
    Quarantine,
}

/// All rules with their texts in the report.
const RULES: [(Rule, &str); 13] = [
    (
        Rule::Chain,
        "each process's lines are whole, unchanged and in order",
    ),
    (
        Rule::SheetNeverReverts,
        "no process goes back to an older sheet",
    ),
    (
        Rule::SheetKnown,
        "every sheet that a line names was published",
    ),
    (
        Rule::RouteBySheet,
        "requests are routed by the sheet in force",
    ),
    (Rule::RunBySheet, "requests run by the sheet in force"),
    (
        Rule::NothingNewWhereOut,
        "nothing new runs where a sheet forbids it for long enough",
    ),
    (Rule::RunsOnce, "a ticket or key runs at most once"),
    (
        Rule::NotRunIsTrue,
        "a refusal that says \"not run\" is true",
    ),
    (Rule::WithinLimit, "no target runs more than its limit"),
    (
        Rule::NotWhileLoading,
        "nothing runs on a target that is taken out to load",
    ),
    (
        Rule::OrderedWhenWhole,
        "a version is loaded only after every piece was verified",
    ),
    (
        Rule::VersionAsSwitched,
        "answers come from the version that the target was brought to",
    ),
    (
        Rule::Quarantine,
        "a request that crashed two targets is not run again where that is known",
    ),
];

/// A line that violates a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// The file that contains the line.
    pub file: Name,
    /// The line number in the file, from one.
    pub line: usize,
    /// The violated rule.
    pub rule: Rule,
    /// How the line violates the rule.
    pub cause: String,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of valid record lines.
    pub lines: u64,
    /// Number of other, non-empty lines.
    #[serde(rename = "passed_over")]
    pub skipped_lines: u64,
    /// Number of processes that wrote lines.
    pub processes: u64,
    /// Number of times that an agent started a request.
    pub runs: u64,
    /// Processes without a `drain` line, which marks a planned stop. The hash chain cannot show
    /// whether lines after their last one are missing.
    #[serde(rename = "open_ended")]
    pub unterminated_processes: Vec<String>,
    /// Lines that violate a rule.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Returns whether no line violates a rule.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub(super) fn add_finding(
        &mut self,
        rule: Rule,
        file: &Name,
        line: usize,
        cause: impl Into<String>,
    ) {
        self.findings.push(Finding {
            file: file.clone(),
            line,
            rule,
            cause: cause.into(),
        });
    }

    pub(super) fn sort(&mut self) {
        self.findings.sort();
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} lines of {} processes, {} requests run, {} other lines passed over",
            self.lines, self.processes, self.runs, self.skipped_lines
        )?;
        for (rule, text) in RULES {
            let count = self.findings.iter().filter(|f| f.rule == rule).count();
            let verdict = if count == 0 {
                "holds".to_owned()
            } else {
                format!("BROKEN by {count} lines")
            };
            writeln!(f, "  {text}: {verdict}")?;
        }
        for finding in &self.findings {
            writeln!(f, "{}:{}: {}", finding.file, finding.line, finding.cause)?;
        }
        if !self.unterminated_processes.is_empty() {
            writeln!(
                f,
                "not shown: whether lines are missing after the last one of {}",
                self.unterminated_processes.join(", ")
            )?;
        }
        f.write_str(if self.is_clean() {
            "the record holds"
        } else {
            "the record is refuted"
        })
    }
}
