//! Links that are paced and can be cut.

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
use standins::Pace;
use utils::clock::Clock;
use utils::Name;
use wire::PoolOptions;

use crate::layout::Layout;

/// What is cut.
#[derive(Debug, Default)]
struct Cuts {
    regions: HashSet<(Name, Name)>,
    instances: HashSet<Name>,
    /// The instance and region of each process.
    places: BTreeMap<SocketAddr, (Name, Name)>,
}

/// The links of a fleet.
#[derive(Clone)]
pub struct Network {
    clock: Arc<dyn Clock>,
    instance_rate: Option<f64>,
    origin: Option<Arc<Pacer>>,
    between: BTreeMap<(Name, Name), Arc<Pacer>>,
    cuts: Arc<Mutex<Cuts>>,
}

impl std::fmt::Debug for Network {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Network")
            .field("cuts", &self.cuts)
            .finish_non_exhaustive()
    }
}

impl Network {
    /// Makes the links of a fleet.
    pub fn new(layout: &Layout, clock: Arc<dyn Clock>) -> Self {
        let rate = |copies: f64| {
            let links = layout.links.as_ref()?;
            Some(copies * layout.weight_bytes as f64 / links.window.as_secs_f64())
        };
        let links = layout.links.clone().unwrap_or_default();
        let pacer = |copies| rate(copies).map(|rate| Arc::new(Pacer::new(clock.clone(), rate)));
        let mut between = BTreeMap::new();
        for from in layout.regions() {
            for to in layout.regions().into_iter().filter(|to| *to != from) {
                if let Some(pacer) = pacer(links.region_copies) {
                    between.insert((from.clone(), to), pacer);
                }
            }
        }
        Self {
            instance_rate: rate(links.instance_copies),
            origin: pacer(links.origin_copies),
            between,
            cuts: Arc::default(),
            clock,
        }
    }

    /// The links of one instance.
    pub fn links(&self) -> Links {
        let pacer = || {
            self.instance_rate
                .map(|rate| Arc::new(Pacer::new(self.clock.clone(), rate)))
        };
        Links {
            up: pacer(),
            down: pacer(),
            region: None,
            between: self.between.clone(),
        }
    }

    /// The link of the origin.
    pub fn origin(&self) -> Pace {
        let pacer = self.origin.clone();
        Arc::new(move |bytes| {
            let pacer = pacer.clone();
            Box::pin(async move {
                if let Some(pacer) = pacer {
                    pacer.take(bytes).await;
                }
            })
        })
    }

    /// Bytes of weights that entered `region` from others.
    pub fn bytes_into(&self, region: &str) -> u64 {
        let links = self.between.iter().filter(|((_, to), _)| **to == *region);
        links.map(|(_, pacer)| pacer.total()).sum()
    }

    /// Notes where a process listens.
    pub fn place(&self, address: SocketAddr, instance: &Name, region: &Name) {
        let place = (instance.clone(), region.clone());
        self.lock().places.insert(address, place);
    }

    /// Cuts two regions off from each other, or joins them again.
    pub fn cut_regions(&self, one: &str, other: &str, cut: bool) {
        let mut cuts = self.lock();
        for pair in [(one, other), (other, one)] {
            let pair = (pair.0.into(), pair.1.into());
            if cut {
                cuts.regions.insert(pair);
            } else {
                cuts.regions.remove(&pair);
            }
        }
    }

    /// Cuts an instance off from all others, or joins it again.
    pub fn cut_instance(&self, instance: &str, cut: bool) {
        let mut cuts = self.lock();
        if cut {
            cuts.instances.insert(instance.into());
        } else {
            cuts.instances.remove(instance);
        }
    }

    /// The connections of one instance, which obey the cuts.
    pub fn pool(&self, instance: &Name, region: &Name) -> PoolOptions {
        let cuts = self.cuts.clone();
        let (instance, region) = (instance.clone(), region.clone());
        let is_reachable = move |address: SocketAddr| {
            let cuts = cuts.lock().unwrap_or_else(PoisonError::into_inner);
            let Some((to, to_region)) = cuts.places.get(&address) else {
                return true;
            };
            let apart = cuts.regions.contains(&(region.clone(), to_region.clone()));
            let alone = cuts.instances.contains(&instance) || cuts.instances.contains(to);
            !apart && (!alone || *to == instance)
        };
        PoolOptions {
            is_reachable: Arc::new(is_reachable),
            ..PoolOptions::default()
        }
    }

    fn lock(&self) -> MutexGuard<'_, Cuts> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
