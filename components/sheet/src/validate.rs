//! Checks of a sheet that its types alone do not make.

use std::collections::BTreeMap;
use std::time::Duration;

use utils::Name;

use crate::document::{
    HomeSet,
    Instances,
    Model,
    Service,
    Sheet, //
};
use crate::error::SheetError;

/// The longest cold start.
const LONGEST_COLD_TIME: Duration = Duration::from_secs(3600);

/// Checks one sheet by itself, so that every process accepts the same ones.
pub(crate) fn check(sheet: &Sheet) -> Result<(), SheetError> {
    if sheet.version == 0 {
        return Err(SheetError::value("version", 0, "1 or more"));
    }
    if sheet.data_centres.is_empty() {
        return Err(SheetError::value("data_centres", "{}", "at least one"));
    }
    check_origin_region(sheet)?;
    let mut seen = BTreeMap::new();
    for (name, model) in &sheet.models {
        let path = format!("models.{name}");
        check_model(&path, model)?;
        check_instances(sheet, &path, &model.instances, &mut seen)?;
    }
    for (name, service) in &sheet.services {
        let path = format!("services.{name}");
        check_service(&path, service)?;
        check_instances(sheet, &path, &service.instances, &mut seen)?;
    }
    for (name, team) in &sheet.teams {
        let path = format!("teams.{name}.share");
        check_range(&path, team.share, 1, 1000)?;
    }
    check_leaving(sheet, &seen)
}

fn check_origin_region(sheet: &Sheet) -> Result<(), SheetError> {
    let known = sheet
        .data_centres
        .values()
        .any(|dc| dc.region == sheet.origin_region);
    if known {
        return Ok(());
    }
    Err(SheetError::value(
        "origin_region",
        &sheet.origin_region,
        "the region of a data centre of the sheet",
    ))
}

fn check_model(path: &str, model: &Model) -> Result<(), SheetError> {
    if model.version.is_empty() {
        return Err(SheetError::value(
            format!("{path}.version"),
            "\"\"",
            "a name that is not empty",
        ));
    }
    check_range(&format!("{path}.full_limit"), model.full_limit, 1, 65_536)?;
    check_range(
        &format!("{path}.cold_limit"),
        model.cold_limit,
        1,
        model.full_limit,
    )?;
    if model.cold_time > LONGEST_COLD_TIME {
        return Err(SheetError::value(
            format!("{path}.cold_time"),
            humantime::format_duration(model.cold_time),
            "up to 1h",
        ));
    }
    check_range(
        &format!("{path}.max_out_percent"),
        model.max_out_percent,
        1,
        100,
    )
}

fn check_service(path: &str, service: &Service) -> Result<(), SheetError> {
    check_range(&format!("{path}.limit"), service.limit, 1, 65_536)?;
    for (i, call) in service.calls.iter().enumerate() {
        if !call.path.starts_with('/') {
            return Err(SheetError::value(
                format!("{path}.calls[{i}].path"),
                &call.path,
                "a path that starts with /",
            ));
        }
    }
    check_homes(path, &service.homes)
}

fn check_homes(path: &str, homes: &[HomeSet]) -> Result<(), SheetError> {
    for (i, set) in homes.iter().enumerate() {
        if set.instances.is_empty() {
            return Err(SheetError::value(
                format!("{path}.homes[{i}].instances"),
                "[]",
                "at least one instance",
            ));
        }
        if i > 0 && set.from <= homes[i - 1].from {
            return Err(SheetError::value(
                format!("{path}.homes[{i}].from"),
                humantime::format_rfc3339_millis(set.from),
                "a later time than the set before it",
            ));
        }
    }
    Ok(())
}

fn check_instances<'a>(
    sheet: &Sheet,
    path: &str,
    instances: &'a Instances,
    seen: &mut BTreeMap<&'a Name, String>,
) -> Result<(), SheetError> {
    for (data_centre, names) in instances {
        let path = format!("{path}.instances.{data_centre}");
        if !sheet.data_centres.contains_key(data_centre) {
            return Err(SheetError::value(
                path,
                data_centre,
                "a data centre of the sheet",
            ));
        }
        for name in names {
            if name.is_empty() {
                return Err(SheetError::value(path, "\"\"", "an instance name"));
            }
            if let Some(first) = seen.insert(name, path.clone()) {
                return Err(SheetError::value(
                    path,
                    name,
                    format!("an instance once only, it stands under {first} too"),
                ));
            }
        }
    }
    Ok(())
}

fn check_leaving(sheet: &Sheet, seen: &BTreeMap<&Name, String>) -> Result<(), SheetError> {
    match sheet.leaving.iter().find(|name| !seen.contains_key(name)) {
        None => Ok(()),
        Some(name) => Err(SheetError::value(
            "leaving",
            name,
            "an instance that a model or service of the sheet names",
        )),
    }
}

fn check_range(path: &str, value: u32, least: u32, most: u32) -> Result<(), SheetError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(SheetError::value(path, value, format!("{least} to {most}")))
}

/// Checks that `next` may be published after `last`.
///
/// Operators run this before they publish. A process cannot: whether it holds `last` depends on
/// what reached it, and every process must accept the same sheets.
pub fn check_successor(last: &Sheet, next: &Sheet) -> Result<(), SheetError> {
    if next.version <= last.version {
        return Err(SheetError::value(
            "version",
            next.version,
            format!("more than {}", last.version),
        ));
    }
    if next.published < last.published {
        return Err(SheetError::value(
            "published",
            humantime::format_rfc3339_millis(next.published),
            "a time not before the last sheet's",
        ));
    }
    for (name, service) in &next.services {
        if let Some(before) = last.services.get(name) {
            check_home_change(name, last, before, service)?;
        }
    }
    Ok(())
}

/// Homes may differ only for stamps that the last sheet does not vouch for.
fn check_home_change(
    name: &Name,
    last: &Sheet,
    before: &Service,
    after: &Service,
) -> Result<(), SheetError> {
    let vouched = last.published + last.home_horizon;
    let kept: Vec<_> = before.homes.iter().filter(|s| s.from <= vouched).collect();
    let found: Vec<_> = after.homes.iter().filter(|s| s.from <= vouched).collect();
    if kept == found {
        return Ok(());
    }
    Err(SheetError::value(
        format!("services.{name}.homes"),
        "a change to homes that the last sheet vouches for",
        format!(
            "changes from {} on only",
            humantime::format_rfc3339_millis(vouched)
        ),
    ))
}
