//! What the agent of a target needs to predict whether an answer is on time.
//!
//! At any time some engines are several times slower than usual for a few hundred milliseconds. Their
//! agents know it first, so they decide with their speed and the objectives of the request.

use std::time::Duration;

use protocol::Timing;

use super::latency;
use super::pending::Pending;
use super::selection::Requirements;
use super::targets::Target;

/// The timing of a request to a model engine. `None` if the target does not report its slowness.
pub(super) fn timing(
    now: Duration,
    target: &Target,
    pending: &Pending,
    requirements: &Requirements<'_>,
) -> Option<Timing> {
    let engine = pending.service.engine_profile.as_ref()?;
    if !target.load.reports_slowness() {
        return None;
    }
    let batch = latency::batch_timing(engine);
    // The request itself runs as well.
    let running = target.load.total_requests(now) + 1.0;
    let steps = f64::from(engine.steps_per_iteration.max(1));
    let per_request = engine.step_time_per_request.unwrap_or_default();
    let iteration = batch.iteration + per_request.mul_f64(running * steps);
    // An answer that is late anyway cannot become late; the acceptable backlog limits it.
    let time_left = if requirements.is_overdue {
        Duration::MAX
    } else {
        requirements.time_left
    };
    let max_pause = pending.route.pause_objective.unwrap_or_default();
    Some(Timing {
        time_left_us: micros(time_left),
        iteration_us: micros(iteration),
        prefill_tokens_per_second: batch.prefill_tokens_per_second as u32,
        chunk_tokens: batch.chunk_tokens as u32,
        answer_tokens: pending.answer_tokens,
        max_pause_us: micros(max_pause),
    })
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
