//! Explains where a request would be sent, without sending it.

use std::time::Duration;

use protocol::TargetStatus;
use record::RouteRule;
use serde::Serialize;
use utils::Name;

use super::choice::Chooser;
use super::state::State;

/// A target that the request could be sent to.
#[derive(Clone, Debug, Serialize)]
pub struct Candidate {
    /// The instance.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether the list of instances shows it as live.
    pub is_live: bool,
    /// Whether it gets no requests for now, after a refusal or failure.
    #[serde(rename = "rests")]
    pub is_backing_off: bool,
    /// The estimated fraction of its limit in use; `None` if it accepts no work.
    pub load: Option<f64>,
    /// The last status it reported.
    pub status: Option<TargetStatus>,
}

/// The target that a request would be sent to, and why.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Explanation {
    /// The number of targets that the sheet has in service.
    pub targets: usize,
    /// The first targets on the ring for the prefix.
    pub candidates: Vec<Candidate>,
    /// The target that would be chosen.
    pub target: Option<Name>,
    /// The rule by which it would be chosen.
    pub rule: Option<RouteRule>,
}

/// The maximum number of candidates in an explanation.
const MAX_LISTED_CANDIDATES: usize = 8;

impl State {
    /// Explains where a request for this model or service would be sent now, without sending it.
    pub fn explain(&self, now: Duration, work: &str, prefix: u64) -> Explanation {
        let Some(ring) = self.rings.get(work) else {
            return Explanation::default();
        };
        let instances = self.follower.instances();
        let nearest = ring.first_targets(prefix, MAX_LISTED_CANDIDATES, |_| true);
        let candidates = nearest.into_iter().map(|target| Candidate {
            name: target.name.clone(),
            data_centre: target.data_centre.clone(),
            is_live: instances.is_live(&target.name),
            is_backing_off: self.hints.is_backing_off(now, &target.name),
            load: Some(self.hints.load(now, &target.name)).filter(|load| load.is_finite()),
            status: self.hints.status(&target.name).cloned(),
        });
        let chooser = Chooser {
            now,
            ring,
            hints: &self.hints,
            instances,
            ramp_ups: &self.ramp_ups,
            ramp_time: self.options.ramp_time,
        };
        // A copy of the random number generator keeps later choices unaffected.
        let choice = chooser.choose(&mut self.rng.clone(), prefix, &[]);
        Explanation {
            targets: ring.len(),
            candidates: candidates.collect(),
            rule: choice.as_ref().map(|choice| choice.rule),
            target: choice.map(|choice| choice.target),
        }
    }
}
