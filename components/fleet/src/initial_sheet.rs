//! The initial sheet of a fleet, and the names of its instances.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::{
    Duration,
    SystemTime, //
};

use sheet::{
    Call,
    DataCentre,
    DataCentreState,
    InstancesByDataCentre,
    KeyHomes,
    Model,
    Service,
    Sheet,
    Team, //
};
use utils::digest::Digest;
use utils::Name;

use crate::layout::Layout;

/// Name of the model that every fleet serves.
pub const MODEL: &str = "drafting";

/// Name of the plain service in every fleet.
pub const SERVICE: &str = "orders";

/// Teams with their shares of the capacity.
const TEAMS: [(&str, u32); 4] = [
    ("head-office", 3),
    ("kumasi-studio", 2),
    ("takoradi-studio", 1),
    ("tamale-studio", 1),
];

/// Returns the first sheet of a fleet, with version `v1` of the model.
pub(crate) fn initial_sheet(layout: &Layout, manifest: Digest, now: SystemTime) -> Sheet {
    let mut data_centres = BTreeMap::new();
    for (name, region) in &layout.data_centres {
        let data_centre = DataCentre {
            region: region.clone(),
            state: DataCentreState::In,
        };
        data_centres.insert(name.clone(), data_centre);
    }
    let service_instances = instances_by_data_centre(layout, layout.services, service_name);
    let model = Model {
        version: "v1".into(),
        manifest,
        cold_limit: layout.cold_limit,
        cold_time: layout.cold_time,
        full_limit: layout.full_limit,
        max_out_percent: layout.max_out_percent,
        instances: instances_by_data_centre(layout, layout.targets, target_name),
    };
    let homes = KeyHomes {
        from: now - Duration::from_secs(3600),
        instances: service_instances.values().flatten().cloned().collect(),
    };
    let call = |method: &str, path: &str, repeatable| Call {
        method: method.into(),
        path: path.into(),
        repeatable,
    };
    let service = Service {
        limit: layout.service_limit,
        calls: vec![call("GET", "/jobs", true), call("POST", "/orders", false)],
        instances: service_instances,
        homes: vec![homes],
    };
    let has_services = layout.services > 0;
    Sheet {
        version: 1,
        published: now,
        home_horizon: Duration::from_secs(3600),
        origin_region: layout.data_centres[0].1.clone(),
        data_centres,
        models: BTreeMap::from([(MODEL.into(), model)]),
        services: has_services
            .then(|| (SERVICE.into(), service))
            .into_iter()
            .collect(),
        teams: TEAMS
            .iter()
            .map(|(name, share)| {
                let team = Team {
                    share: *share,
                    token_digest: None,
                };
                ((*name).into(), team)
            })
            .collect(),
        leaving: BTreeSet::new(),
    }
}

/// Returns the name of the `index`-th model target.
pub(crate) fn target_name(index: usize) -> Name {
    format!("draft-{index}").into()
}

/// Returns the name of the `index`-th instance of the plain service.
pub(crate) fn service_name(index: usize) -> Name {
    format!("orders-{index}").into()
}

/// Returns the name of the `index`-th entry.
pub(crate) fn entry_name(index: usize) -> Name {
    format!("entry-{index}").into()
}

fn instances_by_data_centre(
    layout: &Layout,
    count: usize,
    name: fn(usize) -> Name,
) -> InstancesByDataCentre {
    let mut instances = InstancesByDataCentre::new();
    for index in 0..count {
        let data_centre = layout.data_centre(index).clone();
        instances.entry(data_centre).or_default().push(name(index));
    }
    instances
}
