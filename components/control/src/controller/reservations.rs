//! The reservations of requests at one engine.
//!
//! Each process that sends requests to an engine knows only its own requests. The engine's agent
//! counts the requests of all processes, so each process learns the exact queue ahead of its next
//! request.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use protocol::Backlog;

/// The window over which the rate of reservations is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The active reservations at an engine.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    next_number: u64,
    /// The prompt tokens that the engine has not prefilled yet, by reservation number.
    unprefilled_tokens: BTreeMap<u64, u32>,
    /// When the reservations of the last second were made.
    recent: VecDeque<Duration>,
}

impl Reservations {
    /// The number of reservations made in the last second, including those released since.
    pub fn made_in_last_second(&mut self, now: Duration) -> u32 {
        let is_outdated = |at: &Duration| now.saturating_sub(*at) >= RATE_WINDOW;
        while self.recent.front().is_some_and(is_outdated) {
            self.recent.pop_front();
        }
        u32::try_from(self.recent.len()).unwrap_or(u32::MAX)
    }

    /// Reserves capacity for a prompt of `prompt_tokens`. Returns the number of the reservation and
    /// the backlog ahead of it.
    pub fn reserve(&mut self, now: Duration, prompt_tokens: u32) -> (u64, Backlog) {
        let backlog = self.backlog();
        let number = self.next_number;
        self.next_number += 1;
        self.made_in_last_second(now);
        self.recent.push_back(now);
        self.unprefilled_tokens.insert(number, prompt_tokens);
        (number, backlog)
    }

    /// Records that the engine has prefilled the prompt. Does nothing if the reservation was
    /// released.
    pub fn record_prompt_prefilled(&mut self, number: u64) {
        if let Some(tokens) = self.unprefilled_tokens.get_mut(&number) {
            *tokens = 0;
        }
    }

    /// Releases a reservation.
    pub fn release(&mut self, number: u64) {
        self.unprefilled_tokens.remove(&number);
    }

    /// The reserved requests and the prompt tokens that the engine has not prefilled yet.
    pub fn backlog(&self) -> Backlog {
        let tokens = self.unprefilled_tokens.values().copied();
        Backlog {
            requests: u32::try_from(self.unprefilled_tokens.len()).unwrap_or(u32::MAX),
            unprefilled_tokens: tokens.fold(0, u32::saturating_add),
        }
    }
}
