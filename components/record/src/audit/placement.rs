//! Checks that requests are routed to and run on instances that the sheets allow.

use std::time::{
    Duration,
    SystemTime, //
};

use sheet::{
    Sheet,
    Workload, //
};

use super::report::{
    Report,
    Rule, //
};
use super::{
    LocatedLine,
    MAX_ADOPTION_DELAY, //
};
use crate::decision::{
    Decision,
    RouteRule, //
};

pub(super) fn check(lines: &[LocatedLine], sheets: &[Sheet], report: &mut Report) {
    for located in lines {
        let line = &located.line;
        let mut add_finding = |rule, cause: String| {
            report.add_finding(rule, &located.file, located.number, cause);
        };
        let sheet = sheets.iter().find(|sheet| sheet.version == line.sheet);
        if line.sheet > 0 && sheet.is_none() {
            add_finding(
                Rule::SheetKnown,
                format!("sheet {} was not published", line.sheet),
            );
            continue;
        }
        let Some(sheet) = sheet else {
            continue;
        };
        match &line.decision {
            Decision::Route {
                target, work, rule, ..
            } if *rule != RouteRule::Home => {
                if let Err(cause) = check_allowed(sheet, target, work) {
                    add_finding(Rule::RouteBySheet, format!("routed to {target}: {cause}"));
                }
            }
            Decision::Run { work, .. } => {
                if let Err(cause) = check_allowed(sheet, &line.process, work) {
                    add_finding(
                        Rule::RunBySheet,
                        format!("run on {}: {cause}", line.process),
                    );
                } else if let Some(cause) =
                    outdated_run_cause(sheets, line.at_ms, &line.process, work)
                {
                    add_finding(
                        Rule::NothingNewWhereOut,
                        format!("run on {}: {cause}", line.process),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Checks that `instance` is in service for `work` according to `sheet`. The error is the cause.
fn check_allowed(sheet: &Sheet, instance: &str, work: &str) -> Result<(), String> {
    let version = sheet.version;
    let Some(placement) = sheet.placement(instance) else {
        return Err(format!("sheet {version} does not name it"));
    };
    let (Workload::Model(name, _) | Workload::Service(name, _)) = placement.workload;
    if &**name != work {
        return Err(format!("sheet {version} has {name} there and not {work}"));
    }
    if !sheet.is_in_service(placement.data_centre) {
        let data_centre = placement.data_centre;
        return Err(format!("sheet {version} has {data_centre} out of service"));
    }
    if sheet.is_leaving(instance) {
        return Err(format!("sheet {version} has it leaving"));
    }
    Ok(())
}

/// Returns why none of the sheets that may be active at `at_ms` allows the run, or `None` if one
/// does.
fn outdated_run_cause(sheets: &[Sheet], at_ms: u64, instance: &str, work: &str) -> Option<String> {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms);
    let oldest_possible = sheets
        .iter()
        .rposition(|sheet| sheet.published + MAX_ADOPTION_DELAY <= time)?;
    let possible = sheets[oldest_possible..]
        .iter()
        .filter(|sheet| sheet.published <= time);
    let mut cause = None;
    for sheet in possible {
        match check_allowed(sheet, instance, work) {
            Ok(()) => return None,
            Err(e) => {
                cause = Some(format!(
                    "{e} for more than {} s",
                    MAX_ADOPTION_DELAY.as_secs()
                ))
            }
        }
    }
    cause
}
