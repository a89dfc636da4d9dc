//! The choice of a target.

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
use crate::members::Members;

/// Targets compared for one request.
const CANDIDATES: usize = 4;

/// A target with this load or less takes the requests of its prefixes.
const ROOM: f64 = 1.0;

/// The part of its share that a data centre gets at once when it returns.
const RAMP_START: f64 = 0.1;

/// A choice and what it was made from.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Choice {
    pub target: Name,
    pub rule: RouteRule,
    pub considered: Vec<Name>,
}

/// Data centres that came back into service, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct Ramps(BTreeMap<Name, Duration>);

impl Ramps {
    pub fn start(&mut self, now: Duration, data_centre: &Name) {
        self.0.insert(data_centre.clone(), now);
    }

    pub fn expire(&mut self, now: Duration, length: Duration) {
        self.0
            .retain(|_, since| now.saturating_sub(*since) < length);
    }

    /// The part of its share of the traffic that a data centre gets now.
    fn part(&self, now: Duration, data_centre: &Name, length: Duration) -> f64 {
        let Some(since) = self.0.get(data_centre) else {
            return 1.0;
        };
        let done = now.saturating_sub(*since).as_secs_f64() / length.as_secs_f64().max(1e-3);
        RAMP_START.max(done).min(1.0)
    }
}

/// What a choice looks at.
pub(super) struct Chooser<'a> {
    pub now: Duration,
    pub ring: &'a Ring,
    pub hints: &'a Hints,
    pub members: &'a Members,
    pub ramps: &'a Ramps,
    pub ramp: Duration,
}

impl Chooser<'_> {
    /// Chooses a target for a request with this prefix that was not `tried` yet.
    pub fn choose(&self, rng: &mut Pcg64Mcg, prefix: u64, tried: &[Name]) -> Option<Choice> {
        let usable = |target: &Target| {
            !tried.contains(&target.name)
                && self.members.is_live(&target.name)
                && !self.hints.rests(self.now, &target.name)
        };
        let ramped = self.ring.walk(prefix, CANDIDATES, |target| {
            usable(target)
                && self.ramps.part(self.now, &target.data_centre, self.ramp)
                    >= rng.random_range(0.0..1.0)
        });
        if let Some(choice) = self.compare(&ramped) {
            return Some(choice);
        }
        // A ramp spares a data centre; it must not make requests fail.
        self.compare(&self.ring.walk(prefix, CANDIDATES, usable))
    }

    /// The first candidate with room, or else the least loaded one.
    fn compare(&self, candidates: &[&Target]) -> Option<Choice> {
        let load = |target: &Target| self.hints.load(self.now, &target.name);
        let considered = || candidates.iter().map(|t| t.name.clone()).collect();
        let first = candidates.iter().find(|t| load(t) < ROOM);
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
