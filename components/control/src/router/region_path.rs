//! What this process knows of the paths to other regions.
//!
//! Links between regions are narrow and fill for seconds while weights or configurations are
//! distributed. A request that is sent then arrives after its caller has left, or when the target's
//! version may not begin answers any more. Reservations measure the path before a request is sent: an
//! agent of another region that does not reply is taken to be behind such a link.

use std::time::Duration;

use record::Decision;
use utils::Name;

use crate::published_version::PublishedVersion;

use super::distance::{
    Distance,
    Location, //
};
use super::selection::{
    self,
    Requirements, //
};
use super::state::State;
use super::targets::Target;
use super::updates::required_from;
use super::Effect;

/// Number of agents of a region that must be silent for its path to be slow. One may be dead.
const SILENT_AGENTS_IF_SLOW: usize = 2;

/// The longest round trip that is assumed, about the time for which a reply is awaited. Without a limit,
/// one that was measured while this process stood still would close the region for good.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(150);

/// How long nothing is sent to a region after a reservation there showed that the path is slow.
const SLOW_TIME: Duration = Duration::from_secs(1);

/// The path to one region.
#[derive(Clone, Debug)]
pub(super) struct RegionPath {
    region: Name,
    /// The last round trip of a reservation, or the longer time in which the agents were silent.
    round_trip: Duration,
    /// When an agent last replied.
    replied_at: Duration,
    /// Agents that did not reply since then.
    silent_agents: Vec<Name>,
    /// When the path may be used again.
    slow_until: Duration,
    /// Whether it was last recorded as slow.
    is_recorded_slow: bool,
}

impl RegionPath {
    fn new(region: Name) -> Self {
        Self {
            region,
            round_trip: Duration::ZERO,
            replied_at: Duration::ZERO,
            silent_agents: Vec::new(),
            slow_until: Duration::ZERO,
            is_recorded_slow: false,
        }
    }

    /// Records a reply, and its round trip if it is known.
    fn record_reply(&mut self, now: Duration, round_trip: Option<Duration>) {
        self.round_trip = round_trip.unwrap_or(self.round_trip).min(MAX_ROUND_TRIP);
        self.replied_at = now;
        self.silent_agents.clear();
        self.slow_until = Duration::ZERO;
    }

    /// Records that an agent did not reply to a reservation that was requested at `requested_at`.
    fn record_silence(&mut self, now: Duration, agent: &Name, requested_at: Duration) {
        // Another agent replied meanwhile, so it is the agent that is slow.
        if requested_at < self.replied_at {
            return;
        }
        // After a pause, two more agents must be silent, since others may be alive.
        if requested_at >= self.slow_until && self.slow_until > Duration::ZERO {
            self.slow_until = Duration::ZERO;
            self.silent_agents.clear();
        }
        if !self.silent_agents.contains(agent) {
            self.silent_agents.push(agent.clone());
        }
        if self.silent_agents.len() >= SILENT_AGENTS_IF_SLOW {
            self.slow_until = now + SLOW_TIME;
            self.round_trip = MAX_ROUND_TRIP;
        }
    }

    /// A line for the record if the path became slow or usable since the last line.
    fn take_change(&mut self, now: Duration) -> Option<Decision> {
        let is_slow = now < self.slow_until;
        if is_slow == self.is_recorded_slow {
            return None;
        }
        self.is_recorded_slow = is_slow;
        Some(Decision::Dependency {
            name: format!("way to {}", self.region).into(),
            up: !is_slow,
            detail: format!("round trip {} ms", self.round_trip.as_millis()).into(),
        })
    }
}

/// Whether a request may be sent to a target, as far as the path to the target's region decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// It may be sent now.
    Now,
    /// The path is slow, or the agent that it needs is silent. It may be sent after this time.
    After(Duration),
    /// It would arrive after its caller has left, or when the target's version is too old.
    TooLate,
}

/// What is believed of the path to a target in another region, for the record.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownPath {
    /// The round trip. Zero if none has been measured.
    pub round_trip: Duration,
    /// The time since an agent there last replied, if one has.
    pub age: Option<Duration>,
}

/// What decides whether a request may be sent to another region.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteTerms<'a> {
    pub(super) paths: &'a [RegionPath],
    /// The named versions of the model.
    pub(super) required_versions: &'a [PublishedVersion],
    /// How long after a version was published requests may be sent to older ones.
    pub(super) version_grace: Duration,
    pub(super) caller_leaves_at: Duration,
    /// Whether the caller has already received a part of the answer.
    pub(super) is_resumed: bool,
}

