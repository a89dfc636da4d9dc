//! Selects the target of one request.
//!
//! Requests go to targets in the process's own data centre while these have capacity, and to others
//! otherwise. Capacity counts both running and queued requests, so that requests are not sent to
//! targets that would reject them.

use std::collections::BTreeSet;
use std::time::Duration;

use protocol::{
    limit_for_level,
    AcceptableBacklog, //
};
use utils::Name;

use super::config::Service;
use super::demand::TypicalRequest;
use super::distance::{
    Penalties,
    SlotCount,
    Spillover, //
};
use super::latency::{
    self,
    EngineLoad, //
};
use super::learned;
use super::region_path::{
    Access,
    RemoteTerms, //
};
use super::request_limit::{
    self,
    Counting, //
};
use super::targets::{
    Target,
    Targets, //
};

pub use super::distance::Location;

/// Slots of a target if neither its entry nor its engine profile sets them.
const DEFAULT_SLOTS: u32 = 4;

/// Requests that may be queued at a model engine, beyond its slots, so that a slot that becomes
/// free is used at once.
const ENGINE_QUEUED_REQUESTS: u32 = 0;

/// Requests per slot of a plain target, where short requests queue only briefly.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;

/// Added to the score of a target that fails every request; scaled by the failure rate.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);

/// Upper bound of a random addition to each score, so that processes do not all choose the same
/// target.
const MAX_JITTER: Duration = Duration::from_millis(8);

/// Factor on the expected response time when it is compared with the time left. Other processes'
/// prompts that arrive meanwhile are prefilled in the same iterations.
const RESPONSE_TIME_MARGIN: f64 = 1.3;

/// Share of its slots up to which a target takes requests whose answers will be late there. Below
/// it, a late answer delays no other request and is better than none.
const LATE_REQUEST_MAX_UTILIZATION: f64 = 0.25;

/// Share of its slots up to which a target takes requests whose answers are late everywhere. The
/// other slots are for requests that can be answered on time.
const OVERDUE_REQUEST_MAX_UTILIZATION: f64 = 0.6;

/// The largest number of prompt tokens ahead of a request that is told apart.
const MAX_ACCEPTABLE_TOKENS: u32 = 1 << 17;

/// Random part of the load of a target at whose agent a request may wait.
const WAIT_JITTER: f64 = 0.3;

/// The extra distance that weighs as much as a full batch of requests, when a target to wait at is
/// selected.
const WAIT_SCORE_TIME: Duration = Duration::from_millis(600);

/// Response time of a plain target with one request per slot.
const PLAIN_RESPONSE_TIME: Duration = Duration::from_millis(20);

/// The largest share of a cold target's request rate that one process uses. Six processes stay
/// within the rate; if more are known, they divide it.
const MAX_COLD_RATE_SHARE: f64 = 0.17;

/// The versions of the weights that may answer a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionConstraint {
    /// Any version, or an unknown one.
    Any,
    /// This version or a newer one.
    AtLeast(u64),
    /// Only this version, which began the answer.
    Exactly(u64),
}

impl VersionConstraint {
    /// Whether a target that runs `version` may answer.
    pub fn allows(self, version: Option<u64>) -> bool {
        match self {
            Self::Any => true,
            Self::AtLeast(oldest) => version.is_some_and(|v| v >= oldest),
            Self::Exactly(required) => version == Some(required),
        }
    }
}

/// What a request requires of its target.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a Service,
    /// Allowed regions of the route and of the team; an empty list allows all.
    pub allowed_regions: [&'a [Name]; 2],
    /// The allowed versions of the weights.
    pub versions: VersionConstraint,
    /// Targets that it was already sent to.
    pub tried_targets: &'a [Name],
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Time left until the answer, or its first event, is late.
    pub time_left: Duration,
    /// Whether no answer can be on time any more.
    pub is_overdue: bool,
    /// How long it may still be queued.
    pub may_wait: Duration,
    /// How much less urgent it is than the most urgent requests that it competes with for model
    /// engines, if it does.
    pub claim_level: Option<u8>,
    /// Whether its priority is served less often than its minimum share.
    pub is_below_minimum: bool,
    /// A typical request of the more urgent priorities, for which it leaves room.
    pub urgent_request: Option<TypicalRequest>,
    /// Whether requests to model engines are reserved with their agents.
    pub uses_reservations: bool,
    /// Number of processes that may send to the targets, if known.
    pub process_count: Option<u32>,
    /// How learned limits are used.
    pub learned_capacity: learned::Terms,
    /// What decides whether it may be sent to another region.
    pub remote: RemoteTerms<'a>,
}

