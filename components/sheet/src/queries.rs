//! Questions that routing and placement ask of a sheet.

use std::time::SystemTime;

use utils::{
    rank,
    Name, //
};

use crate::document::{
    Instances,
    Model,
    Service,
    ServiceState,
    Sheet, //
};

/// What runs on an instance.
#[derive(Clone, Debug)]
pub enum Workload<'a> {
    /// A model engine.
    Model(&'a Name, &'a Model),
    /// A plain service.
    Service(&'a Name, &'a Service),
}

/// Where an instance stands and what runs there.
#[derive(Clone, Debug)]
pub struct Placement<'a> {
    /// The data centre of the instance.
    pub data_centre: &'a Name,
    /// The region of that data centre.
    pub region: &'a Name,
    /// What runs there.
    pub workload: Workload<'a>,
}

impl Sheet {
    /// Finds what the sheet places on `instance`.
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

    /// Whether `data_centre` takes new work.
    pub fn is_in(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|dc| dc.state == ServiceState::In)
    }

    /// The region of `data_centre`.
    pub fn region(&self, data_centre: &str) -> Option<&Name> {
        self.data_centres.get(data_centre).map(|dc| &dc.region)
    }

    /// Whether `instance` is to leave.
    pub fn is_leaving(&self, instance: &str) -> bool {
        self.leaving.contains(instance)
    }
}

impl Model {
    /// How many targets of `data_centre` may be out of service for a switch at once.
    pub fn switch_width(&self, data_centre: &str) -> usize {
        let count = self.instances.get(data_centre).map_or(0, Vec::len);
        (count * self.max_out_percent as usize / 100).max(1)
    }
}

impl Service {
    /// Whether running a call twice does no harm. The first matching entry counts.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .find(|call| &*call.method == method && path.starts_with(&*call.path))
            .is_some_and(|call| call.repeatable)
    }

    /// The home of the key `key` that was issued at `stamp`.
    pub fn home(&self, key: u128, stamp: SystemTime) -> Option<Name> {
        let set = self.homes.iter().rev().find(|set| set.from <= stamp)?;
        let key = rank::key(&key.to_be_bytes());
        rank::top(key, &set.instances, 1).pop()
    }
}

/// The data centre under which `instances` lists `instance`.
fn data_centre_of<'a>(instances: &'a Instances, instance: &str) -> Option<&'a Name> {
    instances
        .iter()
        .find(|(_, names)| names.iter().any(|name| &**name == instance))
        .map(|(data_centre, _)| data_centre)
}
