//! The number of concurrent requests that one target handles well, learned from its answers.
//!
//! Load that this addresses: targets of one service differ in speed, and some slow down long before
//! their slots are full, so that more requests mean fewer answers. The answer times are averaged by
//! the number of concurrent requests; the limit moves to the number with the best throughput, tries
//! one step more when the load reaches it, and returns when that was worse.
//!
//! `docs/design/learned-capacity.md` compares this with other methods.

mod curve;
mod share;

use std::time::Duration;

use curve::Curve;
use protocol::limit_for_level;

pub use share::{
    process_share,
    ShareUse, //
};

/// How much better (as a logarithm of throughput) another number of requests must be for the limit to
/// move there: a tenth, more than the averages of answers of equal size differ by chance.
const MIN_GAIN: f64 = 0.1;

/// From this difference by chance on, answers are too different in size for slopes: the limit of a batch
/// engine with prompts that differ by six times drifted down to a quarter of its slots.
const MAX_ALIKE_NOISE: f64 = 0.2;

/// The limit falls at most to this share of itself in one step.
const MAX_DECREASE: f64 = 0.6;

/// The limit falls to at least this share if answers suddenly take much longer.
const MAX_SUDDEN_DECREASE: f64 = 0.35;

/// How much longer than before answers must take to count as a sudden change.
const SUDDEN_CHANGE: f64 = 2.8;

/// How much shorter than before answers must be to show that it was not the number of requests that
/// made them longer. The limit then returns.
const SUDDEN_RETURN: f64 = 2.0;

/// Weight of the newest answer in the deviation that shows a sudden change.
const DEVIATION_WEIGHT: f64 = 0.5;

/// The limit falls if the utility changes less than the first with the logarithm of the number of
/// requests, and rises if it changes more than the second.
const EXACT_SLOPES: (f64, f64) = (-0.1, 0.1);

/// The same where other processes send to the target. The number of requests is then known only from
/// reports, so answer times seem to depend on it half as much as they do.
const SHARED_SLOPES: (f64, f64) = (0.3, 0.5);

/// The limit falls to this share of itself while fewer requests seem better.
const SLOPE_DECREASE: f64 = 0.9;

/// No such decrease while more than this multiple of the limit is at the target: the requests of the
/// time before it have not ended.
const MAX_EXCESS: f64 = 1.3;

/// The shortest time between two such decreases.
const SLOPE_INTERVAL: Duration = Duration::from_millis(150);

/// Weight of the newest answer in the average number of requests.
const REQUESTS_WEIGHT: f64 = 0.3;

/// The limit rises by this share of itself at once, and by [`MIN_INCREASE`] at least.
const INCREASE: f64 = 0.125;

/// The same before the limit has fallen for the first time.
const FIRST_INCREASE: f64 = 0.4;

/// The smallest increase, in requests.
const MIN_INCREASE: f64 = 0.5;

/// The shortest time between two increases.
const INCREASE_INTERVAL: Duration = Duration::from_millis(100);

/// How long the limit does not rise after a decrease. More requests are tried as rarely as the return
/// to full capacity within three seconds allows.
const HOLD_TIME: Duration = Duration::from_millis(2300);

/// The shortest time between two decreases after refusals: those of one moment count once.
const REFUSAL_INTERVAL: Duration = Duration::from_millis(100);

/// The share of the limit to which it falls after a refusal.
const REFUSAL_DECREASE: f64 = 0.85;

/// The limit falls to this share of itself to learn whether fewer requests are better.
const EXPLORED_SHARE: f64 = 0.75;

/// The number of processes per slot beyond which limits begin at the lower bound.
const MAX_PROCESSES_PER_SLOT: u32 = 4;

/// The load reaches the limit if it is at least this share of it.
const AT_LIMIT: f64 = 0.85;

/// A sudden change counts if the load is at least this share of the limit.
const LOADED: f64 = 0.6;

/// The change of the limit that is recorded, as a ratio.
const RECORDED_CHANGE: f64 = 0.25;

/// Settings of learned limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Whether limits are learned and used.
    pub is_enabled: bool,
    /// The share of the slots, from zero to one, below which no limit falls.
    pub min_share: f64,
}

impl Settings {
    /// Limits are neither learned nor used.
    pub const OFF: Self = Self {
        is_enabled: false,
        min_share: 0.25,
    };
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_enabled: true,
            ..Self::OFF
        }
    }
}

