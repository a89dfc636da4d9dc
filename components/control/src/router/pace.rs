//! How soon a target would answer one more request.
//!
//! A model engine works in passes: each writes a few tokens of every running request and reads a
//! bounded part of the prompts that are waiting to be read. So the time to a first event grows with
//! the prompts ahead, and, once every slot is taken, with the requests that must end first.

use std::time::Duration;

use super::config::EngineProfile;

/// Prompt tokens that an engine reads in one pass, where the configuration does not say.
const DEFAULT_CHUNK: u32 = 2048;

/// What a target has to do ahead of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ahead {
    /// Requests there, those that wait included.
    pub requests: f64,
    /// Prompt tokens that are not read yet.
    pub unread: f64,
    /// Requests at once.
    pub slots: u32,
}

/// The time until the first event of a request whose prompt has `tokens`.
pub fn first_event(engine: &EngineProfile, ahead: &Ahead, tokens: u32) -> Duration {
    let stride = engine.step * engine.stride.max(1);
    let unread = ahead.unread + f64::from(tokens);
    let reading = seconds(unread / engine.read_rate.max(1.0));
    let chunk = f64::from(engine.chunk.unwrap_or(DEFAULT_CHUNK).max(1));
    let passes = (unread / chunk).ceil().max(1.0);
    // Half a pass goes by on average before the engine takes the request in, and one stride after
    // its prompt is read until an event is written.
    let steps = stride.mul_f64(passes + 0.5);
    reading + steps + slot_wait(engine, ahead)
}

/// The time until a slot is free.
fn slot_wait(engine: &EngineProfile, ahead: &Ahead) -> Duration {
    let over = ahead.requests + 1.0 - f64::from(ahead.slots);
    if over <= 0.0 {
        return Duration::ZERO;
    }
    // Slots come free one after the other, each after its share of a usual answer.
    let answer = engine.step * engine.usual_answer.max(1);
    let each = answer / ahead.slots.max(1);
    each.mul_f64(over)
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
