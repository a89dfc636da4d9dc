//! Predicts from the present speed of the engine whether the answer to one more request is on time.
//!
//! At any time some engines are several times slower than usual for a few hundred milliseconds, and
//! answers differ in length by several times. Entries learn of both too late: their reports of an
//! engine are as old as its last answer to them, and they know only their own requests there. Late
//! answers keep slots from requests that other engines would answer on time, and requests that the
//! engine preempts because its memory is full are processed twice.

use std::time::Duration;

use protocol::{
    Backlog,
    Timing, //
};

use crate::batch::BatchTiming;

use super::EngineMemory;

/// Share of its slots up to which an engine takes requests whose answers are predicted to be late.
/// Below it, a late answer delays no other request and is better than none.
const LATE_REQUEST_MAX_UTILIZATION: f64 = 0.25;

/// What an engine said of itself recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSpeed {
    /// How long work takes now, in percent of the usual time, if known.
    pub slowness_percent: Option<u16>,
    /// The use of its memory, if known.
    pub memory: Option<EngineMemory>,
}

/// The work of an engine: the requests that have a reservation there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservedWork {
    /// The requests, and their prompt tokens that are not prefilled yet.
    pub backlog: Backlog,
    /// Tokens that fill memory when the answers have their expected lengths.
    pub memory_tokens: u64,
    /// Requests that the engine runs at once.
    pub slots: u32,
}

/// The predicted answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prediction {
    /// Time to its first event.
    pub first_event: Duration,
    /// The longest pause between two events, of this answer and of those that run beside it.
    pub longest_pause: Duration,
}

/// Predicts the answer to a request with `prompt_tokens` behind `backlog`, at an engine where work
/// takes `slowness` times as long as usual.
pub fn predict(timing: &Timing, slowness: f64, backlog: Backlog, prompt_tokens: u32) -> Prediction {
    let batch = BatchTiming {
        iteration: Duration::from_micros(u64::from(timing.iteration_us)),
        prefill_tokens_per_second: f64::from(timing.prefill_tokens_per_second),
        chunk_tokens: f64::from(timing.chunk_tokens),
    };
    let tokens = f64::from(backlog.unprefilled_tokens) + f64::from(prompt_tokens);
    Prediction {
        first_event: scale(batch.time_to_first_event(tokens), slowness),
        longest_pause: scale(batch.longest_iteration(tokens), slowness),
    }
}

/// Whether the engine should get the request: its answer is on time, or the engine is hardly used;
/// and no request must be preempted for memory if the answers have their expected lengths.
pub fn should_accept(
    timing: &Timing,
    speed: &EngineSpeed,
    work: &ReservedWork,
    prompt_tokens: u32,
) -> bool {
    if !fits_into_memory(timing, speed, work, prompt_tokens) {
        return false;
    }
    let in_use = f64::from(work.backlog.requests);
    let Some(percent) = speed.slowness_percent else {
        return true;
    };
    if in_use <= f64::from(work.slots) * LATE_REQUEST_MAX_UTILIZATION {
        return true;
    }
    let slowness = f64::from(percent) / 100.0;
    let prediction = predict(timing, slowness, work.backlog, prompt_tokens);
    let max_pause = Duration::from_micros(u64::from(timing.max_pause_us));
    prediction.first_event <= Duration::from_micros(u64::from(timing.time_left_us))
        && (max_pause.is_zero() || prediction.longest_pause <= max_pause)
}

/// Whether the expected answers of all requests fit into the memory. A request that fits into no
/// engine is sent to one that is idle.
fn fits_into_memory(
    timing: &Timing,
    speed: &EngineSpeed,
    work: &ReservedWork,
    prompt_tokens: u32,
) -> bool {
    let Some(memory) = speed.memory else {
        return true;
    };
    let needed = u64::from(prompt_tokens) + u64::from(timing.answer_tokens);
    // Answers that are longer than expected already use more.
    let reserved = work.memory_tokens.max(memory.used_tokens);
    work.backlog.requests == 0 || reserved.saturating_add(needed) <= memory.total_tokens
}

fn scale(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
