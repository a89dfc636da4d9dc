//! What an audit found.

use std::fmt;

use serde::Serialize;
use utils::Name;

/// A promise that the record can show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each process's lines are whole, unchanged and in order.
    Chain,
    /// A process never goes back to an older sheet.
    SheetNeverReverts,
    /// A sheet that a line names was published.
    SheetKnown,
    /// Requests are routed to targets that the sheet in force has in service for them.
    RouteBySheet,
    /// Requests run on targets that the sheet in force has in service for them.
    RunBySheet,
    /// Nothing new runs where a sheet that has been out for long enough forbids it.
    NothingNewWhereOut,
    /// A ticket or key runs at most once.
    RunsOnce,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A target never runs more than its limit.
    WithinLimit,
    /// Nothing runs on a target between taking it out and the end of its load.
    NotWhileLoading,
    /// A target is ordered to load a version only after every piece was verified.
    OrderedWhenWhole,
    /// A target's answers come from the version that it was brought to.
    VersionAsSwitched,
    /// A request that crashed two targets is not run again where that is known.
    Quarantine,
}

/// Every rule and its text.
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

/// A line that breaks a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// The file.
    pub file: Name,
    /// The line in the file, from one.
    pub line: usize,
    /// The rule.
    pub rule: Rule,
    /// What is wrong.
    pub cause: String,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Lines of the record that were read.
    pub lines: u64,
    /// Lines of other kinds.
    pub passed_over: u64,
    /// Processes that wrote lines.
    pub processes: u64,
    /// Requests that ran.
    pub runs: u64,
    /// Processes whose record does not end with a planned stop. Lines after their last one, if
    /// there were any, are not in the collection, and no chain can show that.
    pub open_ended: Vec<String>,
    /// Lines that break a rule.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Whether no line breaks a rule.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub(super) fn find(&mut self, rule: Rule, file: &Name, line: usize, cause: impl Into<String>) {
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
            self.lines, self.processes, self.runs, self.passed_over
        )?;
        for (rule, text) in RULES {
            let count = self.findings.iter().filter(|x| x.rule == rule).count();
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
        if !self.open_ended.is_empty() {
            writeln!(
                f,
                "not shown: whether lines are missing after the last one of {}",
                self.open_ended.join(", ")
            )?;
        }
        f.write_str(if self.is_clean() {
            "the record holds"
        } else {
            "the record is refuted"
        })
    }
}
