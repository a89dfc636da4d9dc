//! Queries on a sheet for routing and placement.

use std::time::SystemTime;

use utils::{
    rank,
    Name, //
};

use crate::document::{
    DataCentreState,
    InstancesByDataCentre,
    Model,
    Service,
    Sheet, //
};

/// The workload of an instance.
#[derive(Clone, Debug)]
pub enum Workload<'a> {
    /// A model engine.
    Model(&'a Name, &'a Model),
    /// A service without a model.
    Service(&'a Name, &'a Service),
}

/// The location and workload of an instance.
#[derive(Clone, Debug)]
pub struct Placement<'a> {
    /// The data centre of the instance.
    pub data_centre: &'a Name,
    /// The region of that data centre.
    pub region: &'a Name,
    /// The workload of the instance.
    pub workload: Workload<'a>,
}

impl Sheet {
    /// The placement of `instance`, `None` if no model or service lists it.
    pub fn placement(&self, instance: &str) -> Option<Placement<'_>> {
        let models = self
            .models
            .iter()
            .map(|(name, model)| (Workload::Model(name, model), &model.instances));
        let services = self
            .services
            .iter()
            .map(|(name, service)| (Workload::Service(name, service), &service.instances));
        models.chain(services).find_map(|(workload, instances)| {
            let data_centre = data_centre_of(instances, instance)?;
            Some(Placement {
                data_centre,
                region: &self.data_centres.get(data_centre)?.region,
                workload,
            })
        })
    }

    /// Whether `data_centre` is in service.
    pub fn is_in_service(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|dc| dc.state == DataCentreState::In)
    }

    /// The region of `data_centre`.
    pub fn region(&self, data_centre: &str) -> Option<&Name> {
        self.data_centres.get(data_centre).map(|dc| &dc.region)
    }

    /// Whether `instance` is being removed.
    pub fn is_leaving(&self, instance: &str) -> bool {
        self.leaving.contains(instance)
    }
}

impl Model {
    /// The number of targets of `data_centre` that may be out of service at once while they switch
    /// version.
    pub fn max_switching_targets(&self, data_centre: &str) -> usize {
        let count = self.instances.get(data_centre).map_or(0, Vec::len);
        (count * self.max_out_percent as usize / 100).max(1)
    }
}

impl Service {
    /// Whether a call may safely run more than once. The first matching entry applies.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .find(|call| &*call.method == method && path.starts_with(&*call.path))
            .is_some_and(|call| call.repeatable)
    }

    /// The home of the idempotency key `key` that was issued at `stamp`. `None` if no entry of
    /// `homes` applies to that time.
    pub fn home_of_key(&self, key: u128, stamp: SystemTime) -> Option<Name> {
        let key_homes = self.homes.iter().rev().find(|homes| homes.from <= stamp)?;
        let key = rank::hash_key(&key.to_be_bytes());
        rank::highest_ranked(key, &key_homes.instances, 1).pop()
    }
}

/// The data centre under which `instances` lists `instance`.
fn data_centre_of<'a>(instances: &'a InstancesByDataCentre, instance: &str) -> Option<&'a Name> {
    instances
        .iter()
        .find(|(_, names)| names.iter().any(|name| &**name == instance))
        .map(|(data_centre, _)| data_centre)
}
