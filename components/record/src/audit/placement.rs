//! Whether requests go where the sheets allow.

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
    Placed,
    IN_FORCE_WITHIN, //
};
use crate::decision::{
    Decision,
    RouteRule, //
};

pub(super) fn check(lines: &[Placed], sheets: &[Sheet], report: &mut Report) {
    for placed in lines {
        let line = &placed.line;
        let mut find = |rule, cause: String| report.find(rule, &placed.file, placed.number, cause);
        let sheet = sheets.iter().find(|sheet| sheet.version == line.sheet);
        if line.sheet > 0 && sheet.is_none() {
            find(
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
                if let Err(cause) = allows(sheet, target, work) {
                    find(Rule::RouteBySheet, format!("routed to {target}: {cause}"));
                }
            }
            Decision::Run { work, .. } => {
                if let Err(cause) = allows(sheet, &line.process, work) {
                    find(
                        Rule::RunBySheet,
                        format!("run on {}: {cause}", line.process),
                    );
                } else if let Some(cause) = overdue(sheets, line.at_ms, &line.process, work) {
                    find(
                        Rule::NothingNewWhereOut,
                        format!("run on {}: {cause}", line.process),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Whether `sheet` has `instance` in service for `work`, and why not.
fn allows(sheet: &Sheet, instance: &str, work: &str) -> Result<(), String> {
    let version = sheet.version;
    let Some(placement) = sheet.placement(instance) else {
        return Err(format!("sheet {version} does not name it"));
    };
    let (Workload::Model(name, _) | Workload::Service(name, _)) = placement.workload;
    if &**name != work {
        return Err(format!("sheet {version} has {name} there and not {work}"));
    }
    if !sheet.is_in(placement.data_centre) {
        let data_centre = placement.data_centre;
        return Err(format!("sheet {version} has {data_centre} out of service"));
    }
    if sheet.is_leaving(instance) {
        return Err(format!("sheet {version} has it leaving"));
    }
    Ok(())
}

/// Why no sheet that could be in force at `at_ms` allows the run.
fn overdue(sheets: &[Sheet], at_ms: u64, instance: &str, work: &str) -> Option<String> {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(at_ms);
    let settled = sheets
        .iter()
        .rposition(|sheet| sheet.published + IN_FORCE_WITHIN <= at)?;
    let possible = sheets[settled..]
        .iter()
        .filter(|sheet| sheet.published <= at);
    let mut cause = None;
    for sheet in possible {
        match allows(sheet, instance, work) {
            Ok(()) => return None,
            Err(e) => cause = Some(format!("{e} for more than {} s", IN_FORCE_WITHIN.as_secs())),
        }
    }
    cause
}