/// The bounds of a limit, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The lower bound, which is at least one.
    pub min: u32,
    /// The upper bound.
    pub max: u32,
    /// The limit until something has been learned.
    pub initial: u32,
    /// Whether other processes send to the target without being counted here.
    pub is_shared: bool,
    /// Whether the requests of all processes are counted here, as by the agent of an engine, whose
    /// prompts differ in size. The scatter of answers then counts from the first ones on.
    pub is_counted: bool,
}

impl Bounds {
    /// The bounds for a target with `slots` that may have `max` requests.
    pub fn new(settings: Settings, slots: u32, max: u32) -> Self {
        let max = max.max(1);
        let share = (f64::from(slots) * settings.min_share.clamp(0.0, 1.0)).ceil();
        Self {
            min: (share as u32).clamp(1, max),
            max,
            initial: max,
            is_shared: false,
            is_counted: true,
        }
    }

    /// The same bounds for a limit that rises from below, among `process_count` processes. It begins at
    /// half of the slots, or at the lower bound if there are many processes for each slot: each then sees so
    /// few answers that an overload would last for seconds.
    pub fn from_below(self, slots: u32, process_count: u32) -> Self {
        let initial = if process_count > slots.saturating_mul(MAX_PROCESSES_PER_SLOT) {
            self.min
        } else {
            slots.div_ceil(2).clamp(self.min, self.max)
        };
        Self {
            initial,
            is_shared: process_count > 1,
            is_counted: false,
            ..self
        }
    }

    fn clamp(self, limit: f64) -> f64 {
        limit.clamp(f64::from(self.min), f64::from(self.max))
    }
}

/// Why a limit last changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cause {
    /// It has not changed.
    #[default]
    Initial,
    /// Fewer requests at once have a better throughput.
    Overload,
    /// Answers suddenly take much longer.
    SuddenSlowness,
    /// The target refused a request.
    Refusal,
    /// The agent of the target, which knows the cause, reported it.
    Reported,
    /// It is not known whether fewer requests are better.
    Exploration,
    /// The load reached the limit, and no more requests are known to be worse.
    Increase,
    /// More requests at once have a better throughput.
    Recovery,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 8] = [
        Self::Initial,
        Self::Overload,
        Self::SuddenSlowness,
        Self::Refusal,
        Self::Reported,
        Self::Exploration,
        Self::Increase,
        Self::Recovery,
    ];

    fn is_overload(self) -> bool {
        matches!(self, Self::Overload | Self::SuddenSlowness | Self::Refusal)
    }

    /// The name in metrics and in the record.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Initial => "initial",
            Self::Overload => "overload",
            Self::SuddenSlowness => "sudden_slowness",
            Self::Refusal => "refusal",
            Self::Reported => "reported",
            Self::Exploration => "exploration",
            Self::Increase => "increase",
            Self::Recovery => "recovery",
        }
    }
}

/// A completed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request was sent.
    pub started_at: Duration,
    /// Requests at the target when it was sent, including itself.
    pub requests: u32,
    /// Time to the answer or its first event, plus the longest pause between events.
    pub duration: Duration,
    /// How long work took, in percent of the usual time, if the target said so.
    pub slowness_percent: Option<u16>,
    /// Number of more urgent priorities, for which requests of this one leave slots of the limit free.
    pub priority_level: u8,
}

/// A change of a limit by a quarter or more since the last one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit that was last recorded.
    pub from: f64,
    /// The limit now.
    pub to: f64,
    /// Why it changed last.
    pub cause: Cause,
}

/// An answer, as far as the next limit depends on it.
struct Answer {
    now: Duration,
    bounds: Bounds,
    limit: f64,
    /// Whether its request was sent after the last change of the limit.
    is_current: bool,
    /// The requests with which the load of this priority reaches the limit.
    usable: f64,
    /// Whether the load reached the limit.
    is_at_limit: bool,
}

/// A limit for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatus {
    /// Concurrent requests.
    pub limit: f64,
    /// Why it changed last.
    pub cause: Cause,
    /// Time since its last change.
    pub age: Duration,
}

/// The learned limit of one target. It belongs to one start of the target with one version of the
/// weights.
#[derive(Clone, Debug, Default)]
pub struct LearnedLimit {
    /// Whether the target reports its slowness; if not, there is no limit.
    is_active: bool,
    /// The limit, or `None` while it is the initial one.
    limit: Option<f64>,
    curve: Curve,
    /// Average deviation of the latest answers, as a logarithm.
    deviation: f64,
    /// Average number of requests at the target in the latest answers.
    usual_requests: f64,
    cause: Cause,
    changed_at: Duration,
    lowered_at: Duration,
    /// The limit before the latest decreases in a row.
    limit_before: f64,
    recorded: Option<f64>,
}

