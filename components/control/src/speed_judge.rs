//! Judges what a target says of its speed by the measured times of its answers.
//!
//! Targets report how long work takes there now. A report follows changes of a few hundred milliseconds,
//! which a measured average cannot, but some targets report something wrong: they answer on time and say
//! that they are slow, or the other way round.

use std::time::Duration;

/// Weight of the newest measurement in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.15;

/// Bounds of a single measured slowdown, since unrelated causes may delay single answers.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.6, 4.0);

/// Bounds of the ratio of measured to reported slowness that is attributed to the expected times. A
/// report that differs more is wrong: a slow engine takes 2.5 times as long.
const BIAS_BOUNDS: (f64, f64) = (0.85, 1.6);

/// Bounds of the evidence of one measurement.
const EVIDENCE_BOUNDS: (f64, f64) = (-0.5, 0.5);

/// Bounds of the sum of evidence, so that a target that changes is judged anew after some ten answers.
const SCORE_BOUNDS: (f64, f64) = (-1.8, 1.0);

/// Reports are credible from this score on. Scores begin at zero; single measurements differ by half even
/// if the reports are right.
const MIN_CREDIBLE_SCORE: f64 = -0.3;

/// The score below [`MIN_CREDIBLE_SCORE`] at which reports have no weight left.
const SCORE_WITHOUT_WEIGHT: f64 = -0.8;

/// The measured slowdown of one target, and how far its reports agree with it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedJudge {
    /// The slowdown minus one, so that the default value zero means no slowdown.
    excess_slowdown: f64,
    /// The ratio of measured to reported slowness, minus one.
    excess_bias: f64,
    /// Whether a report was compared with a measurement.
    is_judged: bool,
    /// The evidence that reports predict measurements better than the moving average does.
    score: f64,
}

impl SpeedJudge {
    /// Records how long an answer took. `reported` is the slowness that the target reported when the
    /// request was sent, as a factor, if that was known.
    pub fn record(&mut self, expected: Duration, actual: Duration, reported: Option<f64>) {
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let (min, max) = SLOWDOWN_BOUNDS;
        let ratio = ratio.clamp(min, max);
        if let Some(reported) = reported {
            self.judge(reported, ratio);
        }
        self.excess_slowdown += (ratio - self.measured_slowdown()) * AVERAGE_WEIGHT;
    }

    /// Compares what the report and the moving average predicted with what was measured.
    fn judge(&mut self, reported: f64, measured: f64) {
        let predicted = reported * self.bias();
        let average = self.measured_slowdown();
        let error = |prediction: f64| (measured / prediction).ln().powi(2);
        let (min, max) = EVIDENCE_BOUNDS;
        let evidence = (error(average) - error(predicted)).clamp(min, max);
        let (min, max) = SCORE_BOUNDS;
        self.score = (self.score + evidence).clamp(min, max);
        self.is_judged = true;
        let (min, max) = BIAS_BOUNDS;
        let bias = (measured / reported).clamp(min, max);
        self.excess_bias += (bias - self.bias()) * AVERAGE_WEIGHT;
    }

    /// Moving average of actual over expected times.
    pub fn measured_slowdown(&self) -> f64 {
        1.0 + self.excess_slowdown
    }

    /// The expected slowdown if the target reports the slowness `reported`, as a factor. `weight` is
    /// that of the report, from zero to one; it counts less if measurements contradicted reports.
    pub fn expected_slowdown(&self, reported: f64, weight: f64) -> f64 {
        let measured = self.measured_slowdown();
        let range = MIN_CREDIBLE_SCORE - SCORE_WITHOUT_WEIGHT;
        let credibility = ((self.score - SCORE_WITHOUT_WEIGHT) / range).clamp(0.0, 1.0);
        measured + (reported * self.bias() - measured) * weight * credibility
    }

    /// Whether a report was compared with a measurement.
    pub fn is_judged(&self) -> bool {
        self.is_judged
    }

    /// Whether the reports of the target agree with the measurements. They must have been compared at
    /// least once, since requests are refused because of them.
    pub fn is_credible(&self) -> bool {
        self.is_judged && self.score >= MIN_CREDIBLE_SCORE
    }

    /// Moving average of measured over reported slowness: the error of the expected times.
    fn bias(&self) -> f64 {
        1.0 + self.excess_bias
    }
}
