//! The choice of a target for one request.
//!
//! Answers the load of every day: requests of a data centre go to the targets there while these
//! have room, and to others when they have none. A target counts as full by what it runs and what
//! waits there, so that nobody asks it only to be rejected.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use utils::Name;

use super::config::Service;
use super::pace::{
    self,
    Ahead, //
};
use super::targets::{
    Target,
    Targets, //
};

/// Slots of a target that does not say how many it has.
const ASSUMED_SLOTS: u32 = 4;

/// Requests that may wait at a model engine, so that a free slot is taken again at once.
const ENGINE_AHEAD: u32 = 0;

/// Requests at a plain target for each of its slots; short requests wait there only briefly.
const PLAIN_AHEAD_FACTOR: u32 = 2;

/// How much sooner a target of another region must answer to be chosen over a near one. Bytes
/// between regions are dear and their links narrow.
const OTHER_REGION: Duration = Duration::from_millis(60);

/// The same for another data centre of the region.
const OTHER_DATA_CENTRE: Duration = Duration::from_millis(25);

/// How much later a target that fails every request counts as answering.
const FAILURES_WEIGHT: Duration = Duration::from_millis(400);

/// Differences below this are left to chance, so that processes do not choose alike.
const CHANCE: Duration = Duration::from_millis(8);

/// How much longer than expected a first event may take. The prompts that others send meanwhile
/// are read in the same passes.
const MARGIN: f64 = 1.25;

/// The share of its slots up to which a target takes requests that will be late there: a late
/// answer is better than none where it costs no other request its time.
const SLACK: f64 = 0.25;

/// How long a plain target takes for a request in each of its slots.
const PLAIN_TIME: Duration = Duration::from_millis(20);

/// The share of a cold target's rate that one process takes. Processes do not know how many share
/// a target; the share leaves room for six.
const COLD_SHARE: f64 = 0.17;

/// Where this process stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its data centre.
    pub data_centre: Name,
    /// The region of each data centre.
    pub regions: BTreeMap<Name, Name>,
}

impl Location {
    /// The region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&Name> {
        self.regions.get(data_centre)
    }

    fn distance(&self, data_centre: &str) -> Duration {
        if *data_centre == *self.data_centre {
            Duration::ZERO
        } else if self.region_of(data_centre) == self.region_of(&self.data_centre) {
            OTHER_DATA_CENTRE
        } else {
            OTHER_REGION
        }
    }
}

/// The versions of the weights that may answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    /// Any, also unknown ones.
    Any,
    /// This one or a newer one.
    From(u64),
    /// The one that began the answer.
    Exactly(u64),
}

impl Versions {
    /// Whether a target that runs `version` may answer.
    pub fn allow(self, version: Option<u64>) -> bool {
        match self {
            Self::Any => true,
            Self::From(oldest) => version.is_some_and(|v| v >= oldest),
            Self::Exactly(wanted) => version == Some(wanted),
        }
    }
}

/// What a request asks of its target.
#[derive(Clone, Debug)]
pub struct Wish<'a> {
    /// The service.
    pub service: &'a Service,
    /// The regions in which it may be served, each list empty for all.
    pub homes: [&'a [Name]; 2],
    /// The versions of the weights that it may run on.
    pub versions: Versions,
    /// Targets that it was sent to already.
    pub tried: &'a [Name],
    /// Tokens of its prompt.
    pub tokens: u32,
    /// How much time is left until the first event, or the answer, is late.
    pub time_left: Duration,
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// This target has room.
    Target(Name),
    /// Targets that may serve the request have no room now.
    Full,
    /// No known target may serve the request now.
    Nobody,
}

/// Chooses a target. `chance` draws a number from zero to one.
pub fn choose(
    now: Duration,
    targets: &Targets,
    location: &Location,
    out: &BTreeSet<Name>,
    wish: &Wish<'_>,
    mut chance: impl FnMut() -> f64,
) -> Choice {
    let mut best: Option<((bool, Duration), &Target)> = None;
    let mut any = false;
    for target in targets.of_service(&wish.service.name) {
        if !is_allowed(target, location, out, wish) || target.health.rests(now) {
            continue;
        }
        any = true;
        let Some(answer) = answer(now, target, wish) else {
            continue;
        };
        let score = answer.within
            + location.distance(&target.entry.data_centre)
            + FAILURES_WEIGHT.mul_f64(target.health.failing_share())
            + CHANCE.mul_f64(chance());
        let score = (answer.is_late, score);
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, target));
        }
    }
    match best {
        Some((_, target)) => Choice::Target(target.entry.id.clone()),
        None if any => Choice::Full,
        None => Choice::Nobody,
    }
}

