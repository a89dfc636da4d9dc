//! Checks that the lines of each process are complete and in order.

use std::collections::BTreeMap;

use utils::digest::Digest;
use utils::Name;

use super::report::{
    Report,
    Rule, //
};
use super::LocatedLine;
use crate::decision::Decision;

pub(super) fn check(lines: &[LocatedLine], report: &mut Report) {
    let mut processes: BTreeMap<(Name, u64), Vec<&LocatedLine>> = BTreeMap::new();
    for located in lines {
        let key = (located.line.process.clone(), located.line.incarnation);
        processes.entry(key).or_default().push(located);
    }
    report.processes = processes.len() as u64;
    for ((process, incarnation), lines) in processes {
        check_process(&lines, report);
        let is_drain = |located: &&LocatedLine| matches!(located.line.decision, Decision::Drain);
        if !lines.iter().any(is_drain) {
            report
                .unterminated_processes
                .push(format!("{process} ({incarnation})"));
        }
    }
}

fn check_process(lines: &[&LocatedLine], report: &mut Report) {
    let mut previous = Digest::ZERO;
    let mut highest_sheet = 0;
    for (sequence, located) in (0_u64..).zip(lines) {
        let line = &located.line;
        let mut add_finding =
            |rule, cause| report.add_finding(rule, &located.file, located.number, cause);
        if line.sequence != sequence || line.previous != previous {
            let cause = format!(
                "line {} of {} does not follow the line before it, which should be number {}",
                line.sequence,
                line.process,
                sequence.saturating_sub(1)
            );
            add_finding(Rule::Chain, cause);
            return;
        }
        if line.sheet < highest_sheet {
            let cause = format!(
                "{} goes back from sheet {highest_sheet} to {}",
                line.process, line.sheet
            );
            add_finding(Rule::SheetNeverReverts, cause);
        }
        highest_sheet = line.sheet.max(highest_sheet);
        previous = line.hash;
    }
}
