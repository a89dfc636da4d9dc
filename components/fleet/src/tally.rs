//! Counts and times of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::{
    Answer,
    Failure, //
};

/// Counts of what callers got.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals that said that the request was not run.
    pub refused_not_run: u64,
    /// Everything else.
    pub failed: u64,
    /// Whole answers whose first token or a later one came later than the target allows.
    pub late: u64,
    /// Whole answers with tokens of several versions or of weights that are not whole.
    pub mixed: u64,
    /// The longest time without any whole answer.
    pub longest_gap: Duration,
    /// Refusals and failures by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Whole answers by team.
    pub by_team: BTreeMap<String, u64>,
    last_answer: Option<Duration>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

/// The target for the first token.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(900);

/// The target between tokens.
const BETWEEN_TOKENS_LIMIT: Duration = Duration::from_millis(56);

/// Three points of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// 95 in 100 are not above it.
    pub p95: f64,
    /// 99 in 100 are not above it.
    pub p99: f64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused_not_run: 0,
            failed: 0,
            late: 0,
            mixed: 0,
            longest_gap: Duration::ZERO,
            reasons: BTreeMap::new(),
            by_team: BTreeMap::new(),
            last_answer: None,
            first_token: histogram(),
            between_tokens: histogram(),
        }
    }
}

/// The longest time that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;

/// A histogram of microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MICROS, 3).expect("three digits are within the range")
}

impl Tally {
    /// Counts one request that was answered or not at `now`.
    pub fn count(&mut self, now: Duration, team: &str, result: &Result<Answer, Failure>) {
        self.sent += 1;
        match result {
            Ok(answer) => self.count_answer(now, team, answer),
            Err(Failure::NotRun { code, .. }) => {
                self.refused_not_run += 1;
                *self.reasons.entry(format!("not_run: {code}")).or_default() += 1;
            }
            Err(Failure::Told { code, .. }) => {
                self.failed += 1;
                *self.reasons.entry(code.clone()).or_default() += 1;
            }
            Err(Failure::Cut(cause)) => {
                self.failed += 1;
                *self.reasons.entry(format!("cut: {cause}")).or_default() += 1;
            }
        }
    }

    fn count_answer(&mut self, now: Duration, team: &str, answer: &Answer) {
        self.answered += 1;
        self.mixed += u64::from(answer.is_mixed());
        *self.by_team.entry(team.to_owned()).or_default() += 1;
        let last = self.last_answer.replace(now).unwrap_or(now);
        self.longest_gap = self.longest_gap.max(now.saturating_sub(last));
        let slowest = answer.gaps.iter().max().copied().unwrap_or_default();
        let late = answer.first_token > FIRST_TOKEN_LIMIT || slowest > BETWEEN_TOKENS_LIMIT;
        self.late += u64::from(late);
        record(&mut self.first_token, answer.first_token);
        for gap in &answer.gaps {
            record(&mut self.between_tokens, *gap);
        }
    }

    /// Times to the first token.
    pub fn first_token_ms(&self) -> Percentiles {
        percentiles(&self.first_token)
    }

    /// Times between tokens.
    pub fn between_tokens_ms(&self) -> Percentiles {
        percentiles(&self.between_tokens)
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}
