//! Answer times of one target by the number of concurrent requests.

use std::time::Duration;

use super::Sample;

/// The maximum number of levels. Targets with more slots have several numbers of requests per level.
const MAX_LEVELS: u32 = 24;

/// Weight of the newest answer in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Average deviation of the difference of two levels, relative to that of single answers. With a weight
/// of 0.15 the averages deviate 0.28 times as much as answers, differences 0.4 times as much; one in
/// twenty deviates twice as much as the average.
const UTILITY_ERROR: f64 = 0.7;

/// A sudden change must exceed this multiple of the average deviation of single answers.
const SUDDEN_ERROR: f64 = 1.5;

/// Answers after which the average of a level is used.
const MIN_SAMPLES: f64 = 3.0;

/// After this time without answers, new ones replace the average of a level.
/// The phases of slow work that targets report are 600 ms long.
pub(super) const LEVEL_FRESH_TIME: Duration = Duration::from_millis(1500);

/// After this time a level is measured again, when the load allows it.
const LEVEL_KNOWN_TIME: Duration = Duration::from_secs(30);

/// Share of the throughput that is given up for shorter answer times. Doubling the requests must
/// raise the throughput by at least a tenth (2 to the power of 0.15). A batch engine whose iterations
/// take 1.5 times as long with all slots in use as with one stays at its slots with this value.
const LATENCY_EXPONENT: f64 = 0.25;

/// Weight of the newest answer in the error of both averages.
const ERROR_WEIGHT: f64 = 0.05;

/// A single answer counts as at most this error: a sudden change is not scatter.
const MAX_ERROR: f64 = 1.5;

/// The reported slowness is used unless the errors with it are larger by this factor.
const ERROR_TOLERANCE: f64 = 1.1;

/// A single answer counts as at most this multiple of the average.
const MAX_DEVIATION: f64 = 10.0;

/// A change of the reported slowness by this factor is a change of speed. Answers that were begun
/// before are of both speeds and are left out.
const SLOWNESS_CHANGE: f64 = 1.2;

/// How much longer answers with the most requests may take while the limit rises for the first time.
const MAX_FLAT_RATIO: f64 = 1.5;

/// Numbers of requests from which the slope is taken, relative to the usual number.
const SLOPE_RANGE: (f64, f64) = (0.6, 1.6);

/// Levels with recent answers that a slope needs.
const MIN_SLOPE_LEVELS: usize = 3;

/// Bounds of reported slowness, in percent; figures outside are ignored.
const SLOWNESS_BOUNDS: (u16, u16) = (20, 2000);

/// The averages for one range of numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Seconds, as measured, and divided by the reported slowness.
    seconds: [f64; 2],
    samples: f64,
    sampled_at: Duration,
}

/// The answer times of one target.
#[derive(Clone, Debug)]
pub(super) struct Curve {
    levels: Vec<Level>,
    max_requests: u32,
    /// Average deviation of answers from both averages of their levels, as logarithms.
    errors: [f64; 2],
    /// Answers that the average deviation is made of.
    error_samples: f64,
    /// The slowness that the target last reported, as a factor.
    slowness: f64,
    slowness_changed_at: Duration,
}

impl Default for Curve {
    fn default() -> Self {
        Self {
            levels: Vec::new(),
            max_requests: 0,
            errors: [0.0; 2],
            error_samples: 0.0,
            slowness: 1.0,
            slowness_changed_at: Duration::ZERO,
        }
    }
}

/// Slowness as a factor; one if it is unknown or not plausible.
fn slowness_factor(slowness_percent: Option<u16>) -> f64 {
    let (min, max) = SLOWNESS_BOUNDS;
    let plausible = slowness_percent.filter(|percent| (min..=max).contains(percent));
    f64::from(plausible.unwrap_or(100)) / 100.0
}

