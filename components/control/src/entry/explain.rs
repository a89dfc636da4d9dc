//! Where a request would go, without sending it.

use std::time::Duration;

use protocol::TargetStatus;
use record::RouteRule;
use serde::Serialize;
use utils::Name;

use super::choose::Chooser;
use super::state::State;

/// A target that a request could go to.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// The instance.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether the list of instances has it live.
    pub is_live: bool,
    /// Whether it is left alone for a while.
    pub rests: bool,
    /// The part of its limit in use, as far as known; nothing if it takes no work.
    pub load: Option<f64>,
    /// Its last report.
    pub status: Option<TargetStatus>,
}

/// What a request would be answered with.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Explanation {
    /// Targets in service by the sheet.
    pub targets: usize,
    /// The first ones for the prefix.
    pub candidates: Vec<Candidate>,
    /// The target that would be chosen.
    pub target: Option<Name>,
    /// Why that one.
    pub rule: Option<RouteRule>,
}

/// Candidates told in an explanation.
const EXPLAINED: usize = 8;

impl State {
    /// What a request would be answered with now, without sending it.
    pub fn explain(&self, now: Duration, work: &str, prefix: u64) -> Explanation {
        let Some(ring) = self.rings.get(work) else {
            return Explanation::default();
        };
        let members = self.follow.members();
        let nearest = ring.walk(prefix, EXPLAINED, |_| true);
        let candidates = nearest.into_iter().map(|target| Candidate {
            name: target.name.clone(),
            data_centre: target.data_centre.clone(),
            is_live: members.is_live(&target.name),
            rests: self.hints.rests(now, &target.name),
            load: Some(self.hints.load(now, &target.name)).filter(|load| load.is_finite()),
            status: self.hints.status(&target.name).cloned(),
        });
        let chooser = Chooser {
            now,
            ring,
            hints: &self.hints,
            members,
            ramps: &self.ramps,
            ramp: self.options.ramp,
        };
        // The generator is a copy, so that explaining changes no later choice.
        let choice = chooser.choose(&mut self.rng.clone(), prefix, &[]);
        Explanation {
            targets: ring.len(),
            candidates: candidates.collect(),
            rule: choice.as_ref().map(|choice| choice.rule),
            target: choice.map(|choice| choice.target),
        }
    }
}
