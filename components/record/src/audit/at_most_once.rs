//! Checks that tickets and keys ran at most once, and that requests reported as not run did not.

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
use super::LocatedLine;
use crate::decision::Decision;

pub(super) fn check(lines: &[LocatedLine], report: &mut Report) {
    let not_run = not_run_requests(lines);
    let was_run = |located: &LocatedLine, request: u64| {
        let line = &located.line;
        !not_run.contains(&(line.process.as_ref(), line.incarnation, request))
    };
    let mut first_runs: BTreeMap<&Guard, &LocatedLine> = BTreeMap::new();
    let mut run_requests: BTreeSet<u64> = BTreeSet::new();
    for located in lines {
        let Decision::Run { request, guard, .. } = &located.line.decision else {
            continue;
        };
        report.runs += 1;
        if !was_run(located, *request) {
            continue;
        }
        run_requests.insert(*request);
        if matches!(guard, Guard::Repeatable | Guard::Unmarked) {
            continue;
        }
        if let Some(first) = first_runs.insert(guard, located) {
            let cause = format!(
                "{guard:?} ran on {} after it ran on {} ({}:{})",
                located.line.process, first.line.process, first.file, first.number
            );
            report.add_finding(Rule::RunsOnce, &located.file, located.number, cause);
        }
    }
    for located in lines {
        let Decision::Reject {
            request,
            not_run: true,
            ..
        } = &located.line.decision
        else {
            continue;
        };
        if run_requests.contains(request) {
            let cause = format!("request {request} was said not to have run, but it ran");
            report.add_finding(Rule::NotRunIsTrue, &located.file, located.number, cause);
        }
    }
}

/// Returns the process, incarnation and id of each request that an agent started but that did not
/// reach the target.
fn not_run_requests(lines: &[LocatedLine]) -> BTreeSet<(&str, u64, u64)> {
    let mut requests = BTreeSet::new();
    for located in lines {
        if let Decision::End {
            request,
            outcome: Outcome::NotRun(_),
        } = &located.line.decision
        {
            let line = &located.line;
            requests.insert((line.process.as_ref(), line.incarnation, *request));
        }
    }
    requests
}
