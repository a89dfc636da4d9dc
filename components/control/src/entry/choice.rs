//! The choice of a target for a request: the next targets on the ring, by load.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use record::RouteRule;
use utils::Name;

use super::hints::Hints;
use super::ring::{
    Ring,
    Target, //
};
use crate::instance_list::InstanceList;

/// The maximum number of targets compared for one request.
const MAX_CANDIDATES: usize = 4;

/// The first candidate on the ring whose load is below this is chosen, so that requests with the
/// same prefix go to the same target.
const FULL_LOAD: f64 = 1.0;

/// The fraction of its usual traffic that a data centre gets when it has just returned to service.
const INITIAL_TRAFFIC_FRACTION: f64 = 0.1;

/// The chosen target, the rule behind the choice and the candidates.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Choice {
    pub target: Name,
    pub rule: RouteRule,
    pub considered: Vec<Name>,
}

/// Data centres that returned to service recently, and when. Their traffic grows linearly.
#[derive(Clone, Debug, Default)]
pub(super) struct RampUps(BTreeMap<Name, Duration>);

impl RampUps {
    pub fn start(&mut self, now: Duration, data_centre: &Name) {
        self.0.insert(data_centre.clone(), now);
    }

    pub fn expire(&mut self, now: Duration, ramp_time: Duration) {
        self.0
            .retain(|_, since| now.saturating_sub(*since) < ramp_time);
    }

    /// The fraction of its usual traffic that a data centre gets now.
    fn traffic_fraction(&self, now: Duration, data_centre: &Name, ramp_time: Duration) -> f64 {
        let Some(since) = self.0.get(data_centre) else {
            return 1.0;
        };
        let elapsed = now.saturating_sub(*since).as_secs_f64();
        let progress = elapsed / ramp_time.as_secs_f64().max(1e-3);
        INITIAL_TRAFFIC_FRACTION.max(progress).min(1.0)
    }
}

/// The state on which a choice is based.
pub(super) struct Chooser<'a> {
    pub now: Duration,
    pub ring: &'a Ring,
    pub hints: &'a Hints,
    pub instances: &'a InstanceList,
    pub ramp_ups: &'a RampUps,
    pub ramp_time: Duration,
}

impl Chooser<'_> {
    /// Chooses a target for a request with this prefix, leaving out those that were `tried`.
    pub fn choose(&self, rng: &mut Pcg64Mcg, prefix: u64, tried: &[Name]) -> Option<Choice> {
        let is_usable = |target: &Target| {
            !tried.contains(&target.name)
                && self.instances.is_live(&target.name)
                && !self.hints.is_backing_off(self.now, &target.name)
        };
        let ramped_up = self.ring.first_targets(prefix, MAX_CANDIDATES, |target| {
            is_usable(target)
                && self
                    .ramp_ups
                    .traffic_fraction(self.now, &target.data_centre, self.ramp_time)
                    >= rng.random_range(0.0..1.0)
        });
        if let Some(choice) = self.select(&ramped_up) {
            return Some(choice);
        }
        // The ramp-up limits traffic to a data centre but must not make requests fail.
        self.select(&self.ring.first_targets(prefix, MAX_CANDIDATES, is_usable))
    }

    /// Selects the first candidate below full load, or else the least loaded one.
    fn select(&self, candidates: &[&Target]) -> Option<Choice> {
        let load = |target: &Target| self.hints.load(self.now, &target.name);
        let considered = || candidates.iter().map(|t| t.name.clone()).collect();
        let first = candidates.iter().find(|t| load(t) < FULL_LOAD);
        if let Some(target) = first {
            return Some(Choice {
                target: target.name.clone(),
                rule: RouteRule::Prefix,
                considered: considered(),
            });
        }
        let least = candidates
            .iter()
            .min_by(|a, b| load(a).total_cmp(&load(b)))?;
        Some(Choice {
            target: least.name.clone(),
            rule: RouteRule::LeastLoaded,
            considered: considered(),
        })
    }
}
