//! The time that a model engine takes for its batch iterations.
//!
//! A model engine works in batch iterations: each generates a few tokens for every running request
//! and prefills a bounded number of prompt tokens. Entries estimate with this formula where to send
//! a request, and agents whether its answer is on time.

use std::time::Duration;

/// What a batch iteration takes at an engine of usual speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchTiming {
    /// Duration of an iteration without prefill.
    pub iteration: Duration,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of prompt tokens prefilled per iteration.
    pub chunk_tokens: f64,
}

impl BatchTiming {
    /// The time until the first event of a request that has a slot. `tokens` are the prompt tokens
    /// that are not prefilled yet, including its own.
    pub fn time_to_first_event(&self, tokens: f64) -> Duration {
        let prefill = self.prefill_time(tokens);
        let iterations = (tokens / self.chunk_tokens.max(1.0)).ceil().max(1.0);
        // On average half an iteration passes before the engine admits the request. One iteration
        // after the prefill writes the event.
        prefill + self.iteration.mul_f64(iterations + 0.5)
    }

    /// The time of the longest iteration, with `tokens` prompt tokens that are not prefilled yet.
    /// Running requests get no event in the meantime.
    pub fn longest_iteration(&self, tokens: f64) -> Duration {
        self.iteration + self.prefill_time(tokens.min(self.chunk_tokens))
    }

    fn prefill_time(&self, tokens: f64) -> Duration {
        let seconds = tokens / self.prefill_tokens_per_second.max(1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
