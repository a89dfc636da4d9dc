//! Uses and feeds the learned limits of targets: see [`crate::capacity`].
//!
//! For plain targets, each process learns for itself and keeps to its share. For model engines, the
//! agents learn, and report the limit with each reservation.

use std::sync::Arc;
use std::time::Duration;

use record::Decision;
use utils::Name;

use crate::capacity::{
    self,
    Bounds,
    Change,
    LearnedLimit,
    LimitStatus,
    Sample,
    ShareUse, //
};

use super::config::Service;
use super::pending::Pending;
use super::selection;
use super::state::State;
use super::targets::Target;
use super::Effect;

/// How long the limit that an agent reported is used. A target in use gets several reservations in
/// this time.
const AGENT_LIMIT_TTL: Duration = Duration::from_millis(1500);

/// What is known of the number of requests that one target handles well.
#[derive(Clone, Debug, Default)]
pub struct TargetCapacity {
    learned: LearnedLimit,
    share: ShareUse,
    /// The limit that the target's agent reported last, and when.
    agent_limit: Option<(u32, Duration)>,
}

impl TargetCapacity {
    /// Forgets what was learned, for a target that loaded other weights.
    pub fn forget(&mut self) {
        self.learned.forget();
        self.agent_limit = None;
    }

    /// The limit that the target's agent reported, if it is recent.
    pub fn agent_limit(&self, now: Duration) -> Option<u32> {
        let (limit, reported_at) = self.agent_limit?;
        (now.saturating_sub(reported_at) < AGENT_LIMIT_TTL).then_some(limit)
    }

    /// Takes over the limit that the target's agent reported.
    pub fn set_agent_limit(&mut self, now: Duration, limit: Option<u32>) {
        self.agent_limit = limit.map(|limit| (limit, now));
    }

    fn agent_status(&self, now: Duration) -> Option<LimitStatus> {
        let limit = self.agent_limit(now)?;
        let (_, reported_at) = self.agent_limit?;
        Some(LimitStatus {
            limit: f64::from(limit),
            cause: capacity::Cause::Reported,
            age: now.saturating_sub(reported_at),
        })
    }
}

/// Where limits are used, and how many processes share them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The settings.
    pub settings: capacity::Settings,
    /// Number of processes that may send to the targets, if known.
    pub process_count: Option<u32>,
}

impl Terms {
    fn is_shared(&self) -> bool {
        self.process_count.is_some_and(|count| count > 1)
    }

    fn bounds(&self, target: &Target, service: &Service) -> Bounds {
        let slots = selection::slots(target, service);
        Bounds::new(
            self.settings,
            slots,
            selection::max_requests(slots, service),
        )
        .from_below(slots, self.process_count.unwrap_or(1))
    }

    /// The limit that this process learned for a plain target, if it uses one now. Cold and probing
    /// targets have their own rules.
    fn plain_limit(&self, now: Duration, target: &Target, service: &Service) -> Option<f64> {
        let is_used = self.settings.is_enabled
            && service.engine_profile.is_none()
            && !target.health.is_probing()
            && !target.is_cold(now);
        let bounds = self.bounds(target, service);
        target.capacity.learned.limit(bounds).filter(|_| is_used)
    }

    /// The largest number of requests of all processes at the target, if it was learned: from the
    /// agent of an engine, or by this process if no others send to the target.
    pub(super) fn total_limit(
        &self,
        now: Duration,
        target: &Target,
        service: &Service,
    ) -> Option<u32> {
        if !self.settings.is_enabled {
            None
        } else if service.engine_profile.is_some() {
            target.capacity.agent_limit(now).map(|limit| limit.max(1))
        } else {
            let limit = self.plain_limit(now, target, service)?;
            (!self.is_shared()).then_some(limit as u32)
        }
    }

    /// Whether this process may send one more request within its share of a learned limit.
    pub(super) fn allows(&self, now: Duration, target: &Target, service: &Service) -> bool {
        let Some(limit) = self.plain_limit(now, target, service) else {
            return true;
        };
        let share = capacity::process_share(limit, self.process_count);
        let is_full = target.load.total_requests(now) + 1.0 > limit + 0.5;
        let own = target.load.own_requests();
        target.capacity.share.allows(now, own, share, is_full)
    }

    /// Accounts for the requests of this process at the target until now, before their number changes.
    fn account(&self, now: Duration, target: &mut Target, service: &Service) {
        let own = target.load.own_requests();
        let limit = self.plain_limit(now, target, service);
        let share = limit.map(|limit| capacity::process_share(limit, self.process_count));
        let share = share.unwrap_or(f64::from(own));
        target.capacity.share.update(now, own, share);
    }
}

impl State {
    pub(super) fn capacity_terms(&self) -> Terms {
        Terms {
            settings: self.options.learned_capacity,
            process_count: self.process_count.get(),
        }
    }

