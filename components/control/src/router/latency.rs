//! Estimates the time to the first event of one more request at a model engine.
//!
//! A model engine works in batch iterations: each generates a few tokens for every running request
//! and prefills a bounded number of prompt tokens. The time to the first event therefore grows with
//! the prompt tokens ahead and, once all slots are taken, with the requests that must end first.

use std::time::Duration;

use crate::batch::BatchTiming;

use super::config::EngineProfile;

/// Prompt tokens that an engine prefills in one iteration, if the configuration does not say.
const DEFAULT_PREFILL_CHUNK_TOKENS: u32 = 2048;

/// The work that an engine has ahead of a new request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Requests at the engine, running or queued.
    pub requests: f64,
    /// Prompt tokens that are not prefilled yet.
    pub unprefilled_tokens: f64,
    /// Requests that the engine runs at once.
    pub slots: u32,
}

/// The expected time until the first event of a request with `prompt_tokens`.
pub fn time_to_first_event(
    engine: &EngineProfile,
    load: &EngineLoad,
    prompt_tokens: u32,
) -> Duration {
    let tokens = load.unprefilled_tokens + f64::from(prompt_tokens);
    let first_event = batch_timing(engine).time_to_first_event(tokens);
    first_event + slot_wait(engine, load)
}

/// What a batch iteration takes according to the profile, whatever the number of running requests.
pub fn batch_timing(engine: &EngineProfile) -> BatchTiming {
    let chunk_tokens = engine
        .prefill_chunk_tokens
        .unwrap_or(DEFAULT_PREFILL_CHUNK_TOKENS);
    BatchTiming {
        iteration: engine.step_time * engine.steps_per_iteration.max(1),
        prefill_tokens_per_second: engine.prefill_tokens_per_second,
        chunk_tokens: f64::from(chunk_tokens.max(1)),
    }
}

/// The expected time until a slot is free.
fn slot_wait(engine: &EngineProfile, load: &EngineLoad) -> Duration {
    let excess = load.requests + 1.0 - f64::from(load.slots);
    if excess <= 0.0 {
        return Duration::ZERO;
    }
    // Slots are assumed to become free at even intervals within the time of a typical answer.
    let answer_time = engine.step_time * engine.typical_answer_tokens.max(1);
    let slot_interval = answer_time / load.slots.max(1);
    slot_interval.mul_f64(excess)
}