/// The result of selecting a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// This target has capacity.
    Target(Name),
    /// Some targets may serve the request, but none has capacity now.
    Full,
    /// No known target may serve the request now.
    NoTarget,
}

/// Selects the target with the best score, and records the utilization of the own data centre in
/// `spillover`. `random` returns a number from zero to one.
pub fn choose(
    now: Duration,
    targets: &Targets,
    location: &Location,
    out_data_centres: &BTreeSet<Name>,
    requirements: &Requirements<'_>,
    spillover: &mut Spillover,
    mut random: impl FnMut() -> f64,
) -> Choice {
    let service = requirements.service;
    let is_reserved = requirements.uses_reservations && service.engine_profile.is_some();
    let mut penalties = Penalties::new(
        now,
        location,
        &service.delays,
        spillover,
        is_reserved,
        &mut random,
    );
    let depends_on_load = penalties.depend_on_load();
    let mut own_slots = SlotCount::default();
    let mut best: Option<((bool, Duration), &Target)> = None;
    let mut any_eligible = false;
    for target in targets.of_service(&requirements.service.name) {
        if !is_eligible(target, location, out_data_centres, requirements)
            || target.health.is_ejected(now)
        {
            continue;
        }
        if target.notice.is_paused(now) {
            any_eligible |= target.notice.pause(now) <= requirements.may_wait;
            continue;
        }
        match requirements.access(now, target, location) {
            Access::Now => any_eligible = true,
            Access::After(pause) => {
                any_eligible |= requirements.remote.is_resumed || pause <= requirements.may_wait;
                continue;
            }
            Access::TooLate => continue,
        }
        if depends_on_load && target.entry.data_centre == location.data_centre {
            let limit = concurrency_limit(now, target, requirements);
            own_slots.add(target.load.total_requests(now), limit);
        }
        let Some(estimate) = estimate(now, target, requirements) else {
            continue;
        };
        let score = estimate.response_time
            + penalties.of(&target.entry.data_centre)
            + FAILURE_PENALTY.mul_f64(target.health.failure_rate())
            + MAX_JITTER.mul_f64(random());
        let score = (estimate.is_late, score);
        if best.is_none_or(|(best_score, _)| score < best_score) {
            best = Some((score, target));
        }
    }
    // A request that may not be served in the own region does not show how full it is.
    if depends_on_load && is_region_allowed(&location.data_centre, location, requirements) {
        spillover.record_own(now, own_slots.utilization());
    }
    match best {
        Some((_, target)) => Choice::Target(target.entry.id.clone()),
        None if any_eligible => Choice::Full,
        None => Choice::NoTarget,
    }
}

/// Selects the target at whose agent a request waits for capacity, if there is one: that with the
/// least work for its limit, near ones first, except for `excluded` ones. `random` returns a number
/// from zero to one.
pub fn choose_to_wait(
    now: Duration,
    targets: &Targets,
    location: &Location,
    out_data_centres: &BTreeSet<Name>,
    requirements: &Requirements<'_>,
    excluded: &[Name],
    mut random: impl FnMut() -> f64,
) -> Option<Name> {
    let mut best: Option<(f64, &Target)> = None;
    for target in targets.of_service(&requirements.service.name) {
        let is_usable = is_usable(now, target, location, out_data_centres, requirements)
            && !target.health.is_probing()
            && now >= target.agent_backoff_until
            && requirements.access(now, target, location) == Access::Now
            && has_cold_capacity(now, target, requirements)
            && has_limit_capacity(now, target, requirements);
        if !is_usable || excluded.contains(&target.entry.id) {
            continue;
        }
        let limit = f64::from(concurrency_limit(now, target, requirements));
        let requests = target.load.total_requests(now) + target.load.waiting(now);
        // Entries that know the same loads must not all choose the same target.
        let jitter = 1.0 + WAIT_JITTER * random();
        let distance = location.constant_penalty(&target.entry.data_centre);
        let score = (requests + 1.0) / limit * jitter
            + distance.as_secs_f64() / WAIT_SCORE_TIME.as_secs_f64();
        if best.is_none_or(|(best_score, _)| score < best_score) {
            best = Some((score, target));
        }
    }
    best.map(|(_, target)| target.entry.id.clone())
}

