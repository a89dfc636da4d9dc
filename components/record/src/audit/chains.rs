//! Whether each process's lines are whole and in order.

use std::collections::BTreeMap;

use utils::digest::Digest;
use utils::Name;

use super::report::{
    Report,
    Rule, //
};
use super::Placed;
use crate::decision::Decision;

pub(super) fn check(lines: &[Placed], report: &mut Report) {
    let mut processes: BTreeMap<(Name, u64), Vec<&Placed>> = BTreeMap::new();
    for placed in lines {
        let key = (placed.line.process.clone(), placed.line.incarnation);
        processes.entry(key).or_default().push(placed);
    }
    report.processes = processes.len() as u64;
    for ((process, incarnation), lines) in processes {
        check_process(&lines, report);
        let drains = |placed: &&Placed| matches!(placed.line.decision, Decision::Drain);
        if !lines.iter().any(drains) {
            report.open_ended.push(format!("{process} ({incarnation})"));
        }
    }
}

fn check_process(lines: &[&Placed], report: &mut Report) {
    let mut previous = Digest::ZERO;
    let mut sheet = 0;
    for (sequence, placed) in (0_u64..).zip(lines) {
        let line = &placed.line;
        let mut find = |rule, cause| report.find(rule, &placed.file, placed.number, cause);
        if line.sequence != sequence || line.previous != previous {
            let cause = format!(
                "line {} of {} does not follow the line before it, which should be number {}",
                line.sequence,
                line.process,
                sequence.saturating_sub(1)
            );
            find(Rule::Chain, cause);
            return;
        }
        if line.sheet < sheet {
            let cause = format!(
                "{} goes back from sheet {sheet} to {}",
                line.process, line.sheet
            );
            find(Rule::SheetNeverReverts, cause);
        }
        sheet = line.sheet.max(sheet);
        previous = line.hash;
    }
}