impl LearnedLimit {
    /// Notes that the target reports its slowness, from which time on the limit applies.
    pub fn activate(&mut self) {
        self.is_active = true;
    }

    /// Whether the limit applies.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// The limit in concurrent requests of all processes, if the target reports its slowness.
    pub fn limit(&self, bounds: Bounds) -> Option<f64> {
        let limit = self.limit.unwrap_or(f64::from(bounds.initial));
        self.is_active.then(|| bounds.clamp(limit))
    }

    /// The limit for reports, if the target reports its slowness.
    pub fn status(&self, now: Duration, bounds: Bounds) -> Option<LimitStatus> {
        Some(LimitStatus {
            limit: self.limit(bounds)?,
            cause: self.cause,
            age: now.saturating_sub(self.changed_at),
        })
    }

    /// Forgets what was learned, for a target that restarted or loaded other weights.
    pub fn forget(&mut self) {
        *self = Self {
            is_active: self.is_active,
            ..Self::default()
        };
    }

    /// Learns from an answer. Returns the change if it is to be recorded.
    pub fn record_answer(
        &mut self,
        now: Duration,
        bounds: Bounds,
        sample: &Sample,
    ) -> Option<Change> {
        let limit = self.limit(bounds)?;
        self.curve.resize(bounds.max);
        let requests = sample.requests.clamp(1, bounds.max);
        let deviation = self.curve.add(now, requests, sample, bounds.is_counted);
        // Answers to requests that were sent before the last change show the load before it.
        let is_current = sample.started_at >= self.changed_at;
        let usable = f64::from(limit_for_level(limit as u32, sample.priority_level));
        let is_at_limit = f64::from(requests) >= usable * AT_LIMIT;
        // An increase is too small to explain a sudden change.
        let is_after_decrease = sample.started_at >= self.lowered_at;
        let is_loaded = f64::from(requests) >= limit.floor() * LOADED;
        if is_after_decrease && is_loaded {
            let deviation = deviation.unwrap_or(self.deviation);
            self.deviation += (deviation - self.deviation) * DEVIATION_WEIGHT;
        }
        self.usual_requests += (f64::from(requests) - self.usual_requests) * REQUESTS_WEIGHT;
        let deviation = deviation.unwrap_or(0.0);
        if is_after_decrease
            && is_loaded
            && self.deviation > self.curve.sudden_change(SUDDEN_CHANGE.ln())
            && deviation > 0.0
        {
            // Answer times grow with the square of the requests where capacity is exceeded.
            let factor = (-deviation / 2.0).exp().max(MAX_SUDDEN_DECREASE);
            // What was measured before says nothing of the target as it is now.
            self.curve.clear();
            return self.set(now, bounds, limit * factor, Cause::SuddenSlowness);
        }
        if is_after_decrease && self.deviation < -SUDDEN_RETURN.ln() && limit < self.limit_before {
            self.curve.clear();
            return self.set(now, bounds, self.limit_before, Cause::Recovery);
        }
        let at = Answer {
            now,
            bounds,
            limit,
            is_current,
            usable,
            is_at_limit,
        };
        let (to, cause) = self.next_limit(&at)?;
        self.set(now, bounds, to, cause)
    }