/// How long it takes until the first target that may serve the request wants requests again, if all
/// of these want none now.
pub fn shortest_pause(
    now: Duration,
    targets: &Targets,
    location: &Location,
    out_data_centres: &BTreeSet<Name>,
    requirements: &Requirements<'_>,
) -> Option<Duration> {
    let targets = targets.of_service(&requirements.service.name);
    let eligible = targets.filter(|t| is_eligible(t, location, out_data_centres, requirements));
    let shortest = eligible.map(|target| target.notice.pause(now)).min()?;
    Some(shortest).filter(|pause| !pause.is_zero())
}

/// Whether a target that was selected earlier may still get the request.
pub fn can_accept(
    now: Duration,
    target: &Target,
    location: &Location,
    out_data_centres: &BTreeSet<Name>,
    requirements: &Requirements<'_>,
) -> bool {
    is_usable(now, target, location, out_data_centres, requirements)
        && estimate(now, target, requirements).is_some()
}

/// Whether the target may serve the request and is neither ejected nor paused, regardless of its load.
fn is_usable(
    now: Duration,
    target: &Target,
    location: &Location,
    out_data_centres: &BTreeSet<Name>,
    requirements: &Requirements<'_>,
) -> bool {
    may_serve(now, target, location, out_data_centres, requirements)
        && !target.health.is_ejected(now)
}

/// Whether the target may serve the request and is not paused, regardless of its load and health.
pub(super) fn may_serve(
    now: Duration,
    target: &Target,
    location: &Location,
    out_data_centres: &BTreeSet<Name>,
    requirements: &Requirements<'_>,
) -> bool {
    is_eligible(target, location, out_data_centres, requirements)
        && !target.notice.is_paused(now)
        && requirements.access(now, target, location) != Access::TooLate
}

/// The estimated response of a target to one more request.
struct Estimate {
    response_time: Duration,
    is_late: bool,
}

/// Estimates the target's response to the request, or `None` if it has no capacity for it.
fn estimate(now: Duration, target: &Target, requirements: &Requirements<'_>) -> Option<Estimate> {
    let limit = f64::from(request_limit_of(now, target, requirements));
    // The number of requests is rounded: it is a fraction, since old load reports count less.
    let is_full = target.load.total_requests(now) + 1.0 > limit + 0.5;
    if is_full
        || !has_cold_capacity(now, target, requirements)
        || !has_limit_capacity(now, target, requirements)
        || !requirements
            .learned_capacity
            .allows(now, target, requirements.service)
    {
        return None;
    }
    let expected = expected_response_time(now, target, requirements);
    let response_time = expected.mul_f64(target.load.slowdown(now));
    let is_late = is_late(response_time, requirements.time_left);
    let is_busy = target.load.total_requests(now) > max_requests_if_late(target, requirements);
    (!is_late || !is_busy).then_some(Estimate {
        response_time,
        is_late,
    })
}

fn is_late(response_time: Duration, time_left: Duration) -> bool {
    response_time.mul_f64(RESPONSE_TIME_MARGIN) > time_left
}

/// How many requests the target may have with this one. Less urgent requests leave slots free for
/// the more urgent ones that they compete with.
fn request_limit_of(now: Duration, target: &Target, requirements: &Requirements<'_>) -> u32 {
    let limit = concurrency_limit(now, target, requirements);
    let level = requirements.claim_level.unwrap_or_default();
    if requirements.is_below_minimum || level == 0 {
        limit
    } else {
        limit_for_level(limit, level)
    }
}

/// The number of requests at the target up to which it takes one whose answer will be late.
fn max_requests_if_late(target: &Target, requirements: &Requirements<'_>) -> f64 {
    // The agent orders requests that compete, so late ones take no slot of others that are on time.
    if requirements.is_overdue && requirements.claim_level.is_some() {
        return f64::from(slots(target, requirements.service));
    }
    let max_utilization = if requirements.is_overdue {
        OVERDUE_REQUEST_MAX_UTILIZATION
    } else {
        LATE_REQUEST_MAX_UTILIZATION
    };
    f64::from(slots(target, requirements.service)) * max_utilization
}

