//! Links with a limited rate, and network partitions.

use std::collections::{
    BTreeMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use proxy::{
    Links,
    Pacer, //
};
use standins::Throttle;
use utils::clock::Clock;
use utils::Name;
use wire::PoolOptions;

use crate::layout::Layout;

/// The current network partitions.
#[derive(Debug, Default)]
struct Partitions {
    /// Pairs of regions that cannot reach each other, in both orders.
    regions: HashSet<(Name, Name)>,
    /// Instances that cannot reach any other instance.
    instances: HashSet<Name>,
    /// The instance and region of each process, by its address.
    locations: BTreeMap<SocketAddr, (Name, Name)>,
}

/// The network of a fleet.
#[derive(Clone)]
pub struct Network {
    clock: Arc<dyn Clock>,
    instance_bytes_per_second: Option<f64>,
    origin: Option<Arc<Pacer>>,
    between_regions: BTreeMap<(Name, Name), Arc<Pacer>>,
    partitions: Arc<Mutex<Partitions>>,
}

impl std::fmt::Debug for Network {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Network")
            .field("partitions", &self.partitions)
            .finish_non_exhaustive()
    }
}

impl Network {
    /// Creates the network of a fleet with `layout`.
    pub fn new(layout: &Layout, clock: Arc<dyn Clock>) -> Self {
        let bytes_per_second = |copies: f64| {
            let links = layout.links.as_ref()?;
            Some(copies * layout.weight_bytes as f64 / links.window.as_secs_f64())
        };
        let links = layout.links.clone().unwrap_or_default();
        let pacer =
            |copies| bytes_per_second(copies).map(|rate| Arc::new(Pacer::new(clock.clone(), rate)));
        let mut between_regions = BTreeMap::new();
        for from in layout.regions() {
            for to in layout.regions().into_iter().filter(|to| *to != from) {
                if let Some(pacer) = pacer(links.region_copies) {
                    between_regions.insert((from.clone(), to), pacer);
                }
            }
        }
        Self {
            instance_bytes_per_second: bytes_per_second(links.instance_copies),
            origin: pacer(links.origin_copies),
            between_regions,
            partitions: Arc::default(),
            clock,
        }
    }

    /// Returns the links of one instance.
    pub fn instance_links(&self) -> Links {
        let pacer = || {
            self.instance_bytes_per_second
                .map(|rate| Arc::new(Pacer::new(self.clock.clone(), rate)))
        };
        Links {
            outgoing: pacer(),
            incoming: pacer(),
            other_regions: None,
            between_regions: self.between_regions.clone(),
        }
    }

    /// Returns a throttle with the rate of the link of the origin.
    pub fn origin_throttle(&self) -> Throttle {
        let pacer = self.origin.clone();
        Arc::new(move |bytes| {
            let pacer = pacer.clone();
            Box::pin(async move {
                if let Some(pacer) = pacer {
                    pacer.acquire(bytes).await;
                }
            })
        })
    }

    /// Returns the number of bytes of weights that `region` received from other regions.
    pub fn bytes_received_by_region(&self, region: &str) -> u64 {
        let links = self
            .between_regions
            .iter()
            .filter(|((_, to), _)| **to == *region);
        links.map(|(_, pacer)| pacer.sent_bytes()).sum()
    }

    /// Registers the instance and region of the process that listens on `address`.
    pub fn register_process(&self, address: SocketAddr, instance: &Name, region: &Name) {
        let location = (instance.clone(), region.clone());
        self.lock().locations.insert(address, location);
    }

    /// Starts or ends a network partition between two regions.
    pub fn partition_regions(&self, one: &str, other: &str, is_partitioned: bool) {
        let mut partitions = self.lock();
        for pair in [(one, other), (other, one)] {
            let pair = (pair.0.into(), pair.1.into());
            if is_partitioned {
                partitions.regions.insert(pair);
            } else {
                partitions.regions.remove(&pair);
            }
        }
    }

    /// Starts or ends a network partition between an instance and all others.
    pub fn partition_instance(&self, instance: &str, is_partitioned: bool) {
        let mut partitions = self.lock();
        if is_partitioned {
            partitions.instances.insert(instance.into());
        } else {
            partitions.instances.remove(instance);
        }
    }

    /// Returns connection options for one instance that apply the current network partitions.
    pub fn pool_options(&self, instance: &Name, region: &Name) -> PoolOptions {
        let partitions = self.partitions.clone();
        let (instance, region) = (instance.clone(), region.clone());
        let is_reachable = move |address: SocketAddr| {
            let partitions = partitions.lock().unwrap_or_else(PoisonError::into_inner);
            let Some((to, to_region)) = partitions.locations.get(&address) else {
                return true;
            };
            let regions_partitioned = partitions
                .regions
                .contains(&(region.clone(), to_region.clone()));
            let instances_partitioned =
                partitions.instances.contains(&instance) || partitions.instances.contains(to);
            !regions_partitioned && (!instances_partitioned || *to == instance)
        };
        PoolOptions {
            is_reachable: Arc::new(is_reachable),
            ..PoolOptions::default()
        }
    }

    fn lock(&self) -> MutexGuard<'_, Partitions> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