impl RemoteTerms<'_> {
    /// The path to a target, if it is in another region and the path is known.
    fn path(&self, target: &Target, location: &Location) -> Option<&RegionPath> {
        if self.paths.is_empty() {
            return None;
        }
        let region = remote_region(target, location)?;
        self.paths.iter().find(|path| path.region == *region)
    }

    /// What is believed of the path to a target, if it is in another region and the path is known.
    pub(super) fn known_path(
        &self,
        now: Duration,
        target: &Target,
        location: &Location,
    ) -> Option<KnownPath> {
        let path = self.path(target, location)?;
        let has_replied = path.replied_at > Duration::ZERO;
        Some(KnownPath {
            round_trip: path.round_trip,
            age: has_replied.then(|| now.saturating_sub(path.replied_at)),
        })
    }

    /// Whether the request would arrive at the target before its caller leaves.
    fn arrives_before_caller_leaves(
        &self,
        now: Duration,
        target: &Target,
        location: &Location,
    ) -> bool {
        let path = self.path(target, location);
        path.is_none_or(|path| now + path.round_trip < self.caller_leaves_at)
    }
}

impl Requirements<'_> {
    /// Whether a reservation is requested from the target's agent before the request is sent. The
    /// caller of a stream that is resumed already sees a pause.
    pub(super) fn needs_agent(&self, target: &Target) -> bool {
        let is_limited = target.notice.requests_per_second().is_some();
        self.uses_reservations
            && self.service.engine_profile.is_some()
            && (is_limited || !self.remote.is_resumed)
    }

    /// Whether the request may be sent to the target now, as far as the path there decides.
    pub(super) fn access(&self, now: Duration, target: &Target, location: &Location) -> Access {
        let Some(path) = self.remote.path(target, location) else {
            let is_first = self.tried_targets.is_empty();
            return if is_first || !self.needs_agent(target) || now >= target.agent_silent_until {
                Access::Now
            } else {
                Access::After(target.agent_silent_until - now)
            };
        };
        let arrival = now + path.round_trip;
        let required = self.remote.required_versions.iter();
        let mut required =
            required.filter(|named| arrival >= required_from(named, self.remote.version_grace));
        let has_version = required.all(|named| target.entry.version >= Some(named.version));
        if arrival >= self.remote.caller_leaves_at || !has_version {
            return Access::TooLate;
        }
        let mut usable_at = path.slow_until;
        if self.needs_agent(target) {
            usable_at = usable_at.max(target.agent_backoff_until);
        }
        if now < usable_at {
            Access::After(usable_at - now)
        } else {
            Access::Now
        }
    }
}

/// The region of a target, if it is another one. A data centre of an unknown region counts as one.
pub(super) fn remote_region<'a>(target: &'a Target, location: &'a Location) -> Option<&'a Name> {
    let data_centre = &target.entry.data_centre;
    let is_remote = location.distance(data_centre) == Distance::OtherRegion;
    is_remote.then(|| location.region_of(data_centre).unwrap_or(data_centre))
}

impl State {
    /// The region of this process, or its data centre if the region is not known.
    pub fn region(&self) -> &Name {
        let location = &self.options.location;
        let data_centre = &location.data_centre;
        location.region_of(data_centre).unwrap_or(data_centre)
    }

    /// Whether a target is in another region.
    pub(super) fn is_remote(&self, id: &Name) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| remote_region(target, &self.options.location).is_some())
    }

    /// Updates the path to the region of a target, if that is another one, with an answer of its
    /// instance or the absence of one. A request that waited at the agent has no round trip.
    pub(super) fn update_path(
        &mut self,
        now: Duration,
        id: &Name,
        requested_at: Duration,
        is_answered: bool,
        has_waited: bool,
        effects: &mut Vec<Effect>,
    ) {
        let target = self.targets.get(id);
        let region = target.and_then(|target| remote_region(target, &self.options.location));
        let Some(region) = region else {
            return;
        };
        let known = self.paths.iter().position(|path| path.region == *region);
        let index = known.unwrap_or_else(|| {
            self.paths.push(RegionPath::new(region.clone()));
            self.paths.len() - 1
        });
        let path = &mut self.paths[index];
        if is_answered {
            let round_trip = now.saturating_sub(requested_at);
            let round_trip = Some(round_trip).filter(|_| !has_waited);
            path.record_reply(now, round_trip);
            let measured = round_trip.map(|time| Effect::ObservePath(path.region.clone(), time));
            effects.extend(measured);
        } else {
            path.record_silence(now, id, requested_at);
        }
    }

    /// Records paths that became slow or usable.
    pub(super) fn record_path_changes(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let changes = self.paths.iter_mut();
        let changes = changes.filter_map(|path| path.take_change(now));
        effects.extend(changes.map(Effect::Record));
    }

    /// Whether all targets that may serve a request are so far away that it would arrive after its
    /// caller has left.
    pub(super) fn arrives_after_caller_left(&self, now: Duration, token: u64) -> bool {
        let Some(pending) = self.pending.get(&token) else {
            return false;
        };
        let location = &self.options.location;
        let requirements = self.requirements(now, pending);
        let targets = self.targets.of_service(&pending.service.name);
        let mut eligible = targets
            .filter(|target| {
                selection::is_eligible(target, location, &self.out_data_centres, &requirements)
            })
            .peekable();
        let remote = &requirements.remote;
        eligible.peek().is_some()
            && eligible.all(|target| !remote.arrives_before_caller_leaves(now, target, location))
    }
}