/// Whether a target that was chosen may still get the request, by what is known of it now.
pub fn is_fit(
    now: Duration,
    target: &Target,
    location: &Location,
    out: &BTreeSet<Name>,
    wish: &Wish<'_>,
) -> bool {
    let is_usable = is_allowed(target, location, out, wish) && !target.health.rests(now);
    is_usable && answer(now, target, wish).is_some()
}

/// What one more request could expect of a target.
struct Answer {
    within: Duration,
    is_late: bool,
}

/// What the request could expect of the target, or nothing if it has no room for it.
fn answer(now: Duration, target: &Target, wish: &Wish<'_>) -> Option<Answer> {
    let limit = f64::from(limit(now, target, wish.service));
    let full = target.load.total(now) + 1.0 > limit + 0.5;
    if full || !is_cold_allowed(now, target, wish.service) {
        return None;
    }
    let within = expected(now, target, wish).mul_f64(target.load.pace());
    let is_late = within.mul_f64(MARGIN) > wish.time_left;
    let slots = f64::from(slots(target, wish.service));
    let is_crowded = target.load.total(now) > slots * SLACK;
    (!is_late || !is_crowded).then_some(Answer { within, is_late })
}

/// How soon the target would answer, if it worked as its operators measured it.
pub fn expected(now: Duration, target: &Target, wish: &Wish<'_>) -> Duration {
    let slots = slots(target, wish.service);
    let requests = target.load.total(now);
    match &wish.service.engine {
        Some(engine) => {
            let own = target.load.unread() as f64;
            let unread = match target.load.others_unread(now) {
                Some(others) => own + others,
                None => own * target.crowd(now),
            };
            let ahead = Ahead {
                requests,
                unread,
                slots,
            };
            pace::first_event(engine, &ahead, wish.tokens)
        }
        None => PLAIN_TIME.mul_f64(requests / f64::from(slots)),
    }
}

/// Whether the target may serve the request at all.
fn is_allowed(target: &Target, location: &Location, out: &BTreeSet<Name>, wish: &Wish<'_>) -> bool {
    let entry = &target.entry;
    if entry.is_draining || entry.is_empty || target.is_switching {
        return false;
    }
    if out.contains(&entry.data_centre) || wish.tried.contains(&entry.id) {
        return false;
    }
    if !wish.versions.allow(entry.version) {
        return false;
    }
    let region = location.region_of(&entry.data_centre);
    let at_home = |homes: &[Name]| homes.is_empty() || region.is_some_and(|r| homes.contains(r));
    wish.homes.iter().all(|homes| at_home(homes))
}

/// How many requests the target may have at once.
pub fn limit(now: Duration, target: &Target, service: &Service) -> u32 {
    if target.health.is_on_trial() {
        return 1;
    }
    let slots = slots(target, service);
    if target.is_cold(now) {
        // Cold engines are slow; half a batch keeps what they answer on time.
        return slots.div_ceil(2);
    }
    if service.engine.is_some() {
        slots + ENGINE_AHEAD
    } else {
        slots * PLAIN_AHEAD_FACTOR
    }
}

fn slots(target: &Target, service: &Service) -> u32 {
    let profile_slots = service.engine.as_ref().map(|engine| engine.slots);
    let slots = target.entry.slots.or(profile_slots);
    slots.unwrap_or(ASSUMED_SLOTS).max(1)
}

/// What all processes together may send the target in a second, if that is limited. A target may
/// have turned cold unnoticed, so a limit that a warm one never reaches holds at all times.
pub fn fleet_cold_rate(now: Duration, target: &Target, service: &Service) -> Option<u32> {
    let is_out_of_reach = service.cold_rate >= f64::from(slots(target, service));
    let is_limited = service.cold_rate > 0.0 && (target.is_cold(now) || is_out_of_reach);
    is_limited.then_some(service.cold_rate as u32)
}

/// What one process may send a cold target in a second, or nothing if there is no limit.
pub fn cold_rate(service: &Service) -> Option<f64> {
    (service.cold_rate > 0.0).then_some(service.cold_rate * COLD_SHARE)
}

fn is_cold_allowed(now: Duration, target: &Target, service: &Service) -> bool {
    // Nobody counts for all processes while the agent is away, which is when everything has just
    // started anew and all turn to the same targets.
    if target.is_cold(now) && now < target.agent_rests_until {
        return false;
    }
    match cold_rate(service) {
        Some(rate) if target.is_cold(now) => target.has_cold_allowance(now, rate),
        _ => true,
    }
}
