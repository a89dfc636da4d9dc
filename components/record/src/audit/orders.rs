//! Whether what may run once ran once, and what was said not to have run did not.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use protocol::{
    Guard,
    Outcome, //
};

use super::report::{
    Report,
    Rule, //
};
use super::Placed;
use crate::decision::Decision;

pub(super) fn check(lines: &[Placed], report: &mut Report) {
    let declined = declined(lines);
    let ran = |placed: &Placed, request: u64| {
        let process = (placed.line.process.as_ref(), placed.line.incarnation);
        !declined.contains(&(process.0, process.1, request))
    };
    let mut keys: BTreeMap<&Guard, &Placed> = BTreeMap::new();
    let mut requests: BTreeSet<u64> = BTreeSet::new();
    for placed in lines {
        let Decision::Run { request, guard, .. } = &placed.line.decision else {
            continue;
        };
        report.runs += 1;
        if !ran(placed, *request) {
            continue;
        }
        requests.insert(*request);
        if matches!(guard, Guard::Repeatable | Guard::Unmarked) {
            continue;
        }
        if let Some(first) = keys.insert(guard, placed) {
            let cause = format!(
                "{guard:?} ran on {} after it ran on {} ({}:{})",
                placed.line.process, first.line.process, first.file, first.number
            );
            report.find(Rule::RunsOnce, &placed.file, placed.number, cause);
        }
    }
    for placed in lines {
        let Decision::Reject {
            request,
            not_run: true,
            ..
        } = &placed.line.decision
        else {
            continue;
        };
        if requests.contains(request) {
            let cause = format!("request {request} was said not to have run, but it ran");
            report.find(Rule::NotRunIsTrue, &placed.file, placed.number, cause);
        }
    }
}

/// Requests that an agent started, but of which nothing reached the target.
fn declined(lines: &[Placed]) -> BTreeSet<(&str, u64, u64)> {
    let mut declined = BTreeSet::new();
    for placed in lines {
        if let Decision::End {
            request,
            outcome: Outcome::NotRun(_),
        } = &placed.line.decision
        {
            let line = &placed.line;
            declined.insert((line.process.as_ref(), line.incarnation, *request));
        }
    }
    declined
}
