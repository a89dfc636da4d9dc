//! Validation of a sheet beyond what its types enforce.

use std::collections::BTreeMap;
use std::time::Duration;

use utils::Name;

use crate::document::{
    InstancesByDataCentre,
    KeyHomes,
    Model,
    Service,
    Sheet, //
};
use crate::error::SheetError;

const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

/// A year.
const MAX_HOME_HORIZON: Duration = Duration::from_secs(365 * 24 * 3600);

/// Validates a sheet. Only its own content counts, so that every process accepts the same sheets.
pub(crate) fn check(sheet: &Sheet) -> Result<(), SheetError> {
    if sheet.version == 0 {
        return Err(SheetError::value("version", 0, "1 or more"));
    }
    if sheet.data_centres.is_empty() {
        return Err(SheetError::value("data_centres", "{}", "at least one"));
    }
    if sheet.home_horizon > MAX_HOME_HORIZON {
        return Err(SheetError::value(
            "home_horizon",
            humantime::format_duration(sheet.home_horizon),
            "up to 365days",
        ));
    }
    check_origin_region(sheet)?;
    let mut known_instances = BTreeMap::new();
    for (name, model) in &sheet.models {
        let path = format!("models.{name}");
        check_model(&path, model)?;
        check_instances(sheet, &path, &model.instances, &mut known_instances)?;
    }
    for (name, service) in &sheet.services {
        let path = format!("services.{name}");
        check_service(&path, service)?;
        check_instances(sheet, &path, &service.instances, &mut known_instances)?;
    }
    for (name, team) in &sheet.teams {
        let path = format!("teams.{name}.share");
        check_range(&path, team.share, 1, 1000)?;
    }
    check_leaving(sheet, &known_instances)
}

fn check_origin_region(sheet: &Sheet) -> Result<(), SheetError> {
    let is_known = sheet
        .data_centres
        .values()
        .any(|dc| dc.region == sheet.origin_region);
    if is_known {
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
    if model.cold_time > MAX_COLD_TIME {
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

fn check_homes(path: &str, homes: &[KeyHomes]) -> Result<(), SheetError> {
    for (i, key_homes) in homes.iter().enumerate() {
        if key_homes.instances.is_empty() {
            return Err(SheetError::value(
                format!("{path}.homes[{i}].instances"),
                "[]",
                "at least one instance",
            ));
        }
        if i > 0 && key_homes.from <= homes[i - 1].from {
            return Err(SheetError::value(
                format!("{path}.homes[{i}].from"),
                humantime::format_rfc3339_millis(key_homes.from),
                "a later time than the set before it",
            ));
        }
    }
    Ok(())
}

fn check_instances<'a>(
    sheet: &Sheet,
    path: &str,
    instances: &'a InstancesByDataCentre,
    known_instances: &mut BTreeMap<&'a Name, String>,
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
            if let Some(first) = known_instances.insert(name, path.clone()) {
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

fn check_leaving(
    sheet: &Sheet,
    known_instances: &BTreeMap<&Name, String>,
) -> Result<(), SheetError> {
    match sheet
        .leaving
        .iter()
        .find(|name| !known_instances.contains_key(name))
    {
        None => Ok(()),
        Some(name) => Err(SheetError::value(
            "leaving",
            name,
            "an instance that a model or service of the sheet names",
        )),
    }
}

fn check_range(path: &str, value: u32, min: u32, max: u32) -> Result<(), SheetError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(SheetError::value(path, value, format!("{min} to {max}")))
}

/// Checks that `next` may be published after `previous`.
///
/// This runs before publication. Processes do not check it: whether a process has `previous`
/// depends on which messages reached it, and every process must accept the same sheets.
pub fn check_successor(previous: &Sheet, next: &Sheet) -> Result<(), SheetError> {
    if next.version <= previous.version {
        return Err(SheetError::value(
            "version",
            next.version,
            format!("more than {}", previous.version),
        ));
    }
    if next.published < previous.published {
        return Err(SheetError::value(
            "published",
            humantime::format_rfc3339_millis(next.published),
            "a time not before the last sheet's",
        ));
    }
    for (name, service) in &next.services {
        if let Some(before) = previous.services.get(name) {
            check_home_change(name, previous, before, service)?;
        }
    }
    Ok(())
}

/// Checks that the homes change only for keys issued after the home horizon of the previous sheet.
fn check_home_change(
    name: &Name,
    previous: &Sheet,
    before: &Service,
    after: &Service,
) -> Result<(), SheetError> {
    let guaranteed_until = previous.published + previous.home_horizon;
    let required_homes: Vec<_> = before
        .homes
        .iter()
        .filter(|homes| homes.from <= guaranteed_until)
        .collect();
    let new_homes: Vec<_> = after
        .homes
        .iter()
        .filter(|homes| homes.from <= guaranteed_until)
        .collect();
    if required_homes == new_homes {
        return Ok(());
    }
    Err(SheetError::value(
        format!("services.{name}.homes"),
        "a change to homes that the last sheet vouches for",
        format!(
            "changes from {} on only",
            humantime::format_rfc3339_millis(guaranteed_until)
        ),
    ))
}
