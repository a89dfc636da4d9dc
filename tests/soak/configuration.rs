//! The configuration of a run, and random changes of it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{
    json,
    Value, //
};

use crate::standin::publish::{
    publish_changed_config,
    split_traffic,
    API_KEYS, //
};
use crate::standin::Store;

/// The services that requests without prompts may go to.
pub const DESKS: [&str; 2] = ["desk", "desk-b"];

/// The routes of callers, and `/new-0/`.
pub const ROUTES: [&str; 5] = ["chat", "look", "order", "talk", "new"];

/// The routes that may be moved, split and removed.
const CHANGED_ROUTES: [&str; 2] = ["look", "order"];

const IDLE_TIMES_MS: std::ops::Range<u64> = 1500..6000;
const HEADER_TIMEOUTS_MS: std::ops::Range<u64> = 1000..5000;
const MAX_HEADER_BYTES: std::ops::Range<u64> = 8192..32768;
const ROUTE_TIMEOUTS_MS: std::ops::Range<u64> = 3000..6000;
const ADDITIONAL_ROUTES: std::ops::Range<usize> = 200..900;

/// A valid API key that no caller uses.
const ADDITIONAL_KEY: &str = "k3";

/// A configuration, beside its version.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub keys: Vec<&'static str>,
    has_additional_key: bool,
    pub idle_time: Duration,
    header_timeout_ms: u64,
    max_header_bytes: u64,
    /// The timeouts of [`ROUTES`].
    timeouts_ms: [u64; ROUTES.len()],
    priorities: [u64; ROUTES.len()],
    team_priority: u64,
    /// The service of each of [`CHANGED_ROUTES`], as an index of [`DESKS`].
    desks: [usize; CHANGED_ROUTES.len()],
    /// The weights of [`DESKS`] if all of [`CHANGED_ROUTES`] are split.
    split: Option<[u64; DESKS.len()]>,
    removed_route: Option<&'static str>,
    additional_routes: usize,
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            keys: API_KEYS.to_vec(),
            has_additional_key: false,
            idle_time: Duration::from_secs(4),
            header_timeout_ms: 3000,
            max_header_bytes: 16384,
            timeouts_ms: [5000; ROUTES.len()],
            priorities: [1; ROUTES.len()],
            team_priority: 1,
            desks: [0; CHANGED_ROUTES.len()],
            split: None,
            removed_route: None,
            additional_routes: 1,
        }
    }
}

impl Configuration {
    /// Changes one thing, and describes it.
    pub fn change(&mut self, rng: &mut Pcg64Mcg) -> String {
        match rng.random_range(0..13) {
            0..3 => {
                let millis = rng.random_range(IDLE_TIMES_MS);
                self.idle_time = Duration::from_millis(millis);
                format!("idle time {millis} ms")
            }
            3 => {
                self.header_timeout_ms = rng.random_range(HEADER_TIMEOUTS_MS);
                format!("header timeout {} ms", self.header_timeout_ms)
            }
            4 => {
                self.max_header_bytes = rng.random_range(MAX_HEADER_BYTES);
                format!("header length {}", self.max_header_bytes)
            }
            5 | 6 => {
                self.timeouts_ms = std::array::from_fn(|_| rng.random_range(ROUTE_TIMEOUTS_MS));
                format!("route timeouts {:?} ms", self.timeouts_ms)
            }
            7 => {
                let route = rng.random_range(0..CHANGED_ROUTES.len());
                self.desks[route] = 1 - self.desks[route];
                format!("services of {CHANGED_ROUTES:?}: {:?}", self.desks)
            }
            8 => {
                let weights = std::array::from_fn(|_| rng.random_range(1..100));
                self.split = Some(weights).filter(|_| rng.random_bool(0.7));
                format!("split {:?}", self.split)
            }
            9 => {
                self.priorities = std::array::from_fn(|_| rng.random_range(0..3));
                self.team_priority = rng.random_range(0..3);
                format!("priorities {:?}, {}", self.priorities, self.team_priority)
            }
            10 => {
                let is_many = self.additional_routes == 1;
                let many = rng.random_range(ADDITIONAL_ROUTES);
                self.additional_routes = if is_many { many } else { 1 };
                format!("{} additional routes", self.additional_routes)
            }
            11 => {
                let route = CHANGED_ROUTES[rng.random_range(0..CHANGED_ROUTES.len())];
                let is_removed = self.removed_route.is_none();
                self.removed_route = is_removed.then_some(route);
                format!("removed route: {:?}", self.removed_route)
            }
            _ => {
                self.has_additional_key = !self.has_additional_key;
                format!("additional key: {}", self.has_additional_key)
            }
        }
    }

    /// Restores the routes that were removed.
    pub fn restore_routes(&mut self) {
        self.removed_route = None;
    }

    /// The timeout of the route whose prefix begins this path.
    pub fn route_timeout(&self, path: &str) -> Duration {
        let is_route = |name: &&str| path.starts_with(&format!("/{name}"));
        let route = ROUTES.iter().position(is_route).unwrap();
        Duration::from_millis(self.timeouts_ms[route])
    }

    pub fn publish(&self, store: &Store, version: u64, origin: SocketAddr) {
        publish_changed_config(store, version, Duration::ZERO, |config| {
            self.write_to(config);
            config["services"][2]["origin"] = json!(origin.to_string());
        });
    }

    fn write_to(&self, config: &mut Value) {
        let mut keys = self.keys.clone();
        keys.extend(self.has_additional_key.then_some(ADDITIONAL_KEY));
        config["tenants"][0]["api_keys"] = json!(keys);
        config["tenants"][0]["priority"] = json!(self.team_priority);
        let idle_ms = u64::try_from(self.idle_time.as_millis()).unwrap();
        config["limits"]["idle_timeout_ms"] = json!(idle_ms);
        config["limits"]["header_timeout_ms"] = json!(self.header_timeout_ms);
        config["limits"]["max_header_bytes"] = json!(self.max_header_bytes);
        let services = config["services"].as_array_mut().unwrap();
        let mut other_desk = services[1].clone();
        other_desk["name"] = json!(DESKS[1]);
        services.push(other_desk);
        self.write_routes(config["routes"].as_array_mut().unwrap());
    }

    fn write_routes(&self, routes: &mut Vec<Value>) {
        let look = routes.iter().find(|route| route["name"] == "look");
        let look = look.unwrap().clone();
        for number in 0..self.additional_routes {
            let mut route = look.clone();
            route["name"] = json!(format!("new-{number}"));
            route["prefix"] = json!(format!("/new-{number}/"));
            routes.push(route);
        }
        if let Some(removed) = self.removed_route {
            routes.retain(|route| route["name"] != removed);
        }
        for route in routes {
            let name = route["name"].as_str().unwrap().to_owned();
            let is_kind = |known: &&str| name.starts_with(*known);
            let number = ROUTES.iter().position(is_kind).unwrap();
            route["timeout_ms"] = json!(self.timeouts_ms[number]);
            route["priority"] = json!(self.priorities[number]);
            let changed = CHANGED_ROUTES.iter().position(|changed| *changed == name);
            if let Some(changed) = changed {
                self.write_services(route, self.desks[changed]);
            }
        }
    }

    fn write_services(&self, route: &mut Value, desk: usize) {
        route["service"] = json!(DESKS[desk]);
        let Some(weights) = self.split else {
            return;
        };
        split_traffic(route, DESKS.into_iter().zip(weights));
    }
}
