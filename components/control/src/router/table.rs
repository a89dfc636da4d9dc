//! Finds the route of a request and the team of a key.

use std::collections::HashMap;
use std::sync::Arc;

use utils::{
    rank,
    Name, //
};

use super::config::{
    Config,
    Route,
    Team, //
};

/// The configuration in force, indexed.
#[derive(Clone, Debug)]
pub struct Table {
    config: Arc<Config>,
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    keys: HashMap<Name, Arc<Team>>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(config: Arc<Config>) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let teams = config.teams.iter();
        let keys = teams
            .flat_map(|team| team.keys.iter().map(|key| (key.clone(), team.clone())))
            .collect();
        Self {
            config,
            hosts,
            keys,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The route with the longest prefix of `path`. A port behind the host plays no part.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// Whether requests need a key, unless their route is open.
    pub fn has_teams(&self) -> bool {
        !self.config.teams.is_empty()
    }
}

/// The service that a request of `route` goes to, drawn by weight from the request's id.
pub fn choose_service<'a>(route: &'a Route, id: &str) -> Option<&'a Name> {
    let total: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut place = rank::key(id.as_bytes()) % total.max(1);
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if place < weight {
            return Some(service);
        }
        place -= weight;
    }
    None
}