/// The largest backlog at a model engine with which the request would be sent there, whatever this
/// process knows of the present one.
pub fn acceptable_backlog(
    now: Duration,
    target: &Target,
    requirements: &Requirements<'_>,
) -> AcceptableBacklog {
    let Some(engine) = &requirements.service.engine_profile else {
        return AcceptableBacklog::ANY;
    };
    let limit = concurrency_limit(now, target, requirements);
    let largest_backlog = |prompt_tokens: u32, time_left: Duration| {
        let is_on_time = |unprefilled_tokens: u32| {
            let load = EngineLoad {
                requests: f64::from(limit.saturating_sub(1)),
                unprefilled_tokens: f64::from(unprefilled_tokens),
                slots: slots(target, requirements.service),
            };
            let expected = latency::time_to_first_event(engine, &load, prompt_tokens);
            !is_late(expected.mul_f64(target.load.slowdown(now)), time_left)
        };
        largest(MAX_ACCEPTABLE_TOKENS, is_on_time).unwrap_or(0)
    };
    let is_late_anyway = requirements.is_overdue && requirements.claim_level.is_some();
    let own = if is_late_anyway {
        MAX_ACCEPTABLE_TOKENS
    } else {
        largest_backlog(requirements.prompt_tokens, requirements.time_left)
    };
    // The prompt must not make a more urgent request late that arrives just after it.
    let urgent = requirements
        .urgent_request
        .filter(|_| !requirements.is_below_minimum);
    let for_urgent = urgent.map(|urgent| {
        largest_backlog(urgent.prompt_tokens, urgent.latency_objective)
            .saturating_sub(requirements.prompt_tokens)
    });
    AcceptableBacklog {
        requests: limit.saturating_sub(1),
        unprefilled_tokens: for_urgent.map_or(own, |tokens| own.min(tokens)),
        requests_if_late: if is_late_anyway {
            0
        } else {
            max_requests_if_late(target, requirements) as u32
        },
    }
}

/// The largest number up to `max` for which `holds` is true. It must hold for all numbers below one
/// for which it holds.
fn largest(max: u32, holds: impl Fn(u32) -> bool) -> Option<u32> {
    if !holds(0) {
        return None;
    }
    let (mut low, mut high) = (0, max);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if holds(middle) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    Some(low)
}

/// The expected time to the answer, or to its first event, from the load of the target and the
/// engine profile of the service. The target's slowdown is not included.
pub fn expected_response_time(
    now: Duration,
    target: &Target,
    requirements: &Requirements<'_>,
) -> Duration {
    let slots = slots(target, requirements.service);
    let requests = target.load.total_requests(now);
    match &requirements.service.engine_profile {
        Some(engine) => {
            let own = target.load.own_unprefilled_tokens() as f64;
            let unprefilled_tokens = match target.load.other_unprefilled_tokens(now) {
                Some(others) => own + others,
                None => own * target.contention(now),
            };
            let load = EngineLoad {
                requests,
                unprefilled_tokens,
                slots,
            };
            latency::time_to_first_event(engine, &load, requirements.prompt_tokens)
        }
        None => PLAIN_RESPONSE_TIME.mul_f64(requests / f64::from(slots)),
    }
}

/// Whether the target may serve the request, regardless of its load and health.
pub(super) fn is_eligible(
    target: &Target,
    location: &Location,
    out_data_centres: &BTreeSet<Name>,
    requirements: &Requirements<'_>,
) -> bool {
    let entry = &target.entry;
    if target.is_leaving()
        || target.has_probably_left()
        || entry.has_no_weights
        || target.is_switching
    {
        return false;
    }
    if out_data_centres.contains(&entry.data_centre)
        || requirements.tried_targets.contains(&entry.id)
    {
        return false;
    }
    // The entry of a model engine that names no model may come from another writer.
    let lacks_version = requirements.service.engine_profile.is_some() && entry.version.is_none();
    if lacks_version || !requirements.versions.allows(entry.version) {
        return false;
    }
    is_region_allowed(&entry.data_centre, location, requirements)
}

/// The version that the target must still run when it gets the request. Its agent may not have verified another
/// one yet.
pub(super) fn required_version(target: &Target) -> Option<u64> {
    target.entry.version
}

/// Whether the request may be served in the region of a data centre.
fn is_region_allowed(
    data_centre: &str,
    location: &Location,
    requirements: &Requirements<'_>,
) -> bool {
    let region = location.region_of(data_centre);
    let is_allowed =
        |allowed: &[Name]| allowed.is_empty() || region.is_some_and(|r| allowed.contains(r));
    requirements
        .allowed_regions
        .iter()
        .all(|allowed| is_allowed(allowed))
}

