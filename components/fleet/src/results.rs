//! Results of a load: counts and latencies.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::{
    Completion,
    Failure, //
};

/// Results of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadResults {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub answered: u64,
    /// Error responses that said that the request was not run.
    pub refused_not_run: u64,
    /// Requests that failed in any other way.
    pub failed: u64,
    /// Complete answers that missed the latency objective for the first or a later token.
    pub late_answers: u64,
    /// Complete answers with tokens of several versions or of incomplete weights.
    pub mixed_answers: u64,
    /// Longest time between two complete answers.
    pub longest_time_between_answers: Duration,
    /// Requests without a complete answer, by reason.
    pub failures_by_reason: BTreeMap<String, u64>,
    /// Complete answers by team.
    pub answers_by_team: BTreeMap<String, u64>,
    last_answered_at: Option<Duration>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

/// Latency objective for the first token.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(900);

/// Latency objective for the time between two tokens.
const BETWEEN_TOKENS_LIMIT: Duration = Duration::from_millis(56);

/// Percentiles of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Default for LoadResults {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused_not_run: 0,
            failed: 0,
            late_answers: 0,
            mixed_answers: 0,
            longest_time_between_answers: Duration::ZERO,
            failures_by_reason: BTreeMap::new(),
            answers_by_team: BTreeMap::new(),
            last_answered_at: None,
            first_token: histogram(),
            between_tokens: histogram(),
        }
    }
}

/// Largest value of the histograms; longer times are recorded as this value.
const HISTOGRAM_MAX_MICROS: u64 = 600_000_000;

/// Returns an empty histogram of microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HISTOGRAM_MAX_MICROS, 3)
        .expect("three significant digits are supported")
}

impl LoadResults {
    /// Records the result of a request that ended at `now`.
    pub fn record(&mut self, now: Duration, team: &str, result: &Result<Completion, Failure>) {
        self.sent += 1;
        match result {
            Ok(completion) => self.record_completion(now, team, completion),
            Err(Failure::NotRun { code, .. }) => {
                self.refused_not_run += 1;
                *self
                    .failures_by_reason
                    .entry(format!("not_run: {code}"))
                    .or_default() += 1;
            }
            Err(Failure::ErrorResponse { code, .. }) => {
                self.failed += 1;
                *self.failures_by_reason.entry(code.clone()).or_default() += 1;
            }
            Err(Failure::Incomplete(cause)) => {
                self.failed += 1;
                *self
                    .failures_by_reason
                    .entry(format!("cut: {cause}"))
                    .or_default() += 1;
            }
        }
    }

    fn record_completion(&mut self, now: Duration, team: &str, completion: &Completion) {
        self.answered += 1;
        self.mixed_answers += u64::from(completion.is_mixed());
        *self.answers_by_team.entry(team.to_owned()).or_default() += 1;
        let last = self.last_answered_at.replace(now).unwrap_or(now);
        self.longest_time_between_answers = self
            .longest_time_between_answers
            .max(now.saturating_sub(last));
        let longest_interval = completion
            .token_intervals
            .iter()
            .max()
            .copied()
            .unwrap_or_default();
        let is_late =
            completion.first_token > FIRST_TOKEN_LIMIT || longest_interval > BETWEEN_TOKENS_LIMIT;
        self.late_answers += u64::from(is_late);
        record_time(&mut self.first_token, completion.first_token);
        for interval in &completion.token_intervals {
            record_time(&mut self.between_tokens, *interval);
        }
    }

    /// Returns percentiles of the time to the first token.
    pub fn first_token_ms(&self) -> Percentiles {
        percentiles(&self.first_token)
    }

    /// Returns percentiles of the time between two tokens.
    pub fn between_tokens_ms(&self) -> Percentiles {
        percentiles(&self.between_tokens)
    }
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles {
        p50: quantile_ms(0.5),
        p95: quantile_ms(0.95),
        p99: quantile_ms(0.99),
    }
}