    /// Learns that the target refused a request while it had `requests`, including this one.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        bounds: Bounds,
        requests: u32,
    ) -> Option<Change> {
        let limit = self.limit(bounds)?;
        let fitting = f64::from(requests.saturating_sub(1));
        let is_recent = now.saturating_sub(self.lowered_at) < REFUSAL_INTERVAL;
        if fitting >= limit || is_recent && self.cause == Cause::Refusal {
            return None;
        }
        let to = fitting.max(limit * REFUSAL_DECREASE);
        self.set(now, bounds, to, Cause::Refusal)
    }

    /// The next limit and its cause, if the limit changes.
    fn next_limit(&self, at: &Answer) -> Option<(f64, Cause)> {
        let current = self.usual_requests.round() as u32;
        let Some(utility) = self.curve.utility(current) else {
            return self.first_increase(at);
        };
        if !at.is_current || !self.curve.is_fresh(at.now, current) {
            return None;
        }
        let (best, best_utility) = self.curve.best()?;
        let noise = self.curve.noise(MIN_GAIN);
        let is_scattered = noise >= MAX_ALIKE_NOISE;
        let chance = if is_scattered { noise - MIN_GAIN } else { 0.0 };
        if best_utility - utility >= noise {
            if best < current && f64::from(best) < at.limit {
                let to = f64::from(best).max(at.limit * MAX_DECREASE);
                return Some((to, Cause::Overload));
            }
            if f64::from(best) > at.limit && self.curve.is_fresh(at.now, best) {
                return Some((f64::from(best), Cause::Recovery));
            }
        }
        let (min_slope, max_slope) = if at.bounds.is_shared {
            SHARED_SLOPES
        } else {
            EXACT_SLOPES
        };
        let uses_slope = at.bounds.is_shared || !is_scattered;
        let slope = uses_slope.then(|| self.curve.slope(at.now, current));
        let slope = slope.flatten();
        if slope.is_some_and(|slope| slope < min_slope)
            && f64::from(current) < at.limit * MAX_EXCESS
        {
            let is_due = at.now.saturating_sub(self.changed_at) >= SLOPE_INTERVAL;
            return is_due.then_some((at.limit * SLOPE_DECREASE, Cause::Overload));
        }
        if !at.is_at_limit || slope.is_some_and(|slope| slope < max_slope) {
            return None;
        }
        // Where answers scatter, a level that is better by chance is no reason to go down further.
        let best_above = self.curve.best_above(current);
        let is_above_worse = best_above.is_none_or(|above| utility - above >= chance);
        if utility >= best_utility && is_above_worse {
            if let Some(lower) = self.unknown_lower(at, current) {
                return Some((lower, Cause::Exploration));
            }
        }
        // A slope that rises outweighs the single levels.
        let is_worse = slope.is_none()
            && (best < current && best_utility - utility > chance
                || self.is_next_worse(at, utility - chance));
        let is_held =
            at.now.saturating_sub(self.lowered_at) < HOLD_TIME && self.cause.is_overload();
        (!is_worse && !is_held).then(|| self.increase(at))?
    }

    /// The increase while too few answers are known to compare, as long as none takes longer.
    fn first_increase(&self, at: &Answer) -> Option<(f64, Cause)> {
        let is_first = self.lowered_at.is_zero() && at.is_current && at.is_at_limit;
        let is_due = at.now.saturating_sub(self.changed_at) >= INCREASE_INTERVAL;
        (is_first && is_due && self.curve.is_flat())
            .then_some((at.limit * (1.0 + FIRST_INCREASE), Cause::Increase))
    }

    /// A lower limit with which answers were not measured lately.
    fn unknown_lower(&self, at: &Answer, current: u32) -> Option<f64> {
        let current = f64::from(current);
        let lower = (at.limit.min(current) * EXPLORED_SHARE).floor();
        let lower = lower.max(f64::from(at.bounds.min));
        // Otherwise the limit is lower already, and the requests beyond it have not ended.
        let is_settled = current < at.limit + 1.5;
        let is_unknown = lower < at.limit.floor() && !self.curve.is_known(at.now, lower as u32);
        (is_settled && is_unknown).then_some(lower)
    }

    fn is_next_worse(&self, at: &Answer, utility: f64) -> bool {
        let next = at.limit.floor() as u32 + 1;
        self.curve.is_fresh(at.now, next) && self.curve.utility(next) < Some(utility)
    }

    fn increase(&self, at: &Answer) -> Option<(f64, Cause)> {
        // Where the number of requests is known exactly, a step waits for the measurement of the last.
        let is_measured = at.bounds.is_shared || self.curve.is_fresh(at.now, at.usable as u32);
        let is_due = at.now.saturating_sub(self.changed_at) >= INCREASE_INTERVAL;
        let increase = if self.lowered_at.is_zero() {
            FIRST_INCREASE
        } else {
            INCREASE
        };
        let step = (at.limit * increase).max(MIN_INCREASE);
        (is_measured && is_due && at.limit < f64::from(at.bounds.max))
            .then_some((at.limit + step, Cause::Increase))
    }

    fn set(&mut self, now: Duration, bounds: Bounds, to: f64, cause: Cause) -> Option<Change> {
        let from = self.limit(bounds)?;
        let to = bounds.clamp(to);
        self.deviation = 0.0;
        if (to - from).abs() < f64::EPSILON {
            return None;
        }
        self.limit = Some(to);
        self.cause = cause;
        self.changed_at = now;
        if to < from {
            let is_first = now.saturating_sub(self.lowered_at) >= HOLD_TIME;
            self.limit_before = if is_first {
                from
            } else {
                self.limit_before.max(from)
            };
            self.lowered_at = now;
        }
        let recorded = *self.recorded.get_or_insert(from);
        if (to - recorded).abs() < recorded * RECORDED_CHANGE {
            return None;
        }
        self.recorded = Some(to);
        Some(Change {
            from: recorded,
            to,
            cause,
        })
    }
}