/// How many requests the target may have at once, running or queued.
pub fn concurrency_limit(now: Duration, target: &Target, requirements: &Requirements<'_>) -> u32 {
    let service = requirements.service;
    if target.health.is_probing() {
        return 1;
    }
    let slots = slots(target, service);
    if target.is_cold(now) {
        // Cold engines are slow; half a batch keeps their answers on time.
        return slots.div_ceil(2);
    }
    let max = max_requests(slots, service);
    let terms = &requirements.learned_capacity;
    let learned = terms.total_limit(now, target, service);
    learned.map_or(max, |learned| learned.min(max))
}

/// How many requests a warm target with `slots` may have at once, unless a lower limit was learned.
pub(super) fn max_requests(slots: u32, service: &Service) -> u32 {
    if service.engine_profile.is_some() {
        slots.saturating_add(ENGINE_QUEUED_REQUESTS)
    } else {
        slots.saturating_mul(PLAIN_REQUESTS_PER_SLOT)
    }
}

/// Requests that the target runs at once.
pub(super) fn slots(target: &Target, service: &Service) -> u32 {
    let profile_slots = service.engine_profile.as_ref().map(|engine| engine.slots);
    let slots = target.entry.slots.or(profile_slots);
    slots.unwrap_or(DEFAULT_SLOTS).max(1)
}

/// Requests per second that all processes together may send the target, if limited. A target may
/// turn cold before this process learns of it, so a limit of at least one request per slot and
/// second, which a warm target never reaches, always applies.
pub fn fleet_cold_rate(now: Duration, target: &Target, service: &Service) -> Option<u32> {
    let is_above_warm_rate = service.cold_rate_per_second >= f64::from(slots(target, service));
    let is_limited =
        service.cold_rate_per_second > 0.0 && (target.is_cold(now) || is_above_warm_rate);
    is_limited.then_some(service.cold_rate_per_second as u32)
}

/// The requests per second that this process may send to a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateLimits {
    /// While it is cold, if it is.
    pub cold: Option<f64>,
    /// By its own word, if it limits them.
    pub own: Option<f64>,
}

impl RateLimits {
    /// Whether a request that was counted in `counted` limits is counted in all of these.
    pub(super) fn are_counted_in(self, counted: Self) -> bool {
        (self.cold.is_none() || counted.cold.is_some())
            && (self.own.is_none() || counted.own.is_some())
    }
}

/// The limits of a target now.
pub(super) fn rate_limits(
    now: Duration,
    target: &Target,
    requirements: &Requirements<'_>,
) -> RateLimits {
    RateLimits {
        cold: process_cold_rate(requirements).filter(|_| target.is_cold(now)),
        own: limited_rate(now, target, requirements),
    }
}

/// Requests per second that this process may send a cold target, or `None` if unlimited.
pub fn process_cold_rate(requirements: &Requirements<'_>) -> Option<f64> {
    let rate = requirements.service.cold_rate_per_second;
    let process_count = requirements.process_count.unwrap_or(1).max(1);
    let share = MAX_COLD_RATE_SHARE.min(1.0 / f64::from(process_count));
    (rate > 0.0).then_some(rate * share)
}

/// Requests per second that this process may send to the target, if the target limits them.
pub fn limited_rate(
    now: Duration,
    target: &Target,
    requirements: &Requirements<'_>,
) -> Option<f64> {
    let has_agent = requirements.uses_reservations && requirements.service.engine_profile.is_some();
    let counting = if !has_agent {
        Counting::Nobody
    } else if now < target.agent_backoff_until {
        Counting::AgentSilent
    } else {
        Counting::ByAgent
    };
    let limit = target.notice.requests_per_second()?;
    let rate = request_limit::process_rate(limit, counting, requirements.process_count);
    Some(rate)
}

fn has_limit_capacity(now: Duration, target: &Target, requirements: &Requirements<'_>) -> bool {
    match limited_rate(now, target, requirements) {
        Some(rate) => now >= target.limit_refused_until && target.has_limit_allowance(now, rate),
        None => true,
    }
}

fn has_cold_capacity(now: Duration, target: &Target, requirements: &Requirements<'_>) -> bool {
    // Without the agent nothing limits the rate of all processes together. Agents do not answer
    // just after a restart of the whole system, when all processes choose the same targets.
    if target.is_cold(now) && now < target.agent_backoff_until {
        return false;
    }
    match process_cold_rate(requirements) {
        Some(rate) if target.is_cold(now) => target.has_cold_allowance(now, rate),
        _ => true,
    }
}