impl Curve {
    /// Prepares levels for up to `max_requests`; other levels are discarded.
    pub fn resize(&mut self, max_requests: u32) {
        if self.max_requests != max_requests {
            let count = max_requests.clamp(1, MAX_LEVELS) as usize;
            *self = Self {
                levels: vec![Level::default(); count],
                max_requests,
                ..Self::default()
            };
        }
    }

    /// Forgets all averages.
    pub fn clear(&mut self) {
        self.levels.fill(Level::default());
    }

    fn index(&self, requests: u32) -> usize {
        let count = self.levels.len();
        let max = self.max_requests.max(1) as usize;
        let requests = (requests as usize).clamp(1, max);
        (requests * count).div_ceil(max) - 1
    }

    /// The largest number of requests of a level.
    fn requests_of(&self, index: usize) -> u32 {
        let requests = (index + 1) * self.max_requests as usize / self.levels.len().max(1);
        u32::try_from(requests).unwrap_or(u32::MAX).max(1)
    }

    /// Which average is used: 1 if the reported slowness explains the answer times, else 0.
    fn used_average(&self) -> usize {
        usize::from(self.errors[1] <= self.errors[0] * ERROR_TOLERANCE)
    }

    /// Adds an answer. Returns the logarithm of its ratio to the average before, or to that of the nearest
    /// level, if there is one and the slowness did not change while the answer was made.
    /// With `uses_first_errors` the average deviation starts from the first answers instead of zero.
    pub fn add(
        &mut self,
        now: Duration,
        requests: u32,
        sample: &Sample,
        uses_first_errors: bool,
    ) -> Option<f64> {
        let factor = slowness_factor(sample.slowness_percent);
        let change = (factor / self.slowness).ln().abs();
        if change > SLOWNESS_CHANGE.ln() {
            self.slowness = factor;
            self.slowness_changed_at = now;
        }
        let used = self.used_average();
        let index = self.index(requests);
        let level = self.levels.get_mut(index)?;
        let measured = sample.duration.as_secs_f64().max(1e-6);
        let values = [measured, measured / factor];
        if now.saturating_sub(level.sampled_at) > LEVEL_FRESH_TIME {
            level.samples = 0.0;
        }
        let is_known = level.samples > 0.0;
        let mut deviation = [0.0; 2];
        if is_known {
            self.error_samples += 1.0;
            let error_weight = if uses_first_errors {
                ERROR_WEIGHT.max(1.0 / self.error_samples)
            } else {
                ERROR_WEIGHT
            };
            for (i, value) in values.into_iter().enumerate() {
                deviation[i] = (value / level.seconds[i]).ln();
                let error = deviation[i].abs().min(MAX_ERROR);
                self.errors[i] += (error - self.errors[i]) * error_weight;
            }
        }
        if is_known && used == 1 && sample.started_at < self.slowness_changed_at {
            return None;
        }
        let weight = SAMPLE_WEIGHT.max(1.0 / (level.samples + 1.0));
        for (average, value) in level.seconds.iter_mut().zip(values) {
            let limited = if is_known {
                value.min(*average * MAX_DEVIATION)
            } else {
                value
            };
            *average += (limited - *average) * weight;
        }
        level.samples += 1.0;
        level.sampled_at = now;
        if is_known {
            return Some(deviation[used]);
        }
        let nearest = self.nearest_known(index)?;
        // Another number of requests may be the reason for a shorter time.
        Some((values[used] / nearest.seconds[used]).ln().max(0.0))
    }

    /// The nearest other level that has been measured.
    fn nearest_known(&self, index: usize) -> Option<Level> {
        let others = self.levels.iter().enumerate();
        let known = others.filter(|(i, level)| *i != index && level.samples >= MIN_SAMPLES);
        let nearest = known.min_by_key(|(i, _)| i.abs_diff(index));
        nearest.map(|(_, level)| *level)
    }