    /// Accounts for the share of a target before the number of own requests there changes.
    pub(super) fn account_share(&mut self, now: Duration, id: &str, service: &Service) {
        let terms = self.capacity_terms();
        if let Some(target) = self.targets.get_mut(id) {
            terms.account(now, target, service);
        }
    }

    /// Notes that a target reports its slowness, in the answer to a request that it got `used` ago.
    pub(super) fn activate_learning(&mut self, now: Duration, id: &str, used: Duration) {
        let is_enabled = self.options.learned_capacity.is_enabled;
        let is_new = |target: &Target| !target.capacity.learned.is_active();
        if !is_enabled || !self.targets.get(id).is_some_and(is_new) {
            return;
        }
        let random = self.random_fraction();
        if let Some(target) = self.targets.get_mut(id) {
            target.capacity.learned.activate();
            target.capacity.share = ShareUse::after(now, used.mul_f64(random));
        }
    }

    /// Learns from a complete answer of a plain target.
    pub(super) fn learn_from_answer(
        &mut self,
        now: Duration,
        request: &AnsweredRequest,
        effects: &mut Vec<Effect>,
    ) {
        self.learn(now, request, effects, |learned, bounds| {
            learned.record_answer(now, bounds, &request.sample)
        });
    }

    /// Learns from a request that a plain target refused because it is full.
    pub(super) fn learn_from_refusal(
        &mut self,
        now: Duration,
        request: &AnsweredRequest,
        effects: &mut Vec<Effect>,
    ) {
        self.learn(now, request, effects, |learned, bounds| {
            learned.record_refusal(now, bounds, request.sample.requests)
        });
    }

    fn learn(
        &mut self,
        now: Duration,
        request: &AnsweredRequest,
        effects: &mut Vec<Effect>,
        record: impl FnOnce(&mut LearnedLimit, Bounds) -> Option<Change>,
    ) {
        let terms = self.capacity_terms();
        let service = &request.service;
        let Some(target) = self.targets.get_mut(&request.target) else {
            return;
        };
        let is_leaving = target.is_leaving();
        // The requests of another start of the target say nothing of this one.
        let is_other = target.entry.started_at_ms != request.started_at_ms;
        if terms.plain_limit(now, target, service).is_none() || is_leaving || is_other {
            return;
        }
        let bounds = terms.bounds(target, service);
        if let Some(change) = record(&mut target.capacity.learned, bounds) {
            effects.push(Effect::Record(learned_limit(&request.target, change)));
        }
    }

    /// The learned limits of all targets that have one, for reports. For engines it is the limit that
    /// their agents reported, whose cause only the agents know.
    pub fn learned_limits(&self, now: Duration) -> Vec<(Name, LimitStatus)> {
        let Some(table) = self
            .table
            .as_ref()
            .filter(|_| self.options.learned_capacity.is_enabled)
        else {
            return Vec::new();
        };
        let terms = self.capacity_terms();
        let limits = self.targets.iter().filter_map(|target| {
            let service = table.config().services.get(&target.entry.service)?;
            let bounds = terms.bounds(target, service);
            let status = if service.engine_profile.is_none() {
                target.capacity.learned.status(now, bounds)?
            } else {
                target.capacity.agent_status(now)?
            };
            Some((target.entry.id.clone(), status))
        });
        limits.collect()
    }
}

/// What one request at a target shows of the target's capacity.
#[derive(Clone, Debug)]
pub(super) struct AnsweredRequest {
    target: Name,
    started_at_ms: u64,
    service: Arc<Service>,
    sample: Sample,
}

impl AnsweredRequest {
    /// Takes it from a request that is still assigned to its target.
    pub fn new(now: Duration, pending: &Pending, longest_pause: Duration) -> Option<Self> {
        let (target, since) = pending.assignment.clone()?;
        let first = pending.time_to_first_event;
        let duration = first.unwrap_or(now.saturating_sub(since));
        let at_answer = pending
            .requests_at_answer
            .unwrap_or(pending.requests_at_start);
        Some(Self {
            target,
            started_at_ms: pending.target_started_at_ms,
            service: pending.service.clone(),
            sample: Sample {
                started_at: since,
                requests: (pending.requests_at_start + at_answer).div_ceil(2),
                duration: duration + longest_pause,
                slowness_percent: pending.slowness_percent,
                priority_level: pending.claim_level().unwrap_or(0),
            },
        })
    }
}

/// The line of the record for a change of a limit.
pub(crate) fn learned_limit(target: &Name, change: Change) -> Decision {
    Decision::LearnedLimit {
        target: target.clone(),
        before: change.from,
        limit: change.to,
        cause: change.cause.as_str().into(),
    }
}
