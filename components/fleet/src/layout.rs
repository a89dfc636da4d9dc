//! How large a fleet is and what its links bear.

use std::time::Duration;

use control::{
    agent,
    entry, //
};
use standins::EngineOptions;
use utils::Name;

/// The links, as copies of the weights that they bear in a window of time.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkShape {
    /// The window.
    pub window: Duration,
    /// Copies that the origin's link bears.
    pub origin_copies: f64,
    /// Copies that the link of an instance bears, each way.
    pub instance_copies: f64,
    /// Copies that a link between two regions bears, each way.
    pub region_copies: f64,
}

impl Default for LinkShape {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            origin_copies: 4.0,
            instance_copies: 2.0,
            region_copies: 1.25,
        }
    }
}

/// The shape of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Data centres and their regions. The origin stands in the first region.
    pub data_centres: Vec<(Name, Name)>,
    /// Model targets in all.
    pub targets: usize,
    /// Plain services in all.
    pub services: usize,
    /// Entries in all.
    pub entries: usize,
    /// Bytes of weights of one version.
    pub weight_bytes: usize,
    /// Bytes of a chunk.
    pub chunk_bytes: u32,
    /// The links, or nothing for unpaced ones.
    pub links: Option<LinkShape>,
    /// Percent of a data centre's targets that may be out for a switch.
    pub max_out_percent: u32,
    /// Requests at once that a target bears in cold start, by the sheet.
    pub cold_limit: u32,
    /// How long a cold start takes, by the sheet.
    pub cold_time: Duration,
    /// Requests at once that a target bears, by the sheet.
    pub full_limit: u32,
    /// Requests at once that a service bears.
    pub service_limit: u32,
    /// The engines.
    pub engine: EngineOptions,
    /// Whether the engines run a first version from the start.
    pub loaded: bool,
    /// The agents.
    pub agent: agent::Options,
    /// The entries.
    pub entry: entry::Options,
    /// Seeds the weights' bytes.
    pub seed: u64,
}

impl Layout {
    /// Three data centres in three regions, with times that suit a run of seconds.
    pub fn small(targets: usize) -> Self {
        let mut agent = agent::Options::default();
        agent.intervals.heartbeat = Duration::from_millis(500);
        agent.intervals.settle = Duration::from_secs(1);
        agent.rollout.ask_every = Duration::from_millis(100);
        agent.rollout.failed_after = Duration::from_secs(3);
        agent.limits.exchange_interval = Duration::from_millis(100);
        agent.limits.candidate_timeout = Duration::from_millis(1500);
        agent.limits.stall_timeout = Duration::from_secs(2);
        let entry = entry::Options {
            intervals: agent.intervals.clone(),
            ramp: Duration::from_secs(4),
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
            links: Some(LinkShape::default()),
            max_out_percent: 50,
            cold_limit: 2,
            cold_time: Duration::from_millis(600),
            full_limit: 16,
            service_limit: 32,
            engine: EngineOptions::default(),
            loaded: true,
            agent,
            entry,
            seed: 1,
        }
    }

    /// The shortest time in which every target can have the weights: the slowest link that each
    /// copy must cross, and one chunk for each hop to the last target.
    pub fn bound(&self) -> Duration {
        let Some(links) = &self.links else {
            return Duration::ZERO;
        };
        let window = links.window.as_secs_f64();
        let several_regions = self.regions().len() > 1;
        let mut slowest = links.instance_copies.min(links.origin_copies);
        if several_regions {
            slowest = slowest.min(links.region_copies);
        }
        let hops = (self.targets.max(2) as f64).log2().ceil();
        let chunk = f64::from(self.chunk_bytes) / self.weight_bytes as f64;
        let hop = chunk * window / links.instance_copies;
        Duration::from_secs_f64(window / slowest + hops * hop)
    }

    /// The regions, each once.
    pub fn regions(&self) -> Vec<Name> {
        let mut regions: Vec<Name> = Vec::new();
        for (_, region) in &self.data_centres {
            if !regions.contains(region) {
                regions.push(region.clone());
            }
        }
        regions
    }

    /// The data centre of the `index`-th instance of a kind.
    pub fn data_centre(&self, index: usize) -> &Name {
        &self.data_centres[index % self.data_centres.len()].0
    }

    /// The region of a data centre.
    pub fn region(&self, data_centre: &str) -> Name {
        let found = self
            .data_centres
            .iter()
            .find(|(dc, _)| **dc == *data_centre);
        found.map_or_else(|| data_centre.into(), |(_, region)| region.clone())
    }
}
