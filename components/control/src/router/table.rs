//! Indexes the configuration: the route of a request and the team of a key.

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

/// The current configuration, indexed by host and by key.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    config: Arc<Config>,
    routes_by_host: HashMap<Name, Vec<Arc<Route>>>,
    teams_by_key: HashMap<Name, Arc<Team>>,
    /// Whether this configuration or an earlier one of this process has a list of teams.
    asks_for_keys: bool,
    /// The priorities of the routes of each service, the most urgent first.
    priorities: HashMap<Name, Vec<u8>>,
    /// The least urgent priority of a team.
    last_team_priority: u8,
}

impl RoutingTable {
    /// Indexes a configuration. Once a process had a list of teams, one without a list holds no keys: it has
    /// taken all of them away.
    pub fn new(config: Arc<Config>, previous: Option<&Self>) -> Self {
        let mut routes_by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(route.clone());
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut priorities: HashMap<Name, Vec<u8>> = HashMap::new();
        for route in &config.routes {
            for (service, _) in &route.services {
                let known = priorities.entry(service.clone()).or_default();
                if let Err(index) = known.binary_search(&route.priority) {
                    known.insert(index, route.priority);
                }
            }
        }
        let team_priorities = config.teams().filter_map(|team| team.priority);
        let last_team_priority = team_priorities.max().unwrap_or_default();
        let teams_by_key = config
            .teams()
            .flat_map(|team| team.api_keys.iter().map(|key| (key.clone(), team.clone())))
            // An empty key is none.
            .filter(|(key, _)| !key.is_empty())
            .collect();
        let asks_for_keys = config.teams.is_some() || previous.is_some_and(Self::asks_for_keys);
        Self {
            config,
            routes_by_host,
            teams_by_key,
            asks_for_keys,
            priorities,
            last_team_priority,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The route of the host with the longest prefix of `path`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The number of more urgent priorities among the routes of the service, or `None` if all its
    /// routes have the same priority. The priority of a team takes precedence: the requests of all but
    /// the least urgent teams count as most urgent.
    pub fn priority_level(
        &self,
        service: &str,
        priority: u8,
        team_priority: Option<u8>,
    ) -> Option<u8> {
        let priorities = self.priorities.get(service).filter(|p| p.len() > 1)?;
        if team_priority.is_some_and(|priority| priority < self.last_team_priority) {
            return Some(0);
        }
        let level = priorities.partition_point(|p| *p < priority);
        Some(u8::try_from(level).unwrap_or(u8::MAX))
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// Whether requests need a key unless their route allows anonymous callers.
    pub fn asks_for_keys(&self) -> bool {
        self.asks_for_keys
    }

    /// The route with this name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.config.routes.iter().find(|route| *route.name == *name)
    }

    /// The number of keys that callers may use.
    pub fn key_count(&self) -> usize {
        self.teams_by_key.len()
    }
}

/// The service of a request of `route`: a hash of the request's id selects it by weight.
pub fn choose_service<'a>(route: &'a Route, id: &str) -> Option<&'a Name> {
    let total: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut point = rank::hash_key(id.as_bytes()) % total.max(1);
    for (service, weight) in &route.services {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service);
        }
        point -= weight;
    }
    None
}
