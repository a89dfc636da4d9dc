//! The size of a fleet and the capacity of its links.

use std::time::Duration;

use control::{
    agent,
    entry, //
};
use standins::EngineOptions;
use utils::Name;

/// Capacity of the links, as copies of the weights that they can carry in a window of time.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCapacity {
    /// The window of time.
    pub window: Duration,
    /// Copies that the link of the origin can carry per window.
    pub origin_copies: f64,
    /// Copies that the link of an instance can carry per window in each direction.
    pub instance_copies: f64,
    /// Copies that a link between two regions can carry per window in each direction.
    pub region_copies: f64,
}

impl Default for LinkCapacity {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            origin_copies: 4.0,
            instance_copies: 2.0,
            region_copies: 1.25,
        }
    }
}

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Data centres with their regions. The origin is in the first region.
    pub data_centres: Vec<(Name, Name)>,
    /// Number of model targets.
    pub targets: usize,
    /// Number of instances of the plain service.
    pub services: usize,
    /// Number of entries.
    pub entries: usize,
    /// Size of the weights of one version.
    pub weight_bytes: usize,
    /// Size of a chunk.
    pub chunk_bytes: u32,
    /// Capacity of the links, or nothing for links without a limit.
    pub links: Option<LinkCapacity>,
    /// Percentage of the targets of a data centre that may be out of service to switch versions.
    pub max_out_percent: u32,
    /// Concurrent requests that the sheet allows for a target in cold start.
    pub cold_limit: u32,
    /// Duration of a cold start according to the sheet.
    pub cold_time: Duration,
    /// Concurrent requests that the sheet allows for a warm target.
    pub full_limit: u32,
    /// Concurrent requests that the sheet allows for an instance of the plain service.
    pub service_limit: u32,
    /// Options of the engines.
    pub engine: EngineOptions,
    /// Whether the engines start with version `v1` loaded.
    pub starts_loaded: bool,
    /// Options of the agents.
    pub agent: agent::Options,
    /// Options of the entries.
    pub entry: entry::Options,
    /// Seed of the random bytes of the weights.
    pub seed: u64,
}

impl Layout {
    /// Returns a layout with three data centres in three regions, and with intervals and timeouts
    /// short enough for runs of a few seconds.
    pub fn small(targets: usize) -> Self {
        let mut agent = agent::Options::default();
        agent.intervals.heartbeat = Duration::from_millis(500);
        agent.intervals.settle_timeout = Duration::from_secs(1);
        agent.rollout.status_interval = Duration::from_millis(100);
        agent.rollout.failure_timeout = Duration::from_secs(3);
        agent.transfer_limits.exchange_interval = Duration::from_millis(100);
        agent.transfer_limits.candidate_timeout = Duration::from_millis(1500);
        agent.transfer_limits.stall_timeout = Duration::from_secs(2);
        let entry = entry::Options {
            intervals: agent.intervals.clone(),
            ramp_time: Duration::from_secs(4),
            ..entry::Options::default()
        };
        let pair = |data_centre: &str, region: &str| (data_centre.into(), region.into());
        Self {
            data_centres: vec![
                pair("accra-a", "accra"),
                pair("kumasi-a", "kumasi"),
                pair("tamale-a", "tamale"),
            ],
            targets,
            services: 3,
            entries: 2,
            weight_bytes: 8 << 20,
            chunk_bytes: 64 << 10,
            links: Some(LinkCapacity::default()),
            max_out_percent: 50,
            cold_limit: 2,
            cold_time: Duration::from_millis(600),
            full_limit: 16,
            service_limit: 32,
            engine: EngineOptions::default(),
            starts_loaded: true,
            agent,
            entry,
            seed: 1,
        }
    }

    /// Returns the shortest time in which all targets can receive the weights: the time to send one
    /// copy over the slowest link on its way, plus the time of one chunk for each hop to the last
    /// target.
    pub fn min_transfer_time(&self) -> Duration {
        let Some(links) = &self.links else {
            return Duration::ZERO;
        };
        let window = links.window.as_secs_f64();
        let several_regions = self.regions().len() > 1;
        let mut slowest_copies = links.instance_copies.min(links.origin_copies);
        if several_regions {
            slowest_copies = slowest_copies.min(links.region_copies);
        }
        let hops = (self.targets.max(2) as f64).log2().ceil();
        let chunk_share = f64::from(self.chunk_bytes) / self.weight_bytes as f64;
        let hop_seconds = chunk_share * window / links.instance_copies;
        Duration::from_secs_f64(window / slowest_copies + hops * hop_seconds)
    }

    /// Returns the regions without duplicates.
    pub fn regions(&self) -> Vec<Name> {
        let mut regions: Vec<Name> = Vec::new();
        for (_, region) in &self.data_centres {
            if !regions.contains(region) {
                regions.push(region.clone());
            }
        }
        regions
    }

    /// Returns the data centre of the `index`-th instance of any kind.
    pub fn data_centre(&self, index: usize) -> &Name {
        &self.data_centres[index % self.data_centres.len()].0
    }

    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &str) -> Name {
        let found = self
            .data_centres
            .iter()
            .find(|(dc, _)| **dc == *data_centre);
        found.map_or_else(|| data_centre.into(), |(_, region)| region.clone())
    }
}