    /// How good it is to run this many requests at once: the logarithm of the throughput, less a
    /// little for longer answer times. `None` if it is not known.
    pub fn utility(&self, requests: u32) -> Option<f64> {
        let index = self.index(requests);
        let level = self.levels.get(index)?;
        let seconds = level.seconds[self.used_average()];
        let requests = f64::from(self.requests_of(index));
        (level.samples >= MIN_SAMPLES)
            .then(|| requests.ln() * (1.0 - LATENCY_EXPONENT) - seconds.ln())
    }

    /// The difference of two utilities that is no chance, and at least `min`.
    pub fn noise(&self, min: f64) -> f64 {
        (self.errors[self.used_average()] * UTILITY_ERROR).max(min)
    }

    /// The deviation of the latest answers that is no chance, and at least `min`.
    pub fn sudden_change(&self, min: f64) -> f64 {
        (self.errors[self.used_average()] * SUDDEN_ERROR).max(min)
    }

    /// Whether answers with more requests have not taken much longer than those with the fewest.
    pub fn is_flat(&self) -> bool {
        let used = self.used_average();
        let seen = self.levels.iter().filter(|level| level.samples > 0.0);
        let seconds: Vec<f64> = seen.map(|level| level.seconds[used]).collect();
        let least = seconds.iter().copied().fold(f64::INFINITY, f64::min);
        seconds
            .last()
            .is_none_or(|last| *last < least * MAX_FLAT_RATIO)
    }

    /// How the utility changes with the logarithm of the number of requests, around this number.
    /// `None` unless answers at several numbers are recent, as they are where the number varies.
    pub fn slope(&self, now: Duration, requests: u32) -> Option<f64> {
        let (min, max) = SLOPE_RANGE;
        let requests = f64::from(requests);
        let points: Vec<(f64, f64, f64)> = (0..self.levels.len())
            .filter_map(|index| {
                let n = self.requests_of(index);
                let ratio = f64::from(n) / requests;
                let is_used = (min..=max).contains(&ratio) && self.is_fresh(now, n);
                let weight = self.levels[index].samples.min(1.0 / SAMPLE_WEIGHT);
                let utility = self.utility(n).filter(|_| is_used)?;
                Some((f64::from(n).ln(), utility, weight))
            })
            .collect();
        if points.len() < MIN_SLOPE_LEVELS {
            return None;
        }
        let total: f64 = points.iter().map(|(_, _, w)| w).sum();
        let mean_x = points.iter().map(|(x, _, w)| x * w).sum::<f64>() / total;
        let mean_y = points.iter().map(|(_, y, w)| y * w).sum::<f64>() / total;
        let products = points
            .iter()
            .map(|(x, y, w)| (x - mean_x) * (y - mean_y) * w);
        let squares = points.iter().map(|(x, _, w)| (x - mean_x).powi(2) * w);
        Some(products.sum::<f64>() / squares.sum::<f64>())
    }

    /// Whether answers at this number of requests are recent.
    pub fn is_fresh(&self, now: Duration, requests: u32) -> bool {
        let level = self.levels.get(self.index(requests));
        level.is_some_and(|level| {
            level.samples >= MIN_SAMPLES && now.saturating_sub(level.sampled_at) <= LEVEL_FRESH_TIME
        })
    }

    /// Whether answers at this number of requests were measured lately enough to rely on.
    pub fn is_known(&self, now: Duration, requests: u32) -> bool {
        let level = self.levels.get(self.index(requests));
        level.is_some_and(|level| {
            level.samples >= MIN_SAMPLES && now.saturating_sub(level.sampled_at) <= LEVEL_KNOWN_TIME
        })
    }

    /// The utility of the best known level with more requests.
    pub fn best_above(&self, requests: u32) -> Option<f64> {
        let above = self.index(requests) + 1..self.levels.len();
        let known = above.filter_map(|index| self.utility(self.requests_of(index)));
        known.max_by(f64::total_cmp)
    }

    /// The number of requests of the best known level, and its utility.
    pub fn best(&self) -> Option<(u32, f64)> {
        let known = (0..self.levels.len()).filter_map(|index| {
            let requests = self.requests_of(index);
            Some((requests, self.utility(requests)?))
        });
        known.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}
